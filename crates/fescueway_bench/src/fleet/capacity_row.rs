//! Row of the table in `docs/CAPACITY.md`.

/// Row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRow {
    /// Name of the quantity.
    pub quantity: &'static str,
    /// Value at the required fleet size.
    pub value: f64,
    /// Unit of `value` and `limit`.
    pub unit: &'static str,
    /// Largest allowed value, `None` where no limit is set.
    pub limit: Option<f64>,
    /// Measurement from which the value is extrapolated.
    pub basis: String,
    /// Mechanism that determines the value.
    pub mechanism: &'static str,
}

impl CapacityRow {
    /// Returns whether the value is within its limit.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }

    /// Returns the row as Markdown.
    #[must_use]
    pub fn line(&self) -> String {
        let limit = self.limit.map_or_else(|| "-".to_owned(), format_value);
        let met = match self.limit {
            None => "-",
            Some(_) if self.is_met() => "yes",
            Some(_) => "**no**",
        };
        format!(
            "| {} | {} {} | {limit} | {met} | {} | {} |\n",
            self.quantity,
            format_value(self.value),
            self.unit,
            self.basis,
            self.mechanism
        )
    }
}

/// Formats a value with about three significant digits.
pub fn format_value(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        "0".to_owned()
    } else if size >= 100.0 {
        format!("{value:.0}")
    } else if size >= 10.0 {
        format!("{value:.1}")
    } else if size >= 0.1 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
