//! `fescueway check`: checks a base and its overlays together.

use fescueway_config::{ConfigError, ConfigSet};
use serde::Serialize;

use crate::{
    cli_error::{CommandReply, CommandResult, ExitStatus},
    command_line::CliOptions,
    commands::json_text,
    config_files::{FileError, read_config},
};

/// What `check --json` prints.
#[derive(Debug, Serialize)]
struct CheckReport {
    /// Whether the documents are valid.
    is_valid: bool,
    /// Names of the sites.
    sites: Vec<String>,
    /// Number of services over all sites.
    services: usize,
    /// Number of client accounts over all sites.
    #[serde(skip_serializing_if = "is_zero")]
    accounts: usize,
    /// The errors found.
    errors: Vec<FaultReport>,
}

/// One error in a document.
#[derive(Debug, Serialize)]
struct FaultReport {
    /// The file.
    file: String,
    /// The line, counted from 1.
    line: usize,
    /// Path of the field.
    field: String,
    /// What was found.
    found: String,
    /// What is allowed.
    allowed: String,
    /// The nearest known name, if the name found is unknown.
    suggestion: Option<String>,
}

impl From<&ConfigError> for FaultReport {
    fn from(error: &ConfigError) -> Self {
        Self {
            file: error.file.to_string(),
            line: error.line,
            field: error.fault.field.clone(),
            found: error.fault.found.clone(),
            allowed: error.fault.allowed.clone(),
            suggestion: error.suggestion.clone(),
        }
    }
}

impl From<&ConfigSet> for CheckReport {
    fn from(config: &ConfigSet) -> Self {
        let sites = config.sites().values();
        let accounts = sites.clone().filter_map(|site| site.accounts.as_ref());
        Self {
            is_valid: true,
            sites: config.sites().keys().map(ToString::to_string).collect(),
            services: sites.clone().map(|site| site.services.len()).sum(),
            accounts: accounts.map(|accounts| accounts.accounts().len()).sum(),
            errors: Vec::new(),
        }
    }
}

/// Runs the command.
pub(crate) fn run(options: &CliOptions) -> CommandResult {
    match read_config(&options.files) {
        Ok(config) => {
            let report = CheckReport::from(&config);
            if options.is_json {
                return Ok(CommandReply::done(json_text(&report)?));
            }
            Ok(CommandReply::done(summary(&report)))
        }
        Err(FileError::Invalid(errors)) if options.is_json => {
            let report = CheckReport {
                is_valid: false,
                sites: Vec::new(),
                services: 0,
                accounts: 0,
                errors: errors.iter().map(FaultReport::from).collect(),
            };
            Ok(CommandReply {
                text: json_text(&report)?,
                status: ExitStatus::Invalid,
            })
        }
        Err(error) => Err(error.into()),
    }
}

/// Whether a count is omitted: reports of documents without accounts stay as they were.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer passes a reference"
)]
const fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// The report of valid documents in one line.
fn summary(report: &CheckReport) -> String {
    if report.sites.is_empty() {
        return String::from("valid, but no overlay was given: there is no site yet\n");
    }
    let sites = report.sites.join(", ");
    let accounts = match report.accounts {
        0 => String::new(),
        count => format!(" and {count} client accounts"),
    };
    format!(
        "valid: {} services{accounts} over the sites {sites}\n",
        report.services
    )
}
