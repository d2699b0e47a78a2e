//! The command line of this example.

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

/// Seconds of load when nothing is said.
const DEFAULT_SECONDS: u64 = 15;

/// Checked options.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteOptions {
    /// The second deployment in place of the first.
    pub is_pwll: bool,
    /// Seconds of load.
    pub seconds: u64,
    /// JSON in place of a table.
    pub is_json: bool,
    /// Keep running without load.
    pub is_serving: bool,
}

/// What the command line asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OptionsResult {
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
    /// Reads the command line.
    ///
    /// # Errors
    /// When an option is unknown or its value is out of range.
    pub fn parse(mut parser: Parser) -> Result<OptionsResult> {
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("pwll") => options.is_pwll = true,
                Long("json") => options.is_json = true,
                Long("serve") => options.is_serving = true,
                Long("seconds") => options.seconds = parser.value()?.parse()?,
                Long("help") | Short('h') => return Ok(OptionsResult::Help),
                other => return Err(other.unexpected().into()),
            }
        }
        if !(5..=600).contains(&options.seconds) {
            bail!("--seconds {}: allowed are 5 to 600", options.seconds);
        }
        Ok(OptionsResult::Run(options))
    }
}
