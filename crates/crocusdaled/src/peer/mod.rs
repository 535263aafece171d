//! gRPC calls between the daemons of a deployment.

mod admission_client;
mod evidence_client;
mod peer_call;
mod peer_client;
mod peer_server;
mod piece_client;
mod piece_table;
mod placement_client;
mod placement_reports;
mod placement_service;
mod released_results;
mod stream_client;
mod stream_service;
mod transit_client;
mod transit_service;

pub(crate) use evidence_client::request_evidence;
pub use peer_client::PeerClient;
pub use peer_server::PeerServer;
pub use piece_table::PieceTable;
pub(crate) use transit_client::{TransitFault, header_fields, send_transit};
