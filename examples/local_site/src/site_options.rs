//! The command line of the example.

use eyre::{Result, bail};
use lexopt::{
    Arg::{Long, Short},
    Parser, ValueExt,
};

/// What `--help` prints.
pub const HELP: &str = "\
local_site: a whole site in one process, under load and faults

    cargo run --release -p local_site -- [OPTIONS]

    --pwll         the site of Pwll Digital Cyf (default: Caprock Railcare Systems)
    --seconds N    how long to drive load, 5 to 600 (default: 15)
    --json         print the report as JSON
    --serve        keep running without load and print where it listens
    --help         print this";

/// Default duration of the load, in seconds.
const DEFAULT_SECONDS: u64 = 15;

/// The validated options.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteOptions {
    /// Whether to run the site of Pwll instead of that of Caprock.
    pub is_pwll: bool,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Whether to print the report as JSON instead of a table.
    pub is_json: bool,
    /// Whether to keep running without load.
    pub is_serving: bool,
}

/// The command that the command line selects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CliCommand {
    /// Run with these options.
    Run(SiteOptions),
    /// Print the help.
    Help,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            is_pwll: false,
            seconds: DEFAULT_SECONDS,
            is_json: false,
            is_serving: false,
        }
    }
}

impl SiteOptions {
    /// Parses the command line.
    ///
    /// # Errors
    /// When an option is unknown or its value is out of range.
    pub fn parse(mut parser: Parser) -> Result<CliCommand> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("pwll") => options.is_pwll = true,
                Long("json") => options.is_json = true,
                Long("serve") => options.is_serving = true,
                Long("seconds") => options.seconds = parser.value()?.parse()?,
                Long("help") | Short('h') => return Ok(CliCommand::Help),
                other => return Err(other.unexpected().into()),
            }
        }
        if !(5..=600).contains(&options.seconds) {
            bail!("--seconds {}: allowed are 5 to 600", options.seconds);
        }
        Ok(CliCommand::Run(options))
    }
}
