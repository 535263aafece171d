//! HTTP listener that the services share, and readers of request and response bodies.

mod body_buffer;
mod body_reader;
mod http_listener;

pub(crate) use body_reader::read_answer_body;
pub use body_reader::{BodyFault, read_body, read_caller_body};
pub use http_listener::{HttpListener, HttpListenerBuilder};
