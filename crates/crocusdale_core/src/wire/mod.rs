//! Conversions between core types and the Protocol Buffers messages that daemons exchange.

mod admission_messages;
mod claim_messages;
mod exchange_messages;
mod millis;
mod piece_messages;
mod placement_messages;
mod stream_messages;
mod transit_messages;

pub use admission_messages::AdmissionMessageError;
pub use piece_messages::{pieces_reply, read_pieces_reply, read_pool_wait};
pub use placement_messages::{MessageFault, read_placement_reports};
pub use stream_messages::read_stream_key;
pub use transit_messages::InvalidAddress;
