//! The size that the system has to carry, and what it may cost.

/// The size that the system has to carry, and what control may cost at it.
#[derive(Clone, Copy, Debug)]
pub struct FleetTarget;

impl FleetTarget {
    /// Targets, each with a node.
    pub const NODES: f64 = 6_000.0;
    /// Services.
    pub const SERVICES: usize = 190;
    /// Sites, one for each region.
    pub const SITES: usize = 5;
    /// Failure domains.
    pub const DOMAINS: f64 = 17.0;
    /// Changes of configuration a day.
    pub const CONFIG_CHANGES_PER_DAY: f64 = 16_000.0;
    /// Virtual machines that fail a day.
    pub const FAILURES_PER_DAY: f64 = 33.0;
    /// Virtual machines that are replaced a day.
    pub const REPLACEMENTS_PER_DAY: f64 = 760.0;
    /// Time within which a configuration is in force everywhere, in seconds.
    pub const IN_FORCE_S: f64 = 9.0;
    /// Bytes of control a second and node, sent and received.
    pub const BYTES_PER_S: f64 = 2_000.0;
    /// Memory of control for a node, in bytes.
    pub const MEMORY_BYTES: f64 = 256e6;
    /// Share of a core of control for a node.
    pub const CORE_SHARE: f64 = 0.014;
    /// Time within which a drain is known at every entry, in seconds.
    pub const DRAIN_KNOWN_S: f64 = 2.0;
    /// Reads that the store takes each second.
    pub const STORE_READS_PER_S: f64 = 2_000.0;
    /// Writes that the store takes each second: "several hundred".
    pub const STORE_WRITES_PER_S: f64 = 300.0;

    const SECONDS_PER_DAY: f64 = 86_400.0;
    /// News of one failure: the suspicion and its end.
    const NEWS_PER_FAILURE: f64 = 2.0;
    /// News of one replacement: drain, leave, join, and the new target's announcement.
    const NEWS_PER_REPLACEMENT: f64 = 4.0;
    /// A rack of this many nodes goes each week, and is replaced.
    const RACK_NODES_PER_DAY: f64 = 40.0 / 7.0;

    /// Configuration changes a second.
    #[must_use]
    pub fn config_changes_per_s() -> f64 {
        Self::CONFIG_CHANGES_PER_DAY / Self::SECONDS_PER_DAY
    }

    /// Pieces of news of members a second.
    #[must_use]
    pub fn news_per_s() -> f64 {
        let lost = Self::FAILURES_PER_DAY + Self::RACK_NODES_PER_DAY;
        let replaced = Self::REPLACEMENTS_PER_DAY + lost;
        let news = lost * Self::NEWS_PER_FAILURE + replaced * Self::NEWS_PER_REPLACEMENT;
        news / Self::SECONDS_PER_DAY
    }

    /// Joins a second.
    #[must_use]
    pub fn joins_per_s() -> f64 {
        let lost = Self::FAILURES_PER_DAY + Self::RACK_NODES_PER_DAY;
        (Self::REPLACEMENTS_PER_DAY + lost) / Self::SECONDS_PER_DAY
    }
}
