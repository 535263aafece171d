use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use anyhow::Result;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

use crate::server_thread::bind;

/// A path between two ends that can lose track of its connections: they stay open and silent,
/// while new ones work. It can also be cut whole.
#[derive(Debug)]
pub struct RelayStandIn {
    address: SocketAddr,
    state: Arc<RelayState>,
    runtime: Option<Runtime>,
}

#[derive(Debug, Default)]
struct RelayState {
    /// Connections of earlier epochs are silent.
    epoch: AtomicU64,
    cut: AtomicBool,
}

impl RelayStandIn {
    /// Starts on `address`, towards `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be had.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = bind(&runtime, address)?;
        let (address, state) = (listener.local_addr()?, Arc::new(RelayState::default()));
        runtime.spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self { address, state, runtime: Some(runtime) })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_open(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Swallows everything on all connections, new ones too, or stops doing so for new ones.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::SeqCst);
        self.silence_open();
    }
}

impl Drop for RelayStandIn {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<RelayState>) {
    while let Ok((near, _)) = listener.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let epoch = state.epoch.load(Ordering::SeqCst);
            let Ok(far) = TcpStream::connect(target).await else { return };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let there = pass(near_in, far_out, epoch, Arc::clone(&state));
            let back = pass(far_in, near_out, epoch, state);
            tokio::join!(there, back);
        });
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    epoch: u64,
    state: Arc<RelayState>,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let read = from.read(&mut buffer).await;
        let silent =
            state.cut.load(Ordering::SeqCst) || state.epoch.load(Ordering::SeqCst) != epoch;
        match read {
            // A silent path doesn't pass the end of a connection on either.
            Ok(0) | Err(_) if silent => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(_) if silent => {}
            Ok(count) => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
        }
    }
}
