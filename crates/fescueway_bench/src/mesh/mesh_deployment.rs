//! Simulated deployments of several services.

use std::time::Duration;

use fescueway_core::Priority;

/// Deployment of several services with a node beside each target.
#[derive(Clone, Copy, Debug)]
pub struct MeshDeployment {
    /// Its name in the tables.
    pub name: &'static str,
    /// The services.
    pub services: &'static [MeshService],
    /// Size as a share of the deployment whose rates `kinds` has.
    pub scale: f64,
    /// The kinds of requests. Those with a rate come from callers.
    pub kinds: &'static [RequestKind],
    /// Share of the callers' requests that arrive in each failure domain; the shares add up to 1.
    pub domain_shares: &'static [f64],
    /// Slots of each target.
    pub slots: u32,
    /// Share of the slots from which on work is slower.
    pub crowded_share: f64,
    /// Duration of work on a crowded target, as a multiple of its normal duration.
    pub crowded_pace: f64,
    /// One-way network delay between nodes of different failure domains.
    pub far_trip: Duration,
    /// One-way network delay between nodes of one failure domain.
    pub near_trip: Duration,
    /// One-way network delay between a caller and its node.
    pub caller_trip: Duration,
    /// Share of the time during which neighbouring VMs disturb a target.
    pub disturbed_share: f64,
    /// Duration of work that starts during a disturbance, as a multiple of its normal duration.
    pub disturbed_pace: f64,
    /// Mean interval between changes of the neighbours' load.
    pub disturbance_interval: Duration,
}

/// One service.
#[derive(Clone, Copy, Debug)]
pub struct MeshService {
    /// Its name.
    pub name: &'static str,
    /// Number of targets in each failure domain.
    pub targets: &'static [usize],
}

/// A kind of request: those of one route.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Its name in the tables.
    pub name: &'static str,
    /// Index of its service.
    pub service: usize,
    /// Requests per second from callers, over all failure domains, at normal load.
    pub per_s: f64,
    /// Mean duration of its own work, without nested calls.
    pub work: Duration,
    /// Time within which an answer is worth its full value, counted from the caller's first try.
    pub objective: Duration,
    /// How long its caller waits in all.
    pub deadline: Duration,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Its priority.
    pub priority: Priority,
    /// How often a caller tries again.
    pub retries: u8,
    /// The calls that its backend server makes while it runs.
    pub nested: Option<NestedCall>,
}

/// Calls to another service that a backend server makes while it runs a request.
#[derive(Clone, Copy, Debug)]
pub struct NestedCall {
    /// Index of the kind of the calls.
    pub kind: usize,
    /// Number of calls, made at the same time.
    pub times: usize,
    /// Share of the requests that make them.
    pub share: f64,
}

/// The kinds of requests of the large deployment.
const CAPROCK_KINDS: [RequestKind; 7] = [
    RequestKind {
        name: "window-read",
        service: 0,
        per_s: 1_318.0,
        work: Duration::from_millis(170),
        objective: Duration::from_millis(600),
        deadline: Duration::from_millis(1_500),
        is_idempotent: true,
        priority: Priority::Low,
        retries: 1,
        nested: Some(NestedCall {
            kind: 4,
            times: 2,
            share: 0.7,
        }),
    },
    RequestKind {
        name: "booking",
        service: 1,
        per_s: 370.0,
        work: Duration::from_millis(220),
        objective: Duration::from_millis(800),
        deadline: Duration::from_millis(1_200),
        is_idempotent: false,
        priority: Priority::Normal,
        retries: 1,
        nested: Some(NestedCall {
            kind: 5,
            times: 1,
            share: 0.7,
        }),
    },
    RequestKind {
        name: "download",
        service: 2,
        per_s: 162.0,
        work: Duration::from_millis(140),
        objective: Duration::from_secs(1),
        deadline: Duration::from_millis(2_500),
        is_idempotent: true,
        priority: Priority::Low,
        retries: 1,
        nested: Some(NestedCall {
            kind: 6,
            times: 1,
            share: 0.7,
        }),
    },
    RequestKind {
        name: "history-read",
        service: 3,
        per_s: 231.0,
        work: Duration::from_millis(690),
        objective: Duration::from_millis(1_500),
        deadline: Duration::from_secs(3),
        is_idempotent: true,
        priority: Priority::Low,
        retries: 1,
        nested: None,
    },
    RequestKind::nested_read("status-check", 1),
    RequestKind::nested_read("index-read", 2),
    RequestKind::nested_read("ledger-read", 3),
];

/// Caprock's deployment of 295 nodes.
pub const CAPROCK_LARGE: MeshDeployment = MeshDeployment {
    name: "caprock, 295 nodes",
    services: &[
        MeshService {
            name: "windows",
            targets: &[25, 25, 28, 22, 28],
        },
        MeshService {
            name: "bookings",
            targets: &[16, 16, 13, 12, 14],
        },
        MeshService {
            name: "profiles",
            targets: &[5, 4, 4, 4, 4],
        },
        MeshService {
            name: "history",
            targets: &[15, 15, 14, 17, 14],
        },
    ],
    scale: 1.0,
    kinds: &CAPROCK_KINDS,
    domain_shares: &[0.174, 0.199, 0.226, 0.212, 0.189],
    slots: 7,
    crowded_share: 0.8,
    crowded_pace: 1.7,
    far_trip: Duration::from_micros(900),
    near_trip: Duration::from_micros(100),
    caller_trip: Duration::from_millis(1),
    disturbed_share: 0.25,
    disturbed_pace: 4.0,
    disturbance_interval: Duration::from_millis(300),
};

/// A tenth of [`CAPROCK_LARGE`] with a tenth of its load.
pub const CAPROCK_LARGE_TWIN: MeshDeployment = MeshDeployment {
    name: "caprock, 30 nodes",
    scale: 0.1,
    services: &[
        MeshService {
            name: "windows",
            targets: &[3, 2, 3, 2, 3],
        },
        MeshService {
            name: "bookings",
            targets: &[2, 2, 1, 1, 1],
        },
        MeshService {
            name: "profiles",
            targets: &[1, 0, 1, 0, 0],
        },
        MeshService {
            name: "history",
            targets: &[1, 2, 1, 2, 2],
        },
    ],
    ..CAPROCK_LARGE
};

impl RequestKind {
    /// A short read that a backend server makes while it runs a request.
    const fn nested_read(name: &'static str, service: usize) -> Self {
        Self {
            name,
            service,
            per_s: 0.0,
            work: Duration::from_millis(43),
            objective: Duration::from_millis(150),
            deadline: Duration::from_millis(500),
            is_idempotent: true,
            priority: Priority::High,
            retries: 0,
            nested: None,
        }
    }
}

impl MeshDeployment {
    /// Returns the number of nodes.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let services = self.services.iter();
        services.flat_map(|service| service.targets).sum()
    }

    /// Returns the service and the failure domain of each node, by index.
    #[must_use]
    pub fn nodes(&self) -> Vec<(usize, usize)> {
        let services = self.services.iter().enumerate();
        services
            .flat_map(|(service, spec)| {
                let domains = spec.targets.iter().enumerate();
                domains.flat_map(move |(domain, &count)| (0..count).map(move |_| (service, domain)))
            })
            .collect()
    }
}
