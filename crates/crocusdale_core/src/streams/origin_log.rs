use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::{MAX_RECORD_TIME, StreamKey, StreamOrigin, StreamRecord};
use crate::identity::MonotonicTime;

/// Maximum number of streams in a log, about 9 MB. A keeper with 80 new streams a second reaches it
/// if callers have 13 minutes to come back.
const MAX_STREAMS: usize = 65_536;

/// Where streams began, as this daemon has seen or was told.
#[derive(Debug, Default)]
pub struct OriginLog {
    entries: HashMap<StreamKey, LoggedStream>,
    /// Keys in the order in which their entries expire.
    expiries: BTreeSet<(MonotonicTime, StreamKey)>,
    /// All origins of the entries, each stored once.
    origins: HashSet<Arc<StreamOrigin>>,
}

#[derive(Debug)]
struct LoggedStream {
    origin: Arc<StreamOrigin>,
    expires_at: MonotonicTime,
}

impl OriginLog {
    /// Records where a stream began.
    ///
    /// If two records of one stream differ, a caller has used the id of its attempt twice. Which
    /// stream it takes up is not known then.
    pub fn record(&mut self, record: &StreamRecord, now: MonotonicTime) {
        self.remove_expired(now);
        let mut origin = self.shared_origin(&record.origin);
        let mut expires_at = now + record.time_left.min(MAX_RECORD_TIME);
        if let Some(known) = self.entries.remove(&record.key) {
            self.expiries.remove(&(known.expires_at, record.key));
            expires_at = expires_at.max(known.expires_at);
            if known.origin != origin {
                let unknown = StreamOrigin { software_version: None, ..record.origin.clone() };
                origin = self.shared_origin(&unknown);
            }
        } else if self.entries.len() >= MAX_STREAMS
            && let Some((_, key)) = self.expiries.pop_first()
        {
            self.entries.remove(&key);
        }
        self.expiries.insert((expires_at, record.key));
        self.entries.insert(record.key, LoggedStream { origin, expires_at });
    }

    /// Where the stream `key` began. `None` if that is not known, or was forgotten.
    #[must_use]
    pub fn find(&self, key: StreamKey, now: MonotonicTime) -> Option<StreamRecord> {
        let entry = self.entries.get(&key).filter(|entry| now < entry.expires_at)?;
        let (origin, time_left) = ((*entry.origin).clone(), entry.expires_at.since(now));
        Some(StreamRecord { key, origin, time_left })
    }

    /// Number of streams in the log.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log has no streams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the streams whose callers can't come back any more.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        while let Some((expires_at, key)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.expiries.pop_first();
            self.entries.remove(&key);
        }
        if self.entries.is_empty() {
            self.origins.clear();
        }
    }

    fn shared_origin(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.origins.get(origin) {
            return Arc::clone(shared);
        }
        self.origins.retain(|shared| Arc::strong_count(shared) > 1);
        let shared = Arc::new(origin.clone());
        self.origins.insert(Arc::clone(&shared));
        shared
    }
}
