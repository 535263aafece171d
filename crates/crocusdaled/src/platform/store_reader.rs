use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::StorePosition;
use crocusdale_core::sync::lock;
use crocusdale_platform::store::{
    StoreChange, StoreChanges, StoreError, StoreItem, evacuated_zone, is_configuration,
    is_upstream, range_path, read_changes, read_configuration, read_page, read_restore_count,
    read_upstream, watch_path,
};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use slog::warn;

use super::unreadable_items::UnreadableItems;
use crate::engine::DaemonEngine;
use crate::upstream::{ConnectionPool, SendFault};

/// Time for which the store may hold a watch of the configuration before it answers unchanged.
///
/// A watch only reports a change sooner than the next full read. A silent connection, or a store
/// that has compacted its history, therefore does no harm. Each watch is a billed call.
const WATCH_HOLD_TIME: Duration = Duration::from_millis(10_000);
/// Time beyond the hold time of a watch within which an answer has to arrive. Answers usually take
/// a few milliseconds, and up to some tenths of a second while the store is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Largest answer of the store that is read, in bytes. A page has about one megabyte, which base64
/// enlarges.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum number of pages of one full read.
const MAX_PAGES: usize = 64;

/// Client that reads configuration and upstreams from a key-value store.
pub struct StoreReader {
    store: SocketAddr,
    connections: Arc<ConnectionPool>,
    /// Position of the store from which the next watch starts.
    position: Arc<Mutex<StorePosition>>,
    /// Position of the configuration item that a full read passed to the core last. It includes the
    /// era, as a restored store may hold another text under the same revision.
    last_configuration: Arc<Mutex<StorePosition>>,
    /// Items that could not be parsed in the last full read.
    unreadable: Arc<UnreadableItems>,
}

/// Kind of call to the store, as named in the log.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum StoreCall {
    /// Reads all items.
    Reading,
    /// Waits for a change of the configuration.
    Watch,
}

/// Reason why a call to the store failed.
#[derive(Debug)]
enum ReadFault {
    Unanswered(SendFault),
    UnexpectedStatus(StatusCode),
    /// The store has compacted the history from which a watch was to start.
    HistoryCompacted,
    /// The store was restored from an older copy between two pages.
    Restored,
    Unparsable(StoreError),
}

impl fmt::Display for ReadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(fault) => formatter.write_str(&fault.cause),
            Self::UnexpectedStatus(status) => write!(formatter, "status {status}, accepted: 200"),
            Self::HistoryCompacted => formatter.write_str("the history to watch was compacted"),
            Self::Restored => formatter.write_str("the store was restored between two pages"),
            Self::Unparsable(fault) => write!(formatter, "the answer can't be parsed: {fault}"),
        }
    }
}

/// The items that one full read returned.
struct StoreContents {
    /// Position of the store at the first page.
    position: StorePosition,
    items: Vec<StoreItem>,
    unreadable: Vec<StoreError>,
}

