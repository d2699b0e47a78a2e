//! The two deployments: their services, targets and load.

use std::time::Duration;

use fescueway_testkit::BackendPlan;

/// What callers do with a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Small idempotent reads.
    Read,
    /// Non-idempotent writes with an idempotency key.
    Booking,
    /// Idempotent downloads of this many bytes.
    Download(usize),
}

/// One service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// Its name in the configuration.
    pub name: &'static str,
    /// Its `Host` header.
    pub authority: &'static str,
    /// The path that callers use.
    pub path: &'static str,
    /// What callers do.
    pub kind: CallKind,
    /// Backend servers, spread over the failure domains in turn.
    pub targets: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// Median service time.
    pub service_time: Duration,
    /// Calls each second.
    pub rate: f64,
}

/// One deployment.
#[derive(Clone, Debug)]
pub struct SiteShape {
    /// Its name for people.
    pub title: &'static str,
    /// The site.
    pub site: &'static str,
    /// Text of the base file.
    pub base: &'static str,
    /// Text of the site's overlay.
    pub overlay: &'static str,
    /// Its failure domains.
    pub domains: &'static [&'static str],
    /// Its services.
    pub services: Vec<ServiceShape>,
    /// Time that a probe takes at a backend server.
    pub probe_time: Duration,
}

impl SiteShape {
    /// Caprock Railcare Systems: four services in three failure domains of Texas.
    pub fn caprock() -> Self {
        let service = |name, authority, path, kind, targets, millis, rate| ServiceShape {
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
        let service = |name, authority, path, kind, millis, rate| ServiceShape {
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

impl ServiceShape {
    /// How its backend servers behave. `seed` sets their service times.
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
