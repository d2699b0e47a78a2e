//! What happens in the fleet, event by event.

use super::*;

/// One way to the store for a node within its budget, in microseconds.
const STORE_TRIP_US: u64 = 2_000;

impl Fleet {
    pub(super) fn after(&mut self, delay_us: u64, event: Event) {
        self.next_id += 1;
        self.events
            .insert((self.now + delay_us, self.next_id), event);
    }

    pub(super) fn tell_view(&mut self, node: NodeId, other: NodeId, is_up: bool) {
        let delay = 100_000 + self.below(2_000_000);
        self.after(delay, Event::View { node, other, is_up });
    }

    /// One message's delay, `None` when it is lost.
    pub(super) fn delay(&mut self) -> Option<u64> {
        let is_lost = self.below(1_000) < self.loss;
        let is_slow = self.below(1_000) < self.loss;
        let span = if is_slow { 8_000_000 } else { 2_000 };
        let delay = 500 + self.below(span);
        (!is_lost).then_some(delay)
    }

    pub(super) fn is_cut(&self, id: NodeId) -> bool {
        self.processes
            .get(&id)
            .is_some_and(|process| process.cut_until > self.now)
    }

    pub(super) fn step(&mut self, event: Event) {
        let now = MonoTime::from_micros(self.now);
        let owner = match &event {
            Event::Send { host, .. } | Event::Act { host, .. } => Some(*host),
            Event::Reply { to, .. } => Some(*to),
            Event::Request { to, .. } => {
                let mut processes = self.processes.values();
                processes
                    .find(|process| process.own.address == *to)
                    .map(|found| found.own.node)
            }
            Event::Found { node, .. }
            | Event::Tick(node)
            | Event::Look(node)
            | Event::StoreTurn(node)
            | Event::View { node, .. } => Some(*node),
            Event::Store { .. } => {
                self.store_step(event);
                return;
            }
        };
        let Some(process) = owner.and_then(|id| self.processes.get_mut(&id)) else {
            return;
        };
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.after(delay, event);
            return;
        }
        let id = process.own.node;
        match event {
            Event::Send { key, purpose, .. } => {
                let step = process.node.begin(now, key, purpose);
                self.take_step(id, key, self.now, step);
            }
            Event::Request {
                id: call,
                from,
                request,
                ..
            } => {
                let reply = process.node.handle(now, &request);
                if matches!(request, ClaimRequest::Learn { .. }) {
                    self.after(0, Event::Look(id));
                }
                let is_cut = self.is_cut(id) || self.is_cut(from);
                if let Some(delay) = self.delay().filter(|_| !is_cut) {
                    self.after(
                        delay,
                        Event::Reply {
                            id: call,
                            to: from,
                            reply: Some(reply),
                        },
                    );
                }
            }
            Event::Reply {
                id: call, reply, ..
            } => self.take_reply(id, call, reply),
            Event::Found {
                partition,
                sent_at,
                found,
                ..
            } => {
                let sent_at = MonoTime::from_micros(sent_at);
                process
                    .node
                    .confirm(now, &partition, sent_at, found.as_ref());
                self.after(0, Event::Look(id));
            }
            Event::Act {
                key,
                ask,
                granted_at,
                ..
            } => {
                process.node.finish(ask, Some(200));
                self.note_run(key, granted_at);
            }
            Event::Tick(_) => {
                self.look(id);
                self.after(TICK_US, Event::Tick(id));
            }
            Event::Look(_) => self.look(id),
            Event::StoreTurn(_) => self.call_store(id),
            Event::View { other, is_up, .. } => {
                let found = self.processes.get(&other);
                let found = found.filter(|found| !found.is_leaving || other == id);
                let replica = found.map(|found| found.own.clone());
                let view = &mut self.processes.get_mut(&id).unwrap().view;
                match replica.filter(|_| is_up) {
                    Some(replica) => drop(view.insert(other, replica)),
                    None => drop(view.remove(&other)),
                }
            }
            Event::Store { .. } => {}
        }
    }

    /// A node looks after its partitions.
    fn look(&mut self, id: NodeId) {
        let now = MonoTime::from_micros(self.now);
        let process = self.processes.get_mut(&id).unwrap();
        let view = process.view.clone();
        for (partition, action) in process.node.tick(now, &view) {
            self.act(id, partition, action);
        }
    }

    /// A request ran.
    fn note_run(&mut self, key: KeyDigest, granted_at: u64) {
        let runs = self.runs.entry(key).or_default();
        runs.push(KeyRun { granted_at });
        runs.sort_by_key(|run| run.granted_at);
    }

    /// One call of the store for all that a node wants by now.
    fn call_store(&mut self, node: NodeId) {
        let now = MonoTime::from_micros(self.now);
        let process = self.processes.get_mut(&node).unwrap();
        let asked = std::mem::take(&mut process.wanted).into_iter().collect();
        let view = process.view.clone();
        let wanted = process.node.due_store_actions(now, &view, asked);
        self.store_calls += 1;
        for (partition, action) in wanted {
            let event = Event::Store {
                node,
                partition,
                sent_at: self.now,
                action,
            };
            self.after(STORE_TRIP_US, event);
        }
    }

    pub(super) fn act(&mut self, node: NodeId, partition: PartitionId, action: ReplicaAction) {
        if let Some((address, request)) = action.message(&partition) {
            self.call(node, address, &request, Waiter::Replica(partition, action));
            return;
        }
        if self.is_paced {
            let wanted = &mut self.processes.get_mut(&node).unwrap().wanted;
            let is_waiting = !wanted.is_empty();
            wanted.insert(partition, action);
            if !is_waiting {
                let delay = self.store_turn(node) - self.now;
                self.after(delay, Event::StoreTurn(node));
            }
            return;
        }
        let sent_at = self.now;
        let delay = self.delay().unwrap_or(3_000_000);
        self.after(
            delay,
            Event::Store {
                node,
                partition,
                sent_at,
                action,
            },
        );
    }

    pub(super) fn store_step(&mut self, event: Event) {
        let Event::Store {
            node,
            partition,
            sent_at,
            action,
        } = event
        else {
            return;
        };
        if self.now < self.store_down_until {
            return;
        }
        if let ReplicaAction::Propose { expected, record } = action
            && self.store.get(&partition) == expected.as_ref()
        {
            self.store.insert(partition.clone(), record);
        }
        let found = self.store.get(&partition).cloned();
        if let Some(delay) = self.delay().filter(|_| !self.is_answer_lost) {
            self.after(
                delay,
                Event::Found {
                    node,
                    partition,
                    sent_at,
                    found,
                },
            );
        }
    }

    pub(super) fn call(
        &mut self,
        from: NodeId,
        to: SocketAddr,
        request: &ClaimRequest,
        waiter: Waiter,
    ) {
        self.messages += 1;
        self.next_id += 1;
        let id = self.next_id;
        self.waiters.insert(id, waiter);
        self.after(
            CALL_TIMEOUT_US,
            Event::Reply {
                id,
                to: from,
                reply: None,
            },
        );
        let copies = if self.below(1_000) < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let is_cut = self.is_cut(from);
            if let Some(delay) = self.delay().filter(|_| !is_cut) {
                let request = request.clone();
                self.after(
                    delay,
                    Event::Request {
                        id,
                        from,
                        to,
                        request,
                    },
                );
            }
        }
    }

    pub(super) fn take_reply(&mut self, node: NodeId, id: u64, reply: Option<ClaimReply>) {
        let now = MonoTime::from_micros(self.now);
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        let process = self.processes.get_mut(&node).unwrap();
        match waiter {
            Waiter::Claim(call) => {
                let Some((key, began_at)) = process.began.get(&call.claim_serial).copied() else {
                    return;
                };
                let step = process.node.reply(now, &call, reply);
                if matches!(step, ClaimStep::Done(..)) {
                    process.began.remove(&call.claim_serial);
                }
                self.take_step(node, key, began_at, step);
            }
            Waiter::Replica(partition, action) => {
                let reply = reply.unwrap_or(ClaimReply::Unavailable);
                let next = process
                    .node
                    .handle_action_reply(now, &partition, &action, &reply);
                if let Some(action) = next {
                    self.act(node, partition, action);
                }
            }
            Waiter::Nothing => {}
        }
    }

    pub(super) fn take_step(
        &mut self,
        node: NodeId,
        key: KeyDigest,
        began_at: u64,
        step: ClaimStep,
    ) {
        match step {
            ClaimStep::Wait => {}
            ClaimStep::Send(calls) => {
                for call in calls {
                    let process = self.processes.get_mut(&node).unwrap();
                    process.began.insert(call.claim_serial, (key, began_at));
                    let request = call.request.clone();
                    self.call(node, call.address, &request, Waiter::Claim(call));
                }
            }
            ClaimStep::Done(verdict, calls) => {
                self.ends.push(SendEnd {
                    key,
                    began_at,
                    verdict,
                });
                self.send_off(node, calls);
                if let ClaimVerdict::Run(ask) = verdict {
                    self.hand_over(node, key, ask);
                }
            }
        }
    }

    /// Hands a granted run over, now, after a pause, or not at all.
    pub(super) fn hand_over(&mut self, host: NodeId, key: KeyDigest, ask: ClaimAttemptId) {
        if self.below(1_000) < self.give_up {
            let now = MonoTime::from_micros(self.now);
            let calls = self
                .processes
                .get_mut(&host)
                .unwrap()
                .node
                .cancel_run(now, key, ask);
            self.send_off(host, calls);
            return;
        }
        let granted_at = self.now;
        let is_paused = self.below(1_000) < self.loss;
        if is_paused {
            let span = self.below(8_000_000);
            self.pause(host, span);
        }
        self.after(
            0,
            Event::Act {
                host,
                key,
                ask,
                granted_at,
            },
        );
    }

    pub(super) fn send_off(&mut self, node: NodeId, calls: Vec<ClaimCall>) {
        for call in calls {
            self.call(node, call.address, &call.request, Waiter::Nothing);
        }
    }
}
