//! Processes the events of the simulation.

use super::*;

/// One-way delay to the store for a node with a budget of store calls, in microseconds.
const STORE_DELAY_US: u64 = 2_000;

impl Fleet {
    pub(super) fn schedule(&mut self, delay_us: u64, event: Event) {
        self.next_id += 1;
        self.events
            .insert((self.now + delay_us, self.next_id), event);
    }

    pub(super) fn schedule_view_change(&mut self, node: NodeId, other: NodeId, is_up: bool) {
        let delay = 100_000 + self.random_below(2_000_000);
        self.schedule(delay, Event::ViewChange { node, other, is_up });
    }

    /// The delay of a message in microseconds, `None` when it is lost.
    pub(super) fn random_delay(&mut self) -> Option<u64> {
        let is_lost = self.random_below(1_000) < self.loss_per_mille;
        let is_slow = self.random_below(1_000) < self.loss_per_mille;
        let span = if is_slow { 8_000_000 } else { 2_000 };
        let delay = 500 + self.random_below(span);
        (!is_lost).then_some(delay)
    }

    pub(super) fn is_isolated(&self, id: NodeId) -> bool {
        self.processes
            .get(&id)
            .is_some_and(|process| process.isolated_until > self.now)
    }

    pub(super) fn process_event(&mut self, event: Event) {
        let now = MonoTime::from_micros(self.now);
        let owner = match &event {
            Event::Send { host, .. } | Event::RunEnd { host, .. } => Some(*host),
            Event::Reply { to, .. } => Some(*to),
            Event::Request { to, .. } => {
                let mut processes = self.processes.values();
                processes
                    .find(|process| process.own.address == *to)
                    .map(|found| found.own.node)
            }
            Event::StoreReply { node, .. }
            | Event::Tick(node)
            | Event::TickNow(node)
            | Event::StoreCall(node)
            | Event::ViewChange { node, .. } => Some(*node),
            Event::StoreRequest { .. } => {
                self.handle_store_request(event);
                return;
            }
        };
        let Some(process) = owner.and_then(|id| self.processes.get_mut(&id)) else {
            return;
        };
        if process.paused_until > self.now {
            let delay = process.paused_until - self.now;
            self.schedule(delay, event);
            return;
        }
        let id = process.own.node;
        match event {
            Event::Send { key, purpose, .. } => {
                let step = process.node.begin(now, key, purpose);
                self.handle_claim_step(id, key, self.now, step);
            }
            Event::Request {
                id: call,
                from,
                request,
                ..
            } => {
                let reply = process.node.handle(now, &request);
                if matches!(request, ClaimRequest::Learn { .. }) {
                    self.schedule(0, Event::TickNow(id));
                }
                let is_isolated = self.is_isolated(id) || self.is_isolated(from);
                if let Some(delay) = self.random_delay().filter(|_| !is_isolated) {
                    self.schedule(
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
            } => self.handle_reply(id, call, reply),
            Event::StoreReply {
                partition,
                sent_at,
                found,
                ..
            } => {
                let sent_at = MonoTime::from_micros(sent_at);
                process
                    .node
                    .confirm(now, &partition, sent_at, found.as_ref());
                self.schedule(0, Event::TickNow(id));
            }
            Event::RunEnd {
                key,
                attempt_id,
                granted_at,
                ..
            } => {
                process.node.finish(attempt_id, Some(200));
                self.record_run(key, granted_at);
            }
            Event::Tick(_) => {
                self.tick_node(id);
                self.schedule(TICK_US, Event::Tick(id));
            }
            Event::TickNow(_) => self.tick_node(id),
            Event::StoreCall(_) => self.call_store(id),
            Event::ViewChange { other, is_up, .. } => {
                let found = self.processes.get(&other);
                let found = found.filter(|found| !found.is_leaving || other == id);
                let replica = found.map(|found| found.own.clone());
                let view = &mut self.processes.get_mut(&id).unwrap().view;
                match replica.filter(|_| is_up) {
                    Some(replica) => drop(view.insert(other, replica)),
                    None => drop(view.remove(&other)),
                }
            }
            Event::StoreRequest { .. } => {}
        }
    }

    /// Ticks a node and performs the actions that are due.
    fn tick_node(&mut self, id: NodeId) {
        let now = MonoTime::from_micros(self.now);
        let process = self.processes.get_mut(&id).unwrap();
        let view = process.view.clone();
        for (partition, action) in process.node.tick(now, &view) {
            self.perform_action(id, partition, action);
        }
    }

    /// Records a run of a request.
    fn record_run(&mut self, key: KeyDigest, granted_at: u64) {
        let runs = self.runs.entry(key).or_default();
        runs.push(KeyRun { granted_at });
        runs.sort_by_key(|run| run.granted_at);
    }

    /// Makes one store call for all store actions of a node that are due.
    fn call_store(&mut self, node: NodeId) {
        let now = MonoTime::from_micros(self.now);
        let process = self.processes.get_mut(&node).unwrap();
        let requested = std::mem::take(&mut process.queued_actions)
            .into_iter()
            .collect();
        let view = process.view.clone();
        let due = process.node.due_store_actions(now, &view, requested);
        self.store_calls += 1;
        for (partition, action) in due {
            let event = Event::StoreRequest {
                node,
                partition,
                sent_at: self.now,
                action,
            };
            self.schedule(STORE_DELAY_US, event);
        }
    }

    pub(super) fn perform_action(
        &mut self,
        node: NodeId,
        partition: PartitionId,
        action: ReplicaAction,
    ) {
        if let Some((address, request)) = action.message(&partition) {
            self.send_call(
                node,
                address,
                &request,
                ReplyWaiter::Replica(partition, action),
            );
            return;
        }
        if self.has_store_budget {
            let queue = &mut self.processes.get_mut(&node).unwrap().queued_actions;
            let is_waiting = !queue.is_empty();
            queue.insert(partition, action);
            if !is_waiting {
                let delay = self.next_store_call(node) - self.now;
                self.schedule(delay, Event::StoreCall(node));
            }
            return;
        }
        let sent_at = self.now;
        let delay = self.random_delay().unwrap_or(3_000_000);
        self.schedule(
            delay,
            Event::StoreRequest {
                node,
                partition,
                sent_at,
                action,
            },
        );
    }

    pub(super) fn handle_store_request(&mut self, event: Event) {
        let Event::StoreRequest {
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
        if let Some(delay) = self.random_delay().filter(|_| !self.is_store_reply_lost) {
            self.schedule(
                delay,
                Event::StoreReply {
                    node,
                    partition,
                    sent_at,
                    found,
                },
            );
        }
    }

    pub(super) fn send_call(
        &mut self,
        from: NodeId,
        to: SocketAddr,
        request: &ClaimRequest,
        waiter: ReplyWaiter,
    ) {
        self.messages += 1;
        self.next_id += 1;
        let id = self.next_id;
        self.waiters.insert(id, waiter);
        self.schedule(
            CALL_TIMEOUT_US,
            Event::Reply {
                id,
                to: from,
                reply: None,
            },
        );
        let copies = if self.random_below(1_000) < self.loss_per_mille {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_isolated = self.is_isolated(from);
            if let Some(delay) = self.random_delay().filter(|_| !is_isolated) {
                let request = request.clone();
                self.schedule(
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

    pub(super) fn handle_reply(&mut self, node: NodeId, id: u64, reply: Option<ClaimReply>) {
        let now = MonoTime::from_micros(self.now);
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        let process = self.processes.get_mut(&node).unwrap();
        match waiter {
            ReplyWaiter::Claim(call) => {
                let Some((key, started_at)) = process.open_claims.get(&call.claim_serial).copied()
                else {
                    return;
                };
                let step = process.node.reply(now, &call, reply);
                if matches!(step, ClaimStep::Done(..)) {
                    process.open_claims.remove(&call.claim_serial);
                }
                self.handle_claim_step(node, key, started_at, step);
            }
            ReplyWaiter::Replica(partition, action) => {
                let reply = reply.unwrap_or(ClaimReply::Unavailable);
                let next = process
                    .node
                    .handle_action_reply(now, &partition, &action, &reply);
                if let Some(action) = next {
                    self.perform_action(node, partition, action);
                }
            }
            ReplyWaiter::Nothing => {}
        }
    }

    pub(super) fn handle_claim_step(
        &mut self,
        node: NodeId,
        key: KeyDigest,
        started_at: u64,
        step: ClaimStep,
    ) {
        match step {
            ClaimStep::Wait => {}
            ClaimStep::Send(calls) => {
                for call in calls {
                    let process = self.processes.get_mut(&node).unwrap();
                    process
                        .open_claims
                        .insert(call.claim_serial, (key, started_at));
                    let request = call.request.clone();
                    self.send_call(node, call.address, &request, ReplyWaiter::Claim(call));
                }
            }
            ClaimStep::Done(verdict, calls) => {
                self.results.push(SendResult {
                    key,
                    started_at,
                    verdict,
                });
                self.send_and_forget(node, calls);
                if let ClaimVerdict::Run(attempt_id) = verdict {
                    self.start_run(node, key, attempt_id);
                }
            }
        }
    }

    /// Hands a granted run over: now, after the node was paused, or not at all.
    pub(super) fn start_run(&mut self, host: NodeId, key: KeyDigest, attempt_id: ClaimAttemptId) {
        if self.random_below(1_000) < self.cancel_per_mille {
            let now = MonoTime::from_micros(self.now);
            let calls = self
                .processes
                .get_mut(&host)
                .unwrap()
                .node
                .cancel_run(now, key, attempt_id);
            self.send_and_forget(host, calls);
            return;
        }
        let granted_at = self.now;
        let is_paused = self.random_below(1_000) < self.loss_per_mille;
        if is_paused {
            let span = self.random_below(8_000_000);
            self.pause(host, span);
        }
        self.schedule(
            0,
            Event::RunEnd {
                host,
                key,
                attempt_id,
                granted_at,
            },
        );
    }

    pub(super) fn send_and_forget(&mut self, node: NodeId, calls: Vec<ClaimCall>) {
        for call in calls {
            self.send_call(node, call.address, &call.request, ReplyWaiter::Nothing);
        }
    }
}
