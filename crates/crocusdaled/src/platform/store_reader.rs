use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::StorePosition;
use crocusdale_core::sync::lock;
use crocusdale_platform::store::{
    StoreChange, StoreChanges, StoreError, StoreItem, changes_path, configuration_path,
    evacuated_zone, evacuations_path, is_configuration, is_upstream, published_id, read_changes,
    read_configuration, read_item, read_page, read_upstream, watch_path,
};
use http::StatusCode;
use slog::warn;

use super::store_client::StoreClient;
use super::store_fault::{FaultCause, StoreFault};
use super::store_pages::{StoreContents, read_pages};
use super::unreadable_items::UnreadableItems;
use crate::engine::DaemonEngine;

/// Time for which the store may hold a watch of the configuration before it answers unchanged.
///
/// A watch only reports a change sooner than the next full read. A silent connection, or a store
/// that has compacted its history, therefore does no harm. Each watch is a billed call.
const WATCH_HOLD_TIME: Duration = Duration::from_millis(10_000);

/// Client that reads configuration and upstreams from a key-value store.
pub struct StoreReader {
    client: Arc<StoreClient>,
    /// Position of the store from which the next watch starts.
    position: Arc<Mutex<StorePosition>>,
    /// Position up to which reads have passed every configuration to the core.
    read_position: Arc<Mutex<StorePosition>>,
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
    /// Reads all items, or the changes of items.
    Reading,
    /// Waits for a change of the configuration.
    Watch,
}

/// The changes that one read of changes returned.
struct StoreDifference {
    /// Position of the store up to which the changes are complete.
    position: StorePosition,
    /// The configuration, if it has changed or may have.
    configuration: Option<StoreItem>,
    /// Items of all evacuated availability zones.
    evacuations: Vec<StoreItem>,
    changes: Vec<StoreChange>,
    unreadable: Vec<StoreError>,
}

