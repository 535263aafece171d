use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::pipeline::ResultHandle;
use crocusdale_core::sync::lock;
use crocusdale_schema::peer::{FreeResultsRequest, PoolResults};

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time for which released results are collected, so that one call reports those of many requests.
const BATCHING_DELAY: Duration = Duration::from_millis(8);
/// Timeout of the call that reports released results. Unreported results expire by themselves.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Results that are no longer needed and lie in pools of other daemons, until those daemons are
/// told to free them.
#[derive(Debug, Default)]
pub(super) struct ReleasedResults {
    /// Handles of released results by the VM of the dispatcher, then by the name of the pool.
    pending: Mutex<HashMap<String, HashMap<String, Vec<ResultHandle>>>>,
}

impl ReleasedResults {
    /// Queues `results` to be reported as released to `vm`, the dispatcher of `pool`.
    pub(super) fn enqueue(
        &self,
        engine: &Arc<DaemonEngine>,
        vm: String,
        pool: String,
        results: Vec<ResultHandle>,
    ) {
        let is_first = {
            let mut pending = lock(&self.pending);
            let is_first = !pending.contains_key(&vm);
            pending.entry(vm.clone()).or_default().entry(pool).or_default().extend(results);
            is_first
        };
        if is_first {
            let engine = Arc::clone(engine);
            tokio::spawn(async move {
                tokio::time::sleep(BATCHING_DELAY).await;
                send_release(&engine, &vm).await;
            });
        }
    }

    fn take_pending(&self, vm: &str) -> HashMap<String, Vec<ResultHandle>> {
        lock(&self.pending).remove(vm).unwrap_or_default()
    }
}

async fn send_release(engine: &Arc<DaemonEngine>, vm: &str) {
    let pools =
        engine.peers().released_results().take_pending(vm).into_iter().map(|(pool, results)| {
            let results = results.iter().map(ToString::to_string).collect();
            PoolResults { pool, results }
        });
    let request = FreeResultsRequest { pools: pools.collect() };
    // If the call fails, the results expire by themselves after a few seconds.
    let _ =
        call(
            engine,
            vm,
            CALL_TIMEOUT,
            |mut client| async move { client.free_results(request).await },
        )
        .await;
}
