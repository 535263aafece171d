use std::sync::atomic::Ordering;
use std::time::Duration;

use super::core_state::CoreState;
use super::{Command, CounterName, TimerKey};
use crate::batching::{BatchId, BatchOutcome, DispatchAction, PoolSection};
use crate::identity::{AttemptId, MonotonicTime, stable_hash};
use crate::pipeline::{
    AttemptEvent, PieceFault, PieceOrder, PlacedResult, ResultHandle, ShardAction,
};
use crate::sync::lock;

/// Interval between two rounds that free unneeded results at upstreams. It is long enough for one
/// call to free the results of many requests. It is short compared with the seconds in which an
/// upstream's memory for results fills up.
const RESULT_RELEASE_INTERVAL: Duration = Duration::from_millis(15);

impl CoreState {
    /// Sends the pieces of a batched step, which are the inputs that batches are formed from, to
    /// the dispatcher of their pool, on this or another daemon. Skips the dispatchers in `tried`,
    /// which have failed the step before.
    pub(super) fn send_to_dispatcher(
        &self,
        mut order: PieceOrder,
        tried: &[String],
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        order.pool = self.section_for(&order.pool, &order.request, now);
        self.shard(order.attempt.call.0).record_section(order.attempt, &order.pool);
        let vm = lock(&self.fleet).dispatcher(&order.pool, tried);
        if vm == self.own_instance.vm {
            self.queue_pieces(order, now, actions, out);
        } else {
            out.push(Command::SendPieces { vm, order: Box::new(order) });
        }
    }

    /// Section of `pool` with the shorter expected queue, out of two that are drawn by the hash of
    /// the request's `key` (power of two choices). A section is a part of a pool with its own
    /// dispatcher.
    ///
    /// Guards against a herd: with full choice, all daemons would pick the section that was last
    /// reported as idle.
    pub(super) fn section_for(&self, pool: &str, key: &str, now: MonotonicTime) -> String {
        let section_count = lock(&self.dispatcher).section_count(pool);
        if section_count == 1 {
            return pool.to_owned();
        }
        let candidates = PoolSection::candidates(pool, section_count, stable_hash(&[key]));
        let [first, second] = candidates.map(|section| section.to_string());
        let waits = lock(&self.pool_waits);
        let queueing_time = |section: &str| {
            let wait = waits.wait(section, now);
            (wait.on_time_wait, wait.late_wait(u8::MAX))
        };
        if queueing_time(&second) < queueing_time(&first) { second } else { first }
    }

