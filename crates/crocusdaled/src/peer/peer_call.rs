use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocusdale_schema::peer::peer_service_client::PeerServiceClient;
use tonic::transport::Channel;

use crate::engine::DaemonEngine;

/// Largest gRPC message that daemons send or accept, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// A call to another daemon failed, timed out, or had no known address to go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerCallError;

/// Calls the daemon on `vm` and waits at most `timeout` for its reply.
pub(super) async fn call<R, F>(
    engine: &Arc<DaemonEngine>,
    vm: &str,
    timeout: Duration,
    start_call: impl FnOnce(PeerServiceClient<Channel>) -> F,
) -> Result<R, PeerCallError>
where
    F: Future<Output = Result<tonic::Response<R>, tonic::Status>>,
{
    let address = engine.core.peer_address(vm).ok_or(PeerCallError)?;
    call_at(engine, address, timeout, start_call).await
}

/// Calls the daemon that listens at `address` and waits at most `timeout` for its reply.
///
/// A timeout also drops the channel to `address`, so that the next call connects anew.
pub(super) async fn call_at<R, F>(
    engine: &Arc<DaemonEngine>,
    address: SocketAddr,
    timeout: Duration,
    start_call: impl FnOnce(PeerServiceClient<Channel>) -> F,
) -> Result<R, PeerCallError>
where
    F: Future<Output = Result<tonic::Response<R>, tonic::Status>>,
{
    let channel = engine.peers().channel(address);
    let client = PeerServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    match tokio::time::timeout(timeout, start_call(client)).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(_)) => Err(PeerCallError),
        Err(_) => {
            engine.peers().drop_channel(address);
            Err(PeerCallError)
        }
    }
}
