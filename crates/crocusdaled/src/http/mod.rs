//! HTTP listener that the services share, and readers of request and response bodies.

mod body_reader;
mod http_listener;

pub use body_reader::{BodyFault, read_body, read_caller_body};
pub use http_listener::{HttpListener, HttpListenerBuilder};
