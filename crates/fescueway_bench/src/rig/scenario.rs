//! Deployments, loads and faults that the policies are measured under.

/// Microseconds in a second.
pub const SECOND_US: u64 = 1_000_000;

/// The shape of one service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct RigShape {
    /// Its name in the tables.
    pub name: &'static str,
    /// The failure domain of each target, by index.
    pub target_domains: &'static [usize],
    /// Failure domains.
    pub domains: usize,
    /// Slots of each target.
    pub slots: usize,
    /// Mean service time at full speed, in microseconds.
    pub mean_us: f64,
    /// Standard deviation of the service time's logarithm.
    pub sigma: f64,
    /// One-way trip between failure domains, in microseconds.
    pub far_trip_us: u64,
    /// Entries, spread over the failure domains.
    pub entries: usize,
}

/// One-way trip between a caller and its entry, in microseconds.
pub const CALLER_TRIP_US: u64 = 1_000;

/// One-way trip within a failure domain, in microseconds.
pub const NEAR_TRIP_US: u64 = 250;

/// Time from a fault until membership has told every entry, in microseconds.
pub const MEMBERSHIP_US: u64 = 2 * SECOND_US;

/// Grinding windows of Caprock, with few entries.
pub const CAPROCK_FEW: RigShape = RigShape {
    name: "caprock, 6 entries",
    target_domains: &[0, 0, 1, 1, 2],
    domains: 3,
    slots: 10,
    mean_us: 20_000.0,
    sigma: 0.6,
    far_trip_us: 1_500,
    entries: 6,
};

/// Grinding windows of Caprock, with many entries.
pub const CAPROCK_MANY: RigShape = RigShape {
    name: "caprock, 60 entries",
    entries: 60,
    ..CAPROCK_FEW
};

/// Cap bands of Pwll, with few entries.
pub const PWLL_FEW: RigShape = RigShape {
    name: "pwll, 4 entries",
    target_domains: &[0, 1, 2, 3],
    domains: 4,
    slots: 12,
    mean_us: 10_000.0,
    sigma: 0.8,
    far_trip_us: 1_000,
    entries: 4,
};

/// Cap bands of Pwll, with many entries.
pub const PWLL_MANY: RigShape = RigShape {
    name: "pwll, 64 entries",
    entries: 64,
    ..PWLL_FEW
};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RigFault {
    /// One target runs at this share of its speed.
    Slow {
        /// Index of the target.
        target: usize,
        /// Its speed, 1 for full.
        speed: f64,
    },
    /// One target's neighbours leave it this share of its processor.
    Noisy {
        /// Index of the target.
        target: usize,
        /// Its share of the processor.
        share: f64,
    },
    /// One target answers everything at once with a failure.
    FailFast {
        /// Index of the target.
        target: usize,
    },
    /// One target leaves.
    Drain {
        /// Index of the target.
        target: usize,
    },
    /// One target, absent until now, starts cold.
    ColdStart {
        /// Index of the target.
        target: usize,
    },
    /// The cold target is warm.
    Warm {
        /// Index of the target.
        target: usize,
    },
    /// A failure domain is lost, its entries included.
    DomainLost {
        /// Index of the failure domain.
        domain: usize,
    },
}

/// One load with its faults.
#[derive(Clone, Debug)]
pub struct RigScenario {
    /// Its name in the tables.
    pub name: &'static str,
    /// Offered load as a share of all slots, by when it begins in microseconds.
    pub loads: Vec<(u64, f64)>,
    /// Faults, by when they strike in microseconds.
    pub faults: Vec<(u64, RigFault)>,
    /// Length, in microseconds.
    pub length_us: u64,
}

impl RigScenario {
    /// A steady load.
    #[must_use]
    pub fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            loads: vec![(0, load)],
            faults: Vec::new(),
            length_us: 6 * SECOND_US,
        }
    }

    /// Adds a fault at `second`.
    #[must_use]
    pub fn with_fault(mut self, second: u64, fault: RigFault) -> Self {
        self.faults.push((second * SECOND_US, fault));
        self
    }

    /// The offered load at a time, as a share of all slots.
    #[must_use]
    pub fn load_at(&self, time_us: u64) -> f64 {
        let begun = self.loads.iter().rev().find(|load| load.0 <= time_us);
        begun.map_or(0.0, |load| load.1)
    }

    /// Whether a target is absent at the start.
    #[must_use]
    pub fn is_absent_first(&self, target: usize) -> bool {
        let start = RigFault::ColdStart { target };
        self.faults.iter().any(|fault| fault.1 == start)
    }

    /// Every scenario of the report.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let step = Self {
            loads: vec![(0, 0.3), (3 * SECOND_US, 0.85), (5 * SECOND_US, 0.3)],
            ..Self::steady("load step 30-85-30%", 0.3)
        };
        vec![
            Self::steady("steady 50%", 0.5),
            Self::steady("steady 70%", 0.7),
            Self::steady("steady 90%", 0.9),
            step,
            Self::steady("straggler 10x", 0.6).with_fault(
                2,
                RigFault::Slow {
                    target: 0,
                    speed: 0.1,
                },
            ),
            Self::steady("failing fast", 0.6).with_fault(2, RigFault::FailFast { target: 0 }),
            Self::steady("drain", 0.6).with_fault(2, RigFault::Drain { target: 0 }),
            Self::steady("noisy neighbour", 0.6).with_fault(
                2,
                RigFault::Noisy {
                    target: 0,
                    share: 0.5,
                },
            ),
            Self::steady("cold start", 0.6)
                .with_fault(2, RigFault::ColdStart { target: 0 })
                .with_fault(4, RigFault::Warm { target: 0 }),
            Self::steady("domain lost", 0.5).with_fault(2, RigFault::DomainLost { domain: 0 }),
            Self::steady("overload 150%", 1.5),
        ]
    }
}
