use std::sync::Arc;
use std::time::Duration;

use crocusdale_core::admission::{AdmissionDecision, AdmissionRequest};
use crocusdale_core::batching::PoolStatus;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::CallId;
use crocusdale_core::wire::AdmissionMessageError;
use crocusdale_schema::peer::{AdmitRequestRequest, ReportPoolStatusRequest};
use slog::warn;

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time that a coordinator has to decide. A caller's request waits for it.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of the calls themselves, after which their connection is given up as well. It is longer
/// than a process may have to wait for CPU time.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks the admission coordinator on `vm` about `request`, and passes its decision to the core.
pub(super) async fn ask_admission(
    engine: &Arc<DaemonEngine>,
    vm: String,
    caller_call: CallId,
    request: AdmissionRequest,
) {
    let message = AdmitRequestRequest::from(request);
    // The call goes on after the time for the decision. If that ended the call, a coordinator that
    // is slow once would cost the connection that also carries pieces and heartbeats.
    let call_engine = Arc::clone(engine);
    let coordinator = vm.clone();
    let asked = tokio::spawn(async move {
        call(&call_engine, &coordinator, CALL_TIMEOUT, |mut client| async move {
            client.admit_request(message).await
        })
        .await
    });
    let reply = tokio::time::timeout(DECISION_TIMEOUT, asked).await;
    let reply = reply.ok().and_then(Result::ok).and_then(Result::ok);
    let decision = reply.and_then(|reply| {
        let log_unreadable = |cause: &AdmissionMessageError| {
            warn!(engine.telemetry.log, "admission_unreadable";
                "peer" => &vm, "cause" => cause.to_string());
        };
        AdmissionDecision::try_from(reply).inspect_err(log_unreadable).ok()
    });
    engine.handle_event(DaemonEvent::AdmissionReplied { call: caller_call, vm, decision });
}

/// Reports the status of a section of a batched pool to the admission coordinator on `vm`.
pub(super) async fn report_pool_status(engine: &Arc<DaemonEngine>, vm: &str, status: PoolStatus) {
    let message = ReportPoolStatusRequest::from(status);
    // The next report makes up for a lost one.
    let _ = call(engine, vm, CALL_TIMEOUT, |mut client| async move {
        client.report_pool_status(message).await
    })
    .await;
}
