//! The accept loop under the HTTP services, and the reading of bodies.

mod body_reader;
mod http_listener;

pub use body_reader::{BodyFault, read_body, read_caller_body};
pub use http_listener::{HttpListener, HttpListenerBuilder};
