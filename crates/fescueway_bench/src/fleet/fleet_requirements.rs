//! Fleet size that the system must support, and cost limits at that size.

/// Fleet size that the system must support, and the control plane's cost limits at that size.
#[derive(Clone, Copy, Debug)]
pub struct FleetRequirements;

impl FleetRequirements {
    /// Number of targets, each with a node.
    pub const NODES: f64 = 6_000.0;
    /// Number of services.
    pub const SERVICES: usize = 190;
    /// Number of sites, one per region.
    pub const SITES: usize = 5;
    /// Number of failure domains.
    pub const DOMAINS: f64 = 17.0;
    /// Configuration changes per day.
    pub const CONFIG_CHANGES_PER_DAY: f64 = 16_000.0;
    /// Virtual machines that fail per day.
    pub const FAILURES_PER_DAY: f64 = 33.0;
    /// Virtual machines that are replaced per day.
    pub const REPLACEMENTS_PER_DAY: f64 = 760.0;
    /// Longest time until a configuration is in force everywhere, in seconds.
    pub const MAX_IN_FORCE_S: f64 = 9.0;
    /// Most control traffic of a node, sent and received, in bytes per second.
    pub const MAX_BYTES_PER_S: f64 = 2_000.0;
    /// Most control plane memory of a node, in bytes.
    pub const MAX_MEMORY_BYTES: f64 = 256e6;
    /// Most control plane CPU time of a node, as a share of a core.
    pub const MAX_CORE_SHARE: f64 = 0.014;
    /// Longest time until a drain is known at every entry, in seconds.
    pub const MAX_DRAIN_KNOWN_S: f64 = 2.0;
    /// Reads per second that the store can serve.
    pub const STORE_READS_PER_S: f64 = 2_000.0;
    /// Writes per second that the store can serve, specified as "several hundred".
    pub const STORE_WRITES_PER_S: f64 = 300.0;

    const SECONDS_PER_DAY: f64 = 86_400.0;
    /// Membership updates per failure: the suspicion and its end.
    const UPDATES_PER_FAILURE: f64 = 2.0;
    /// Membership updates per replacement: drain, leave, join, and the new target's announcement.
    const UPDATES_PER_REPLACEMENT: f64 = 4.0;
    /// Nodes lost with their rack and replaced, per day: one rack each week.
    const RACK_NODES_PER_DAY: f64 = 40.0 / 7.0;

    /// Returns the configuration changes per second.
    #[must_use]
    pub fn config_changes_per_s() -> f64 {
        Self::CONFIG_CHANGES_PER_DAY / Self::SECONDS_PER_DAY
    }

    /// Returns the membership updates per second.
    #[must_use]
    pub fn member_updates_per_s() -> f64 {
        let lost = Self::FAILURES_PER_DAY + Self::RACK_NODES_PER_DAY;
        let replaced = Self::REPLACEMENTS_PER_DAY + lost;
        let updates = lost * Self::UPDATES_PER_FAILURE + replaced * Self::UPDATES_PER_REPLACEMENT;
        updates / Self::SECONDS_PER_DAY
    }

    /// Returns the joins per second.
    #[must_use]
    pub fn joins_per_s() -> f64 {
        let lost = Self::FAILURES_PER_DAY + Self::RACK_NODES_PER_DAY;
        (Self::REPLACEMENTS_PER_DAY + lost) / Self::SECONDS_PER_DAY
    }
}
