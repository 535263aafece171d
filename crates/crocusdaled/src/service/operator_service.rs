use std::sync::Arc;

use crocusdale_core::daemon::DaemonEvent;
use http::{HeaderValue, StatusCode, header};
use volo_http::body::Body;
use volo_http::response::Response;
use volo_http::server::IntoResponse as _;
use volo_http::server::extract::Json;
use volo_http::server::route::{Router, get, post};

use crate::engine::DaemonEngine;

/// HTTP service for operators: state, metrics, probes and draining.
#[derive(Clone, Debug)]
pub struct OperatorService {
    engine: Arc<DaemonEngine>,
}

impl OperatorService {
    /// Creates a service for operators of `engine`.
    #[must_use]
    pub fn new(engine: Arc<DaemonEngine>) -> Self {
        Self { engine }
    }

    /// Returns the router of all paths for operators.
    pub fn router(self) -> Router {
        let (state, metrics, ready, drain) = (self.clone(), self.clone(), self.clone(), self);
        Router::new()
            .route("/state", get(async move || state.state()))
            .route("/metrics", get(async move || metrics.metrics()))
            .route("/live", get(async || "live\n"))
            .route("/ready", get(async move || ready.ready()))
            .route("/drain", post(async move || drain.drain()))
    }

    fn state(&self) -> Response {
        Json(self.engine.core.dump(self.engine.now())).into_response()
    }

    fn metrics(&self) -> Response {
        let dump = self.engine.core.dump(self.engine.now());
        let text = self.engine.telemetry.metrics.text(&dump, self.engine.memory().usage());
        let mut response = Response::new(Body::from(text));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    fn ready(&self) -> Response {
        let (ready, leaving) = (self.engine.core.is_ready(), self.engine.core.is_leaving());
        match (ready, leaving) {
            (true, false) => "ready\n".into_response(),
            (true, true) => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response(),
            (false, _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
        }
    }

    fn drain(&self) -> Response {
        self.engine.handle_event(DaemonEvent::DrainRequested);
        (StatusCode::ACCEPTED, "draining\n").into_response()
    }
}
