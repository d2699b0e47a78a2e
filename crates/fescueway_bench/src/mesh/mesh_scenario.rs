//! Loads and faults of a run.

use std::time::Duration;

/// Load of a run and its faults.
#[derive(Clone, Debug)]
pub struct MeshScenario {
    /// Its name in the tables.
    pub name: &'static str,
    /// Start time and load as a multiple of the normal one, in order.
    pub loads: Vec<(Duration, f64)>,
    /// The faults, with the time of each, in order.
    pub faults: Vec<(Duration, MeshFault)>,
    /// Duration of the run.
    pub length: Duration,
    /// The part of the run whose requests are counted.
    pub measured: (Duration, Duration),
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MeshFault {
    /// The backend servers of a service refuse this share of what they get, also while they have
    /// free slots. Zero ends the fault.
    Shed {
        /// Index of the service.
        service: usize,
        /// Share of the requests, from 0 to 1.
        share: f64,
    },
    /// All nodes and backend servers lose power at once and start again.
    LoseAll {
        /// Time without power.
        downtime: Duration,
    },
    /// Every nth backend server of a service is replaced by one that is cold.
    Replace {
        /// Index of the service.
        service: usize,
        /// One in how many targets.
        every: usize,
    },
    /// Every nth backend server of a service goes silent: it takes requests and never answers.
    Silence {
        /// Index of the service.
        service: usize,
        /// One in how many targets.
        every: usize,
    },
}

impl MeshScenario {
    /// Creates a scenario of constant load.
    #[must_use]
    pub fn steady(name: &'static str, load: f64) -> Self {
        Self {
            name,
            loads: vec![(Duration::ZERO, load)],
            faults: Vec::new(),
            length: Duration::from_secs(15),
            measured: (Duration::from_secs(4), Duration::from_secs(12)),
        }
    }

    /// The load rises to 2.2 times the normal one within some seconds.
    #[must_use]
    pub fn burst() -> Self {
        let at = Duration::from_millis;
        Self {
            loads: vec![
                (at(0), 1.1),
                (at(4_400), 1.5),
                (at(7_700), 2.3),
                (at(9_400), 1.75),
                (at(10_900), 1.1),
            ],
            measured: (at(7_000), at(11_000)),
            ..Self::steady("burst", 1.1)
        }
    }

    /// All backend servers of the bookings refuse over half of what they get.
    #[must_use]
    pub fn shedding() -> Self {
        let at = Duration::from_millis;
        let shed = |share| MeshFault::Shed { service: 1, share };
        Self {
            faults: vec![(at(4_000), shed(0.55)), (at(12_000), shed(0.0))],
            measured: (at(4_000), at(12_000)),
            ..Self::steady("shedding", 1.1)
        }
    }

    /// All nodes lose power at once and start again.
    #[must_use]
    pub fn loss_of_all() -> Self {
        let at = Duration::from_millis;
        let fault = MeshFault::LoseAll {
            downtime: at(1_400),
        };
        Self {
            faults: vec![(at(6_000), fault)],
            measured: (at(7_400), at(12_000)),
            ..Self::steady("loss of all", 0.82)
        }
    }

    /// One in seven targets of the windows goes silent for good.
    #[must_use]
    pub fn silent_targets() -> Self {
        let at = Duration::from_millis;
        let fault = MeshFault::Silence {
            service: 0,
            every: 7,
        };
        Self {
            faults: vec![(at(5_000), fault)],
            measured: (at(5_000), at(9_000)),
            ..Self::steady("silent targets", 0.95)
        }
    }

    /// One in three backend servers of the windows is replaced at once.
    #[must_use]
    pub fn replacement() -> Self {
        let at = Duration::from_millis;
        let fault = MeshFault::Replace {
            service: 0,
            every: 3,
        };
        Self {
            faults: vec![(at(5_000), fault)],
            measured: (at(5_000), at(8_500)),
            ..Self::steady("replacement", 1.1)
        }
    }

    /// Returns every scenario of the report.
    #[must_use]
    pub fn all() -> Vec<Self> {
        vec![
            Self::steady("steady", 1.0),
            Self::burst(),
            Self::shedding(),
            Self::loss_of_all(),
            Self::silent_targets(),
            Self::replacement(),
        ]
    }

    /// Returns the load at a time, as a multiple of the normal one.
    #[must_use]
    pub fn load_at(&self, time: Duration) -> f64 {
        let begun = self.loads.iter().rev().find(|load| load.0 <= time);
        begun.map_or(0.0, |load| load.1)
    }
}
