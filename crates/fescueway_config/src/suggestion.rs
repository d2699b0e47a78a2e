//! The known name that is nearest to an unknown one.

use crate::FieldFault;

/// Similarity from which a name is suggested, from 0 (nothing alike) to 1 (equal).
const MIN_SIMILARITY: f64 = 0.7;

/// The name of `known` that is nearest to `name`, `None` when none is near.
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
    let near = scored.filter(|(similarity, _)| *similarity >= MIN_SIMILARITY);
    near.max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|found| found.1)
}

/// The suggestion for an unknown field or variant, whose names serde quotes with backticks.
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