impl StoreReader {
    /// Creates a reader of the store at the address `store`.
    #[must_use]
    pub fn new(store: SocketAddr) -> Self {
        Self {
            client: Arc::new(StoreClient::new(store)),
            position: Arc::default(),
            read_position: Arc::default(),
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

    /// Reads the published items that have changed since `since`, or all of them, and passes them to
    /// the core. All of them are read if `since` is no position, or if the store can't tell all
    /// changes since then.
    pub fn read_directory(&self, engine: &Arc<DaemonEngine>, since: StorePosition) {
        let (reader, engine) = (self.clone_shared(), Arc::clone(engine));
        tokio::spawn(async move {
            let on_delay = |fault: &StoreFault| {
                reader.log_fault(&engine, StoreCall::Reading, fault);
                engine.handle_event(DaemonEvent::DirectoryReadDelayed);
            };
            let event = reader.read_event(since, &engine, &on_delay).await;
            let event = event.unwrap_or_else(|fault| {
                reader.log_fault(&engine, StoreCall::Reading, &fault);
                DaemonEvent::DirectoryReadFailed
            });
            engine.handle_event(event);
        });
    }

    async fn read_event(
        &self,
        since: StorePosition,
        engine: &DaemonEngine,
        on_delay: &impl Fn(&StoreFault),
    ) -> Result<DaemonEvent, StoreFault> {
        if !since.is_none()
            && let Some(difference) = self.read_difference(since, on_delay).await?
        {
            return Ok(self.difference_event(difference, engine));
        }
        Ok(self.directory_event(read_pages(&self.client, on_delay).await?, engine))
    }

    fn clone_shared(&self) -> Self {
        Self {
            client: Arc::clone(&self.client),
            position: Arc::clone(&self.position),
            read_position: Arc::clone(&self.read_position),
            last_configuration: Arc::clone(&self.last_configuration),
            unreadable: Arc::clone(&self.unreadable),
        }
    }

    fn directory_event(&self, contents: StoreContents, engine: &DaemonEngine) -> DaemonEvent {
        let StoreContents { position, items, mut unreadable } = contents;
        let mut entries = Vec::with_capacity(items.len());
        let mut cold = Vec::new();
        let mut configuration = None;
        for item in &items {
            if is_configuration(&item.key) {
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
        let evacuations = evacuated_zones(&items, &unreadable, position.revision);
        unreadable.retain(|fault| is_configuration(&fault.key) || is_upstream(&fault.key));
        self.unreadable.log_new_faults(&engine.telemetry, unreadable);
        self.record_read(position);
        DaemonEvent::DirectoryRead { position, entries, evacuations, cold, configuration }
    }

    fn difference_event(&self, difference: StoreDifference, engine: &DaemonEngine) -> DaemonEvent {
        let StoreDifference { position, configuration, evacuations, changes, mut unreadable } =
            difference;
        let (mut written, mut removed, mut cold) = (Vec::new(), Vec::new(), Vec::new());
        for change in changes {
            match change {
                StoreChange::Written(item) if is_upstream(&item.key) => {
                    match read_upstream(&item) {
                        Ok(upstream) => {
                            cold.extend(upstream.cold_upstream());
                            written.push((item.revision, upstream.entry));
                        }
                        // An entry that can't be read names no upstream to use, like a missing one.
                        Err(fault) => {
                            unreadable.push(fault);
                            let id = published_id(&item.key).unwrap_or_default();
                            removed.push((item.revision, id.to_owned()));
                        }
                    }
                }
                StoreChange::Deleted { key, revision } => {
                    removed.extend(published_id(&key).map(|id| (revision, id.to_owned())));
                }
                StoreChange::Written(_) => {}
            }
        }
        let configuration = configuration.and_then(|item| {
            let changed = self.changed_configuration(&item, position.era);
            changed.unwrap_or_else(|fault| {
                unreadable.push(fault);
                None
            })
        });
        let evacuations = evacuated_zones(&evacuations, &unreadable, position.revision);
        unreadable.retain(|fault| is_configuration(&fault.key) || is_upstream(&fault.key));
        self.unreadable.log_new_faults(&engine.telemetry, unreadable);
        self.record_read(position);
        DaemonEvent::DirectoryChangesRead {
            position,
            written,
            removed,
            evacuations,
            cold,
            configuration,
        }
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

    /// Records that all items, or all their changes, were read up to `position`.
    fn record_read(&self, position: StorePosition) {
        let mut read_position = lock(&self.read_position);
        *read_position = position.max(*read_position);
        drop(read_position);
        self.advance_position(position);
    }

    /// Lets the next watch start from `position`, unless a later position is already known.
    fn advance_position(&self, position: StorePosition) {
        let mut known = lock(&self.position);
        *known = position.max(*known);
    }

    async fn next_configuration(&self) -> Result<Option<(u64, String)>, StoreFault> {
        let start_revision = lock(&self.position).revision;
        let path = watch_path(start_revision, WATCH_HOLD_TIME);
        let answer = self.client.watch(&path, WATCH_HOLD_TIME).await?;
        let read = answer.parse(read_changes)?;
        let StoreChanges { changes, unreadable, revision, .. } = read;
        if let Some(fault) = unreadable.into_iter().find(|fault| is_configuration(&fault.key)) {
            return Err(answer.fault(FaultCause::Unparsable(fault)));
        }
        let items = written_items(changes);
        let newest = items.iter().rfind(|item| is_configuration(&item.key));
        let change = newest.map(read_configuration).transpose();
        let change = change.map_err(|error| answer.fault(FaultCause::Unparsable(error)))?;
        self.advance_position(StorePosition { era: answer.era, revision });
        Ok(change)
    }

    /// Reads the changes of all items after `since`. Returns `None` if the store can't tell all of
    /// them, so that a full read is needed.
    ///
    /// Guards against changes that the store doesn't report: while it compacts its history, a watch
    /// may return nothing although items change. The evacuations are therefore read first, which
    /// also returns the latest revision. As each change has a revision of its own, the number of
    /// changes shows whether one is missing.
    async fn read_difference(
        &self,
        since: StorePosition,
        on_delay: &impl Fn(&StoreFault),
    ) -> Result<Option<StoreDifference>, StoreFault> {
        let answer = self.client.get(&evacuations_path(), on_delay).await?;
        let (era, evacuations) = (answer.era, answer.parse(read_page)?);
        let latest_revision = evacuations.revision;
        if era != since.era || latest_revision < since.revision || evacuations.next.is_some() {
            return Ok(None);
        }
        let (mut changes, mut unreadable) = (Vec::new(), evacuations.unreadable);
        let mut revision = since.revision;
        while revision < latest_revision {
            let answer = match self.client.get(&changes_path(revision), on_delay).await {
                Err(StoreFault { cause: FaultCause::HistoryCompacted, .. }) => return Ok(None),
                answer => answer?,
            };
            let read = answer.parse(read_changes)?;
            let expected = read.revision.saturating_sub(revision);
            let change_count = (read.changes.len() + read.undecoded.len()) as u64;
            if answer.era != era || expected == 0 || change_count < expected {
                return Ok(None);
            }
            revision = read.revision;
            changes.extend(read.changes);
            unreadable.extend(read.unreadable);
            // An item that can't be decoded is of no more use than a deleted one.
            let undecoded = read.undecoded.into_iter();
            changes.extend(undecoded.map(|(revision, key)| StoreChange::Deleted { key, revision }));
        }
        let configuration = self.configuration_since(since, &changes, on_delay).await?;
        let position = StorePosition { era, revision };
        let evacuations = evacuations.items;
        Ok(Some(StoreDifference { position, configuration, evacuations, changes, unreadable }))
    }

    /// Returns the configuration if it is among `changes`. Reads it apart if this reader has not read
    /// the store up to `since`, because a peer told the changes before.
    async fn configuration_since(
        &self,
        since: StorePosition,
        changes: &[StoreChange],
        on_delay: &impl Fn(&StoreFault),
    ) -> Result<Option<StoreItem>, StoreFault> {
        if *lock(&self.read_position) >= since {
            let mut items = changes.iter().rev().filter_map(StoreChange::written);
            return Ok(items.find(|item| is_configuration(&item.key)).cloned());
        }
        let answer = match self.client.get(&configuration_path(), on_delay).await {
            Err(StoreFault {
                cause: FaultCause::UnexpectedStatus(StatusCode::NOT_FOUND), ..
            }) => return Ok(None),
            answer => answer?,
        };
        answer.parse(read_item).map(Some)
    }

    fn log_fault(&self, engine: &DaemonEngine, call: StoreCall, fault: &StoreFault) {
        warn!(engine.telemetry.log, "store_unread";
            "call" => call.to_string(), "store" => self.client.address().to_string(),
            "path" => &fault.path, "time_ms" => fault.time.as_millis(),
            "cause" => fault.cause.to_string());
    }
}

impl fmt::Debug for StoreReader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("StoreReader").field("store", &self.client.address()).finish()
    }
}

/// Zones that `items` evacuate, each with the revision of its item. An item evacuates its zone by its
/// key, also if its value is `unreadable`; `revision` then stands for that of the item.
fn evacuated_zones(
    items: &[StoreItem],
    unreadable: &[StoreError],
    revision: u64,
) -> Vec<(u64, String)> {
    let readable =
        items.iter().filter_map(|item| Some((item.revision, evacuated_zone(&item.key)?)));
    let unreadable =
        unreadable.iter().filter_map(|fault| Some((revision, evacuated_zone(&fault.key)?)));
    readable.chain(unreadable).map(|(revision, zone)| (revision, zone.to_owned())).collect()
}

fn written_items(changes: Vec<StoreChange>) -> Vec<StoreItem> {
    let item = |change| match change {
        StoreChange::Written(item) => Some(item),
        // The configuration stays in force when its item is deleted.
        StoreChange::Deleted { .. } => None,
    };
    changes.into_iter().filter_map(item).collect()
}
