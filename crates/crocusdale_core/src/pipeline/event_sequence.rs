/// Which events of a stream its caller has.
///
/// Guards against a stream that an upstream takes up again at the wrong place: an event that the
/// caller has already is dropped, and one behind a gap ends the attempt before it is passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventSequence {
    last: Option<u64>,
}

/// What is to be done with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is the next one.
    Pass,
    /// The caller has it already.
    Repeated,
    /// An event before it is missing.
    Missing,
}

impl EventSequence {
    /// The events of a caller that has everything up to `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Last event that the caller has.
    #[must_use]
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Takes the event `id`; one without an id is passed on as it comes.
    pub fn take(&mut self, id: Option<u64>) -> EventVerdict {
        let Some(id) = id else { return EventVerdict::Pass };
        match self.last {
            Some(last) if id <= last => EventVerdict::Repeated,
            Some(last) if id > last + 1 => EventVerdict::Missing,
            _ => {
                self.last = Some(id);
                EventVerdict::Pass
            }
        }
    }
}
