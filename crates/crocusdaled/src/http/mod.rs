//! HTTP listener that the services share, and readers of request and response bodies.

mod body_buffer;
mod body_reader;
mod http_listener;
mod metered_stream;
mod served_body;

pub use body_reader::{BodyFault, read_body};
pub(crate) use body_reader::{BodyRoom, read_caller_body, read_held_answer};
pub use http_listener::{HttpListener, HttpListenerBuilder};
