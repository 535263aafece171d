//! Conversions between the messages of the schema and the types of the decisions.

mod claim_messages;
mod exchange_messages;
