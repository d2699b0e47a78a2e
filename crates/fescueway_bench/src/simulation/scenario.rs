//! Simulated deployments, loads and faults.

/// Microseconds in a second.
pub const SECOND_US: u64 = 1_000_000;

/// Deployment of one service.
#[derive(Clone, Copy, Debug)]
pub struct SimDeployment {
    /// Its name in the tables.
    pub name: &'static str,
    /// Index of each target's failure domain.
    pub target_domains: &'static [usize],
    /// Number of failure domains.
    pub domains: usize,
    /// Number of slots per target.
    pub slots: usize,
    /// Mean service time at full speed, in microseconds.
    pub mean_service_us: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// One-way network delay between failure domains, in microseconds.
    pub far_trip_us: u64,
    /// Number of entries, spread over the failure domains.
    pub entries: usize,
}

/// One-way network delay between a caller and its entry, in microseconds.
pub const CALLER_TRIP_US: u64 = 1_000;

/// One-way network delay within a failure domain, in microseconds.
pub const NEAR_TRIP_US: u64 = 250;

/// Time from a fault until membership has reported it to every entry, in microseconds.
pub const MEMBERSHIP_DELAY_US: u64 = 2 * SECOND_US;

/// Caprock's service of grinding windows, with few entries.
pub const CAPROCK_FEW: SimDeployment = SimDeployment {
    name: "caprock, 6 entries",
    target_domains: &[0, 0, 1, 1, 2],
    domains: 3,
    slots: 10,
    mean_service_us: 20_000.0,
    sigma: 0.6,
    far_trip_us: 1_500,
    entries: 6,
};

/// Caprock's service of grinding windows, with many entries.
pub const CAPROCK_MANY: SimDeployment = SimDeployment {
    name: "caprock, 60 entries",
    entries: 60,
    ..CAPROCK_FEW
};

/// Pwll's service of cap bands, with few entries.
pub const PWLL_FEW: SimDeployment = SimDeployment {
    name: "pwll, 4 entries",
    target_domains: &[0, 1, 2, 3],
    domains: 4,
    slots: 12,
    mean_service_us: 10_000.0,
    sigma: 0.8,
    far_trip_us: 1_000,
    entries: 4,
};

/// Pwll's service of cap bands, with many entries.
pub const PWLL_MANY: SimDeployment = SimDeployment {
    name: "pwll, 64 entries",
    entries: 64,
    ..PWLL_FEW
};

/// Fault or change of a target during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimFault {
    /// One target slows down.
    Slow {
        /// Index of the target.
        target: usize,
        /// Its speed, 1 for full.
        speed: f64,
    },
    /// Other virtual machines on the same hardware use part of one target's processor.
    Noisy {
        /// Index of the target.
        target: usize,
        /// Share of the processor that is left to it.
        share: f64,
    },
    /// One target answers every request with an immediate failure.
    FailFast {
        /// Index of the target.
        target: usize,
    },
    /// One target drains.
    Drain {
        /// Index of the target.
        target: usize,
    },
    /// One target, absent until now, starts at reduced speed.
    ColdStart {
        /// Index of the target.
        target: usize,
    },
    /// The cold target reaches full speed.
    Warm {
        /// Index of the target.
        target: usize,
    },
    /// A failure domain fails, its entries included.
    DomainLost {
        /// Index of the failure domain.
        domain: usize,
    },
}

/// Load of a run and its faults.
#[derive(Clone, Debug)]
pub struct SimScenario {
    /// Its name in the tables.
    pub name: &'static str,
    /// Start time in microseconds and offered load as a share of all slots, in order.
    pub loads: Vec<(u64, f64)>,
    /// Time of each fault in microseconds, and the fault.
    pub faults: Vec<(u64, SimFault)>,
    /// Duration, in microseconds.
    pub length_us: u64,
}

impl SimScenario {
    /// Creates a scenario of constant load without faults.
    #[must_use]
    pub fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            loads: vec![(0, load)],
            faults: Vec::new(),
            length_us: 6 * SECOND_US,
        }
    }

    /// Adds a fault at `second`, in seconds.
    #[must_use]
    pub fn with_fault(mut self, second: u64, fault: SimFault) -> Self {
        self.faults.push((second * SECOND_US, fault));
        self
    }

    /// Returns the offered load at a time, as a share of all slots.
    #[must_use]
    pub fn load_at(&self, time_us: u64) -> f64 {
        let begun = self.loads.iter().rev().find(|load| load.0 <= time_us);
        begun.map_or(0.0, |load| load.1)
    }

    /// Returns whether a target is absent at the start.
    #[must_use]
    pub fn is_absent_at_start(&self, target: usize) -> bool {
        let start = SimFault::ColdStart { target };
        self.faults.iter().any(|fault| fault.1 == start)
    }

    /// Returns every scenario of the report.
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
                SimFault::Slow {
                    target: 0,
                    speed: 0.1,
                },
            ),
            Self::steady("failing fast", 0.6).with_fault(2, SimFault::FailFast { target: 0 }),
            Self::steady("drain", 0.6).with_fault(2, SimFault::Drain { target: 0 }),
            Self::steady("noisy neighbour", 0.6).with_fault(
                2,
                SimFault::Noisy {
                    target: 0,
                    share: 0.5,
                },
            ),
            Self::steady("cold start", 0.6)
                .with_fault(2, SimFault::ColdStart { target: 0 })
                .with_fault(4, SimFault::Warm { target: 0 }),
            Self::steady("domain lost", 0.5).with_fault(2, SimFault::DomainLost { domain: 0 }),
            Self::steady("overload 150%", 1.5),
        ]
    }
}
