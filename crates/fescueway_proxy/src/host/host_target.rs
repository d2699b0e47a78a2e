//! Target on this node: admission gate, waiting offers and backend server.

mod notices;
mod warmup;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use fescueway_admission::{
    GateAction, GateCounts, GatePlan, GateResult, RunEnd, TargetGate, TicketId,
};
use fescueway_core::{LoadReport, MonoTime, Refusal, RequestTerms, ServerLoad};
use http::HeaderValue;
use tokio::{
    sync::{Notify, oneshot},
    time::sleep_until,
};

pub(crate) use self::notices::NoticeChange;
use super::{BackendPool, RunTicket};
use crate::{
    backend_announcement::BackendAnnouncement, mono_clock::MonoClock, proxy_limits::ProxyLimits,
    server_statement::InvalidField, task_group::TaskGroup,
};

/// Target on this node: admission gate, waiting offers and backend server.
#[derive(Debug)]
pub struct HostTarget {
    /// Connection pool of the backend server.
    pool: BackendPool,
    /// Identifies the process of the backend server, if it announced an identity.
    identity: Option<HeaderValue>,
    /// Gate and waiting offers.
    state: Mutex<GateState>,
    /// Whether the failure domain is evacuated, as the gate knows it. Read for each request at its
    /// hand-over, without the lock.
    is_evacuated: AtomicBool,
    /// Notifies the timer that the gate's next wake-up time may have changed.
    wake: Notify,
    /// Notifies [`Self::load_query_due`] that the time of the next load query may have changed.
    load_query_change: Notify,
    /// Clock of the gate.
    clock: MonoClock,
    /// Runs the timer and the work that outlives its request.
    tasks: TaskGroup,
}

/// Gate and waiting offers.
#[derive(Debug)]
struct GateState {
    /// Decides which offers run.
    gate: TargetGate,
    /// Waiting offers. Each receives `Ok` when it may run.
    waiters: BTreeMap<TicketId, oneshot::Sender<Result<(), Refusal>>>,
    /// Number of the last ticket.
    last_ticket: u64,
    /// Whether the timer task is running.
    is_timer_running: bool,
    /// The last invalid statement, so that it is logged once.
    invalid_field: Option<InvalidField>,
}

/// Receives `Ok` when the offer may run.
type GateDecision = oneshot::Receiver<Result<(), Refusal>>;

/// Waiting offer. Dropping it withdraws the offer.
struct WaitingOffer {
    /// Target at which the offer waits.
    target: Arc<HostTarget>,
    /// Identifies the offer at the gate.
    ticket: TicketId,
    /// Receives the gate's decision. `None` once it is received.
    decision: Option<GateDecision>,
}

impl HostTarget {
    /// Creates a target, whose gate begins with the slow start.
    #[must_use]
    pub fn new(
        announcement: &BackendAnnouncement,
        plan: GatePlan,
        limits: Arc<ProxyLimits>,
        tasks: TaskGroup,
        clock: MonoClock,
    ) -> Self {
        let (address, connections) = (announcement.address, announcement.connections);
        let slots = plan.slots;
        let mut gate = TargetGate::new(plan, clock.now());
        gate.set_server(announcement.server_start());
        if let Some(left) = announcement.cold_left {
            gate.set_cold_left(clock.now(), left);
        }
        Self {
            pool: BackendPool::new(address, connections, slots, limits, tasks.clone()),
            identity: announcement.identity.clone(),
            state: Mutex::new(GateState {
                gate,
                waiters: BTreeMap::new(),
                last_ticket: 0,
                is_timer_running: false,
                invalid_field: None,
            }),
            is_evacuated: AtomicBool::new(false),
            wake: Notify::new(),
            load_query_change: Notify::new(),
            clock,
            tasks,
        }
    }

    /// Connection pool of the backend server.
    #[must_use]
    pub fn pool(&self) -> &BackendPool {
        &self.pool
    }

    /// Identifies the process of the backend server, `None` if it announced no identity.
    #[must_use]
    pub fn identity(&self) -> Option<&HeaderValue> {
        self.identity.as_ref()
    }

    /// Tasks that may outlive their request.
    pub(crate) fn tasks(&self) -> &TaskGroup {
        &self.tasks
    }

