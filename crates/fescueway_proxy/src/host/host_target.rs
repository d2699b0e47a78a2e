//! A target of this node: its gate, those who wait at it, and its backend server.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use fescueway_admission::{GateAction, GatePlan, GateResult, RunEnd, TargetGate, TicketId};
use fescueway_core::{LoadReport, MonoTime, Refusal, RequestTerms, ServerLoad};
use http::HeaderValue;
use tokio::{
    sync::{Notify, oneshot},
    time::sleep_until,
};

use super::{BackendPool, RunTicket};
use crate::{
    backend_announcement::BackendAnnouncement, mono_clock::MonoClock, proxy_limits::ProxyLimits,
    task_group::TaskGroup,
};

/// A target of this node: its gate, those who wait at it, and its backend server.
#[derive(Debug)]
pub struct HostTarget {
    /// Connections to the backend server.
    pool: BackendPool,
    /// Which start of the backend server this is, when it said so.
    identity: Option<HeaderValue>,
    /// The gate and those who wait at it.
    state: Mutex<GateState>,
    /// Tells the timer that the gate's next wake may have changed.
    wake: Notify,
    /// Tells that the backend server may have to be asked for its load.
    question: Notify,
    /// Tells the time.
    clock: MonoClock,
    /// Runs the timer.
    tasks: TaskGroup,
}

/// The gate and those who wait at it.
#[derive(Debug)]
struct GateState {
    /// Decides.
    gate: TargetGate,
    /// Those who wait. They hear `Ok` to run.
    waiters: BTreeMap<TicketId, oneshot::Sender<Result<(), Refusal>>>,
    /// The latest ticket.
    last_ticket: u64,
    /// Whether the timer runs.
    is_timing: bool,
}

/// Hears `Ok` when the offer may run.
type GateDecision = oneshot::Receiver<Result<(), Refusal>>;

/// An offer that waits. Dropping it withdraws the offer.
struct WaitingOffer {
    /// The target.
    target: Arc<HostTarget>,
    /// Its number there.
    ticket: TicketId,
    /// Hears the gate's decision. `None` once it did.
    decision: Option<GateDecision>,
}

impl HostTarget {
    /// A target that starts cold.
    #[must_use]
    pub fn new(
        announcement: &BackendAnnouncement,
        plan: GatePlan,
        limits: Arc<ProxyLimits>,
        tasks: TaskGroup,
        clock: MonoClock,
    ) -> Self {
        let (address, connections) = (announcement.address, announcement.connections);
        Self {
            pool: BackendPool::new(address, connections, plan.slots, limits, tasks.clone()),
            identity: announcement.identity.clone(),
            state: Mutex::new(GateState {
                gate: TargetGate::new(plan, clock.now()),
                waiters: BTreeMap::new(),
                last_ticket: 0,
                is_timing: false,
            }),
            wake: Notify::new(),
            question: Notify::new(),
            clock,
            tasks,
        }
    }

    /// Connections to the backend server.
    #[must_use]
    pub fn pool(&self) -> &BackendPool {
        &self.pool
    }

    /// Which start of the backend server this is, when it said so.
    #[must_use]
    pub fn identity(&self) -> Option<&HeaderValue> {
        self.identity.as_ref()
    }

    /// Runs what outlives its request.
    pub(crate) fn tasks(&self) -> &TaskGroup {
        &self.tasks
    }

