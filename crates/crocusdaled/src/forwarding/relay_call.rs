use std::sync::{Arc, Mutex};

use bytes::Bytes;
use crocusdale_core::pipeline::{CallerRequest, EventSequence};
use crocusdale_core::sync::lock;
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::mpsc;

use crate::memory::CallerConnection;

/// Maximum number of events that are buffered for a slow caller. Beyond it the upstream is no
/// longer read, which applies backpressure to it.
const MAX_BUFFERED_EVENTS: usize = 16;

/// A caller's request that is forwarded, kept for as long as its call is open.
#[derive(Debug)]
pub(super) struct RelayCall {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Host that the caller named.
    pub(super) host: String,
    /// Access key of the caller. `None` if it showed none.
    pub(super) access: Option<String>,
    /// Request headers that are forwarded to upstreams.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Attempt id that the caller gave the request.
    pub(super) attempt: String,
    /// Connection of the caller, for which answers are held.
    pub(super) connection: Option<Arc<CallerConnection>>,
    /// Ids of the events that the caller has already received.
    pub(super) sequence: Mutex<EventSequence>,
    /// Sender of events to the caller. `None` until the first answer is forwarded.
    events: Mutex<Option<mpsc::Sender<Bytes>>>,
}

/// An upstream's answer that is forwarded to the caller.
#[derive(Debug)]
pub struct RelayedAnswer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Response headers for the caller.
    pub headers: HeaderMap,
    /// Body of the answer, complete or as a stream of events.
    pub body: RelayBody,
}

/// Body of an upstream's answer, complete or streamed.
#[derive(Debug)]
pub enum RelayBody {
    /// The complete body.
    Whole(Bytes),
    /// Server-sent events in the order in which they arrive from the upstream.
    Events(mpsc::Receiver<Bytes>),
}

impl RelayCall {
    pub(super) fn new(
        (method, uri): (Method, Uri),
        headers: HeaderMap,
        body: Bytes,
        request: &CallerRequest,
        last_event: Option<u64>,
    ) -> Self {
        let head = request.forward_head();
        Self {
            method,
            uri,
            host: head.map(|head| head.host.clone()).unwrap_or_default(),
            access: head.and_then(|head| head.access.clone()),
            headers,
            body,
            attempt: request.key.key.clone(),
            connection: None,
            sequence: Mutex::new(EventSequence::after(last_event)),
            events: Mutex::new(None),
        }
    }

    /// Sets the connection of the caller.
    pub(super) fn on_connection(mut self, connection: Option<Arc<CallerConnection>>) -> Self {
        self.connection = connection;
        self
    }

    /// Returns the sender of events to the caller. The receiver comes with it for the first answer
    /// only, and is `None` for an answer that resumes the stream.
    pub(super) fn open_events(&self) -> (mpsc::Sender<Bytes>, Option<mpsc::Receiver<Bytes>>) {
        let mut events = lock(&self.events);
        if let Some(sender) = &*events {
            return (sender.clone(), None);
        }
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
        *events = Some(sender.clone());
        (sender, Some(receiver))
    }

    /// Id of the last event that the caller has received, if an answer has to resume after it.
    pub(super) fn resume_after(&self) -> Option<u64> {
        let has_started = lock(&self.events).is_some();
        lock(&self.sequence).last().filter(|_| has_started)
    }
}
