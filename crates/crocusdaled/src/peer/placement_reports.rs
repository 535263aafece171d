use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::placement::PlacementReport;
use crocusdale_core::sync::lock;
use crocusdale_schema::peer::ReportPlacementsRequest;

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time for which reports to one coordinator are collected, so that one call holds those of many
/// requests.
const BATCHING_DELAY: Duration = Duration::from_millis(20);
/// Timeout of the call that reports. Without reports, the coordinator counts a request until its
/// deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that wait for one call. Further ones are dropped, since the
/// coordinator does not keep up.
const MAX_PENDING_REPORTS: usize = 4_096;

/// Reports about placed requests, until they are sent to their placement coordinators.
#[derive(Debug, Default)]
pub(super) struct PlacementReports {
    /// Reports by the VM of the coordinator, then by the section of the engine pool.
    pending: Mutex<HashMap<String, HashMap<String, Vec<PlacementReport>>>>,
}

impl PlacementReports {
    /// Queues `report` about a request of `section` for the coordinator on `vm`.
    pub(super) fn enqueue(
        &self,
        engine: &Arc<DaemonEngine>,
        vm: String,
        section: String,
        report: PlacementReport,
    ) {
        let is_first = {
            let mut pending = lock(&self.pending);
            let is_first = !pending.contains_key(&vm);
            let reports = pending.entry(vm.clone()).or_default().entry(section).or_default();
            if reports.len() < MAX_PENDING_REPORTS {
                reports.push(report);
            }
            is_first
        };
        if is_first {
            let engine = Arc::clone(engine);
            tokio::spawn(async move {
                tokio::time::sleep(BATCHING_DELAY).await;
                send_reports(&engine, &vm).await;
            });
        }
    }

    fn take_pending(&self, vm: &str) -> HashMap<String, Vec<PlacementReport>> {
        lock(&self.pending).remove(vm).unwrap_or_default()
    }
}

async fn send_reports(engine: &Arc<DaemonEngine>, vm: &str) {
    for (section, reports) in engine.peers().placement_reports().take_pending(vm) {
        let reports = reports.into_iter().map(Into::into).collect();
        let request = ReportPlacementsRequest { section, reports };
        // If the call fails, the coordinator counts the requests until their deadlines.
        let _ = call(engine, vm, CALL_TIMEOUT, |mut client| async move {
            client.report_placements(request).await
        })
        .await;
    }
}
