//! Test support: a batch dispatcher whose upstreams are simulated by the test.

use std::collections::HashMap;
use std::time::Duration;

use crocusdale_core::admission::AdmissionClass;
use crocusdale_core::batching::{
    BatchDispatcher, BatchId, BatchOrder, BatchOutcome, DispatchAction, ItemOutcome,
};
use crocusdale_core::configuration::{
    BatchRules, Declarations, DeclarationsBuilder, PoolKind, StageRules,
};
use crocusdale_core::identity::{AttemptId, CallId, MonotonicTime, SoftwareVersion};
use crocusdale_core::pipeline::{PieceFault, PieceOrder, PieceSource, PlacedResult, ResultHandle};
use crocusdale_core::retry::RetryLimits;
use crocusdale_core::routing::{DirectoryEntry, UpstreamDirectory};

/// Name of the pool under test.
pub const POOL: &str = "rerank";
/// Fixed duration of a call, in milliseconds.
pub const CALL_MS: u64 = 200;
/// Additional duration of a call per piece, in milliseconds.
pub const PIECE_MS: u64 = 5;
/// Maximum number of pieces in a call.
pub const PIECES: u32 = 20;
/// Memory for results of each upstream, in bytes.
pub const RESULT_MEMORY_BYTES: u64 = 1_000_000;

pub fn rules() -> BatchRules {
    BatchRules {
        slots: 1,
        pieces: PIECES,
        call_time: Duration::from_millis(CALL_MS),
        piece_time: Duration::from_millis(PIECE_MS),
        result_bytes: RESULT_MEMORY_BYTES,
        result_lifetime: Duration::from_secs(4),
    }
}

pub fn declarations() -> Declarations {
    let stage = StageRules::published(PoolKind::Batch(rules()), None);
    DeclarationsBuilder::new("test", Duration::from_secs(1)).stage(POOL, stage).build()
}

