//! The options of the command line.

/// An option of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CliOption {
    /// Files of the documents to compare with.
    From,
    /// Prints JSON.
    Json,
    /// Maximum number of entries to show.
    Limit,
    /// Address of a node's listener for operators.
    Node,
    /// The operator's note on a change.
    Note,
    /// Name of the operator who changes the configuration.
    Operator,
    /// The revision that a change is based on.
    Revision,
    /// A site.
    Site,
    /// An address of the platform's store.
    Store,
    /// File that the plot is written to.
    Svg,
    /// Maximum time to wait.
    Timeout,
    /// Waits until the change is in force.
    Wait,
}

impl CliOption {
    /// Every option.
    pub(crate) const ALL: [Self; 12] = [
        Self::From,
        Self::Json,
        Self::Limit,
        Self::Node,
        Self::Note,
        Self::Operator,
        Self::Revision,
        Self::Site,
        Self::Store,
        Self::Svg,
        Self::Timeout,
        Self::Wait,
    ];

    /// The name without the leading dashes.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::From => "from",
            Self::Json => "json",
            Self::Limit => "limit",
            Self::Node => "node",
            Self::Note => "note",
            Self::Operator => "operator",
            Self::Revision => "revision",
            Self::Site => "site",
            Self::Store => "store",
            Self::Svg => "svg",
            Self::Timeout => "timeout",
            Self::Wait => "wait",
        }
    }

    /// Placeholder of the value in the help; `None` for a flag.
    pub(crate) const fn value_name(self) -> Option<&'static str> {
        match self {
            Self::From | Self::Svg => Some("FILE"),
            Self::Json | Self::Wait => None,
            Self::Limit => Some("COUNT"),
            Self::Node | Self::Store => Some("ADDRESS"),
            Self::Note => Some("TEXT"),
            Self::Operator => Some("NAME"),
            Self::Revision => Some("REVISION"),
            Self::Site => Some("SITE"),
            Self::Timeout => Some("SECONDS"),
        }
    }

    /// The description in the help.
    pub(crate) const fn description(self) -> &'static str {
        match self {
            Self::From => "The base, then the overlays, to compare with; instead of --store",
            Self::Json => "Print JSON",
            Self::Limit => "Show this many entries at most (20)",
            Self::Node => "A node's address for operators, as 127.0.0.1:9900",
            Self::Note => "What the change is for; shown by `history`",
            Self::Operator => "Who makes the change (the environment's USER)",
            Self::Revision => "Refuse unless this is the newest revision, as `diff` shows it",
            Self::Site => "The site",
            Self::Store => "An address of the platform's store; may be given several times",
            Self::Svg => "Also write a plot of the burn by hour, as SVG",
            Self::Timeout => "How long to wait at most (30)",
            Self::Wait => "Wait until it is in force everywhere, or nothing runs any more",
        }
    }
}
