//! Handling of received datagrams: their rumors, their message, and the sender's address and
//! configuration.

use std::net::SocketAddr;

use fescueway_core::{ConfigMark, NodeId};
use rand_core::Rng;

use crate::{
    Datagram, DownCause, MemberAction, MemberList, MemberStatus, MessageBody, Rumor,
    member_list::EventContext,
};

impl MemberList {
    pub(crate) fn on_bytes(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        self.counts.on_received(bytes.len());
        if context.now < self.discard_until {
            return;
        }
        match self.codec.decode(bytes) {
            Ok(datagram) if datagram.from != self.settings.node => {
                self.on_datagram(context, from, datagram);
            }
            Ok(_own) => {}
            Err(error) => self.counts.on_dropped(error),
        }
    }

    fn on_datagram(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        datagram: Datagram,
    ) {
        let sender = datagram.from;
        self.fleet_size = self.fleet_size.max(datagram.live_count as usize);
        self.detect_replacement(context, address, sender);
        let is_page = matches!(datagram.body, MessageBody::Page { .. });
        let mut missing = self.apply_rumors(context, &datagram.rumors, !is_page);
        self.refute_to_sender(context, address, &datagram.rumors);
        if self
            .table
            .get(sender)
            .is_none_or(|state| state.record.is_none())
        {
            missing.push(sender);
        }
        self.record_mark(context, sender, datagram.mark);
        let body = datagram.body;
        self.on_body(context, address, sender, body, &mut missing);
        self.send_want(context, address, sender, missing);
    }

    /// Refutes a false suspicion or down status directly to the node that sent it, since the
    /// refutation spread by gossip may reach it late or be lost.
    fn refute_to_sender(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        rumors: &[Rumor],
    ) {
        let own = self.settings.node;
        let is_false = |rumor: &Rumor| rumor.node == own && rumor.status != MemberStatus::Alive;
        if self.is_leaving || !rumors.iter().any(is_false) {
            return;
        }
        let mut datagram = self.datagram(MessageBody::Gossip);
        let refutation = self.table.get(own).map(|state| state.rumor(own, false));
        datagram.rumors = refutation.into_iter().collect();
        self.send_datagram(context, address, &datagram);
    }

    fn on_body(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
        body: MessageBody,
        missing: &mut Vec<NodeId>,
    ) {
        match body {
            MessageBody::Ping { sequence } => self.on_ping(context, address, sender, sequence),
            MessageBody::Ack { sequence, node } => self.on_ack(context, sequence, node),
            MessageBody::PingRequest { sequence, node } => {
                self.on_ping_request(context, address, sequence, node);
            }
            MessageBody::Gossip => {}
            MessageBody::Digests(digests) => self.on_digests(context, address, sender, &digests),
            MessageBody::Stamps { stamps, .. } => {
                let more = self.on_stamps(context, address, &stamps);
                missing.extend(more);
            }
            MessageBody::Want(nodes) => self.on_want(context, address, &nodes),
            MessageBody::Pull { first, count } => self.on_pull(context, address, first, count),
            MessageBody::Page { first, page, pages } => self.on_page(context, first, page, pages),
            MessageBody::Note(body) => context
                .actions
                .push(MemberAction::Note { from: sender, body }),
        }
    }

    fn record_mark(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        sender: NodeId,
        mark: ConfigMark,
    ) {
        self.table.set_mark(sender, mark);
        if mark.revision <= self.reported_mark.revision {
            return;
        }
        let state = self.table.get(sender);
        if let Some(record) = state.and_then(|state| state.record.as_ref()) {
            self.reported_mark = mark;
            context.actions.push(MemberAction::NewerMark {
                node: sender,
                peer_address: record.peer_address,
                mark,
            });
        }
    }

    /// Declares the member that was known at `address` as replaced when another node sends from
    /// there.
    fn detect_replacement(
        &mut self,
        context: &mut EventContext<'_, impl Rng>,
        address: SocketAddr,
        sender: NodeId,
    ) {
        let is_sender_gone = self
            .table
            .get(sender)
            .is_some_and(|state| !state.status.is_live());
        if let Some(predecessor) = self.table.at_address(address)
            && predecessor != sender
            && !is_sender_gone
        {
            self.declare(
                context,
                predecessor,
                MemberStatus::Down,
                DownCause::Replaced,
            );
        }
    }
}
