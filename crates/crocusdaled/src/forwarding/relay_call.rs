use std::sync::Mutex;

use bytes::Bytes;
use crocusdale_core::pipeline::EventSequence;
use crocusdale_core::sync::lock;
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::mpsc;

/// Events that wait for a slow caller before its upstream waits too.
const EVENTS_AHEAD: usize = 16;

/// A caller's request that is passed through, for as long as its call is open.
#[derive(Debug)]
pub(super) struct RelayCall {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Fields that go on to upstreams.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Identity that the caller gave the request.
    pub(super) attempt: String,
    /// Events that the caller has.
    pub(super) sequence: Mutex<EventSequence>,
    /// Where events go, from the first answer that is passed on.
    events: Mutex<Option<mpsc::Sender<Bytes>>>,
}

/// An upstream's answer on its way to the caller.
#[derive(Debug)]
pub struct RelayedAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: RelayBody,
}

/// Body of an upstream's answer.
#[derive(Debug)]
pub enum RelayBody {
    /// All of it.
    Whole(Bytes),
    /// Events as they come.
    Events(mpsc::Receiver<Bytes>),
}

impl RelayCall {
    pub(super) fn new(
        (method, uri): (Method, Uri),
        headers: HeaderMap,
        body: Bytes,
        attempt: String,
        last_event: Option<u64>,
    ) -> Self {
        let sequence = Mutex::new(EventSequence::after(last_event));
        Self { method, uri, headers, body, attempt, sequence, events: Mutex::new(None) }
    }

    /// Opens the way for events to the caller: returns its other end at the first answer, and
    /// none at one that takes the stream up again.
    pub(super) fn open_events(&self) -> (mpsc::Sender<Bytes>, Option<mpsc::Receiver<Bytes>>) {
        let mut events = lock(&self.events);
        if let Some(sender) = &*events {
            return (sender.clone(), None);
        }
        let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
        *events = Some(sender.clone());
        (sender, Some(receiver))
    }

    /// Last event that the caller has, if an upstream must go on behind it.
    pub(super) fn resume_after(&self) -> Option<u64> {
        let begun = lock(&self.events).is_some();
        lock(&self.sequence).last().filter(|_| begun)
    }
}
