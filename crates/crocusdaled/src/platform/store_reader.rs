use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::sync::lock;
use crocusdale_platform::store::{
    StoreChange, StoreChanges, StoreFault, StoreItem, StorePart, is_configuration, read_changes,
    read_configuration, read_page, read_upstream,
};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use slog::warn;

use super::unreadable_items::UnreadableItems;
use crate::engine::DaemonEngine;
use crate::upstream::{ConnectionPool, SendFault};

/// How long the store may hold a watch of the configuration. Open connections may go silent for
/// good, and then the news comes only with the next watch; it must be in force within two seconds.
const CONFIGURATION_HOLD: Duration = Duration::from_millis(1_500);
/// Time after which the configuration is read whole, whatever a watch says: a store that forgets its
/// history lets a watch wait on, or go on behind a change that it never told. Below the three
/// seconds after which the users count on a store that has come back.
const WHOLE_READ_PERIOD: Duration = Duration::from_millis(2_000);
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
    /// Revision of the store after which the configuration is watched, 0 before the first reading.
    position: Arc<AtomicU64>,
    /// When the configuration was last read whole.
    whole_read: Arc<Mutex<Option<Instant>>>,
    /// Published upstreams that can't be read.
    unreadable: Arc<UnreadableItems>,
}

/// Why the store could not be read.
#[derive(Debug)]
enum ReadFault {
    Silent(SendFault),
    Refused(StatusCode),
    /// The history that a watch asked for is gone.
    HistoryGone,
    Unreadable(StoreFault),
}

impl fmt::Display for ReadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent(fault) => formatter.write_str(&fault.cause),
            Self::Refused(status) => write!(formatter, "status {status}"),
            Self::HistoryGone => formatter.write_str("the history is gone"),
            Self::Unreadable(fault) => write!(formatter, "unreadable answer: {fault}"),
        }
    }
}

/// What one reading of a part found.
struct WholeRead {
    /// Revision of the store.
    revision: u64,
    items: Vec<StoreItem>,
    unreadable: Vec<StoreFault>,
}

impl StoreReader {
    /// Reads from `store`.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store,
            connections: Arc::default(),
            position: Arc::default(),
            whole_read: Arc::default(),
            unreadable: Arc::default(),
        }
    }

    /// Reads the configuration, or once it is known waits for another one.
    pub fn watch_configuration(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.handle(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.next_configuration().await {
                Ok(news) => DaemonEvent::ConfigurationWatched(news),
                Err(fault) => {
                    reader.position.store(0, Ordering::Relaxed);
                    reader.report(&engine, StorePart::Configuration, &fault);
                    DaemonEvent::ConfigurationUnread
                }
            };
            engine.feed(event);
        });
    }

    /// Reads the published upstreams.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>) {
        let (reader, engine) = (self.handle(), Arc::clone(engine));
        tokio::spawn(async move {
            let event = match reader.read_whole(StorePart::Upstreams).await {
                Ok(WholeRead { revision, items, mut unreadable }) => {
                    let mut entries = Vec::with_capacity(items.len());
                    for item in &items {
                        match read_upstream(item) {
                            Ok(entry) => entries.push((item.revision, entry)),
                            Err(fault) => unreadable.push(fault),
                        }
                    }
                    reader.unreadable.note(&engine.telemetry, unreadable);
                    DaemonEvent::DirectoryRead { revision, entries }
                }
                Err(fault) => {
                    reader.report(&engine, StorePart::Upstreams, &fault);
                    DaemonEvent::DirectoryUnread
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
            whole_read: Arc::clone(&self.whole_read),
            unreadable: Arc::clone(&self.unreadable),
        }
    }

    async fn next_configuration(&self) -> Result<Option<(u64, String)>, ReadFault> {
        let position = self.position.load(Ordering::Relaxed);
        let read = *lock(&self.whole_read);
        let due = read.is_none_or(|read| read.elapsed() >= WHOLE_READ_PERIOD);
        let read = if position == 0 || due {
            let read = self.read_whole(StorePart::Configuration).await?;
            *lock(&self.whole_read) = Some(Instant::now());
            read
        } else {
            match self.watch(StorePart::Configuration, position, CONFIGURATION_HOLD).await {
                Ok(read) => read,
                Err(ReadFault::HistoryGone) => self.read_whole(StorePart::Configuration).await?,
                Err(fault) => return Err(fault),
            }
        };
        let WholeRead { revision, items, unreadable } = read;
        if let Some(fault) = unreadable.into_iter().find(|fault| is_configuration(&fault.key)) {
            return Err(ReadFault::Unreadable(fault));
        }
        let newest = items.iter().rfind(|item| is_configuration(&item.key));
        let news = newest.map(read_configuration).transpose().map_err(ReadFault::Unreadable)?;
        self.position.store(revision, Ordering::Relaxed);
        Ok(news)
    }

    /// Reads a part whole. Pages are no snapshot: what changes meanwhile is seen by a watch from
    /// the revision of the first page.
    async fn read_whole(&self, part: StorePart) -> Result<WholeRead, ReadFault> {
        let (mut items, mut unreadable) = (Vec::new(), Vec::new());
        let mut first_revision = None;
        let mut after: Option<String> = None;
        for _ in 0..PAGES {
            let path = part.range_path(after.as_deref());
            let page = read_page(&self.get(&path, ANSWER_PATIENCE).await?);
            let page = page.map_err(ReadFault::Unreadable)?;
            first_revision.get_or_insert(page.revision);
            items.extend(page.items);
            unreadable.extend(page.unreadable);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        let revision = first_revision.unwrap_or_default();
        Ok(WholeRead { revision, items, unreadable })
    }

    async fn watch(
        &self,
        part: StorePart,
        revision: u64,
        hold: Duration,
    ) -> Result<WholeRead, ReadFault> {
        let path = part.watch_path(revision, hold);
        let body = self.get(&path, hold + ANSWER_PATIENCE).await?;
        let read = read_changes(&body).map_err(ReadFault::Unreadable)?;
        let StoreChanges { changes, unreadable, revision } = read;
        Ok(WholeRead { revision, items: written(changes), unreadable })
    }

    async fn get(&self, path: &str, patience: Duration) -> Result<Bytes, ReadFault> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().unwrap_or_default();
        if let Ok(host) = HeaderValue::from_str(&self.store.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = self.connections.call(self.store, request, ANSWER_LIMIT, patience).await;
        let answer = answer.map_err(ReadFault::Silent)?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            StatusCode::GONE => Err(ReadFault::HistoryGone),
            status => Err(ReadFault::Refused(status)),
        }
    }

    fn report(&self, engine: &DaemonEngine, part: StorePart, fault: &ReadFault) {
        warn!(engine.telemetry.log, "store_unread";
            "part" => part.to_string(), "store" => self.store.to_string(),
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