    /// The load to report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        self.state().gate.report(self.clock.now())
    }

    /// Takes nothing new from now on; what runs is finished.
    pub fn drain(&self) {
        let mut state = self.state();
        let actions = state.gate.drain(self.clock.now());
        state.apply(self.clock.now(), actions);
    }

    /// Takes work again.
    pub fn undrain(&self) {
        self.state().gate.undrain(self.clock.now());
    }

    /// From now on lets this many requests wait for each slot; none that waits is refused for it.
    pub fn set_queue_per_slot(&self, queue_per_slot: f64) {
        self.state().gate.set_queue_per_slot(queue_per_slot);
    }

    /// From now on uses at most this share of the slots.
    pub fn set_slot_share(&self, slot_share: f64) {
        self.state().gate.set_slot_share(slot_share);
    }

    /// The backend server reports its load.
    pub fn learn_load(&self, load: &ServerLoad) {
        self.with_gate(|gate, now| gate.learn_load(now, load));
    }

    /// The pace of work that the backend server last told, as a multiple of the usual time, and how long
    /// ago; `None` when it never did.
    #[must_use]
    pub fn last_pace(&self) -> Option<(f64, Duration)> {
        let (pace, since) = self.state().gate.last_pace()?;
        Some((pace, self.clock.now().since(since)))
    }

    /// Waits until the backend server should be asked for its load.
    pub async fn load_query_due(&self) {
        loop {
            let due = self.state().gate.next_load_query(self.clock.now());
            match due {
                None => self.question.notified().await,
                Some(due) => {
                    let asking = sleep_until(self.clock.instant(due));
                    tokio::select! {
                        () = asking => return,
                        () = self.question.notified() => {}
                    }
                }
            }
        }
    }

    /// Whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state().gate.is_idle()
    }

    /// Changes the gate, as probes and the configuration do, and applies what follows.
    pub fn with_gate(&self, change: impl FnOnce(&mut TargetGate, MonoTime) -> Vec<GateAction>) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = change(&mut state.gate, now);
        state.apply(now, actions);
        if state.gate.next_load_query(now).is_some() {
            self.question.notify_one();
        }
    }

    /// Waits until the gate lets an offer run.
    ///
    /// # Errors
    ///
    /// The gate's refusal. Dropping the future withdraws the offer.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        terms: &RequestTerms,
    ) -> Result<RunTicket, Refusal> {
        let (ticket, decision) = self.offer(terms)?;
        if decision.is_some() {
            let mut waiting = WaitingOffer {
                target: Arc::clone(self),
                ticket,
                decision,
            };
            waiting.wait().await?;
        }
        Ok(RunTicket::new(Arc::clone(self), ticket))
    }

    /// Puts an offer to the gate. It may run at once, or when the gate decides so.
    fn offer(
        self: &Arc<Self>,
        terms: &RequestTerms,
    ) -> Result<(TicketId, Option<GateDecision>), Refusal> {
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = TicketId(state.last_ticket);
        match state.gate.offer(self.clock.now(), ticket, terms) {
            GateResult::Refuse(refusal) => Err(refusal),
            GateResult::Run => Ok((ticket, None)),
            GateResult::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                self.time_later(&mut state);
                self.question.notify_one();
                Ok((ticket, Some(receiver)))
            }
        }
    }

    /// Ends a run.
    pub(super) fn finish(&self, ticket: TicketId, end: RunEnd) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.gate.finish(now, ticket, end);
        state.apply(now, actions);
        self.wake.notify_one();
        if state.gate.next_load_query(now).is_some() {
            self.question.notify_one();
        }
    }

    /// Withdraws an offer that waits.
    fn withdraw(&self, ticket: TicketId) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.waiters.remove(&ticket).is_none() {
            return;
        }
        let actions = state.gate.withdraw(now, ticket);
        state.apply(now, actions);
    }

    /// Runs the gate's timer while something waits.
    fn time_later(self: &Arc<Self>, state: &mut GateState) {
        if state.is_timing {
            self.wake.notify_one();
            return;
        }
        state.is_timing = true;
        let target = Arc::clone(self);
        self.tasks.spawn(async move {
            while let Some(time) = target.tick() {
                tokio::select! {
                    () = sleep_until(target.clock.instant(time)) => {}
                    () = target.wake.notified() => {}
                }
            }
        });
    }

    /// Lets the gate refuse what is late; tells when to do so again.
    fn tick(&self) -> Option<MonoTime> {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.gate.tick(now);
        state.apply(now, actions);
        let next = state.gate.next_wake();
        state.is_timing = next.is_some();
        next
    }

    /// The gate, locked.
    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Tells those who wait what the gate decided.
    fn apply(&mut self, now: MonoTime, actions: Vec<GateAction>) {
        let mut pending = actions;
        while let Some(action) = pending.pop() {
            let (ticket, decision) = match action {
                GateAction::Run(ticket) => (ticket, Ok(())),
                GateAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiter = self.waiters.remove(&ticket);
            let is_told = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
            if !is_told && decision.is_ok() {
                pending.extend(self.gate.finish(now, ticket, RunEnd::Released));
            }
        }
    }
}

impl WaitingOffer {
    /// Waits for the gate's decision.
    async fn wait(&mut self) -> Result<(), Refusal> {
        let Some(receiver) = &mut self.decision else {
            return Ok(());
        };
        // The gate's state outlives the offer, so the sender is never dropped unheard.
        let decision = receiver.await.unwrap_or(Ok(()));
        self.decision = None;
        decision
    }
}

impl Drop for WaitingOffer {
    fn drop(&mut self) {
        let Some(mut receiver) = self.decision.take() else {
            return;
        };
        match receiver.try_recv() {
            Ok(Ok(())) => self.target.finish(self.ticket, RunEnd::Released),
            Ok(Err(_refused)) => {}
            Err(_undecided) => self.target.withdraw(self.ticket),
        }
    }
}
