//! Tickets that prove the age of an idempotency key by the clock of a single process.

mod ticket_issuer;

pub use ticket_issuer::TicketIssuer;
