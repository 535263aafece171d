/// Position of a caller in an event stream.
///
/// Guards against an upstream that resumes a stream at the wrong event. An event that the caller
/// already has is dropped. An event after a gap ends the attempt before it is passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSequence {
    last_id: Option<u64>,
}

/// What to do with an event of a resumed stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// The event is the next one and is passed on to the caller.
    Pass,
    /// The caller already has the event, so it is dropped.
    Repeated,
    /// An event before this one is missing, so the attempt ends.
    Missing,
}

impl EventSequence {
    /// Resumes after the event id `last`; `None` if the caller has no event yet.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last_id: last }
    }

    /// Id of the last event that the caller has, or `None` if it has none.
    #[must_use]
    pub fn last(self) -> Option<u64> {
        self.last_id
    }

    /// Classifies the event `id` and advances to it if it is the next one. An event without an id
    /// is always passed on.
    pub fn take(&mut self, id: Option<u64>) -> EventVerdict {
        let Some(id) = id else { return EventVerdict::Pass };
        match self.last_id {
            Some(last) if id <= last => EventVerdict::Repeated,
            Some(last) if id > last + 1 => EventVerdict::Missing,
            _ => {
                self.last_id = Some(id);
                EventVerdict::Pass
            }
        }
    }
}
