//! Logs and metrics.

mod log_setup;
mod metric_set;

use std::time::Duration;

use crocusdale_core::batching::{BatchOrder, BatchOutcome, ItemOutcome};
use crocusdale_core::daemon::{CounterName, StateChange};
use crocusdale_core::identity::SoftwareVersion;
use crocusdale_core::pipeline::FinalAnswer;
use slog::{Logger, info};

pub use log_setup::start_log;
pub use metric_set::MetricSet;

/// Logs and metrics of one process.
#[derive(Debug)]
pub struct Telemetry {
    /// Logger that every part of the process writes to.
    pub log: Logger,
    /// Metrics that operators scrape.
    pub metrics: MetricSet,
}

impl Telemetry {
    /// Creates metrics with the value zero, and logs to `log`.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self { log, metrics: MetricSet::new() }
    }

    /// Increments `counter` by one.
    pub fn count(&self, counter: CounterName) {
        self.metrics.count(counter);
    }

    /// Counts a final answer and logs how its request was processed.
    ///
    /// The line lists the stages with upstream, time and attempts of each, the stage at which the
    /// request ended and the configuration revision at its end. Input and output of the caller are
    /// never logged.
    pub fn request_ended(&self, answer: &FinalAnswer, revision: u64) {
        self.metrics.count_outcome(answer);
        info!(self.log, "request_ended";
            "request" => &answer.key.key, "workspace" => &answer.key.workspace,
            "outcome" => answer.kind.to_string(),
            "reason" => answer.reason.map(|reason| reason.to_string()),
            "ended_at" => answer.stage.as_deref(), "revision" => revision,
            "retry_after_ms" => answer.retry_after.map(millis),
            "took_ms" => answer.duration.map(millis),
            "stages" => slog::Serde(answer.stages.clone()));
    }

    /// Logs the outcome of a batch: how many pieces succeeded, and the first fault if any failed.
    pub fn batch_ended(&self, order: &BatchOrder, outcome: &BatchOutcome, time: Duration) {
        let made_count = match outcome {
            BatchOutcome::Answered(items) => {
                items.iter().filter(|item| matches!(item, ItemOutcome::Made(_))).count()
            }
            _ => 0,
        };
        let first_fault = match outcome {
            BatchOutcome::Answered(items) => {
                let failed_item = items.iter().find(|item| !matches!(item, ItemOutcome::Made(_)));
                failed_item.map(ToString::to_string)
            }
            other => Some(other.to_string()),
        };
        info!(self.log, "batch_ended";
            "upstream" => &order.upstream, "pieces" => order.items.len(), "made" => made_count,
            "unmade" => first_fault, "time_ms" => millis(time));
    }

    /// Logs a state change of the daemon under the name of its variant.
    pub fn log_state_change(&self, change: &StateChange) {
        let (log, name) = (&self.log, <&'static str>::from(change));
        match change {
            StateChange::ConfigurationInForce { revision }
            | StateChange::ConfigurationConflict { revision } => {
                info!(log, "{}", name; "revision" => revision);
            }
            StateChange::ConfigurationRejected { revision, error, errors } => {
                info!(log, "{}", name;
                    "revision" => revision, "error" => error, "errors" => errors);
            }
            StateChange::RosterTaken { revision, vms } => {
                info!(log, "{}", name; "revision" => revision, "vms" => vms);
            }
            StateChange::DirectoryTaken { era, revision, upstreams, peer, age_ms } => {
                info!(log, "{}", name;
                    "era" => era, "revision" => revision, "upstreams" => upstreams,
                    "peer" => peer.as_deref(), "age_ms" => age_ms);
            }
            StateChange::StoreRestored { before, after, missing, peer } => {
                info!(log, "{}", name;
                    "before" => before.to_string(), "after" => after.to_string(),
                    "missing" => missing, "peer" => peer.as_deref());
            }
            StateChange::ZoneEvacuated { zone, peer } | StateChange::ZoneOpened { zone, peer } => {
                info!(log, "{}", name; "zone" => zone, "peer" => peer.as_deref());
            }
            StateChange::DirectoryAged { age_ms, reader } => {
                info!(log, "{}", name; "age_ms" => age_ms, "reader" => reader);
            }
            StateChange::DirectoryOverdue { age_ms } => {
                info!(log, "{}", name; "age_ms" => age_ms);
            }
            StateChange::RequestWaits { request, verdict, needed_ms, objective_ms, is_flood } => {
                info!(log, "{}", name;
                    "request" => &request.key, "workspace" => &request.workspace,
                    "verdict" => verdict, "needed_ms" => needed_ms,
                    "objective_ms" => objective_ms, "flood" => is_flood);
            }
            StateChange::StepNotBegun { request, stage, needed_ms, left_ms, delays_age_ms } => {
                info!(log, "{}", name;
                    "request" => &request.key, "workspace" => &request.workspace,
                    "stage" => stage, "needed_ms" => needed_ms, "left_ms" => left_ms,
                    "delays_age_ms" => delays_age_ms);
            }
            StateChange::AdmissionDecided {
                section,
                digest,
                workspace,
                level,
                verdict,
                wait_ms,
                forecast_ms,
                late_wait_ms,
                objective_ms,
                deadline_ms,
                status_age_ms,
                is_over_share,
            } => {
                info!(log, "{}", name;
                    "section" => section, "digest" => digest.to_string(),
                    "workspace" => workspace, "level" => level, "verdict" => verdict,
                    "wait_ms" => wait_ms, "forecast_ms" => forecast_ms,
                    "late_wait_ms" => late_wait_ms, "objective_ms" => objective_ms,
                    "deadline_ms" => deadline_ms, "status_age_ms" => status_age_ms,
                    "over_share" => is_over_share);
            }
            StateChange::AdmissionFellBack { request, coordinator } => {
                info!(log, "{}", name;
                    "request" => &request.key, "workspace" => &request.workspace,
                    "coordinator" => coordinator);
            }
            StateChange::AttemptBroken { request, digest, upstream, parts, reason } => {
                info!(log, "{}", name;
                    "request" => &request.key, "workspace" => &request.workspace,
                    "digest" => digest.to_string(), "upstream" => upstream,
                    "parts" => slog::Serde(parts.clone()),
                    "reason" => reason.to_string());
            }
            StateChange::RequestQuarantined { digest, ends, peer } => {
                info!(log, "{}", name;
                    "digest" => digest.to_string(), "ends" => ends, "peer" => peer.as_deref());
            }
            StateChange::AdmissionEntriesDropped { table, dropped } => {
                info!(log, "{}", name; "table" => table, "dropped" => dropped);
            }
            StateChange::QuarantineLifted { digest } => {
                info!(log, "{}", name; "digest" => digest.to_string());
            }
            StateChange::StreamResumed {
                request,
                first_attempt,
                began_at,
                upstream,
                software_version,
            } => {
                let began_at = began_at.as_ref();
                let first_version = began_at.and_then(|origin| origin.software_version.as_ref());
                info!(log, "{}", name;
                    "request" => &request.key, "workspace" => &request.workspace,
                    "first_attempt" => first_attempt.as_deref(),
                    "first_pool" => began_at.map(|origin| &origin.pool),
                    "first_version" => first_version.map(SoftwareVersion::as_str),
                    "upstream" => upstream,
                    "version" => software_version.as_ref().map(SoftwareVersion::as_str));
            }
            StateChange::PartQuarantined { part, ends, companions, peer } => {
                info!(log, "{}", name;
                    "part" => part.to_string(), "ends" => ends,
                    "only_with" => slog::Serde(companions.clone()), "peer" => peer.as_deref());
            }
            StateChange::PartQuarantineLifted { part } => {
                info!(log, "{}", name; "part" => part.to_string());
            }
            StateChange::UpstreamCrashed { upstream, requests } => {
                info!(log, "{}", name; "upstream" => upstream, "requests" => requests);
            }
            StateChange::UpstreamAway { upstream, stay_away_ms } => {
                info!(log, "{}", name; "upstream" => upstream, "stay_away_ms" => stay_away_ms);
            }
            StateChange::UpstreamCold { upstream, left_ms } => {
                info!(log, "{}", name; "upstream" => upstream, "left_ms" => left_ms);
            }
            StateChange::UpstreamLimited { upstream, rate, peer } => {
                info!(log, "{}", name;
                    "upstream" => upstream, "requests_per_s" => rate.per_second(),
                    "peer" => peer.as_deref());
            }
            StateChange::UpstreamUnlimited { upstream, sent, peer } => {
                info!(log, "{}", name;
                    "upstream" => upstream, "sent" => sent, "peer" => peer.as_deref());
            }
            StateChange::LinksImpaired { pool, reach } => {
                info!(log, "{}", name; "pool" => pool, "reach" => reach.to_string());
            }
            StateChange::LinksRestored { pool, impaired_ms } => {
                info!(log, "{}", name; "pool" => pool, "impaired_ms" => impaired_ms);
            }
            StateChange::UpstreamLeaving { upstream } => {
                info!(log, "{}", name; "upstream" => upstream);
            }
            StateChange::PlacementCoordinatorLost { vm, section, pending } => {
                info!(log, "{}", name; "peer" => vm, "section" => section, "pending" => pending);
            }
            StateChange::Ready { since_start_ms } => {
                info!(log, "{}", name; "since_start_ms" => since_start_ms);
            }
            StateChange::NotReady { gap, since_start_ms } => {
                info!(log, "{}", name;
                    "missing" => gap.to_string(), "since_start_ms" => since_start_ms);
            }
            StateChange::Paused { millis } => info!(log, "{}", name; "paused_ms" => millis),
            StateChange::PeerStatus { vm, status } => {
                info!(log, "{}", name; "peer" => vm, "status" => status);
            }
            StateChange::PlatformLost
            | StateChange::PlatformRegained
            | StateChange::Draining
            | StateChange::Drained => info!(log, "{}", name),
        }
    }
}

/// Returns `time` in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
