use std::sync::Arc;

use crocusdale_platform::addresses::{ADDRESS_PATH, AddressQuery, READINESS_PATH, address_reply};
use http::{HeaderValue, StatusCode, header};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::IntoResponse as _;
use volo_http::server::extract::Query;
use volo_http::server::route::{Router, get};

use crate::engine::DaemonEngine;

/// HTTP service that tells callers which daemon addresses to use, and the platform whether this VM
/// is ready.
#[derive(Clone, Debug)]
pub struct ReadyService {
    engine: Arc<DaemonEngine>,
}

impl ReadyService {
    /// Creates a service that answers from the state of `engine`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>) -> Self {
        Self { engine }
    }

    /// Returns a router with both routes. Each of the two listeners only gets requests for one of
    /// them.
    pub fn router(self) -> Router {
        let (ready, addresses) = (self.clone(), self);
        Router::new().route(READINESS_PATH, get(async move || ready.ready())).route(
            ADDRESS_PATH,
            get(async move |query: Option<Query<AddressQuery>>| addresses.addresses(query)),
        )
    }

    fn ready(&self) -> Response {
        if self.engine.core.is_ready() && !self.engine.core.is_leaving() {
            return StatusCode::OK.into_response();
        }
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }

    fn addresses(&self, query: Option<Query<AddressQuery>>) -> Response {
        let query = query.map(|Query(query)| query).unwrap_or_default();
        let answer = self.engine.core.addresses(&query.name, query.zone.as_deref());
        // A daemon that has just started knows no peers yet. An empty answer would leave the
        // caller without any address for as long as it may cache the answer.
        if !self.engine.core.is_ready() || answer.addresses.is_empty() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let cache_time = std::time::Duration::from_millis(answer.hold_ms);
        let mut response = Response::new(Body::from(address_reply(&answer.addresses, cache_time)));
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }
}
