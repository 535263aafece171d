//! Conversions between the messages of the schema and the types of the decisions.

mod claim_messages;
mod exchange_messages;
mod piece_messages;

pub use piece_messages::{pieces_reply, read_pieces_reply, read_pool_wait};
