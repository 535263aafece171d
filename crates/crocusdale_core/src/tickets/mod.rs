//! Proof of a request's age by the clock of one process.

mod ticket_issuer;

pub use ticket_issuer::TicketIssuer;
