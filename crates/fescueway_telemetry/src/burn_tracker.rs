//! Counts good and bad requests of services, and checks their burn alarms.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
    time::Duration,
};

use fescueway_core::{MonoTime, ServiceName, SiteName};

use crate::{
    BURN_ALARMS, BurnAlarm, BurnReport, BurnWindow, HedgeCount, ServiceBurn, WindowCount,
    count_ring::CountRing, emit, events::operator,
};

/// Bucket length for windows up to an hour.
const FINE_BUCKET: Duration = Duration::from_mins(1);

/// Number of buckets for windows up to an hour.
const FINE_BUCKET_COUNT: usize = 60;

/// Bucket length for windows above an hour.
const COARSE_BUCKET: Duration = Duration::from_mins(10);

/// Number of buckets for windows above an hour: three days.
const COARSE_BUCKET_COUNT: usize = 432;

/// Number of coarse buckets in an hour.
const COARSE_BUCKETS_PER_HOUR: u64 = 6;

/// Maximum number of hours in a report.
const HOUR_COUNT: u64 = COARSE_BUCKET_COUNT as u64 / COARSE_BUCKETS_PER_HOUR;

/// An alarm began or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AlarmChange {
    /// The service.
    pub service: ServiceName,
    /// The alarm.
    pub alarm: &'static BurnAlarm,
    /// Whether it is active now.
    pub is_active: bool,
    /// The burn rate over the alarm's long window.
    pub burn: f64,
}

impl AlarmChange {
    /// Logs the change as event 3009 or 3010.
    pub fn emit(&self) {
        let severity = self.alarm.severity.as_str();
        let windows = format!("{}/{}", self.alarm.short.as_str(), self.alarm.long.as_str());
        if self.is_active {
            let burn = format!("{:.2}", self.burn);
            let threshold = self.alarm.threshold;
            let fields: [&dyn Display; 5] = [&self.service, &severity, &windows, &burn, &threshold];
            emit(&operator::BURN_ALARM_BEGAN, &fields);
        } else {
            emit(
                &operator::BURN_ALARM_ENDED,
                &[&self.service, &severity, &windows],
            );
        }
    }
}

/// Counts the requests of one site that met or missed their objective, as seen by one node.
///
/// The time is passed in; no clock is read. Memory is bounded: about 8 KB for each service.
///
/// ```
/// # use fescueway_core::MonoTime;
/// # use fescueway_telemetry::{BurnTracker, BurnWindow};
/// let mut tracker = BurnTracker::new("bala".into());
/// tracker.set_objective(&"bands".into(), 0.99);
/// tracker.record(MonoTime::ZERO, &"bands".into(), false);
/// let report = tracker.report(MonoTime::ZERO);
/// assert!((report.services[0].burn(BurnWindow::Minutes5) - 100.0).abs() < 1e-6);
/// ```
#[derive(Clone, Debug)]
pub struct BurnTracker {
    /// The site.
    site: SiteName,
    /// The services that have an objective.
    services: BTreeMap<ServiceName, ServiceCounts>,
}

/// The requests of one service.
#[derive(Clone, Debug)]
struct ServiceCounts {
    /// Objective: the share of requests to answer in time.
    availability: f64,
    /// Counts for windows up to an hour.
    fine: CountRing,
    /// Counts for windows above an hour.
    coarse: CountRing,
    /// Hedges since the start.
    hedges: HedgeCount,
    /// Alarms that were active at the last check, as indexes into [`BURN_ALARMS`].
    active: BTreeSet<usize>,
}

