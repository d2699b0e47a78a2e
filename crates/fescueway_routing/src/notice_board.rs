//! What an entry knows of backend servers that restrict the requests they get.

use std::{collections::BTreeMap, net::SocketAddr};

use fescueway_core::{MonoTime, ServerNotice, ServiceName};

/// Backend servers that are remembered at most.
const MAX_NOTICES: usize = 4_096;

/// What an entry knows of backend servers that limit their requests or are leaving.
///
/// It is kept by the address of the host node, since a host that is restarted there has another id
/// and has forgotten it. It ends when a host at that address reports another notice: of the same
/// backend server, or of another one.
///
/// ```
/// # use fescueway_core::{MonoTime, ServerNotice, ServerStart};
/// # use fescueway_routing::NoticeBoard;
/// let mut board = NoticeBoard::default();
/// let (service, host) = ("windows".into(), ([10, 1, 0, 8], 7071).into());
/// let server = ServerStart { name_digest: 7, born_ms: 1_000 };
/// let leaving = ServerNotice { server, is_leaving: true, ..ServerNotice::default() };
/// board.record(MonoTime::ZERO, &service, host, leaving);
/// // A restarted host that has not heard it yet.
/// board.record(MonoTime::ZERO, &service, host, ServerNotice { is_leaving: false, ..leaving });
/// assert_eq!(board.get(&service, host), Some(leaving));
/// let successor = ServerStart { name_digest: 8, born_ms: 2_000 };
/// board.record(MonoTime::ZERO, &service, host, ServerNotice { server: successor, ..leaving });
/// assert_eq!(board.get(&service, host).map(|notice| notice.server), Some(successor));
/// ```
#[derive(Clone, Debug, Default)]
pub struct NoticeBoard {
    /// Restrictive notices, and when they were reported, by the host's address and service. At most
    /// [`MAX_NOTICES`].
    notices: BTreeMap<(SocketAddr, ServiceName), (ServerNotice, MonoTime)>,
}

impl NoticeBoard {
    /// Whether no backend server restricts its requests, as far as is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// What is known of the backend server for `service` beside the host at `host`, if that restricts
    /// the requests it gets.
    #[must_use]
    pub fn get(&self, service: &ServiceName, host: SocketAddr) -> Option<ServerNotice> {
        let known = self.notices.get(&(host, service.clone()));
        known.map(|(notice, _)| *notice)
    }

    /// Records what the host at `host` reported of its backend server. The server can't revoke that
    /// it is leaving.
    pub fn record(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        host: SocketAddr,
        notice: ServerNotice,
    ) {
        if !notice.is_restrictive() && self.notices.is_empty() {
            return;
        }
        let key = (host, service.clone());
        let known = self.notices.get(&key);
        let was_leaving =
            known.is_some_and(|(known, _)| known.is_leaving && known.server.is_same(notice.server));
        let notice = ServerNotice {
            is_leaving: notice.is_leaving || was_leaving,
            ..notice
        };
        if notice.is_restrictive() {
            self.notices.insert(key, (notice, now));
            self.remove_oldest();
        } else {
            self.notices.remove(&key);
        }
    }

    /// Removes the oldest notice when there are too many.
    fn remove_oldest(&mut self) {
        if self.notices.len() <= MAX_NOTICES {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, (_, time))| *time);
        if let Some((key, _)) = oldest.map(|(key, value)| (key.clone(), value)) {
            self.notices.remove(&key);
        }
    }
}
