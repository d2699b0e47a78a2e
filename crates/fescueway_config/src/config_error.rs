//! Errors in configuration documents.

use std::sync::Arc;

/// The validation stage that found an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValidationStage {
    /// The text is not JSON with comments.
    Syntax,
    /// A field is unknown, missing or of the wrong type.
    Schema,
    /// A value is out of range or conflicts with another one.
    Value,
}

/// An error in one field, without the file and line.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}found {found}; allowed: {allowed}", self.field_prefix())]
pub struct FieldFault {
    /// Path of the field, with dots between names and indices in brackets. Empty when the whole
    /// text is wrong.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

/// An error in a document, with its file and line.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {fault}{}", self.suggestion_suffix())]
pub struct ConfigError {
    /// The validation stage that found the error.
    pub stage: ValidationStage,
    /// The document's file.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// The field, what was found and what is allowed.
    pub fault: Box<FieldFault>,
    /// The known name that is most similar to an unknown one.
    pub suggestion: Option<String>,
}

impl FieldFault {
    /// Creates an error in `field`.
    #[must_use]
    pub fn new(
        field: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }

    /// The start of the message, which names the field.
    fn field_prefix(&self) -> String {
        if self.field.is_empty() {
            return String::new();
        }
        format!("field {}: ", self.field)
    }
}

impl ConfigError {
    /// The end of the message, with the suggested name.
    fn suggestion_suffix(&self) -> String {
        let name = self.suggestion.as_ref();
        name.map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
    }
}
