use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::pipeline::ResultHandle;
use crocusdale_core::sync::lock;
use crocusdale_schema::peer::{FreeResultsRequest, PoolResults};

use super::peer_call::call;
use crate::engine::DaemonEngine;

/// Time for which unwanted results are gathered before their dispatcher is told, so that one call
/// names those of many requests.
const GATHER_TIME: Duration = Duration::from_millis(8);
/// Time that a dispatcher has to take the news; without it the results lapse by themselves.
const PATIENCE: Duration = Duration::from_millis(500);

/// Results of other daemons' pools that nobody needs any more, until their dispatchers are told.
#[derive(Debug, Default)]
pub(super) struct UnwantedResults {
    /// By dispatcher and pool.
    gathered: Mutex<HashMap<String, HashMap<String, Vec<ResultHandle>>>>,
}

impl UnwantedResults {
    /// Tells the dispatcher `vm` of `pool` soon that `results` are not needed any more.
    pub(super) fn send(
        &self,
        engine: &Arc<DaemonEngine>,
        vm: String,
        pool: String,
        results: Vec<ResultHandle>,
    ) {
        let first = {
            let mut gathered = lock(&self.gathered);
            let first = !gathered.contains_key(&vm);
            gathered.entry(vm.clone()).or_default().entry(pool).or_default().extend(results);
            first
        };
        if first {
            let engine = Arc::clone(engine);
            tokio::spawn(async move {
                tokio::time::sleep(GATHER_TIME).await;
                tell(&engine, &vm).await;
            });
        }
    }

    fn take(&self, vm: &str) -> HashMap<String, Vec<ResultHandle>> {
        lock(&self.gathered).remove(vm).unwrap_or_default()
    }
}

async fn tell(engine: &Arc<DaemonEngine>, vm: &str) {
    let pools = engine.peers().unwanted().take(vm).into_iter().map(|(pool, results)| {
        let results = results.iter().map(ToString::to_string).collect();
        PoolResults { pool, results }
    });
    let request = FreeResultsRequest { pools: pools.collect() };
    // Without the news the results lapse by themselves, after a few seconds.
    let _ =
        call(engine, vm, PATIENCE, |mut client| async move { client.free_results(request).await })
            .await;
}
