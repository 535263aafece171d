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

/// How long the store may hold a watch of the configuration. A watch only brings a change sooner than
/// the next reading of everything, so that a silent connection, or a store that has forgotten its
/// history, does no harm. Each watch is a call that is paid for.
const CONFIGURATION_HOLD: Duration = Duration::from_millis(10_000);
/// Time beyond the hold for which an answer may take. An answer takes a few milliseconds in calm,
/// and up to some tenths of a second while the store is slow.
const ANSWER_PATIENCE: Duration = Duration::from_millis(900);
/// Largest answer of the store, in bytes: a page has about a megabyte, in base64.
const ANSWER_LIMIT: usize = 8 << 20;
/// Pages of one reading at most.
const PAGES: usize = 64;

/// Reads what a store publishes.
pub struct StoreReader {
    store: SocketAddr,
    connections: Arc<ConnectionPool>,
    /// Position of the store up to which the configuration is known.
    position: Arc<Mutex<StorePosition>>,
    /// Position of the configuration's item that the last reading gave on. Under the same revision of
    /// another era may stand another text.
    given_on: Arc<Mutex<StorePosition>>,
    /// Published upstreams that can't be read.
    unreadable: Arc<UnreadableItems>,
}

/// A call of the store.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum StoreCall {
    /// Reads everything.
    Reading,
    /// Waits for another configuration.
    Watch,
}

/// Why the store could not be read.
#[derive(Debug)]
enum ReadFault {
    Silent(SendFault),
    Refused(StatusCode),
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// The store came back from an older copy between two pages.
    Restored,
    Unreadable(StoreError),
}

impl fmt::Display for ReadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent(fault) => formatter.write_str(&fault.cause),
            Self::Refused(status) => write!(formatter, "status {status}"),
            Self::HistoryGone => formatter.write_str("the history is gone"),
            Self::Restored => formatter.write_str("the store came back from an older copy"),
            Self::Unreadable(fault) => write!(formatter, "unreadable answer: {fault}"),
        }
    }
}

/// What one reading found.
struct WholeRead {
    /// Position of the store.
    position: StorePosition,
    items: Vec<StoreItem>,
    unreadable: Vec<StoreError>,
}