pub fn entry(id: &str, zone: &str) -> DirectoryEntry {
    DirectoryEntry {
        started_at_ms: None,
        id: id.to_owned(),
        pool: POOL.to_owned(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 1,
        leaving: false,
        software_version: SoftwareVersion::new("v1"),
    }
}

/// A dispatcher on a virtual clock, with the actions that it has requested.
pub struct Bench {
    pub dispatcher: BatchDispatcher,
    pub now: MonotonicTime,
    pub calls: Vec<BatchOrder>,
    pub outcomes: Vec<(AttemptId, Result<Vec<PlacedResult>, PieceFault>)>,
    pub cancelled: Vec<BatchId>,
    /// Upstreams that were queried for their free memory.
    pub memory_queries: Vec<String>,
    /// Free memory that upstreams report at once, in bytes. `None` leaves the query unanswered.
    pub free_memory: Option<u64>,
    /// Results of other pools that were freed after their use as inputs.
    pub freed_inputs: Vec<ResultHandle>,
    pub next: u64,
}

impl Bench {
    pub fn new(upstreams: &[(&str, &str)]) -> Self {
        Self::with_reserve(upstreams, 400.0)
    }

    pub fn with_reserve(upstreams: &[(&str, &str)], reserve: f64) -> Self {
        let mut bench = Self {
            dispatcher: BatchDispatcher::default(),
            now: MonotonicTime::from_millis(10_000),
            calls: Vec::new(),
            outcomes: Vec::new(),
            cancelled: Vec::new(),
            memory_queries: Vec::new(),
            free_memory: Some(RESULT_MEMORY_BYTES),
            freed_inputs: Vec::new(),
            next: 0,
        };
        bench.dispatcher.set_retries(RetryLimits {
            ratio: 0.2,
            reserve,
            window: Duration::from_secs(10),
        });
        bench.publish(upstreams);
        // A new process starts with an empty retry budget, because its predecessor may have used
        // up the retries. First attempts fill the budget.
        for _ in 0..100 {
            let order = bench.order(1, 900);
            bench.submit_pieces(order);
            bench.advance(CALL_MS + PIECE_MS);
            while !bench.calls.is_empty() {
                bench.end_call(successful_item);
            }
        }
        bench.advance(5_000);
        bench.outcomes.clear();
        bench
    }

    pub fn publish(&mut self, upstreams: &[(&str, &str)]) {
        let mut directory = UpstreamDirectory::default();
        let entries = upstreams.iter().map(|(id, zone)| (1, entry(id, zone))).collect();
        directory.replace(1, entries, None);
        let mut actions = Vec::new();
        let backoffs = HashMap::new();
        self.dispatcher.reconfigure(&declarations(), &directory, &backoffs, self.now, &mut actions);
        self.take(actions);
    }

    pub fn order(&mut self, pieces: u32, due_ms: u64) -> PieceOrder {
        self.next += 1;
        PieceOrder {
            attempt: AttemptId { incarnation: 1, call: CallId(self.next), sequence: 1 },
            request: format!("request-{}", self.next),
            digest: None,
            pool: POOL.to_owned(),
            step: 0,
            pieces,
            result_bytes: 1_000,
            source: PieceSource::Caller("letter".to_owned()),
            zone: None,
            level: 1,
            target_end: self.now + Duration::from_millis(due_ms),
            expires: self.now + Duration::from_secs(6),
            inputs_pool: None,
            is_flood: false,
            admission: AdmissionClass::Local,
            is_resubmission: false,
        }
    }

    pub fn submit_pieces(&mut self, order: PieceOrder) -> AttemptId {
        let (attempt, mut actions) = (order.attempt, Vec::new());
        self.dispatcher.submit(order, 0, self.now, &mut actions);
        self.take(actions);
        attempt
    }

    pub fn take(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Call(order) => self.calls.push(order),
                DispatchAction::Cancel(batch) => self.cancelled.push(batch),
                DispatchAction::ReportOutcome { attempt, outcome, .. } => {
                    self.outcomes.push((attempt, outcome));
                }
                DispatchAction::FreeResults { .. } | DispatchAction::ProbeUpstream { .. } => {}
                DispatchAction::FreeInputs { results, .. } => self.freed_inputs.extend(results),
                DispatchAction::QueryFreeMemory { upstream, .. } => {
                    self.memory_queries.push(upstream.clone());
                    if self.free_memory.is_some() {
                        self.report_free_memory(&upstream, self.free_memory);
                    }
                }
            }
        }
    }

    pub fn report_free_memory(&mut self, upstream: &str, free: Option<u64>) {
        let mut actions = Vec::new();
        self.dispatcher.record_free_memory(upstream, free, self.now, &mut actions);
        self.take(actions);
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = (self.now + Duration::from_millis(50)).min(end);
            let mut actions = Vec::new();
            self.dispatcher.run_cycle(self.now, &mut actions);
            self.take(actions);
        }
    }

    /// Ends the oldest call. `outcome` returns the outcome of each piece by its position in the
    /// call.
    pub fn end_call(&mut self, outcome: impl Fn(usize) -> ItemOutcome) -> BatchOrder {
        let order = self.calls.remove(0);
        let items = (0..order.items.len()).map(outcome).collect();
        let mut actions = Vec::new();
        let outcome = BatchOutcome::Answered(items);
        self.dispatcher.handle_outcome(order.batch, outcome, self.now, &mut actions);
        self.take(actions);
        order
    }

    pub fn end_call_as(&mut self, outcome: BatchOutcome) -> BatchOrder {
        let order = self.calls.remove(0);
        let mut actions = Vec::new();
        self.dispatcher.handle_outcome(order.batch, outcome, self.now, &mut actions);
        self.take(actions);
        order
    }
}

pub fn successful_item(index: usize) -> ItemOutcome {
    ItemOutcome::Made(ResultHandle::new(&format!("127.0.0.1:9000/{index}")))
}
