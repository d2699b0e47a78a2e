//! The load that a backend server reports with its responses.

use std::{collections::BTreeMap, str};

use serde::Deserialize;
use thiserror::Error;

/// Maximum length of a report in bytes.
const MAX_BYTES: usize = 4 * 1_024;

/// Maximum number of figures in a report.
const MAX_FIGURES: usize = 64;

/// Maximum number of characters of an invalid pair shown in its error.
const MAX_SHOWN_CHARS: usize = 40;

/// Prefix of a report in the text format.
const TEXT_PREFIX: &str = "TEXT ";

/// Prefix of a report in the JSON format.
const JSON_PREFIX: &str = "JSON ";

/// The load that a backend server reports with its responses, in the `endpoint-load-metrics` header
/// field of ORCA (Open Request Cost Aggregation), in its text or its JSON format.
///
/// Unknown fields are ignored.
///
/// Invariant: every figure is finite and not negative; utilizations other than those of the
/// processor and the application are at most 1.
///
/// ```
/// # use fescuewayd::BackendLoad;
/// let field = b"TEXT application_utilization=0.4, named_metrics.depth=7";
/// let load = BackendLoad::try_from(&field[..])?;
/// assert_eq!(load.application_utilization, Some(0.4));
/// assert_eq!(load.named_metrics["depth"], 7.0);
/// # Ok::<(), fescuewayd::LoadError>(())
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct BackendLoad {
    /// CPU utilization as a share of the backend server's allotment; above 1 when it uses more.
    #[serde(alias = "cpuUtilization")]
    pub cpu_utilization: Option<f64>,
    /// Memory utilization as a share of the backend server's memory.
    #[serde(alias = "memUtilization")]
    pub mem_utilization: Option<f64>,
    /// Utilization of the resource that limits the application; above 1 when it is overloaded.
    #[serde(alias = "applicationUtilization")]
    pub application_utilization: Option<f64>,
    /// Requests per second.
    #[serde(alias = "rpsFractional")]
    pub rps_fractional: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Utilization of other resources as shares.
    pub utilization: BTreeMap<String, f64>,
    /// Cost of the request, in units defined by the sender.
    #[serde(alias = "requestCost")]
    pub request_cost: BTreeMap<String, f64>,
    /// Other figures, in units defined by the sender.
    #[serde(alias = "namedMetrics")]
    pub named_metrics: BTreeMap<String, f64>,
}

/// Why a report is ignored.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The report is too long.
    #[error("{found} bytes are more than {MAX_BYTES}")]
    TooLong {
        /// Its length in bytes.
        found: usize,
    },
    /// The report has too many figures.
    #[error("more than {MAX_FIGURES} figures")]
    TooMany,
    /// The format is unknown.
    #[error("neither `TEXT` nor `JSON` in UTF-8")]
    Format,
    /// The JSON is invalid or doesn't match the schema.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A pair of the text format is invalid.
    #[error("invalid pair {0:?}, expected `name=number`")]
    Pair(String),
    /// A figure is out of range.
    #[error("{name} is out of its range")]
    Range {
        /// The figure's name.
        name: &'static str,
    },
}

impl TryFrom<&[u8]> for BackendLoad {
    type Error = LoadError;

    fn try_from(field: &[u8]) -> Result<Self, LoadError> {
        if field.len() > MAX_BYTES {
            let found = field.len();
            return Err(LoadError::TooLong { found });
        }
        let text = str::from_utf8(field).map_err(|_invalid| LoadError::Format)?;
        let load = if let Some(pairs) = text.strip_prefix(TEXT_PREFIX) {
            Self::from_pairs(pairs)?
        } else if let Some(json) = text.strip_prefix(JSON_PREFIX) {
            serde_json::from_str(json)?
        } else {
            return Err(LoadError::Format);
        };
        load.check()?;
        Ok(load)
    }
}

impl BackendLoad {
    /// Parses comma-separated `name=number` pairs.
    fn from_pairs(pairs: &str) -> Result<Self, LoadError> {
        let mut load = Self::default();
        for pair in pairs.split(',') {
            let invalid = || LoadError::Pair(pair.trim().chars().take(MAX_SHOWN_CHARS).collect());
            let (name, number) = pair.split_once('=').ok_or_else(invalid)?;
            let figure = number.trim().parse().map_err(|_invalid| invalid())?;
            load.set_figure(name.trim(), figure);
        }
        Ok(load)
    }

    /// Sets the figure `name`; ignores unknown names.
    fn set_figure(&mut self, name: &str, figure: f64) {
        let single = match name {
            "cpu_utilization" => &mut self.cpu_utilization,
            "mem_utilization" => &mut self.mem_utilization,
            "application_utilization" => &mut self.application_utilization,
            "rps_fractional" => &mut self.rps_fractional,
            "eps" => &mut self.eps,
            _ => return self.set_map_figure(name, figure),
        };
        *single = Some(figure);
    }

    /// Sets the figure `map.key`; ignores unknown maps.
    fn set_map_figure(&mut self, name: &str, figure: f64) {
        let Some((map, key)) = name.split_once('.') else {
            return;
        };
        let map = match map {
            "utilization" => &mut self.utilization,
            "request_cost" => &mut self.request_cost,
            "named_metrics" => &mut self.named_metrics,
            _ => return,
        };
        map.insert(key.to_owned(), figure);
    }

    /// Checks the invariant.
    fn check(&self) -> Result<(), LoadError> {
        let maps = [&self.utilization, &self.request_cost, &self.named_metrics];
        if maps.into_iter().map(BTreeMap::len).sum::<usize>() > MAX_FIGURES {
            return Err(LoadError::TooMany);
        }
        let check_one =
            |name, figure: Option<f64>, max| check_figures(name, figure.as_slice(), max);
        check_one("cpu_utilization", self.cpu_utilization, f64::MAX)?;
        check_one("mem_utilization", self.mem_utilization, 1.0)?;
        check_one(
            "application_utilization",
            self.application_utilization,
            f64::MAX,
        )?;
        check_one("rps_fractional", self.rps_fractional, f64::MAX)?;
        check_one("eps", self.eps, f64::MAX)?;
        check_figures("utilization", self.utilization.values(), 1.0)?;
        check_figures("request_cost", self.request_cost.values(), f64::MAX)
        // The specification doesn't restrict named metrics.
    }
}

/// Checks that each of `figures` is from 0 to `max`.
fn check_figures<'a>(
    name: &'static str,
    figures: impl IntoIterator<Item = &'a f64>,
    max: f64,
) -> Result<(), LoadError> {
    let mut figures = figures.into_iter();
    // The range doesn't contain NaN.
    if figures.all(|figure| (0.0..=max).contains(figure)) {
        Ok(())
    } else {
        Err(LoadError::Range { name })
    }
}
