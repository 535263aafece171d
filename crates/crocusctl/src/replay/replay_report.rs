use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Result;
use crocusdale_core::pipeline::{FinalOutcome, OutcomeKind};
use hdrhistogram::Histogram;

use super::TraceLine;
use crate::output::out_line;

/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// How one request of a trace ended.
pub(crate) struct ReplayResult {
    pub(crate) line: TraceLine,
    pub(crate) outcome: Result<FinalOutcome>,
    pub(crate) latency: Duration,
}

/// What a replay showed.
pub(crate) struct ReplayReport {
    results: Vec<ReplayResult>,
    latencies: Histogram<u64>,
    length: Duration,
}

/// Numbers of one group of requests.
#[derive(Default)]
struct GroupTally {
    all: u32,
    attained: u32,
}

impl ReplayResult {
    fn is_attained(&self) -> bool {
        let answered =
            matches!(&self.outcome, Ok(outcome) if outcome.outcome == OutcomeKind::Answered);
        answered && self.latency <= Duration::from_millis(self.line.request.deadline_ms)
    }

    /// What is wrong with it, if anything.
    fn fault(&self) -> Option<String> {
        let key = &self.line.request.key;
        match &self.outcome {
            Err(error) => Some(format!("{key}: no final answer: {error:#}")),
            Ok(outcome) if !self.line.expect.contains(&outcome.outcome) => {
                let reason = outcome.reason.map(|reason| reason.to_string()).unwrap_or_default();
                Some(format!(
                    "{key}: {} {reason}, expected {:?}",
                    outcome.outcome, self.line.expect
                ))
            }
            Ok(outcome) if outcome.outcome == OutcomeKind::Answered => {
                let answer = outcome.answer.as_ref().map(|answer| answer.get()).unwrap_or_default();
                let own = answer.contains(&self.line.contains);
                (!own)
                    .then(|| format!("{key}: the answer lacks {:?}: {answer}", self.line.contains))
            }
            Ok(_) => None,
        }
    }
}

impl ReplayReport {
    pub(crate) fn new(results: Vec<ReplayResult>, length: Duration) -> Self {
        let mut latencies =
            Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are valid");
        for result in &results {
            let micros = u64::try_from(result.latency.as_micros()).unwrap_or(LONGEST_MICROS);
            latencies.saturating_record(micros.max(1));
        }
        Self { results, latencies, length }
    }

    /// Requests whose outcome is not as stated.
    pub(crate) fn wrong(&self) -> Vec<String> {
        self.results.iter().filter_map(ReplayResult::fault).collect()
    }

    pub(crate) fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    pub(crate) fn print(&self) {
        let count = self.results.len();
        let wrong = self.wrong().len();
        out_line!("requests {count}, not as stated {wrong}, {:.2} s", self.length.as_secs_f64());
        out_line!(
            "latency ms: p50 {:.2} p95 {:.2} p99 {:.2} max {:.2}",
            self.latency_ms(0.5),
            self.latency_ms(0.95),
            self.latency_ms(0.99),
            self.latency_ms(1.0),
        );
        self.print_outcomes();
        self.print_groups("workspace", |line| line.request.workspace.clone());
        self.print_groups("job", |line| line.request.labels.get("job").unwrap_or("-").to_owned());
        self.print_costs();
    }

    fn print_outcomes(&self) {
        let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
        for result in &self.results {
            let name = match &result.outcome {
                Ok(outcome) => match outcome.reason {
                    Some(reason) => format!("{} ({reason})", outcome.outcome),
                    None => outcome.outcome.to_string(),
                },
                Err(_) => "no final answer".to_owned(),
            };
            *outcomes.entry(name).or_default() += 1;
        }
        for (name, count) in outcomes {
            out_line!("  {name}: {count}");
        }
    }

    fn print_groups(&self, title: &str, group: impl Fn(&TraceLine) -> String) {
        let mut groups: BTreeMap<String, GroupTally> = BTreeMap::new();
        for result in &self.results {
            let tally = groups.entry(group(&result.line)).or_default();
            tally.all += 1;
            tally.attained += u32::from(result.is_attained());
        }
        out_line!("attainment by {title}");
        for (name, tally) in groups {
            let share = f64::from(tally.attained) / f64::from(tally.all) * 100.0;
            out_line!("  {name}: {share:.2}% of {}", tally.all);
        }
    }

    fn print_costs(&self) {
        let mut costs: BTreeMap<&str, (f64, u32)> = BTreeMap::new();
        let outcomes = self.results.iter().filter_map(|result| result.outcome.as_ref().ok());
        for cost in outcomes.flat_map(|outcome| &outcome.stages) {
            let sum = costs.entry(&cost.stage).or_default();
            sum.0 += cost.cost;
            sum.1 += cost.attempts;
        }
        if !costs.is_empty() {
            out_line!("cost by stage");
        }
        for (stage, (cost, attempts)) in costs {
            out_line!("  {stage}: {cost:.2} in {attempts} attempts");
        }
    }
}
