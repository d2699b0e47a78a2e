//! Validation rules of fields. The tables of the reference page are generated from them.

use std::fmt::{Display, Formatter, Result as FormatResult};

use serde_json::Number;

use crate::FieldFault;

/// The rule of a numeric field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NumberRule {
    /// Path of the field relative to its service.
    pub field: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// The value when the field is not set.
    pub default: f64,
    /// The lowest value allowed.
    pub min: f64,
    /// The highest value allowed.
    pub max: f64,
    /// Whether the value must be a whole number.
    pub is_whole: bool,
    /// What the field is for.
    pub meaning: &'static str,
}

/// The rule of a field that is not numeric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TextRule {
    /// Path of the field relative to its service.
    pub field: &'static str,
    /// The value when the field is not set.
    pub default: &'static str,
    /// What is allowed.
    pub allowed: &'static str,
    /// What the field is for.
    pub meaning: &'static str,
}

/// The rule of one field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldRule {
    /// A number.
    Number(&'static NumberRule),
    /// Anything else.
    Text(&'static TextRule),
}

impl NumberRule {
    /// Validates the field of the service at `scope` and returns its value or the default.
    ///
    /// # Errors
    ///
    /// When the value is out of range.
    pub fn check(&self, scope: &str, raw: Option<&Number>) -> Result<f64, FieldFault> {
        self.check_at(format!("{scope}.{}", self.field), raw)
    }

    /// As [`NumberRule::check`], for a field whose path contains names chosen by operators.
    ///
    /// # Errors
    ///
    /// When the value is out of range.
    pub fn check_at(&self, path: String, raw: Option<&Number>) -> Result<f64, FieldFault> {
        let Some(number) = raw else {
            return Ok(self.default);
        };
        let value = number.as_f64().unwrap_or(f64::NAN);
        let is_whole = !self.is_whole || value.fract() == 0.0;
        if (self.min..=self.max).contains(&value) && is_whole {
            // Adding zero turns -0 into 0, so that equal plans have the same canonical form.
            return Ok(value + 0.0);
        }
        Err(FieldFault::new(path, number.to_string(), self.to_string()))
    }

    /// As [`NumberRule::check_at`], for a field without a default. `None` when it is not set.
    ///
    /// # Errors
    ///
    /// When the value is out of range.
    pub fn check_optional(
        &self,
        path: String,
        raw: Option<&Number>,
    ) -> Result<Option<f64>, FieldFault> {
        raw.map(|number| self.check_at(path, Some(number)))
            .transpose()
    }

    /// Converts the value to the number of a document.
    #[must_use]
    pub fn raw(&self, value: f64) -> Option<Number> {
        if self.is_whole {
            return Some(Number::from(value as u64));
        }
        Number::from_f64(value)
    }
}

impl Display for NumberRule {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let kind = if self.is_whole {
            "a whole number"
        } else {
            "a number"
        };
        write!(
            f,
            "{kind} from {} to {} ({})",
            self.min, self.max, self.unit
        )
    }
}