impl BurnTracker {
    /// Creates a tracker without services.
    #[must_use]
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            services: BTreeMap::new(),
        }
    }

    /// Sets the objective of a service: the share of requests to answer in time. Keeps its counts.
    pub fn set_objective(&mut self, service: &ServiceName, availability: f64) {
        let entry = self.services.entry(service.clone());
        let counts = entry.or_insert_with(|| ServiceCounts::new(availability));
        counts.availability = availability;
    }

    /// Removes the services for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&ServiceName) -> bool) {
        self.services.retain(|service, _| is_kept(service));
    }

    /// Counts a request that ended. Requests of services without an objective are ignored.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, is_good: bool) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.fine.add(now, is_good);
            counts.coarse.add(now, is_good);
        }
    }

    /// Counts the hedges of a request that ended, also of one that missed its objective.
    pub fn record_hedges(&mut self, service: &ServiceName, hedges: HedgeCount) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.hedges.add(hedges);
        }
    }

    /// The counts of this node.
    #[must_use]
    pub fn report(&mut self, now: MonoTime) -> BurnReport {
        let site = &self.site;
        let services = self.services.iter_mut();
        let services = services.map(|(service, counts)| counts.burn(now, site, service));
        BurnReport {
            services: services.collect(),
        }
    }

    /// The alarms that began or ended since the last call. Call it about once a minute.
    pub fn check_alarms(&mut self, now: MonoTime) -> Vec<AlarmChange> {
        let mut changes = Vec::new();
        for (service, counts) in &mut self.services {
            let burn = counts.burn(now, &self.site, service);
            changes.extend(counts.alarm_changes(&burn));
        }
        changes
    }
}

impl ServiceCounts {
    /// Creates empty counts.
    fn new(availability: f64) -> Self {
        Self {
            availability,
            fine: CountRing::new(FINE_BUCKET, FINE_BUCKET_COUNT),
            coarse: CountRing::new(COARSE_BUCKET, COARSE_BUCKET_COUNT),
            hedges: HedgeCount::default(),
            active: BTreeSet::new(),
        }
    }

    /// The requests over each window and in each past hour.
    fn burn(&mut self, now: MonoTime, site: &SiteName, service: &ServiceName) -> ServiceBurn {
        let windows = BurnWindow::ALL.map(|window| (window, self.count(now, window)));
        ServiceBurn {
            site: site.clone(),
            service: service.clone(),
            availability: self.availability,
            windows: windows.into_iter().collect(),
            hours: self.hours(now),
            hedges: self.hedges,
        }
    }

    /// The requests over a window.
    fn count(&mut self, now: MonoTime, window: BurnWindow) -> WindowCount {
        let ring = if window <= BurnWindow::Hours1 {
            &mut self.fine
        } else {
            &mut self.coarse
        };
        ring.sum(now, window.length())
    }

    /// The requests in each past hour, the latest first, without the empty hours at the end.
    fn hours(&mut self, now: MonoTime) -> Vec<WindowCount> {
        let hours = 0..HOUR_COUNT;
        let mut hours: Vec<_> = hours
            .map(|hour| {
                self.coarse
                    .sum_back(now, hour * COARSE_BUCKETS_PER_HOUR, COARSE_BUCKETS_PER_HOUR)
            })
            .collect();
        let is_empty = |count: &WindowCount| *count == WindowCount::default();
        let used = hours.iter().rposition(|count| !is_empty(count));
        hours.truncate(used.map_or(0, |last| last + 1));
        hours
    }

    /// The alarms that began or ended since the last call. Stores the new state.
    fn alarm_changes(&mut self, burn: &ServiceBurn) -> Vec<AlarmChange> {
        let alarms = burn.alarms();
        let mut changes = Vec::new();
        for (index, alarm) in BURN_ALARMS.iter().enumerate() {
            let is_active = alarms.contains(&alarm);
            let was_active = self.active.contains(&index);
            if is_active == was_active {
                continue;
            }
            if is_active {
                self.active.insert(index);
            } else {
                self.active.remove(&index);
            }
            changes.push(AlarmChange {
                service: burn.service.clone(),
                alarm,
                is_active,
                burn: burn.burn(alarm.long),
            });
        }
        changes
    }
}