impl StoreReader {
    /// Creates a reader of the store at the address `store`.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store,
            connections: Arc::default(),
            position: Arc::default(),
            last_configuration: Arc::default(),
            unreadable: Arc::default(),
        }
    }

    /// Waits until the configuration changes, and passes the new one to the core.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.clone_shared(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.next_configuration().await {
                Ok(change) => DaemonEvent::ConfigurationWatched(change),
                Err(fault) => {
                    reader.log_fault(&engine, StoreCall::Watch, &fault);
                    DaemonEvent::ConfigurationWatchFailed
                }
            };
            engine.handle_event(event);
        });
    }

    /// Reads all published items, and passes them to the core.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.clone_shared(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.read_all().await {
                Ok(read) => reader.directory_event(read, &engine),
                Err(fault) => {
                    reader.log_fault(&engine, StoreCall::Reading, &fault);
                    DaemonEvent::DirectoryReadFailed
                }
            };
            engine.handle_event(event);
        });
    }

    fn clone_shared(&self) -> Self {
        Self {
            store: self.store,
            connections: Arc::clone(&self.connections),
            position: Arc::clone(&self.position),
            last_configuration: Arc::clone(&self.last_configuration),
            unreadable: Arc::clone(&self.unreadable),
        }
    }

    fn directory_event(&self, contents: StoreContents, engine: &DaemonEngine) -> DaemonEvent {
        let StoreContents { position, items, mut unreadable } = contents;
        let mut entries = Vec::with_capacity(items.len());
        let (mut evacuations, mut cold) = (Vec::new(), Vec::new());
        let mut configuration = None;
        for item in &items {
            if let Some(zone) = evacuated_zone(&item.key) {
                evacuations.push((item.revision, zone.to_owned()));
            } else if is_configuration(&item.key) {
                match self.changed_configuration(item, position.era) {
                    Ok(change) => configuration = change,
                    Err(fault) => unreadable.push(fault),
                }
            } else if is_upstream(&item.key) {
                match read_upstream(item) {
                    Ok(upstream) => {
                        cold.extend(upstream.cold_upstream());
                        entries.push((item.revision, upstream.entry));
                    }
                    Err(fault) => unreadable.push(fault),
                }
            }
        }
        // An evacuation item evacuates its zone by its key, even if its value can't be read.
        let unreadable_zones = unreadable.iter().filter_map(|fault| evacuated_zone(&fault.key));
        evacuations.extend(unreadable_zones.map(|zone| (position.revision, zone.to_owned())));
        unreadable.retain(|fault| is_configuration(&fault.key) || is_upstream(&fault.key));
        self.unreadable.log_new_faults(&engine.telemetry, unreadable);
        self.advance_position(position);
        DaemonEvent::DirectoryRead { position, entries, evacuations, cold, configuration }
    }

    /// Returns the configuration in `item`, or `None` if the core already got it from a full read.
    fn changed_configuration(
        &self,
        item: &StoreItem,
        era: u64,
    ) -> Result<Option<(u64, String)>, StoreError> {
        let item_position = StorePosition { era, revision: item.revision };
        if *lock(&self.last_configuration) == item_position {
            return Ok(None);
        }
        let change = read_configuration(item)?;
        *lock(&self.last_configuration) = item_position;
        Ok(Some(change))
    }

    /// Lets the next watch start from `position`, unless a later position is already known.
    fn advance_position(&self, position: StorePosition) {
        let mut known = lock(&self.position);
        *known = position.max(*known);
    }

    async fn next_configuration(&self) -> Result<Option<(u64, String)>, ReadFault> {
        let start_revision = lock(&self.position).revision;
        let path = watch_path(start_revision, WATCH_HOLD_TIME);
        let (era, body) = self.get(&path, WATCH_HOLD_TIME + ANSWER_TIMEOUT).await?;
        let read = read_changes(&body).map_err(ReadFault::Unparsable)?;
        let StoreChanges { changes, unreadable, revision } = read;
        if let Some(fault) = unreadable.into_iter().find(|fault| is_configuration(&fault.key)) {
            return Err(ReadFault::Unparsable(fault));
        }
        let items = written_items(changes);
        let newest = items.iter().rfind(|item| is_configuration(&item.key));
        let change = newest.map(read_configuration).transpose().map_err(ReadFault::Unparsable)?;
        self.advance_position(StorePosition { era, revision });
        Ok(change)
    }

    /// Reads all items, page by page. The pages are no snapshot: an item that changes meanwhile is
    /// seen by the next full read, and by a watch from the revision of the first page.
    async fn read_all(&self) -> Result<StoreContents, ReadFault> {
        let (mut items, mut unreadable) = (Vec::new(), Vec::new());
        let mut start_position: Option<StorePosition> = None;
        let mut after: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let path = range_path(after.as_deref());
            let (era, body) = self.get(&path, ANSWER_TIMEOUT).await?;
            let page = read_page(&body).map_err(ReadFault::Unparsable)?;
            let start =
                start_position.get_or_insert(StorePosition { era, revision: page.revision });
            if start.era != era {
                return Err(ReadFault::Restored);
            }
            items.extend(page.items);
            unreadable.extend(page.unreadable);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        Ok(StoreContents { position: start_position.unwrap_or_default(), items, unreadable })
    }

    /// Sends a request to the store. Returns the era of the store and the body of its answer.
    async fn get(&self, path: &str, timeout: Duration) -> Result<(u64, Bytes), ReadFault> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.store.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = self.connections.call(self.store, request, MAX_ANSWER_BYTES, timeout).await;
        let answer = answer.map_err(ReadFault::Unanswered)?;
        match answer.status() {
            StatusCode::OK => Ok((read_restore_count(answer.headers()), answer.into_body())),
            StatusCode::GONE => Err(ReadFault::HistoryCompacted),
            status => Err(ReadFault::UnexpectedStatus(status)),
        }
    }

    fn log_fault(&self, engine: &DaemonEngine, call: StoreCall, fault: &ReadFault) {
        warn!(engine.telemetry.log, "store_unread";
            "call" => call.to_string(), "store" => self.store.to_string(),
            "cause" => fault.to_string());
    }
}

impl fmt::Debug for StoreReader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StoreReader").field("store", &self.store).finish()
    }
}

fn written_items(changes: Vec<StoreChange>) -> Vec<StoreItem> {
    let item = |change| match change {
        StoreChange::Written(item) => Some(item),
        // The configuration stays in force when its item is deleted.
        StoreChange::Deleted { .. } => None,
    };
    changes.into_iter().filter_map(item).collect()
}
