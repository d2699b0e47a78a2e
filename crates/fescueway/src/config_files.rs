//! Reads configuration documents from files and validates them together.

use std::{fs, path::PathBuf};

use eyre::WrapErr;
use fescueway_config::{ConfigError, ConfigSet, Document};

use crate::cli_error::CommandError;

/// Why documents could not be read or are invalid.
#[derive(Debug)]
pub(crate) enum FileError {
    /// A file can't be read, or none was given.
    Unreadable(CommandError),
    /// The documents are invalid.
    Invalid(Vec<ConfigError>),
}

impl From<FileError> for CommandError {
    fn from(error: FileError) -> Self {
        match error {
            FileError::Unreadable(error) => error,
            FileError::Invalid(errors) => {
                let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
                Self::usage(lines.join("\n"))
            }
        }
    }
}

/// Reads a base and its overlays, and validates them together.
pub(crate) fn read_config(files: &[PathBuf]) -> Result<ConfigSet, FileError> {
    let Some((base, overlays)) = files.split_first() else {
        let message = "no files given; a base file is needed, then the overlays of all sites";
        return Err(FileError::Unreadable(CommandError::usage(message)));
    };
    let base = read_document(base);
    let overlays = overlays
        .iter()
        .map(read_document)
        .collect::<Result<Vec<_>, _>>();
    ConfigSet::check(&base?, &overlays?).map_err(FileError::Invalid)
}

/// As [`read_config`], for commands that need at least one site.
pub(crate) fn read_sites(files: &[PathBuf]) -> Result<ConfigSet, CommandError> {
    let config = read_config(files)?;
    if config.sites().is_empty() {
        let message = "no overlay given; a site exists when an overlay names it";
        return Err(CommandError::usage(message));
    }
    Ok(config)
}

/// Reads one document.
fn read_document(file: &PathBuf) -> Result<Document, FileError> {
    let name = file.display().to_string();
    let bytes = fs::read(file)
        .wrap_err_with(|| format!("can't read {name}"))
        .map_err(|report| FileError::Unreadable(CommandError::invalid(report)))?;
    Document::parse_bytes(name, &bytes).map_err(|error| FileError::Invalid(vec![error]))
}