    /// Queues the pieces of a batched step as the dispatcher of their pool. Fails the step if its
    /// request is quarantined.
    pub(super) fn queue_pieces(
        &self,
        order: PieceOrder,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_actions = Vec::new();
        let is_quarantined =
            |digest| lock(&self.crash_detector).quarantine_left(digest, now).is_some();
        if order.digest.is_some_and(is_quarantined) {
            let fault = PieceFault::Quarantined;
            dispatch_actions.push(DispatchAction::fail(order.attempt, &order.pool, fault));
        } else {
            let crash_count =
                order.digest.map_or(0, |digest| lock(&self.crash_detector).crash_count(digest));
            lock(&self.dispatcher).submit(order, crash_count, now, &mut dispatch_actions);
        }
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Frees results through the dispatcher of their pool, which keeps account of the memory that
    /// results occupy at its upstreams.
    pub(super) fn free_results(
        &self,
        pool: &str,
        results: Vec<ResultHandle>,
        out: &mut Vec<Command>,
    ) {
        let vm = lock(&self.fleet).dispatcher(pool, &[]);
        if vm == self.own_instance.vm {
            lock(&self.dispatcher).release(pool, results);
        } else {
            out.push(Command::ReleaseRemoteResults { vm, pool: pool.to_owned(), results });
        }
    }

    /// Sets the timer for the next release of unneeded results, if there are any and it isn't set.
    pub(super) fn schedule_result_release(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        if !lock(&self.dispatcher).has_results_to_free()
            || self.is_release_scheduled.swap(true, Ordering::Relaxed)
        {
            return;
        }
        // Rounds start at multiples of the interval, so that a result waits for half of it on
        // average.
        let elapsed = now.since(self.started_at);
        let since_round = elapsed.as_nanos() % RESULT_RELEASE_INTERVAL.as_nanos();
        let since_round = Duration::from_nanos(u64::try_from(since_round).unwrap_or_default());
        let at = now + (RESULT_RELEASE_INTERVAL - since_round);
        out.push(Command::SetTimer { timer: TimerKey::ResultRelease, at });
    }

    /// Frees the unneeded results of all pools that this daemon dispatches.
    pub(super) fn release_unneeded_results(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        self.is_release_scheduled.store(false, Ordering::Relaxed);
        let mut dispatch_actions = Vec::new();
        lock(&self.dispatcher).free_unneeded_results(now, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Handles the outcome of a batch: settles its pieces or queues them again.
    pub(super) fn handle_batch_outcome(
        &self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_actions = Vec::new();
        lock(&self.dispatcher).handle_outcome(batch, outcome, now, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Records how many bytes of an upstream's result memory are free; `None` if it did not say.
    pub(super) fn record_free_memory(
        &self,
        upstream: &str,
        free: Option<u64>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_actions = Vec::new();
        lock(&self.dispatcher).record_free_memory(upstream, free, now, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Hands over the queued pieces of every pool whose dispatcher is another daemon by now.
    pub(super) fn hand_over_pools(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let waiting_pieces =
            lock(&self.dispatcher).waiting().into_iter().filter(|(_, pieces)| *pieces > 0);
        let mut pools: Vec<String> = waiting_pieces.map(|(pool, _)| pool).collect();
        if pools.is_empty() {
            return;
        }
        {
            let mut fleet = lock(&self.fleet);
            pools.retain(|pool| fleet.dispatcher(pool, &[]) != self.own_instance.vm);
        }
        let mut dispatch_actions = Vec::new();
        for section in pools {
            let pool = PoolSection::from_name(&section).pool;
            let cut_off = lock(&self.links).is_impaired(&pool);
            lock(&self.dispatcher).hand_over(&section, cut_off, &mut dispatch_actions);
        }
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Tells the batch queues of rate-limited pools whether this daemon is their only dispatcher.
    pub(super) fn update_sole_dispatcher(&self, now: MonotonicTime) {
        if !self.limiter.has_limits() {
            return;
        }
        let pools = lock(&self.dispatcher).rate_limited_sections();
        for pool in pools {
            let is_sole = lock(&self.fleet).dispatcher(&pool, &[]) == self.own_instance.vm;
            lock(&self.dispatcher).set_sole_dispatcher(&pool, is_sole, now);
        }
    }

    /// Advances all batch queues of this daemon to `now`: forms batches and expires queued pieces.
    pub(super) fn advance_dispatcher(
        &self,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_actions = Vec::new();
        lock(&self.dispatcher).run_cycle(now, &mut dispatch_actions);
        self.run_dispatch_actions(dispatch_actions, now, actions, out);
    }

    /// Carries out the actions that the batch dispatcher has emitted.
    pub(super) fn run_dispatch_actions(
        &self,
        dispatch_actions: Vec<DispatchAction>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        // New batches go out before the results of the previous one are processed, because their
        // upstream is idle until then.
        let (calls, others): (Vec<DispatchAction>, Vec<DispatchAction>) = dispatch_actions
            .into_iter()
            .partition(|action| matches!(action, DispatchAction::Call(_)));
        for action in calls.into_iter().chain(others) {
            match action {
                DispatchAction::Call(order) => {
                    out.push(Command::Count(CounterName::BatchCalls));
                    out.push(Command::CallBatch(order));
                }
                DispatchAction::Cancel(batch) => out.push(Command::CancelBatch(batch)),
                DispatchAction::ReportOutcome { attempt, pool, outcome } => {
                    self.deliver_pieces_outcome(attempt, &pool, outcome, now, actions, out);
                }
                DispatchAction::FreeInputs { pool, results } => {
                    self.free_results(&pool, results, out)
                }
                DispatchAction::FreeResults { results, excluded } => {
                    out.push(Command::FreeResults { results, excluded });
                }
                DispatchAction::ProbeUpstream { digest, upstream, address } => {
                    self.probe_suspected_upstream((digest, &[]), upstream, address, now, out);
                }
                DispatchAction::QueryFreeMemory { upstream, address } => {
                    out.push(Command::Count(CounterName::RoomQuestions));
                    out.push(Command::QueryFreeMemory { upstream, address });
                }
            }
        }
    }

    /// Delivers the outcome of a batched step to the daemon that sent its pieces.
    fn deliver_pieces_outcome(
        &self,
        attempt: AttemptId,
        pool: &str,
        outcome: Result<Vec<PlacedResult>, PieceFault>,
        now: MonotonicTime,
        actions: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let wait = lock(&self.dispatcher).expected_wait(pool, now);
        if attempt.incarnation != self.own_instance.process_hash() {
            out.push(Command::AnswerPieces { attempt, outcome, wait });
            return;
        }
        let retry_after = wait.retry_after();
        lock(&self.pool_waits).record(pool, wait, &self.own_instance.vm, now);
        let event = match outcome {
            Ok(results) => AttemptEvent::PiecesCompleted(results),
            Err(PieceFault::DispatcherCutOff) => {
                AttemptEvent::DispatcherLost(self.own_instance.vm.clone())
            }
            Err(fault) => AttemptEvent::PiecesFailed { fault, retry_after },
        };
        self.shard(attempt.call.0).handle_attempt_event(attempt, event, now, actions);
    }
}
