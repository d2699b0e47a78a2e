//! Load that a backend server reports with an answer.

/// Load that a backend server reports with an answer, at the time of that answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Duration of work on its VM now, as a share of the usual duration in 1/1000; `None` if it
    /// isn't reported. Neighbours on the VM raise it for fractions of a second.
    pub work_permille: Option<u32>,
}
