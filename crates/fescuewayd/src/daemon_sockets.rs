//! The sockets of one node.

use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

use crate::{DaemonError, DaemonSettings, DaemonStep};

/// The addresses on which a daemon listens, with the ports that the operating system chose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For the backend servers of its VM.
    pub backends: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The sockets of a daemon.
pub struct DaemonSockets {
    /// For callers.
    pub callers: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
    /// For the backend servers of its VM.
    pub backends: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For metrics only; `None` without a separate address.
    pub metrics: Option<TcpListener>,
    /// For datagrams of other nodes, bound to the address of `peers`.
    pub gossip: UdpSocket,
}

impl DaemonSockets {
    /// Binds every address of the settings.
    pub async fn bind(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let (peers, gossip) = bind_peers(settings.peers).await?;
        let metrics = match settings.metrics {
            Some(address) => Some(bind(DaemonStep::Metrics, address).await?),
            None => None,
        };
        Ok(Self {
            callers: bind(DaemonStep::Callers, settings.callers).await?,
            peers,
            gossip,
            backends: bind(DaemonStep::Backends, settings.backends).await?,
            operators: bind(DaemonStep::Operators, settings.operators).await?,
            metrics,
        })
    }

    /// The addresses on which the sockets listen; falls back to the settings where the local
    /// address is unknown.
    pub fn addresses(&self, settings: &DaemonSettings) -> DaemonAddresses {
        let local = |listener: &TcpListener, fallback| listener.local_addr().unwrap_or(fallback);
        DaemonAddresses {
            callers: local(&self.callers, settings.callers),
            peers: local(&self.peers, settings.peers),
            backends: local(&self.backends, settings.backends),
            operators: local(&self.operators, settings.operators),
        }
    }
}

/// Binds one address.
async fn bind(step: DaemonStep, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| DaemonError::Bind {
        step,
        address,
        source,
    })
}

/// Binds the address for other nodes, both for streams and for datagrams. Retries if the operating
/// system chose a port for streams that is in use for datagrams.
async fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), DaemonError> {
    const MAX_TRIES: usize = 8;
    let mut tries = 0;
    loop {
        tries += 1;
        let peers = bind(DaemonStep::Peers, address).await?;
        let chosen = peers.local_addr().unwrap_or(address);
        match UdpSocket::bind(chosen).await {
            Ok(gossip) => return Ok((peers, gossip)),
            Err(_taken) if address.port() == 0 && tries < MAX_TRIES => {}
            Err(source) => {
                return Err(DaemonError::Bind {
                    step: DaemonStep::Datagrams,
                    address: chosen,
                    source,
                });
            }
        }
    }
}
