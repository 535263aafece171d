use super::core_state::CoreState;
use super::{Command, CounterName};
use crate::batching::{BatchId, BatchOutcome, DispatchStep, DispatcherChoice, PoolSection};
use crate::identity::{AttemptId, MonotonicTime, stable_hash};
use crate::pipeline::{
    AttemptEvent, PieceFault, PieceOrder, PlacedResult, ResultHandle, ShardAction,
};
use crate::sync::lock;

impl CoreState {
    /// Has the pieces of a step made by the dispatcher of their pool.
    pub(super) fn offer_pieces(
        &self,
        mut order: PieceOrder,
        tried: &[String],
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        order.pool = self.section_for(&order.pool, &order.request, now);
        self.shard(order.attempt.call.0).note_section(order.attempt, &order.pool);
        let vm = {
            let fleet = lock(&self.fleet);
            let choice = DispatcherChoice::new(fleet.history.current(), &fleet.view);
            choice.dispatcher(&order.pool, tried).to_owned()
        };
        if vm == self.own.vm {
            self.dispatch_pieces(order, now, steps, out);
        } else {
            out.push(Command::SendPieces { vm, order: Box::new(order) });
        }
    }

    /// Section of `pool` that should make the pieces of the request `key` soonest, of two that are drawn by
    /// its key.
    ///
    /// Guards against all daemons choosing the section of which they last heard that it has room.
    pub(super) fn section_for(&self, pool: &str, key: &str, now: MonotonicTime) -> String {
        let count = lock(&self.dispatcher).sections(pool);
        if count == 1 {
            return pool.to_owned();
        }
        let drawn = PoolSection::candidates(pool, count, stable_hash(&[key]));
        let [first, second] = drawn.map(|section| section.to_string());
        let waits = lock(&self.waits);
        let rank = |section: &str| {
            let wait = waits.wait(section, now);
            (wait.in_time, wait.late_for(u8::MAX))
        };
        if rank(&second) < rank(&first) { second } else { first }
    }

