//! The options of the command line.

/// An option of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CliOption {
    /// Documents to compare with.
    From,
    /// Prints JSON.
    Json,
    /// A node's address for operators.
    Node,
    /// A site.
    Site,
    /// Where the plot goes.
    Svg,
    /// How long to wait.
    Timeout,
    /// Waits until the change is in force.
    Wait,
}

impl CliOption {
    /// Every option.
    pub(crate) const ALL: [Self; 7] = [
        Self::From,
        Self::Json,
        Self::Node,
        Self::Site,
        Self::Svg,
        Self::Timeout,
        Self::Wait,
    ];

    /// The name without dashes.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::From => "from",
            Self::Json => "json",
            Self::Node => "node",
            Self::Site => "site",
            Self::Svg => "svg",
            Self::Timeout => "timeout",
            Self::Wait => "wait",
        }
    }

    /// What its value is, `None` for a flag.
    pub(crate) const fn value_name(self) -> Option<&'static str> {
        match self {
            Self::From | Self::Svg => Some("FILE"),
            Self::Json | Self::Wait => None,
            Self::Node => Some("ADDRESS"),
            Self::Site => Some("SITE"),
            Self::Timeout => Some("SECONDS"),
        }
    }

    /// What it does.
    pub(crate) const fn meaning(self) -> &'static str {
        match self {
            Self::From => "The base, then the overlays, to compare with",
            Self::Json => "Print JSON",
            Self::Node => "A node's address for operators, as 127.0.0.1:9900",
            Self::Site => "The site",
            Self::Svg => "Also write a picture of the burn by hour",
            Self::Timeout => "How long to wait at most (30)",
            Self::Wait => "Wait until it is in force everywhere",
        }
    }
}
