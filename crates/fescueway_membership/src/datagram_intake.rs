//! Taking in datagrams: their rumors, their message, and what they show besides.

use std::net::SocketAddr;

use fescueway_core::{ConfigMark, NodeId};
use rand_core::Rng;

use crate::{
    Datagram, DownCause, MemberAction, MemberList, MemberStatus, MessageBody, Rumor,
    member_list::Step,
};

impl MemberList {
    pub(crate) fn on_bytes(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        self.counts.on_received(bytes.len());
        if step.now < self.deaf_until {
            return;
        }
        match self.codec.decode(bytes) {
            Ok(datagram) if datagram.from != self.settings.node => {
                self.on_datagram(step, from, datagram);
            }
            Ok(_own) => {}
            Err(error) => self.counts.on_dropped(error),
        }
    }

    fn on_datagram(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        datagram: Datagram,
    ) {
        let sender = datagram.from;
        self.fleet_size = self.fleet_size.max(datagram.live_count as usize);
        self.note_replacement(step, address, sender);
        let is_page = matches!(datagram.body, MessageBody::Page { .. });
        let mut wanted = self.take_rumors(step, &datagram.rumors, !is_page);
        self.answer_doubt(step, address, &datagram.rumors);
        if self
            .table
            .get(sender)
            .is_none_or(|state| state.record.is_none())
        {
            wanted.push(sender);
        }
        self.note_mark(step, sender, datagram.mark);
        let body = datagram.body;
        self.on_body(step, address, sender, body, &mut wanted);
        self.send_want(step, address, sender, wanted);
    }

    /// Whoever holds this node to be suspect or down is told at once that it lives. The rumor that
    /// spreads besides may be late there, or lost.
    fn answer_doubt(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        rumors: &[Rumor],
    ) {
        let own = self.settings.node;
        let is_doubt = |rumor: &Rumor| rumor.node == own && rumor.status != MemberStatus::Alive;
        if self.is_leaving || !rumors.iter().any(is_doubt) {
            return;
        }
        let mut datagram = self.datagram(MessageBody::Gossip);
        let truth = self.table.get(own).map(|state| state.rumor(own, false));
        datagram.rumors = truth.into_iter().collect();
        self.send_datagram(step, address, &datagram);
    }

    fn on_body(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        body: MessageBody,
        wanted: &mut Vec<NodeId>,
    ) {
        match body {
            MessageBody::Ping { sequence } => self.on_ping(step, address, sender, sequence),
            MessageBody::Ack { sequence, node } => self.on_ack(step, sequence, node),
            MessageBody::PingRequest { sequence, node } => {
                self.on_ping_request(step, address, sequence, node);
            }
            MessageBody::Gossip => {}
            MessageBody::Digests(digests) => self.on_digests(step, address, sender, &digests),
            MessageBody::Stamps { stamps, .. } => {
                let more = self.on_stamps(step, address, &stamps);
                wanted.extend(more);
            }
            MessageBody::Want(nodes) => self.on_want(step, address, &nodes),
            MessageBody::Pull { first, count } => self.on_pull(step, address, first, count),
            MessageBody::Page { first, page, pages } => self.on_page(step, first, page, pages),
            MessageBody::Note(body) => step.actions.push(MemberAction::Note { from: sender, body }),
        }
    }

    fn note_mark(&mut self, step: &mut Step<'_, impl Rng>, sender: NodeId, mark: ConfigMark) {
        self.table.set_mark(sender, mark);
        if mark.revision <= self.told_mark.revision {
            return;
        }
        let state = self.table.get(sender);
        if let Some(record) = state.and_then(|state| state.record.as_ref()) {
            self.told_mark = mark;
            step.actions.push(MemberAction::NewerMark {
                node: sender,
                peer_address: record.peer_address,
                mark,
            });
        }
    }

    /// A node that speaks from the address of another one has taken its place.
    fn note_replacement(
        &mut self,
        step: &mut Step<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
    ) {
        let is_gone = self
            .table
            .get(sender)
            .is_some_and(|state| !state.status.is_live());
        if let Some(held) = self.table.at_address(address)
            && held != sender
            && !is_gone
        {
            self.declare(step, held, MemberStatus::Down, DownCause::Replaced);
        }
    }
}
