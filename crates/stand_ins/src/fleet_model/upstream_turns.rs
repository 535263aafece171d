//! What the upstreams of a run do.

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::batching::{BatchItem, BatchOrder, BatchOutcome, ItemOutcome};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::AttemptId;
use crocusdale_core::pipeline::{
    AttemptEvent, ExecutionStatus, ForwardOrder, PieceSource, ResponseHead, ResultHandle,
};

use super::batch_model::{BatchModel, PieceCost, SentCall, holder};
use super::engine_model::EngineNews;
use super::fleet_run::{FleetRun, HOP, ModelEvent};
use super::model_callers::ModelRequest;
use super::model_load::ModelLoad;

impl FleetRun<'_> {
    pub(super) fn call_batch(&mut self, life: u64, order: BatchOrder) {
        let name = order.upstream.clone();
        let Some(upstream) = self.batches.get_mut(&name) else { return };
        match upstream.take(SentCall { life, order }) {
            Ok(true) => self.work(name),
            Ok(false) => {}
            Err(call) => {
                self.report.refused_calls += 1;
                let (batch, outcome) = (call.order.batch, BatchOutcome::Declined);
                self.push_core(HOP, call.life, DaemonEvent::BatchEnded { batch, outcome });
            }
        }
    }

    /// The first call at an upstream is worked on.
    fn work(&mut self, name: String) {
        let Some(mut upstream) = self.batches.remove(&name) else { return };
        let cost = |request: &str, step| piece_cost(self.load, &self.requests, request, step);
        let has = |handle: &ResultHandle| {
            self.batches.get(holder(handle)).is_some_and(|each| each.has(handle, self.now))
        };
        let time = upstream.begin_call(self.now, cost, has);
        let (zone, items) = (upstream.zone, upstream.items().to_vec());
        self.batches.insert(name.clone(), upstream);
        let Some(time) = time else { return };
        for item in &items {
            if let PieceSource::Results(handles) = &item.source {
                self.count_crossed(handles, zone);
            }
        }
        let tally = self.report.pools.entry(pool_name(&name).to_owned()).or_default();
        tally.calls += 1;
        tally.pieces += items.len() as u64;
        tally.worked += time.as_secs_f64();
        self.share_work(&items, time);
        self.push(time, ModelEvent::CallEnd { upstream: name });
    }

    pub(super) fn end_call(&mut self, name: &str) {
        let ended = self.batches.get_mut(name).and_then(BatchModel::end_call);
        if let Some((call, outcomes)) = ended {
            let overloaded = outcomes.iter().filter(|each| **each == ItemOutcome::NoRoom).count();
            self.report.overloaded += overloaded as u64;
            let (batch, outcome) = (call.order.batch, BatchOutcome::Answered(outcomes));
            self.push_core(HOP, call.life, DaemonEvent::BatchEnded { batch, outcome });
        }
        self.work(name.to_owned());
    }

    /// Shares the time of a call among the requests in it.
    fn share_work(&mut self, items: &[BatchItem], time: Duration) {
        let each = time.as_secs_f64() / items.len().max(1) as f64;
        for item in items {
            let number: Option<u64> = item.request.parse().ok();
            match number.and_then(|number| self.requests.get_mut(&number)) {
                Some(request) => request.worked += each,
                None => self.report.wasted += each,
            }
        }
    }

    fn count_crossed(&mut self, handles: &[ResultHandle], zone: usize) {
        for handle in handles {
            let from = self.batches.get(holder(handle)).filter(|each| each.zone != zone);
            let bytes = from.and_then(|each| each.bytes_of(handle));
            self.report.crossed_bytes += bytes.unwrap_or_default();
        }
    }

    pub(super) fn free(&mut self, results: &[ResultHandle]) {
        for result in results {
            if let Some(upstream) = self.batches.get_mut(holder(result)) {
                upstream.free(result);
            }
        }
    }

    /// A request reaches an engine.
    pub(super) fn relay(&mut self, order: &ForwardOrder) {
        let attempt = order.attempt;
        let call = (self.life_of(attempt), attempt.call);
        let Some(number) = self.calls.get(&call).copied() else { return };
        let Some(demand) = self.requests.get(&number).map(|request| request.demand.clone()) else {
            return;
        };
        let gone = order.inputs.iter().any(|handle| {
            !self.batches.get(holder(handle)).is_some_and(|each| each.has(handle, self.now))
        });
        if gone {
            let head = ResponseHead { status: 503, execution: ExecutionStatus::InputGone };
            let event = AttemptEvent::HeadReceived(head);
            self.push_core(HOP, self.life_of(attempt), DaemonEvent::Attempt { attempt, event });
            return;
        }
        let Some((zone, engine)) = self.engines.get_mut(&order.upstream) else { return };
        let zone = *zone;
        let idle = engine.take(attempt, demand);
        self.count_crossed(&order.inputs, zone);
        if idle {
            self.begin_step(order.upstream.clone());
        }
    }

    fn begin_step(&mut self, engine: String) {
        let Some((_, model)) = self.engines.get_mut(&engine) else { return };
        if let Some(time) = model.begin_step(&mut self.read_parts) {
            self.push(time, ModelEvent::EngineStep { engine });
        }
    }

    pub(super) fn step_engine(&mut self, name: &str) {
        let Some((_, engine)) = self.engines.get_mut(name) else { return };
        for news in engine.end_step() {
            match news {
                EngineNews::First(attempt) => {
                    self.first_event(attempt);
                    let head = ResponseHead { status: 200, execution: ExecutionStatus::Ran };
                    let event = AttemptEvent::HeadReceived(head);
                    let event = DaemonEvent::Attempt { attempt, event };
                    self.push_core(HOP, self.life_of(attempt), event);
                }
                EngineNews::Last(attempt) => {
                    let event =
                        DaemonEvent::Attempt { attempt, event: AttemptEvent::ResponseForwarded };
                    self.push_core(HOP * 2, self.life_of(attempt), event);
                }
            }
        }
        self.begin_step(name.to_owned());
    }

    /// The caller sees its first event two messages after its engine has made it.
    fn first_event(&mut self, attempt: AttemptId) {
        let number = self.calls.get(&(self.life_of(attempt), attempt.call));
        if let Some(request) = number.and_then(|number| self.requests.get_mut(number)) {
            request.first = Some(self.now + HOP * 2);
        }
    }
}

/// Pool of an upstream, by its name.
fn pool_name(upstream: &str) -> &str {
    upstream.rsplit_once('-').map_or(upstream, |(pool, _)| pool)
}

/// What a piece of a request costs; one of a request that has ended costs what any piece does.
fn piece_cost(
    load: &ModelLoad,
    requests: &HashMap<u64, ModelRequest>,
    request: &str,
    step: u32,
) -> PieceCost {
    let number: Option<u64> = request.parse().ok();
    let request = number.and_then(|number| requests.get(&number));
    let step = request.and_then(|request| load.kind(request.kind).steps.get(step as usize));
    step.map_or(PieceCost { work: 1.0, bytes: 0 }, |step| PieceCost {
        work: step.work,
        bytes: step.bytes,
    })
}
