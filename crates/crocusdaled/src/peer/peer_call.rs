use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_schema::peer::peer_service_client::PeerServiceClient;
use tonic::transport::Channel;

use crate::engine::DaemonEngine;

/// Largest message between peers, in bytes.
pub(super) const MESSAGE_LIMIT: usize = 4 << 20;

/// A call of a peer did not succeed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerSilence;

/// Calls the daemon on `vm`, within `patience`.
pub(super) async fn call<R, F>(
    engine: &Arc<DaemonEngine>,
    vm: &str,
    patience: Duration,
    run: impl FnOnce(PeerServiceClient<Channel>) -> F,
) -> Result<R, PeerSilence>
where
    F: Future<Output = Result<tonic::Response<R>, tonic::Status>>,
{
    let address = engine.core.peer_address(vm).ok_or(PeerSilence)?;
    call_at(engine, address, patience, run).await
}

/// Calls the daemon that listens at `address`, within `patience`.
pub(super) async fn call_at<R, F>(
    engine: &Arc<DaemonEngine>,
    address: SocketAddr,
    patience: Duration,
    run: impl FnOnce(PeerServiceClient<Channel>) -> F,
) -> Result<R, PeerSilence>
where
    F: Future<Output = Result<tonic::Response<R>, tonic::Status>>,
{
    let channel = engine.peers().channel(address);
    let client = PeerServiceClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT);
    match tokio::time::timeout(patience, run(client)).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(_)) => Err(PeerSilence),
        Err(_) => {
            engine.peers().forget(address);
            Err(PeerSilence)
        }
    }
}
