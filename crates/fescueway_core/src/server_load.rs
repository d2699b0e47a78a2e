//! The load that a backend server reports with an answer.

/// The load that a backend server reports with an answer, as of that moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes on its VM now, as a share of the usual time in 1/1000; `None` when it
    /// doesn't say. Neighbours on the VM raise it for parts of a second.
    pub work_permille: Option<u32>,
}
