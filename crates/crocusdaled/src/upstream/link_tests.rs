//! Connections to upstreams, and tests of the own links after one of them could not be opened.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::reachability::LinkTarget;
use crocusdale_core::routing::CONNECT_TIMEOUT;
use crocusdale_core::sync::lock;
use futures::future::join_all;
use tokio::net::TcpStream;

use super::{OpenConnection, SendFault};
use crate::engine::DaemonEngine;

/// Tests of the links that are under way.
#[derive(Debug, Default)]
pub struct LinkTests {
    /// A lock for each pool with a failed connection, so that attempts which fail at the same time
    /// wait for one test.
    running: Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>,
}

impl LinkTests {
    /// Returns an idle connection to `upstream` at `address`, or opens one.
    ///
    /// If that fails, other upstreams of the pool are connected to as well, so that the core knows
    /// whether the upstream or the link has failed when this returns.
    ///
    /// # Errors
    ///
    /// Returns why no connection could be opened. Nothing has been written in this case.
    pub(crate) async fn connect(
        &self,
        engine: &Arc<DaemonEngine>,
        upstream: &str,
        address: SocketAddr,
        needs_new: bool,
    ) -> Result<OpenConnection, SendFault> {
        match engine.connections().connect(address, needs_new).await {
            Ok(connection) => {
                if connection.is_new() && engine.core.has_failed_links() {
                    report(engine, upstream.to_owned(), true);
                }
                Ok(connection)
            }
            Err(fault) => {
                self.handle_failure(engine, upstream).await;
                Err(fault)
            }
        }
    }

    /// Reports that `upstream` could not be connected to, and tests the links to its pool.
    pub(crate) async fn handle_failure(&self, engine: &Arc<DaemonEngine>, upstream: &str) {
        report(engine, upstream.to_owned(), false);
        let Some(pool) = engine.core.pool_of(upstream) else { return };
        let turn = Arc::clone(lock(&self.running).entry(pool.clone()).or_default());
        let guard = turn.lock().await;
        test_links(engine, engine.core.link_tests(&pool, upstream)).await;
        drop(guard);
        let mut running = lock(&self.running);
        // The table and this task hold the last two references if nobody else waits.
        if Arc::strong_count(&turn) == 2 {
            running.remove(&pool);
        }
    }
}

/// Connects to each of `targets`, closes the connections unused, and reports the results to the
/// core.
pub(crate) async fn test_links(engine: &Arc<DaemonEngine>, targets: Vec<LinkTarget>) {
    join_all(targets.into_iter().map(|target| test_link(engine, target))).await;
}

async fn test_link(engine: &Arc<DaemonEngine>, target: LinkTarget) {
    let connect = TcpStream::connect(target.address);
    let result = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
    report(engine, target.upstream, matches!(result, Ok(Ok(_))));
}

fn report(engine: &Arc<DaemonEngine>, upstream: String, is_open: bool) {
    engine.handle_event(DaemonEvent::LinkTested { upstream, is_open });
}