impl StoreReader {
    /// Reads from `store`.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store,
            connections: Arc::default(),
            position: Arc::default(),
            given_on: Arc::default(),
            unreadable: Arc::default(),
        }
    }

    /// Waits for another configuration than the one that was read last.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.handle(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.next_configuration().await {
                Ok(news) => DaemonEvent::ConfigurationWatched(news),
                Err(fault) => {
                    reader.report(&engine, StoreCall::Watch, &fault);
                    DaemonEvent::ConfigurationWatchFailed
                }
            };
            engine.feed(event);
        });
    }

    /// Reads all that is published.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.handle(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.read_whole().await {
                Ok(read) => reader.directory_event(read, &engine),
                Err(fault) => {
                    reader.report(&engine, StoreCall::Reading, &fault);
                    DaemonEvent::DirectoryReadFailed
                }
            };
            engine.feed(event);
        });
    }

    fn handle(&self) -> Self {
        Self {
            store: self.store,
            connections: Arc::clone(&self.connections),
            position: Arc::clone(&self.position),
            given_on: Arc::clone(&self.given_on),
            unreadable: Arc::clone(&self.unreadable),
        }
    }

    fn directory_event(&self, read: WholeRead, engine: &DaemonEngine) -> DaemonEvent {
        let WholeRead { position, items, mut unreadable } = read;
        let mut entries = Vec::with_capacity(items.len());
        let (mut evacuations, mut cold) = (Vec::new(), Vec::new());
        let mut configuration = None;
        for item in &items {
            if let Some(zone) = evacuated_zone(&item.key) {
                evacuations.push((item.revision, zone.to_owned()));
            } else if is_configuration(&item.key) {
                match self.news_of(item, position.era) {
                    Ok(news) => configuration = news,
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
        // Whatever it holds, the item stands for its zone.
        let unread = unreadable.iter().filter_map(|fault| evacuated_zone(&fault.key));
        evacuations.extend(unread.map(|zone| (position.revision, zone.to_owned())));
        unreadable.retain(|fault| is_configuration(&fault.key) || is_upstream(&fault.key));
        self.unreadable.note(&engine.telemetry, unreadable);
        self.read_up_to(position);
        DaemonEvent::DirectoryRead { position, entries, evacuations, cold, configuration }
    }

    /// The configuration in `item`, if it is another one than the last reading gave on.
    fn news_of(&self, item: &StoreItem, era: u64) -> Result<Option<(u64, String)>, StoreError> {
        let written = StorePosition { era, revision: item.revision };
        if *lock(&self.given_on) == written {
            return Ok(None);
        }
        let news = read_configuration(item)?;
        *lock(&self.given_on) = written;
        Ok(Some(news))
    }

    /// Watches go on from `position`, unless they are beyond it.
    fn read_up_to(&self, position: StorePosition) {
        let mut known = lock(&self.position);
        *known = position.max(*known);
    }

    async fn next_configuration(&self) -> Result<Option<(u64, String)>, ReadFault> {
        let from = lock(&self.position).revision;
        let path = watch_path(from, CONFIGURATION_HOLD);
        let (era, body) = self.get(&path, CONFIGURATION_HOLD + ANSWER_PATIENCE).await?;
        let read = read_changes(&body).map_err(ReadFault::Unreadable)?;
        let StoreChanges { changes, unreadable, revision } = read;
        if let Some(fault) = unreadable.into_iter().find(|fault| is_configuration(&fault.key)) {
            return Err(ReadFault::Unreadable(fault));
        }
        let items = written(changes);
        let newest = items.iter().rfind(|item| is_configuration(&item.key));
        let news = newest.map(read_configuration).transpose().map_err(ReadFault::Unreadable)?;
        self.read_up_to(StorePosition { era, revision });
        Ok(news)
    }

    /// Reads everything. Pages are no snapshot: what changes meanwhile is seen by the next reading, and
    /// by a watch from the revision of the first page.
    async fn read_whole(&self) -> Result<WholeRead, ReadFault> {
        let (mut items, mut unreadable) = (Vec::new(), Vec::new());
        let mut first: Option<StorePosition> = None;
        let mut after: Option<String> = None;
        for _ in 0..PAGES {
            let path = range_path(after.as_deref());
            let (era, body) = self.get(&path, ANSWER_PATIENCE).await?;
            let page = read_page(&body).map_err(ReadFault::Unreadable)?;
            let begun = first.get_or_insert(StorePosition { era, revision: page.revision });
            if begun.era != era {
                return Err(ReadFault::Restored);
            }
            items.extend(page.items);
            unreadable.extend(page.unreadable);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        Ok(WholeRead { position: first.unwrap_or_default(), items, unreadable })
    }

    /// Asks the store; returns its era and the body of its answer.
    async fn get(&self, path: &str, patience: Duration) -> Result<(u64, Bytes), ReadFault> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.store.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = self.connections.call(self.store, request, ANSWER_LIMIT, patience).await;
        let answer = answer.map_err(ReadFault::Silent)?;
        match answer.status() {
            StatusCode::OK => Ok((read_restore_count(answer.headers()), answer.into_body())),
            StatusCode::GONE => Err(ReadFault::HistoryGone),
            status => Err(ReadFault::Refused(status)),
        }
    }

    fn report(&self, engine: &DaemonEngine, call: StoreCall, fault: &ReadFault) {
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

fn written(changes: Vec<StoreChange>) -> Vec<StoreItem> {
    let item = |change| match change {
        StoreChange::Written(item) => Some(item),
        // The configuration in force outlives its item.
        StoreChange::Deleted { .. } => None,
    };
    changes.into_iter().filter_map(item).collect()
}
