//! Client side of the calls about streams that callers take up.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::daemon::{DaemonEvent, OriginReply};
use crocusdale_core::identity::CallId;
use crocusdale_core::streams::{StreamKey, StreamRecord};
use crocusdale_core::sync::lock;
use crocusdale_schema::peer::{FindStreamRequest, RecordStreamsRequest};
use slog::warn;

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time that a daemon has to say where a stream began. The caller's request waits for it.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the calls themselves, after which their connection is given up as well. It is longer
/// than a process may have to wait for CPU time.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of records that wait for the end of an earlier call to the same daemon. Further
/// ones are dropped, and callers who take up their streams depend on the other keepers.
const MAX_PENDING_RECORDS: usize = 4_096;

/// Records of streams that have not been sent to their keepers.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    /// Records by the VM of the keeper, for each keeper with an open call. A record without such a
    /// call is sent at once: its caller may come back within milliseconds.
    pending: Mutex<HashMap<String, Vec<StreamRecord>>>,
}

impl RecordQueue {
    /// Sends `record` to the daemon on `vm`, together with all others for it if a call is open.
    pub(super) fn enqueue(&self, engine: &Arc<DaemonEngine>, vm: String, record: StreamRecord) {
        let mut pending = lock(&self.pending);
        if let Some(records) = pending.get_mut(&vm) {
            if records.len() < MAX_PENDING_RECORDS {
                records.push(record);
            }
            return;
        }
        pending.insert(vm.clone(), vec![record]);
        let engine = Arc::clone(engine);
        tokio::spawn(async move { send_records(&engine, &vm).await });
    }

    /// Removes and returns the records for the daemon on `vm`. Without any, its call counts as
    /// ended.
    fn take_pending(&self, vm: &str) -> Vec<StreamRecord> {
        let mut pending = lock(&self.pending);
        let records = pending.get_mut(vm).map(std::mem::take).unwrap_or_default();
        if records.is_empty() {
            pending.remove(vm);
        }
        records
    }
}

async fn send_records(engine: &Arc<DaemonEngine>, vm: &str) {
    loop {
        let records = engine.peers().stream_records().take_pending(vm);
        if records.is_empty() {
            return;
        }
        let request =
            RecordStreamsRequest { records: records.into_iter().map(Into::into).collect() };
        // The other keepers have the records too.
        let _ = call(engine, vm, CALL_TIMEOUT, |mut client| async move {
            client.record_streams(request).await
        })
        .await;
    }
}

/// Asks the daemon on `vm` where a stream began, and passes the reply to the core.
pub(super) async fn find_stream(
    engine: &Arc<DaemonEngine>,
    vm: String,
    caller_call: CallId,
    key: StreamKey,
) {
    let request = FindStreamRequest { key: <[u8; StreamKey::LEN]>::from(key).to_vec() };
    // The call goes on after the time for the reply, as its timeout costs the connection.
    let (call_engine, peer) = (Arc::clone(engine), vm.clone());
    let asked = tokio::spawn(async move {
        call(&call_engine, &peer, CALL_TIMEOUT, |mut client| async move {
            client.find_stream(request).await
        })
        .await
    });
    let reply = tokio::time::timeout(FIND_TIMEOUT, asked).await;
    let reply = reply.ok().and_then(Result::ok).and_then(Result::ok);
    let reply = match reply.map(|reply| reply.record.map(StreamRecord::try_from)) {
        Some(Some(Ok(record))) => OriginReply::Known(record.origin),
        Some(Some(Err(fault))) => {
            warn!(engine.telemetry.log, "stream_unreadable";
                "peer" => vm, "cause" => fault.to_string());
            OriginReply::Failed
        }
        Some(None) => OriginReply::Unknown,
        None => OriginReply::Failed,
    };
    engine.handle_event(DaemonEvent::StreamFound { call: caller_call, reply });
}