    /// Takes pieces as the dispatcher of their pool.
    pub(super) fn dispatch_pieces(
        &self,
        order: PieceOrder,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_steps = Vec::new();
        if order.digest.is_some_and(|digest| self.quarantine_left(digest, now).is_some()) {
            let fault = PieceFault::Quarantined;
            dispatch_steps.push(DispatchStep::fail(order.attempt, &order.pool, fault));
        } else {
            let ends = order.digest.map_or(0, |digest| lock(&self.crashes).ends(digest));
            lock(&self.dispatcher).offer(order, ends, now, &mut dispatch_steps);
        }
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Has results given up by the dispatcher of their pool, which counts what its upstreams hold.
    pub(super) fn free_results(
        &self,
        pool: &str,
        results: Vec<ResultHandle>,
        out: &mut Vec<Command>,
    ) {
        let vm = {
            let fleet = lock(&self.fleet);
            let choice = DispatcherChoice::new(fleet.history.current(), &fleet.view);
            choice.dispatcher(pool, &[]).to_owned()
        };
        if vm == self.own.vm {
            lock(&self.dispatcher).release(pool, results);
        } else {
            out.push(Command::SendUnwanted { vm, pool: pool.to_owned(), results });
        }
    }

    /// Has unwanted results of the pools given up that this daemon dispatches.
    pub(super) fn turn_unwanted(
        &self,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_steps = Vec::new();
        lock(&self.dispatcher).turn_unwanted(now, &mut dispatch_steps);
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Takes the end of a call of a batched upstream.
    pub(super) fn batch_ended(
        &self,
        batch: BatchId,
        outcome: BatchOutcome,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_steps = Vec::new();
        lock(&self.dispatcher).answered(batch, outcome, now, &mut dispatch_steps);
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Takes an upstream's word on how much of its memory for results is free.
    pub(super) fn room_told(
        &self,
        upstream: &str,
        free: Option<u64>,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_steps = Vec::new();
        lock(&self.dispatcher).room_told(upstream, free, now, &mut dispatch_steps);
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Hands over the pieces that wait here in pools which another daemon dispatches now.
    pub(super) fn hand_over_pools(
        &self,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let waiting =
            lock(&self.dispatcher).waiting().into_iter().filter(|(_, pieces)| *pieces > 0);
        let mut pools: Vec<String> = waiting.map(|(pool, _)| pool).collect();
        if pools.is_empty() {
            return;
        }
        {
            let fleet = lock(&self.fleet);
            let choice = DispatcherChoice::new(fleet.history.current(), &fleet.view);
            pools.retain(|pool| choice.dispatcher(pool, &[]) != self.own.vm);
        }
        let mut dispatch_steps = Vec::new();
        for pool in pools {
            lock(&self.dispatcher).hand_over(&pool, &mut dispatch_steps);
        }
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Finds out which pools with upstreams that name a rate this daemon dispatches.
    pub(super) fn note_duties(&self, now: MonotonicTime) {
        if !self.limiter.has_limits() {
            return;
        }
        let pools = lock(&self.dispatcher).limited_pools();
        for pool in pools {
            let is_sole = {
                let fleet = lock(&self.fleet);
                let choice = DispatcherChoice::new(fleet.history.current(), &fleet.view);
                choice.dispatcher(&pool, &[]) == self.own.vm
            };
            lock(&self.dispatcher).set_sole(&pool, is_sole, now);
        }
    }

    /// Lets time pass for the pieces that wait here.
    pub(super) fn turn_dispatcher(
        &self,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let mut dispatch_steps = Vec::new();
        lock(&self.dispatcher).turn(now, &mut dispatch_steps);
        self.run_dispatch(dispatch_steps, now, steps, out);
    }

    /// Carries out what the dispatcher wants.
    pub(super) fn run_dispatch(
        &self,
        dispatch_steps: Vec<DispatchStep>,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        // Calls go out before anything is told of the one that ended: until then their upstream
        // stands idle.
        let (calls, others): (Vec<DispatchStep>, Vec<DispatchStep>) =
            dispatch_steps.into_iter().partition(|step| matches!(step, DispatchStep::Call(_)));
        for step in calls.into_iter().chain(others) {
            match step {
                DispatchStep::Call(order) => {
                    out.push(Command::Count(CounterName::BatchCalls));
                    out.push(Command::CallBatch(order));
                }
                DispatchStep::Cancel(batch) => out.push(Command::CancelBatch(batch)),
                DispatchStep::Settle { attempt, pool, outcome } => {
                    self.settle(attempt, &pool, outcome, now, steps, out);
                }
                DispatchStep::FreeInputs { pool, results } => {
                    self.free_results(&pool, results, out)
                }
                DispatchStep::Free { results, spared } => {
                    out.push(Command::FreeResults { results, spared });
                }
                DispatchStep::Suspect { digest, upstream, address } => {
                    self.suspect(digest, upstream, address, out);
                }
                DispatchStep::AskRoom { upstream, address } => {
                    out.push(Command::Count(CounterName::RoomQuestions));
                    out.push(Command::AskRoom { upstream, address });
                }
            }
        }
    }

    /// Tells whoever offered pieces what became of them.
    fn settle(
        &self,
        attempt: AttemptId,
        pool: &str,
        outcome: Result<Vec<PlacedResult>, PieceFault>,
        now: MonotonicTime,
        steps: &mut Vec<ShardAction>,
        out: &mut Vec<Command>,
    ) {
        let wait = lock(&self.dispatcher).expected_wait(pool, now);
        if attempt.incarnation != self.own.mark() {
            out.push(Command::AnswerPieces { attempt, outcome, wait });
            return;
        }
        let retry_after = wait.retry_after();
        lock(&self.waits).note(pool, wait, now);
        let event = match outcome {
            Ok(results) => AttemptEvent::PiecesMade(results),
            Err(fault) => AttemptEvent::PiecesFailed { fault, retry_after },
        };
        self.shard(attempt.call.0).attempt_event(attempt, event, now, steps);
    }
}
