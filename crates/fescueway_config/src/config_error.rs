//! What is wrong with a document, and where.

use std::sync::Arc;

/// The step at which a document was found wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValidationStage {
    /// The text is not JSON with comments.
    Syntax,
    /// A field is unknown, missing or of the wrong type.
    Schema,
    /// A value is out of its range, or clashes with another.
    Value,
}

/// A fault of one field, before it is known in which file and line the field stands.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}found {found}; allowed: {allowed}", self.prefix())]
pub struct FieldFault {
    /// Path of the field, with dots between names and indices in brackets. Empty when the whole
    /// text is wrong.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

/// What is wrong with a document, and where.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{file}:{line}: {fault}{}", self.question())]
pub struct ConfigError {
    /// The step at which it was found.
    pub stage: ValidationStage,
    /// The document's file.
    pub file: Arc<str>,
    /// The line, counted from 1.
    pub line: usize,
    /// The field and what is wrong with it.
    pub fault: Box<FieldFault>,
    /// The known name that is nearest to an unknown one.
    pub suggestion: Option<String>,
}

impl FieldFault {
    /// A fault of `field`.
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

    /// The field as it begins the message.
    fn prefix(&self) -> String {
        if self.field.is_empty() {
            return String::new();
        }
        format!("field {}: ", self.field)
    }
}

impl ConfigError {
    /// The suggestion as it ends the message.
    fn question(&self) -> String {
        let name = self.suggestion.as_ref();
        name.map_or_else(String::new, |name| format!("; did you mean `{name}`?"))
    }
}
