//! Suggests the known name that is most similar to an unknown one.

use crate::FieldFault;

/// Minimum Jaro-Winkler similarity of a suggested name, from 0 (nothing in common) to 1 (equal).
const MIN_SIMILARITY: f64 = 0.7;

/// The name in `known` that is most similar to `name`, `None` when none is similar enough.
///
/// ```
/// # use fescueway_config::nearest_name;
/// assert_eq!(nearest_name("aply", ["check", "apply"]), Some("apply"));
/// assert_eq!(nearest_name("zzz", ["check", "apply"]), None);
/// ```
#[must_use]
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|other| (strsim::jaro_winkler(name, other), other));
    let similar = scored.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    similar
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|found| found.1)
}

/// The suggestion for an unknown field or variant. The error message of serde quotes names with
/// backticks.
pub(crate) fn for_fault(fault: &FieldFault) -> Option<String> {
    if !fault.found.starts_with("unknown ") {
        return None;
    }
    let unknown = quoted_names(&fault.found).next()?;
    nearest_name(unknown, quoted_names(&fault.allowed)).map(ToOwned::to_owned)
}

/// The names between backticks.
fn quoted_names(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}
