//! Proof of a request's age by the clock of one process.

mod ticket_book;

pub use ticket_book::TicketBook;
