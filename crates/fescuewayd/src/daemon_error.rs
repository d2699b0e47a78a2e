//! Why a daemon could not start.

use std::{io, net::SocketAddr};

use fescueway_telemetry::MetricError;
use thiserror::Error;

/// The step at which a daemon's start failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonStep {
    /// Binding the address for callers.
    Callers,
    /// Binding the address for other nodes.
    Peers,
    /// Binding the address for datagrams of other nodes.
    Datagrams,
    /// Binding the address for the backend servers of the VM.
    Backends,
    /// Binding the address for operators.
    Operators,
    /// Binding the address for metrics.
    Metrics,
}

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address can't be bound.
    #[error("binding {address} for {step:?}")]
    Bind {
        /// The listener that the address belongs to.
        step: DaemonStep,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[error(transparent)]
    Metric(#[from] MetricError),
    /// `key_proof_ms` is set, but the configuration is not a single document, whose age can't be proven.
    #[error("key_proof_ms needs a configuration that is stored as a single document")]
    KeyProof,
    /// The operating system provides no random numbers.
    #[error("cannot generate the node's identity: {0}")]
    Random(getrandom::Error),
}
