use std::collections::BTreeMap;

use crocusdale_core::identity::MonotonicTime;

use super::model_callers::ModelRequest;
use super::model_load::{ModelKind, ModelLoad};

/// Part of the requests of a kind, by size, that counts as its largest.
const LARGEST: f64 = 0.1;
/// Times that a subject has to be asked for to count as starved when it is never served.
const ASKED_OFTEN: u32 = 4;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindTally {
    /// All of them.
    pub asked: u32,
    /// First event within the objective, and whole.
    pub in_time: u32,
    /// Whole, but late.
    pub late: u32,
    /// Refused, and not run.
    pub refused: u32,
    /// Ended without a whole answer in another way.
    pub failed: u32,
}

/// What the upstreams of a batched pool did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolTally {
    /// Calls that they worked on.
    pub calls: u64,
    /// Pieces in them.
    pub pieces: u64,
    /// Seconds that they worked, of all upstreams together.
    pub worked: f64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    Served,
    Refused,
    Failed,
}

impl KindTally {
    /// Share in time, from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    fn count(&mut self, end: RequestEnd, in_time: bool) {
        self.asked += 1;
        match end {
            RequestEnd::Served if in_time => self.in_time += 1,
            RequestEnd::Served => self.late += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Failed => self.failed += 1,
        }
    }
}

/// How a run of the model ended.
#[derive(Clone, Debug, Default)]
pub struct ModelReport {
    /// By kind of request.
    pub kinds: BTreeMap<String, KindTally>,
    /// By workspace.
    pub workspaces: Vec<KindTally>,
    /// Of the largest tenth of each kind.
    pub largest: BTreeMap<String, KindTally>,
    /// Median and 99th percentile of the time to the first event, in milliseconds, by kind.
    pub first_ms: BTreeMap<String, (u64, u64)>,
    /// Subjects that were asked for often, and those of them that were never served.
    pub subjects: (usize, usize),
    /// Requests that came back after they were refused, and those of them that were served.
    pub returned: (u32, u32),
    /// Median of the time that requests were held which were refused in the end, in milliseconds.
    pub refused_ms: u64,
    /// By the second in which requests came.
    pub seconds: Vec<KindTally>,
    /// What the batched pools did, by name.
    pub pools: BTreeMap<String, PoolTally>,
    /// Calls that batched upstreams refused.
    pub refused_calls: u64,
    /// Pieces that found no memory for their results.
    pub overloaded: u64,
    /// Seconds that batched upstreams worked for requests that were not served in the end.
    pub wasted: f64,
    /// Prompt tokens that engines read.
    pub prompt_tokens: u64,
    /// Those of shared parts that some engine had read before.
    pub read_again: u64,
    /// Bytes of results that were fetched from another zone.
    pub crossed_bytes: u64,
    ended: Vec<EndedRequest>,
    held_ms: Vec<u64>,
}

/// What is kept of a request that has ended.
#[derive(Clone, Copy, Debug)]
struct EndedRequest {
    kind: usize,
    subject: usize,
    size: u64,
    end: RequestEnd,
    in_time: bool,
    /// Time to the first event, in milliseconds.
    first_ms: Option<u64>,
}

impl ModelReport {
    /// Share of the requests of `kind` that were in time.
    #[must_use]
    pub fn share(&self, kind: &str) -> f64 {
        self.kinds.get(kind).map_or(0.0, KindTally::share)
    }

    /// Share of all requests that were in time.
    #[must_use]
    pub fn share_of_all(&self) -> f64 {
        let asked: u32 = self.kinds.values().map(|each| each.asked).sum();
        let in_time: u32 = self.kinds.values().map(|each| each.in_time).sum();
        f64::from(in_time) / f64::from(asked.max(1))
    }

