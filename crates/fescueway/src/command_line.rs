//! Parses and validates the command line.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

use crate::{
    cli_error::CommandError,
    cli_option::CliOption,
    command_spec::{CliCommand, CommandSpec, unknown_name},
};

/// Default of `--timeout`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Default of `--limit`, in entries of the history.
const DEFAULT_LIMIT: u64 = 20;

/// What the command line requests.
#[derive(Debug)]
pub(crate) enum CliRequest {
    /// Print the general help.
    GeneralHelp,
    /// Print the version.
    Version,
    /// Print the help of a command.
    CommandHelp(&'static CommandSpec),
    /// Run a command.
    Run(CliCommand, Box<CliOptions>),
}

/// The options and files of a command.
#[derive(Debug)]
pub(crate) struct CliOptions {
    /// Arguments that are not options: files; for `help` a command; for `trace` the id, then
    /// files.
    pub(crate) files: Vec<PathBuf>,
    /// Files of the documents to compare with.
    pub(crate) from: Vec<PathBuf>,
    /// Whether to print JSON.
    pub(crate) is_json: bool,
    /// Whether to wait until the change is in force or the drain is finished.
    pub(crate) is_waiting: bool,
    /// Maximum number of entries to show.
    pub(crate) limit: u64,
    /// Addresses of the nodes to query.
    pub(crate) nodes: Vec<SocketAddr>,
    /// The operator's note on the change.
    pub(crate) note: String,
    /// Name of the operator who makes the change.
    pub(crate) operator: Option<String>,
    /// The revision that the change is based on.
    pub(crate) revision: Option<u64>,
    /// The site.
    pub(crate) site: Option<String>,
    /// Addresses of the store.
    pub(crate) stores: Vec<SocketAddr>,
    /// File that the plot is written to.
    pub(crate) svg: Option<PathBuf>,
    /// Maximum time to wait.
    pub(crate) timeout: Duration,
}

impl Default for CliOptions {
    fn default() -> Self {
        Self {
            files: Vec::new(),
            from: Vec::new(),
            is_json: false,
            is_waiting: false,
            limit: DEFAULT_LIMIT,
            nodes: Vec::new(),
            note: String::new(),
            operator: None,
            revision: None,
            site: None,
            stores: Vec::new(),
            svg: None,
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl CliRequest {
    /// Parses the arguments after the program's name.
    pub(crate) fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<Self, CommandError> {
        let mut parser = Parser::from_args(arguments);
        let Some(first) = parser.next().map_err(CommandError::usage)? else {
            return Err(CommandError::usage(
                "no command given; `fescueway help` lists them",
            ));
        };
        match first {
            Arg::Long("help") | Arg::Short('h') => Ok(Self::GeneralHelp),
            Arg::Long("version") | Arg::Short('V') => Ok(Self::Version),
            Arg::Value(name) => {
                let name = name.string().map_err(CommandError::usage)?;
                let spec = CommandSpec::find(&name).map_err(CommandError::usage)?;
                Self::parse_command(spec, &mut parser)
            }
            Arg::Long(name) => Err(CommandError::usage(unknown_name(
                "option",
                &format!("--{name}"),
                ["--help", "--version"],
                "fescueway help",
            ))),
            Arg::Short(letter) => Err(CommandError::usage(format!("unknown option `-{letter}`"))),
        }
    }

    /// Parses the arguments after the command's name.
    fn parse_command(
        spec: &'static CommandSpec,
        parser: &mut Parser,
    ) -> Result<Self, CommandError> {
        let mut options = CliOptions::default();
        while let Some(argument) = parser.next().map_err(CommandError::usage)? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::CommandHelp(spec)),
                Arg::Long(name) => {
                    let option = find_option(spec, name)?;
                    options.read_option(option, parser)?;
                }
                Arg::Short(letter) => {
                    let message = format!("unknown option `-{letter}`");
                    return Err(CommandError::usage(message));
                }
                Arg::Value(_) if spec.arguments.is_empty() => {
                    let message = format!("`fescueway {}` takes no files", spec.name);
                    return Err(CommandError::usage(message));
                }
                Arg::Value(file) => options.files.push(file.into()),
            }
        }
        Ok(Self::Run(spec.command, Box::new(options)))
    }
}

/// The option of that name; a usage error if the command does not take it.
fn find_option(spec: &CommandSpec, name: &str) -> Result<CliOption, CommandError> {
    let found = spec.options.iter().find(|option| option.name() == name);
    if let Some(option) = found {
        return Ok(*option);
    }
    if CliOption::ALL.iter().any(|option| option.name() == name) {
        let message = format!("`fescueway {}` takes no `--{name}`", spec.name);
        return Err(CommandError::usage(message));
    }
    let known: Vec<_> = spec
        .options
        .iter()
        .map(|option| format!("--{}", option.name()))
        .collect();
    let known = known.iter().map(|name| &**name);
    let help = format!("fescueway help {}", spec.name);
    let message = unknown_name("option", &format!("--{name}"), known, &help);
    Err(CommandError::usage(message))
}

impl CliOptions {
    /// Reads the value of one option, if it takes one, and stores it.
    fn read_option(&mut self, option: CliOption, parser: &mut Parser) -> Result<(), CommandError> {
        match option {
            CliOption::Json => self.is_json = true,
            CliOption::Wait => self.is_waiting = true,
            CliOption::From => self.from.push(value_text(option, parser)?.into()),
            CliOption::Limit => self.limit = parsed_value(option, parser)?,
            CliOption::Node => self.nodes.push(parsed_value(option, parser)?),
            CliOption::Note => self.note = value_text(option, parser)?,
            CliOption::Operator => self.operator = Some(value_text(option, parser)?),
            CliOption::Revision => self.revision = Some(parsed_value(option, parser)?),
            CliOption::Site => self.site = Some(value_text(option, parser)?),
            CliOption::Store => self.stores.push(parsed_value(option, parser)?),
            CliOption::Svg => self.svg = Some(value_text(option, parser)?.into()),
            CliOption::Timeout => {
                self.timeout = Duration::from_secs(parsed_value::<u32>(option, parser)?.into());
            }
        }
        Ok(())
    }
}

/// The value of an option as UTF-8 text.
fn value_text(option: CliOption, parser: &mut Parser) -> Result<String, CommandError> {
    let value = parser.value().and_then(ValueExt::string);
    value.map_err(|error| CommandError::usage(format!("--{}: {error}", option.name())))
}

/// The value of an option, parsed as `T`.
fn parsed_value<T: FromStr>(option: CliOption, parser: &mut Parser) -> Result<T, CommandError> {
    let value = value_text(option, parser)?;
    value.parse().ok().ok_or_else(|| {
        let expected = match option {
            CliOption::Node | CliOption::Store => "an IP address with a port, as 127.0.0.1:9900",
            _ => "a whole number",
        };
        let name = option.name();
        CommandError::usage(format!("--{name}: found {value:?}; allowed: {expected}"))
    })
}