    /// Current load report for the entries.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        self.state().gate.report(self.clock.now())
    }

    /// Decisions of the gate since the target was announced.
    #[must_use]
    pub fn counts(&self) -> GateCounts {
        self.state().gate.counts()
    }

    /// Starts draining: refuses waiting and new offers and lets the running requests finish.
    pub fn drain(&self) {
        let mut state = self.state();
        let actions = state.gate.drain(self.clock.now());
        state.apply(self.clock.now(), actions);
    }

    /// Ends draining, so that offers are accepted again.
    pub fn undrain(&self) {
        self.state().gate.undrain(self.clock.now());
    }

    /// Changes the length of the wait queue per slot. Offers that wait already are kept, even when
    /// the new queue is shorter.
    pub fn set_queue_per_slot(&self, queue_per_slot: f64) {
        self.state().gate.set_queue_per_slot(queue_per_slot);
    }

    /// Changes the largest share of the slots to use.
    pub fn set_slot_share(&self, slot_share: f64) {
        self.state().gate.set_slot_share(slot_share);
    }

    /// Records a load report of the backend server.
    pub fn learn_load(&self, load: &ServerLoad) {
        self.with_gate(|gate, now| gate.learn_load(now, load));
    }

    /// Pace that the backend server last reported and the age of the report, `None` without a
    /// report. The pace is the duration of work as a multiple of its normal duration.
    #[must_use]
    pub fn last_pace(&self) -> Option<(f64, Duration)> {
        let (pace, since) = self.state().gate.last_pace()?;
        Some((pace, self.clock.now().since(since)))
    }

    /// Waits until the backend server is due to be queried for its load.
    pub async fn load_query_due(&self) {
        loop {
            let due = self.state().gate.next_load_query(self.clock.now());
            match due {
                None => self.load_query_change.notified().await,
                Some(due) if due <= self.clock.now() => return,
                Some(due) => {
                    let query_sleep = sleep_until(self.clock.instant(due));
                    tokio::select! {
                        () = query_sleep => {}
                        () = self.load_query_change.notified() => {}
                    }
                }
            }
        }
    }

    /// Records that a load query begins.
    pub fn begin_load_query(&self) {
        self.state().gate.begin_load_query(self.clock.now());
    }

    /// Whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state().gate.is_idle()
    }

    /// Applies `change` to the gate, and then the actions that it returns. Used by probes and
    /// configuration updates.
    pub fn with_gate(&self, change: impl FnOnce(&mut TargetGate, MonoTime) -> Vec<GateAction>) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = change(&mut state.gate, now);
        state.apply(now, actions);
        if state.gate.next_load_query(now).is_some() {
            self.load_query_change.notify_one();
        }
    }

    /// Waits until the gate admits an offer. Dropping the future withdraws the offer.
    ///
    /// # Errors
    ///
    /// If the gate refuses the offer.
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

    /// Submits an offer to the gate. Returns a receiver of the decision if the offer has to wait.
    fn offer(
        self: &Arc<Self>,
        terms: &RequestTerms,
    ) -> Result<(TicketId, Option<GateDecision>), Refusal> {
        let mut state = self.state();
        state.last_ticket += 1;
        let ticket = TicketId(state.last_ticket);
        match state.gate.offer(self.clock.now(), ticket, terms) {
            GateResult::Refuse(refusal) => Err(refusal),
            GateResult::Run => {
                if state.gate.is_warmup_paced() {
                    self.load_query_change.notify_one();
                }
                Ok((ticket, None))
            }
            GateResult::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(ticket, sender);
                self.start_timer(&mut state);
                self.load_query_change.notify_one();
                Ok((ticket, Some(receiver)))
            }
        }
    }

    /// Ends a run at the gate.
    pub(super) fn finish(&self, ticket: TicketId, end: RunEnd) {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.gate.finish(now, ticket, end);
        state.apply(now, actions);
        self.wake.notify_one();
        if state.gate.next_load_query(now).is_some() {
            self.load_query_change.notify_one();
        }
    }

    /// Withdraws a waiting offer.
    fn withdraw(&self, ticket: TicketId) {
        let now = self.clock.now();
        let mut state = self.state();
        if state.waiters.remove(&ticket).is_none() {
            return;
        }
        let actions = state.gate.withdraw(now, ticket);
        state.apply(now, actions);
    }

    /// Starts the gate's timer, or wakes it if it is running. It runs while offers wait.
    fn start_timer(self: &Arc<Self>, state: &mut GateState) {
        if state.is_timer_running {
            self.wake.notify_one();
            return;
        }
        state.is_timer_running = true;
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

    /// Advances the gate's time. Returns when to do so next, `None` while nothing waits.
    fn tick(&self) -> Option<MonoTime> {
        let now = self.clock.now();
        let mut state = self.state();
        let actions = state.gate.tick(now);
        state.apply(now, actions);
        let next = state.gate.next_wake();
        state.is_timer_running = next.is_some();
        next
    }

    /// Locks the gate and the waiting offers.
    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GateState {
    /// Sends the gate's decisions to the waiting offers. A slot granted to an offer that no longer
    /// waits is released.
    fn apply(&mut self, now: MonoTime, actions: Vec<GateAction>) {
        let mut pending = actions;
        while let Some(action) = pending.pop() {
            let (ticket, decision) = match action {
                GateAction::Run(ticket) => (ticket, Ok(())),
                GateAction::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            let waiter = self.waiters.remove(&ticket);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
            if !is_delivered && decision.is_ok() {
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
        // `GateState` outlives the offer, so the sender is not dropped before it sends.
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
