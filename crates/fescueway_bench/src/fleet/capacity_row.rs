//! One line of the table of `docs/CAPACITY.md`.

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRow {
    /// What is counted.
    pub what: &'static str,
    /// The figure at the target's size.
    pub value: f64,
    /// The unit.
    pub unit: &'static str,
    /// What it may be at most, `None` where nothing is said.
    pub limit: Option<f64>,
    /// The measured slope that it is worked from.
    pub basis: String,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
}

impl CapacityRow {
    /// Whether the figure is within its limit.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.limit.is_none_or(|limit| self.value <= limit)
    }

    /// The line as Markdown.
    #[must_use]
    pub fn line(&self) -> String {
        let limit = self.limit.map_or_else(|| "-".to_owned(), figure);
        let met = match self.limit {
            None => "-",
            Some(_) if self.is_met() => "yes",
            Some(_) => "**no**",
        };
        format!(
            "| {} | {} {} | {limit} | {met} | {} | {} |\n",
            self.what,
            figure(self.value),
            self.unit,
            self.basis,
            self.mechanism
        )
    }
}

/// A figure with about three digits.
pub fn figure(value: f64) -> String {
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
