//! The commands, their arguments and their help.

use std::fmt::Write;

use fescueway_config::nearest_name;

use crate::cli_option::CliOption;

/// A command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CliCommand {
    /// Writes a new configuration for the fleet.
    Apply,
    /// Shows how fast services use up their error budgets.
    Burn,
    /// Checks documents.
    Check,
    /// Compares configurations.
    Diff,
    /// Drains the targets beside a node.
    Drain,
    /// Shows help.
    Help,
    /// Lists the accepted configurations.
    History,
    /// Prints the configuration of a site with all defaults.
    Render,
    /// Shows which revision is in force, and the nodes that lag.
    Status,
    /// Shows the targets that a node knows.
    Targets,
    /// Prints the events of a request.
    Trace,
    /// Ends a drain.
    Undrain,
}

/// A command's arguments, options and help texts.
#[derive(Debug)]
pub(crate) struct CommandSpec {
    /// The command.
    pub(crate) command: CliCommand,
    /// Its name.
    pub(crate) name: &'static str,
    /// Its positional arguments, as the help shows them.
    pub(crate) arguments: &'static str,
    /// One-line summary in the help.
    pub(crate) summary: &'static str,
    /// Further text of the help; may be empty.
    pub(crate) details: &'static str,
    /// The options that it takes.
    pub(crate) options: &'static [CliOption],
}

/// Positional arguments of commands that read documents.
const DOCUMENTS: &str = "BASE [OVERLAY...]";

/// Every command, in the order of the help.
pub(crate) const COMMANDS: &[CommandSpec] = &[
    CommandSpec {
        command: CliCommand::Check,
        name: "check",
        arguments: DOCUMENTS,
        summary: "Check a base and its overlays together",
        details: "Prints every fault with file, line, field, what was found and what is allowed.",
        options: &[CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Render,
        name: "render",
        arguments: DOCUMENTS,
        summary: "Print what a site gets, with every default filled in",
        details: "",
        options: &[CliOption::Site],
    },
    CommandSpec {
        command: CliCommand::Diff,
        name: "diff",
        arguments: DOCUMENTS,
        summary: "Show what would change, by site, service and field",
        details: "Compares with what the store holds, or with the documents given by --from.",
        options: &[CliOption::Store, CliOption::From, CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Apply,
        name: "apply",
        arguments: DOCUMENTS,
        summary: "Make a base and all its overlays the configuration of the fleet",
        details: "The whole is accepted or refused at once. When another operator changed the\n\
                  configuration meanwhile, nothing is written.",
        options: &[
            CliOption::Store,
            CliOption::Wait,
            CliOption::Timeout,
            CliOption::Operator,
            CliOption::Note,
            CliOption::Revision,
            CliOption::Json,
        ],
    },
    CommandSpec {
        command: CliCommand::Status,
        name: "status",
        arguments: "",
        summary: "Show what is in force, and the nodes that lag",
        details: "With --store for the fleet, with --node for single nodes, or both. Below the nodes it names\n\
                  cold targets and evacuated failure domains.",
        options: &[CliOption::Store, CliOption::Node, CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::History,
        name: "history",
        arguments: "",
        summary: "Show which configurations were accepted, when and by whom",
        details: "",
        options: &[CliOption::Store, CliOption::Limit, CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Targets,
        name: "targets",
        arguments: "",
        summary: "Show the targets that a node knows, with their load",
        details: "",
        options: &[CliOption::Node, CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Drain,
        name: "drain",
        arguments: "",
        summary: "Let the targets beside a node finish and take no new work",
        details: "With --wait it returns when nothing runs there any more, and the backend server\n\
                  can be stopped.",
        options: &[CliOption::Node, CliOption::Wait, CliOption::Timeout],
    },
    CommandSpec {
        command: CliCommand::Undrain,
        name: "undrain",
        arguments: "",
        summary: "Let the targets beside a node take work again",
        details: "",
        options: &[CliOption::Node],
    },
    CommandSpec {
        command: CliCommand::Burn,
        name: "burn",
        arguments: "",
        summary: "Show how fast services use up their error budgets",
        details: "Adds up what the nodes counted; give every node whose callers matter.",
        options: &[CliOption::Node, CliOption::Svg, CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Trace,
        name: "trace",
        arguments: "ID FILE...",
        summary: "Print the events of a request from the logs of nodes",
        details: "Reads log lines in JSON, whatever stands before them in a line, and prints those of\n\
                  the request in order. `-` reads standard input.",
        options: &[CliOption::Json],
    },
    CommandSpec {
        command: CliCommand::Help,
        name: "help",
        arguments: "[COMMAND]",
        summary: "Show this help, or the help of a command",
        details: "",
        options: &[],
    },
];

impl CommandSpec {
    /// The command of that name, or an error message that suggests the nearest name.
    pub(crate) fn find(name: &str) -> Result<&'static Self, String> {
        let found = COMMANDS.iter().find(|spec| spec.name == name);
        found.ok_or_else(|| {
            let names = COMMANDS.iter().map(|spec| spec.name);
            unknown_name("command", name, names, "fescueway help")
        })
    }

    /// The help text of this command.
    pub(crate) fn help(&self) -> String {
        let mut help = format!("{}\n\nUsage: fescueway {}", self.summary, self.name);
        if !self.options.is_empty() {
            help += " [OPTIONS]";
        }
        if !self.arguments.is_empty() {
            help += " ";
            help += self.arguments;
        }
        help += "\n";
        if !self.details.is_empty() {
            // Writing to a string can't fail.
            let _ = writeln!(help, "\n{}", self.details);
        }
        if !self.options.is_empty() {
            help += "\nOptions:\n";
            help.extend(self.options.iter().map(|option| option_line(*option)));
        }
        help
    }
}

/// The line of an option in the help.
fn option_line(option: CliOption) -> String {
    let value = option.value_name().unwrap_or_default();
    let left = format!("--{} {value}", option.name());
    format!("  {left:<22} {}\n", option.description())
}

/// The general help text.
pub(crate) fn general_help() -> String {
    let mut help = String::from(
        "The command line of the fescueway load balancer\n\n\
         Usage: fescueway COMMAND [OPTIONS] [FILES]\n\nCommands:\n",
    );
    for spec in COMMANDS {
        // Writing to a string can't fail.
        let _ = writeln!(help, "  {:<9} {}", spec.name, spec.summary);
    }
    help += "\n`fescueway help COMMAND` tells more. `fescueway --version` prints the version.\n\n\
             Exit status:\n  \
             0  done\n  \
             1  refused, not reachable, or not yet in force\n  \
             2  wrong usage or invalid input\n";
    help
}

/// The error message for an unknown name. Suggests the nearest known name, or else the command
/// `help` that lists them.
pub(crate) fn unknown_name<'a>(
    kind: &str,
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
    help: &str,
) -> String {
    match nearest_name(name, known) {
        Some(near) => format!("unknown {kind} `{name}`; did you mean `{near}`?"),
        None => format!("unknown {kind} `{name}`; `{help}` lists them"),
    }
}
