//! The command line as the operator gave it, checked.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

use crate::{
    cli_error::CommandError,
    cli_option::CliOption,
    command_spec::{CliCommand, CommandSpec, unknown_name},
};

/// How long a command waits unless told otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Entries of the history that are shown unless told otherwise.
const DEFAULT_LIMIT: u64 = 20;

/// What the operator asks for.
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
    /// Documents or, for `help`, a command.
    pub(crate) files: Vec<PathBuf>,
    /// Documents to compare with.
    pub(crate) from: Vec<PathBuf>,
    /// Whether to print JSON.
    pub(crate) is_json: bool,
    /// Whether to wait.
    pub(crate) is_waiting: bool,
    /// How many entries to show.
    pub(crate) limit: u64,
    /// Nodes to ask.
    pub(crate) nodes: Vec<SocketAddr>,
    /// What the operator notes about the change.
    pub(crate) note: String,
    /// Who makes the change.
    pub(crate) operator: Option<String>,
    /// The revision that the change was made against.
    pub(crate) revision: Option<u64>,
    /// The site.
    pub(crate) site: Option<String>,
    /// Where the store is.
    pub(crate) stores: Vec<SocketAddr>,
    /// Where the plot goes.
    pub(crate) svg: Option<PathBuf>,
    /// How long to wait.
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
    /// Reads the arguments after the program's name.
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

    /// Reads the rest of a command's arguments.
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
                    options.read(option, parser)?;
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

/// The option of that name, if the command takes it.
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
    /// Takes in one option.
    fn read(&mut self, option: CliOption, parser: &mut Parser) -> Result<(), CommandError> {
        match option {
            CliOption::Json => self.is_json = true,
            CliOption::Wait => self.is_waiting = true,
            CliOption::From => self.from.push(text(option, parser)?.into()),
            CliOption::Limit => self.limit = parsed(option, parser)?,
            CliOption::Node => self.nodes.push(parsed(option, parser)?),
            CliOption::Note => self.note = text(option, parser)?,
            CliOption::Operator => self.operator = Some(text(option, parser)?),
            CliOption::Revision => self.revision = Some(parsed(option, parser)?),
            CliOption::Site => self.site = Some(text(option, parser)?),
            CliOption::Store => self.stores.push(parsed(option, parser)?),
            CliOption::Svg => self.svg = Some(text(option, parser)?.into()),
            CliOption::Timeout => {
                self.timeout = Duration::from_secs(parsed::<u32>(option, parser)?.into());
            }
        }
        Ok(())
    }
}

/// The value of an option as text.
fn text(option: CliOption, parser: &mut Parser) -> Result<String, CommandError> {
    let value = parser.value().and_then(ValueExt::string);
    value.map_err(|error| CommandError::usage(format!("--{}: {error}", option.name())))
}

/// The value of an option, read.
fn parsed<T: FromStr>(option: CliOption, parser: &mut Parser) -> Result<T, CommandError> {
    let value = text(option, parser)?;
    value.parse().ok().ok_or_else(|| {
        let expected = match option {
            CliOption::Node | CliOption::Store => "an IP address with a port, as 127.0.0.1:9900",
            _ => "a whole number",
        };
        let name = option.name();
        CommandError::usage(format!("--{name}: found {value:?}; allowed: {expected}"))
    })
}
