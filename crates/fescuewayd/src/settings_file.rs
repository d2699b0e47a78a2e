//! Reads the settings and the files that they refer to.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use fescueway_config::{ConfigError, ConfigSet, Document, FieldFault, SitePlan, ValidationStage};
use fescueway_core::SiteName;
use thiserror::Error;

use crate::{
    DaemonSettings,
    raw_settings::{RawPlanFiles, RawSettings},
};

/// Why the settings can't be used. Displayed as one message for the operator.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{}: cannot read the file: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A field is invalid.
    #[error(transparent)]
    Field(#[from] ConfigError),
}

/// Reads the settings in `file`, and the configuration files that they refer to.
///
/// # Errors
///
/// When a file can't be read, or a field is unknown, missing or not allowed.
pub fn read_settings(file: &Path) -> Result<DaemonSettings, SettingsError> {
    let document = read_document(file)?;
    let raw: RawSettings = document.decode()?;
    let plan_files = raw.plan_files.clone();
    let checked = DaemonSettings::try_from(raw);
    let mut settings = checked.map_err(|fault| document.locate(ValidationStage::Value, fault))?;
    if let Some(plan_files) = plan_files {
        let folder = file.parent().unwrap_or(Path::new(""));
        let plan = read_plan(folder, &plan_files, &settings.site, &document)?;
        settings.plan = Some(plan);
    }
    Ok(settings)
}

/// Reads a configuration and returns the plan of the site.
fn read_plan(
    folder: &Path,
    files: &RawPlanFiles,
    site: &SiteName,
    settings: &Document,
) -> Result<Arc<SitePlan>, SettingsError> {
    let base = read_document(&folder.join(&files.base))?;
    let overlays = files.overlays.iter();
    let overlays: Vec<_> = overlays
        .map(|overlay| read_document(&folder.join(overlay)))
        .collect::<Result<_, _>>()?;
    let checked = ConfigSet::check(&base, &overlays);
    // Only the first error is reported; `fescueway check` reports all of them.
    let config = checked.map_err(|mut errors| errors.swap_remove(0))?;
    let plan = config.sites().get(site).cloned();
    let plan = plan.ok_or_else(|| {
        let sites: Vec<_> = config.sites().keys().map(SiteName::as_str).collect();
        let fault = FieldFault::new("site", format!("\"{site}\""), sites.join(", "));
        settings.locate(ValidationStage::Value, fault)
    })?;
    Ok(Arc::new(plan))
}

/// Reads one file.
fn read_document(file: &Path) -> Result<Document, SettingsError> {
    let bytes = fs::read(file).map_err(|source| SettingsError::Read {
        file: file.to_owned(),
        source,
    })?;
    let name = file.display().to_string();
    Ok(Document::parse_bytes(name, &bytes)?)
}
