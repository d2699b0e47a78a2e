//! Notices changes of the settings file.

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

/// How often the settings file is read. Until a change is noticed, requests of this VM name the former
/// service as their origin.
pub const SETTINGS_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Notices changes of the settings file, which may come without a signal.
#[derive(Debug)]
pub struct SettingsWatch {
    /// The file.
    file: PathBuf,
    /// What it held when it was last read; `None` if it could not be read.
    content: Option<Vec<u8>>,
}

impl SettingsWatch {
    /// Watches `file` from now on.
    pub fn new(file: &Path) -> Self {
        Self {
            file: file.to_owned(),
            content: fs::read(file).ok(),
        }
    }

    /// The file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Whether the file holds something else than was noted. A file that can't be read has not changed:
    /// it may be about to be replaced.
    pub fn has_changed(&self) -> bool {
        fs::read(&self.file).is_ok_and(|content| self.content.as_ref() != Some(&content))
    }

    /// Notes what the file holds. To be called before it is read as settings, so that a later change is
    /// noticed.
    pub fn note_content(&mut self) {
        self.content = fs::read(&self.file).ok();
    }
}
