//! Calls between daemons.

mod peer_client;
mod peer_server;

pub use peer_client::PeerClient;
pub use peer_server::PeerServer;
