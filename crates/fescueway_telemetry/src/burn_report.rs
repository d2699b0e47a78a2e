//! Burn rates of services: how fast they use up their error budgets.

use std::{collections::BTreeMap, time::Duration};

use fescueway_core::{ServiceName, SiteName};
use serde::{Deserialize, Serialize};

/// A window over which requests are counted, ending now.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum BurnWindow {
    /// 5 minutes.
    #[serde(rename = "5m")]
    Minutes5,
    /// 30 minutes.
    #[serde(rename = "30m")]
    Minutes30,
    /// 1 hour.
    #[serde(rename = "1h")]
    Hours1,
    /// 2 hours.
    #[serde(rename = "2h")]
    Hours2,
    /// 6 hours.
    #[serde(rename = "6h")]
    Hours6,
    /// 1 day.
    #[serde(rename = "1d")]
    Days1,
    /// 3 days.
    #[serde(rename = "3d")]
    Days3,
}

/// Severity of an alarm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnSeverity {
    /// Needs attention now.
    Page,
    /// Needs attention within the day.
    Ticket,
}

/// A multiwindow burn-rate alarm: active while the burn is above the threshold over both windows.
///
/// The long window keeps a short spike from raising the alarm, the short one ends it soon after the
/// cause is gone. Source: "The Site Reliability Workbook", chapter 5.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BurnAlarm {
    /// The short window.
    pub short: BurnWindow,
    /// The long window.
    pub long: BurnWindow,
    /// The burn above which the alarm is active.
    pub threshold: f64,
    /// Severity of the alarm.
    pub severity: BurnSeverity,
}

/// Requests counted over a window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowCount {
    /// Requests that met their objective.
    pub good: u64,
    /// Requests that missed it.
    pub bad: u64,
}

/// Hedges of a service since its nodes started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HedgeCount {
    /// Hedges made.
    pub started: u64,
    /// Hedges that were answered before the offer that they hedged.
    pub won: u64,
    /// Time of offers that were cancelled because another one was answered first, in milliseconds.
    pub wasted_ms: u64,
}

/// Request counts of one service at one site, from which its burn rate follows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// The site.
    pub site: SiteName,
    /// The service.
    pub service: ServiceName,
    /// Objective: the share of requests to answer in time.
    pub availability: f64,
    /// Requests over each window.
    pub windows: BTreeMap<BurnWindow, WindowCount>,
    /// Requests in each past hour, the latest hour first.
    pub hours: Vec<WindowCount>,
    /// Hedges. Nodes of earlier versions don't report them.
    #[serde(default, skip_serializing_if = "HedgeCount::is_zero")]
    pub hedges: HedgeCount,
}

/// Request counts and burn rates of services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BurnReport {
    /// The services, sorted by site and name.
    pub services: Vec<ServiceBurn>,
}

/// The alarms, the most urgent first.
pub const BURN_ALARMS: [BurnAlarm; 4] = [
    BurnAlarm {
        short: BurnWindow::Minutes5,
        long: BurnWindow::Hours1,
        threshold: 14.4,
        severity: BurnSeverity::Page,
    },
    BurnAlarm {
        short: BurnWindow::Minutes30,
        long: BurnWindow::Hours6,
        threshold: 6.0,
        severity: BurnSeverity::Page,
    },
    BurnAlarm {
        short: BurnWindow::Hours2,
        long: BurnWindow::Days1,
        threshold: 3.0,
        severity: BurnSeverity::Ticket,
    },
    BurnAlarm {
        short: BurnWindow::Hours6,
        long: BurnWindow::Days3,
        threshold: 1.0,
        severity: BurnSeverity::Ticket,
    },
];

/// Minimum number of bad requests over the long window for an alarm: fewer say nothing about a rate.
const MIN_BAD_REQUESTS: u64 = 5;

impl BurnWindow {
    /// Every window, the shortest first.
    pub const ALL: [Self; 7] = [
        Self::Minutes5,
        Self::Minutes30,
        Self::Hours1,
        Self::Hours2,
        Self::Hours6,
        Self::Days1,
        Self::Days3,
    ];

    /// Its length.
    #[must_use]
    pub const fn length(self) -> Duration {
        let minutes = match self {
            Self::Minutes5 => 5,
            Self::Minutes30 => 30,
            Self::Hours1 => 60,
            Self::Hours2 => 2 * 60,
            Self::Hours6 => 6 * 60,
            Self::Days1 => 24 * 60,
            Self::Days3 => 3 * 24 * 60,
        };
        Duration::from_secs(minutes * 60)
    }

    /// Its short name, such as `5m`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Minutes5 => "5m",
            Self::Minutes30 => "30m",
            Self::Hours1 => "1h",
            Self::Hours2 => "2h",
            Self::Hours6 => "6h",
            Self::Days1 => "1d",
            Self::Days3 => "3d",
        }
    }
}