    pub(super) fn count(
        &mut self,
        request: &ModelRequest,
        kind: &ModelKind,
        end: RequestEnd,
        second: f64,
        now: MonotonicTime,
    ) {
        let limit = request.arrived + kind.objective;
        let in_time = request.first.is_some_and(|first| first <= limit);
        self.kinds.entry(kind.name.clone()).or_default().count(end, in_time);
        grow(&mut self.workspaces, request.workspace).count(end, in_time);
        grow(&mut self.seconds, second.max(0.0) as usize).count(end, in_time);
        if end == RequestEnd::Refused {
            self.held_ms.push(now.since(request.arrived).as_millis() as u64);
        }
        if end != RequestEnd::Served {
            self.wasted += request.worked;
        }
        if request.returned {
            self.returned.0 += 1;
            self.returned.1 += u32::from(end == RequestEnd::Served);
        }
        let (kind, subject, size) = (request.kind, request.subject, request.size());
        let first_ms = request.first.map(|first| first.since(request.arrived).as_millis() as u64);
        self.ended.push(EndedRequest { kind, subject, size, end, in_time, first_ms });
    }

    /// Adds what can only be said of all requests together.
    pub(super) fn finish(mut self, load: &ModelLoad) -> Self {
        let mut subjects: BTreeMap<(usize, usize), (u32, u32)> = BTreeMap::new();
        for ended in &self.ended {
            let counts = subjects.entry((ended.kind, ended.subject)).or_default();
            *counts = (counts.0 + 1, counts.1 + u32::from(ended.end == RequestEnd::Served));
        }
        let often = subjects.values().filter(|(asked, _)| *asked >= ASKED_OFTEN);
        let often: Vec<_> = often.collect();
        let starved = often.iter().filter(|(_, served)| *served == 0).count();
        self.subjects = (often.len(), starved);
        for (position, kind) in load.kinds.iter().enumerate() {
            let mut of_kind: Vec<EndedRequest> =
                self.ended.iter().filter(|each| each.kind == position).copied().collect();
            let first_ms = of_kind.iter().filter_map(|each| each.first_ms).collect();
            self.first_ms.insert(kind.name.clone(), percentiles(first_ms));
            of_kind.sort_by_key(|each| std::cmp::Reverse(each.size));
            let largest = (of_kind.len() as f64 * LARGEST).ceil() as usize;
            let tally = self.largest.entry(kind.name.clone()).or_default();
            for ended in &of_kind[..largest] {
                tally.count(ended.end, ended.in_time);
            }
        }
        self.refused_ms = percentiles(std::mem::take(&mut self.held_ms)).0;
        self.ended.clear();
        self
    }

    /// Pieces of a call, on average over all pools.
    #[must_use]
    pub fn fill(&self) -> f64 {
        let calls: u64 = self.pools.values().map(|pool| pool.calls).sum();
        let pieces: u64 = self.pools.values().map(|pool| pool.pieces).sum();
        pieces as f64 / calls.max(1) as f64
    }

    /// Share of the batched upstreams' work that was for requests which were not served.
    #[must_use]
    pub fn wasted_share(&self) -> f64 {
        let worked: f64 = self.pools.values().map(|pool| pool.worked).sum();
        self.wasted / worked.max(f64::EPSILON)
    }

    /// Workspace whose requests were in time least often, with its share.
    #[must_use]
    pub fn worst_workspace(&self) -> (usize, f64) {
        let shares = self.workspaces.iter().map(KindTally::share).enumerate();
        shares.min_by(|left, right| left.1.total_cmp(&right.1)).unwrap_or_default()
    }

    /// Share of the callers that came back after a refusal which were served.
    #[must_use]
    pub fn returned_share(&self) -> f64 {
        f64::from(self.returned.1) / f64::from(self.returned.0.max(1))
    }
}

fn grow(tallies: &mut Vec<KindTally>, position: usize) -> &mut KindTally {
    if tallies.len() <= position {
        tallies.resize(position + 1, KindTally::default());
    }
    &mut tallies[position]
}

/// Median and 99th percentile of times.
fn percentiles(mut times: Vec<u64>) -> (u64, u64) {
    times.sort_unstable();
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
    (at(0.5).unwrap_or_default(), at(0.99).unwrap_or_default())
}
