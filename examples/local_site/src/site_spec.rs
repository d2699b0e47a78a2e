//! The two deployments: their services, targets and load.

use std::time::Duration;

use fescueway_testkit::BackendPlan;

/// The kind of a service's calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Idempotent reads with a small response.
    Read,
    /// Non-idempotent writes with an idempotency key.
    Booking,
    /// Idempotent downloads of this many bytes.
    Download(usize),
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name in the configuration.
    pub name: &'static str,
    /// The `Host` header of its calls.
    pub authority: &'static str,
    /// The path of its calls, or its prefix.
    pub path: &'static str,
    /// The kind of its calls.
    pub kind: CallKind,
    /// Number of backend servers, assigned to the failure domains in turn.
    pub targets: usize,
    /// Number of requests that each backend server runs concurrently.
    pub slots: u32,
    /// Number of connections that each backend server accepts.
    pub connections: u32,
    /// Median service time.
    pub service_time: Duration,
    /// Mean number of calls in each second.
    pub rate: f64,
}

/// One deployment.
#[derive(Clone, Debug)]
pub struct SiteSpec {
    /// Its display name.
    pub title: &'static str,
    /// Name of the site in the configuration.
    pub site: &'static str,
    /// Contents of the base file.
    pub base: &'static str,
    /// Contents of the site's overlay file.
    pub overlay: &'static str,
    /// Its failure domains.
    pub domains: &'static [&'static str],
    /// Its services.
    pub services: Vec<ServiceSpec>,
    /// Time that a probe of a backend server takes.
    pub probe_time: Duration,
}

impl SiteSpec {
    /// Caprock Railcare Systems: four services in three failure domains of Texas.
    pub fn caprock() -> Self {
        let service = |name, authority, path, kind, targets, millis, rate| ServiceSpec {
            name,
            authority,
            path,
            kind,
            targets,
            slots: 10,
            connections: 250,
            service_time: Duration::from_millis(millis),
            rate,
        };
        let read = CallKind::Read;
        let download = CallKind::Download(200_000);
        Self {
            title: "Caprock Railcare Systems, Texas",
            site: "texas",
            base: include_str!("../../../configs/caprock/base.json"),
            overlay: include_str!("../../../configs/caprock/texas.json"),
            domains: &["texas-a", "texas-b", "texas-c"],
            services: vec![
                service(
                    "grinding-windows",
                    "windows.caprock.example",
                    "/windows/",
                    read,
                    5,
                    25,
                    900.0,
                ),
                service(
                    "bookings",
                    "bookings.caprock.example",
                    "/bookings",
                    CallKind::Booking,
                    3,
                    40,
                    150.0,
                ),
                service(
                    "rail-profiles",
                    "profiles.caprock.example",
                    "/profiles",
                    download,
                    3,
                    60,
                    100.0,
                ),
                service(
                    "grinding-history",
                    "history.caprock.example",
                    "/history/",
                    read,
                    3,
                    30,
                    300.0,
                ),
            ],
            probe_time: Duration::from_millis(1),
        }
    }

    /// Pwll Digital Cyf: four services in four failure domains of Wales.
    pub fn pwll() -> Self {
        let service = |name, authority, path, kind, millis, rate| ServiceSpec {
            name,
            authority,
            path,
            kind,
            targets: 4,
            slots: 12,
            connections: 200,
            service_time: Duration::from_millis(millis),
            rate,
        };
        let read = CallKind::Read;
        let download = CallKind::Download(100_000);
        Self {
            title: "Pwll Digital Cyf, Wales",
            site: "wales",
            base: include_str!("../../../configs/pwll/base.json"),
            overlay: include_str!("../../../configs/pwll/wales.json"),
            domains: &["wales-a", "wales-b", "wales-c", "wales-d"],
            services: vec![
                service(
                    "cap-bands",
                    "bands.pwll.example",
                    "/bands/",
                    read,
                    25,
                    900.0,
                ),
                service(
                    "bookings-payments",
                    "bookings.pwll.example",
                    "/bookings",
                    CallKind::Booking,
                    50,
                    200.0,
                ),
                service(
                    "registers-results",
                    "registers.pwll.example",
                    "/registers",
                    download,
                    60,
                    150.0,
                ),
                service(
                    "timetables",
                    "timetables.pwll.example",
                    "/timetables/",
                    read,
                    30,
                    400.0,
                ),
            ],
            probe_time: Duration::from_millis(5),
        }
    }
}

impl ServiceSpec {
    /// The behavior of its backend servers. `seed` is the seed of the random service times.
    pub fn backend_plan(&self, probe_time: Duration, seed: u64) -> BackendPlan {
        BackendPlan {
            slots: self.slots,
            service_time: self.service_time,
            spread: 0.3,
            probe_time,
            seed,
            ..BackendPlan::default()
        }
    }
}