impl BurnSeverity {
    /// The serialized name of the severity.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Page => "page",
            Self::Ticket => "ticket",
        }
    }
}

impl WindowCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// The burn rate: at 1 the error budget is used up in exactly the objective's window, at 0 none of it
    /// is used. Without requests the burn is 0.
    ///
    /// ```
    /// # use fescueway_telemetry::WindowCount;
    /// let count = WindowCount { good: 990, bad: 10 };
    /// assert!((count.burn(0.999) - 10.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn burn(&self, availability: f64) -> f64 {
        let total = self.good.saturating_add(self.bad);
        if total == 0 {
            return 0.0;
        }
        self.bad as f64 / total as f64 / (1.0 - availability)
    }
}

impl HedgeCount {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.started = self.started.saturating_add(other.started);
        self.won = self.won.saturating_add(other.won);
        self.wasted_ms = self.wasted_ms.saturating_add(other.wasted_ms);
    }

    /// Whether nothing was hedged.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

impl ServiceBurn {
    /// The burn rate over a window.
    #[must_use]
    pub fn burn(&self, window: BurnWindow) -> f64 {
        self.count(window).burn(self.availability)
    }

    /// The alarms that are active.
    #[must_use]
    pub fn alarms(&self) -> Vec<&'static BurnAlarm> {
        let alarms = BURN_ALARMS.iter();
        alarms.filter(|alarm| self.is_active(alarm)).collect()
    }

    /// Whether an alarm is active.
    fn is_active(&self, alarm: &BurnAlarm) -> bool {
        self.count(alarm.long).bad >= MIN_BAD_REQUESTS
            && self.burn(alarm.short) > alarm.threshold
            && self.burn(alarm.long) > alarm.threshold
    }

    /// The requests over a window.
    fn count(&self, window: BurnWindow) -> WindowCount {
        self.windows.get(&window).copied().unwrap_or_default()
    }

    /// Adds the counts of another node.
    fn merge(&mut self, other: &Self) {
        for (window, count) in &other.windows {
            self.windows.entry(*window).or_default().add(*count);
        }
        let length = self.hours.len().max(other.hours.len());
        self.hours.resize(length, WindowCount::default());
        for (hour, count) in self.hours.iter_mut().zip(&other.hours) {
            hour.add(*count);
        }
        self.hedges.add(other.hedges);
    }
}

impl BurnReport {
    /// Adds the report of another node. Each node counts only the requests for which it is the entry, so
    /// the sum over all nodes counts each request once.
    pub fn merge(&mut self, other: &Self) {
        for burn in &other.services {
            let key = (&burn.site, &burn.service);
            let search = self
                .services
                .binary_search_by_key(&key, |own| (&own.site, &own.service));
            match search {
                Ok(index) => self.services[index].merge(burn),
                Err(index) => self.services.insert(index, burn.clone()),
            }
        }
    }

    /// The report as a table: a row for each service, the burn over each window, and the most
    /// urgent alarm. If anything was hedged, the hedges follow.
    #[must_use]
    pub fn table(&self) -> Vec<Vec<String>> {
        let mut heading = vec!["SITE", "SERVICE", "OBJECTIVE"];
        heading.extend(BurnWindow::ALL.map(BurnWindow::as_str));
        heading.push("ALARM");
        let mut rows = vec![heading.into_iter().map(ToOwned::to_owned).collect()];
        rows.extend(self.services.iter().map(table_row));
        if self.services.iter().any(|burn| !burn.hedges.is_zero()) {
            let heading = ["HEDGES", "WON", "WASTED S"].map(ToOwned::to_owned);
            let hedges = self.services.iter().map(|burn| hedge_cells(burn.hedges));
            for (row, cells) in rows.iter_mut().zip([heading].into_iter().chain(hedges)) {
                row.extend(cells);
            }
        }
        rows
    }
}

/// The cells of a service's hedges.
fn hedge_cells(hedges: HedgeCount) -> [String; 3] {
    [
        hedges.started.to_string(),
        hedges.won.to_string(),
        format!("{:.1}", hedges.wasted_ms as f64 / 1e3),
    ]
}

/// The row of one service.
fn table_row(burn: &ServiceBurn) -> Vec<String> {
    let mut row = vec![
        burn.site.to_string(),
        burn.service.to_string(),
        format!("{}%", (burn.availability * 1e6).round() / 1e4),
    ];
    row.extend(BurnWindow::ALL.map(|window| format!("{:.2}", burn.burn(window))));
    let alarms = burn.alarms();
    let alarm = alarms.first();
    row.push(alarm.map_or_else(|| String::from("-"), |alarm| alarm_text(alarm)));
    row
}

/// Text of an alarm in the table.
fn alarm_text(alarm: &BurnAlarm) -> String {
    let (short, long) = (alarm.short.as_str(), alarm.long.as_str());
    format!(
        "{} ({short}/{long} > {})",
        alarm.severity.as_str(),
        alarm.threshold
    )
}
