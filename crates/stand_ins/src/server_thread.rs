use std::net::SocketAddr;

use anyhow::Result;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use volo::net::incoming::DefaultIncoming;
use volo_http::server::Server;
use volo_http::server::route::Router;

/// An HTTP server on threads of its own; dropping it closes all of its sockets at once.
#[derive(Debug)]
pub struct ServerThread {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl ServerThread {
    /// Serves `router` on `address`, whose port may be 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be had.
    pub fn start(address: SocketAddr, router: Router) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = bind(&runtime, address)?;
        let address = listener.local_addr()?;
        runtime.spawn(async move {
            let _ = Server::new(router).run(DefaultIncoming::from(listener)).await;
        });
        Ok(Self { address, runtime: Some(runtime) })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Binds a listener for `runtime`, also from a thread that runs another one.
pub(crate) fn bind(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let _guard = runtime.enter();
    Ok(TcpListener::from_std(listener)?)
}
