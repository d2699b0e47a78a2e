//! The load that a backend server reports with its answers.

use std::{collections::BTreeMap, str};

use serde::Deserialize;
use thiserror::Error;

/// The longest report in bytes.
const MAX_BYTES: usize = 4 * 1_024;

/// Figures of one report at most.
const MAX_FIGURES: usize = 64;

/// Letters of a wrong pair that its error repeats.
const MAX_SHOWN: usize = 40;

/// What opens a report in the text format.
const TEXT_PREFIX: &str = "TEXT ";

/// What opens a report in the JSON format.
const JSON_PREFIX: &str = "JSON ";

/// The load that a backend server reports with its answers, in the `endpoint-load-metrics` header
/// field of ORCA (Open Request Cost Aggregation), in its text or its JSON format.
///
/// Fields that are not named here are passed over.
///
/// Invariant: every figure is finite and not negative; utilizations but that of the processor and
/// of the application are at most 1.
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
    /// Use of the processor as a share of what the backend server has; above 1 when it has more.
    #[serde(alias = "cpuUtilization")]
    pub cpu_utilization: Option<f64>,
    /// Use of the memory as a share of what the backend server has.
    #[serde(alias = "memUtilization")]
    pub mem_utilization: Option<f64>,
    /// Use of whatever bounds the application; above 1 when it has more than it should.
    #[serde(alias = "applicationUtilization")]
    pub application_utilization: Option<f64>,
    /// Requests per second.
    #[serde(alias = "rpsFractional")]
    pub rps_fractional: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Use of other resources as shares.
    pub utilization: BTreeMap<String, f64>,
    /// What the request took, in units of its sender's own.
    #[serde(alias = "requestCost")]
    pub request_cost: BTreeMap<String, f64>,
    /// Other figures, in units of their sender's own.
    #[serde(alias = "namedMetrics")]
    pub named_metrics: BTreeMap<String, f64>,
}

/// Why a report was ignored.
#[derive(Debug, Error)]
pub enum LoadError {
    /// It is too long.
    #[error("{found} bytes are more than {MAX_BYTES}")]
    TooLong {
        /// Its length in bytes.
        found: usize,
    },
    /// It holds too many figures.
    #[error("more than {MAX_FIGURES} figures")]
    TooMany,
    /// It is in no known format.
    #[error("neither `TEXT` nor `JSON` in UTF-8")]
    Format,
    /// It is no JSON, or none of this form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A pair of the text format is none.
    #[error("{0:?} is no `name=number`")]
    Pair(String),
    /// A figure can't be.
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
    /// Reads `name=number` pairs with commas between them.
    fn from_pairs(pairs: &str) -> Result<Self, LoadError> {
        let mut load = Self::default();
        for pair in pairs.split(',') {
            let invalid = || LoadError::Pair(pair.trim().chars().take(MAX_SHOWN).collect());
            let (name, number) = pair.split_once('=').ok_or_else(invalid)?;
            let figure = number.trim().parse().map_err(|_invalid| invalid())?;
            load.set(name.trim(), figure);
        }
        Ok(load)
    }

    /// Sets the figure `name`, unless it is unknown.
    fn set(&mut self, name: &str, figure: f64) {
        let single = match name {
            "cpu_utilization" => &mut self.cpu_utilization,
            "mem_utilization" => &mut self.mem_utilization,
            "application_utilization" => &mut self.application_utilization,
            "rps_fractional" => &mut self.rps_fractional,
            "eps" => &mut self.eps,
            _ => return self.set_member(name, figure),
        };
        *single = Some(figure);
    }

    /// Sets the figure `map.key`, unless the map is unknown.
    fn set_member(&mut self, name: &str, figure: f64) {
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

    /// Whether every figure can be.
    fn check(&self) -> Result<(), LoadError> {
        let maps = [&self.utilization, &self.request_cost, &self.named_metrics];
        if maps.into_iter().map(BTreeMap::len).sum::<usize>() > MAX_FIGURES {
            return Err(LoadError::TooMany);
        }
        let one = |name, figure: Option<f64>, most| check_figure(name, figure.as_slice(), most);
        one("cpu_utilization", self.cpu_utilization, f64::MAX)?;
        one("mem_utilization", self.mem_utilization, 1.0)?;
        one(
            "application_utilization",
            self.application_utilization,
            f64::MAX,
        )?;
        one("rps_fractional", self.rps_fractional, f64::MAX)?;
        one("eps", self.eps, f64::MAX)?;
        check_figure("utilization", self.utilization.values(), 1.0)?;
        check_figure("request_cost", self.request_cost.values(), f64::MAX)
        // The published format leaves named metrics free.
    }
}

/// Whether every one of `figures` is from 0 to `most`.
fn check_figure<'a>(
    name: &'static str,
    figures: impl IntoIterator<Item = &'a f64>,
    most: f64,
) -> Result<(), LoadError> {
    let mut figures = figures.into_iter();
    // Nothing holds for what is not a number.
    if figures.all(|figure| (0.0..=most).contains(figure)) {
        Ok(())
    } else {
        Err(LoadError::Range { name })
    }
}
