use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::daemon::CounterName;
use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::memory::{
    ConnectionPhase, ConnectionProgress, PlaceChoice, ProgressLimits, byte_victims, place_victim,
};
use crocusdale_core::sync::lock;
use slog::info;
use tokio::sync::Notify;

use crate::engine::MonotonicClock;
use crate::telemetry::Telemetry;

/// Minimum time between two log lines about closed connections.
const CLOSE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Open connections of one listener.
#[derive(Debug)]
pub struct ConnectionTable {
    clock: MonotonicClock,
    limits: ProgressLimits,
    telemetry: Arc<Telemetry>,
    /// Time of the last log line about a closed connection.
    close_logged: Mutex<Option<MonotonicTime>>,
    connections: Mutex<HashMap<u64, Arc<CallerConnection>>>,
    next_id: AtomicU64,
}

/// An open connection from a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    clock: MonotonicClock,
    peer: SocketAddr,
    progress: Mutex<ConnectionProgress>,
    held: AtomicUsize,
    /// Whether a large body has begun to arrive.
    has_large_body: AtomicBool,
    is_closing: AtomicBool,
    close: Notify,
}

/// Entry of a connection in its table, which is removed when this is dropped.
#[derive(Debug)]
pub(crate) struct TableEntry {
    table: Arc<ConnectionTable>,
    id: u64,
    pub(crate) connection: Arc<CallerConnection>,
}

impl ConnectionTable {
    /// Creates an empty table, whose connections must make the progress of `limits`.
    #[must_use]
    pub fn new(
        clock: MonotonicClock,
        limits: ProgressLimits,
        telemetry: Arc<Telemetry>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            limits,
            telemetry,
            close_logged: Mutex::default(),
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
        })
    }

    /// Number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Time from now until `at`, or zero if `at` has passed.
    pub(crate) fn time_until(&self, at: MonotonicTime) -> Duration {
        self.clock.time_until(at)
    }

    /// Adds a connection from `peer`.
    pub(crate) fn open(self: &Arc<Self>, peer: SocketAddr) -> TableEntry {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let progress = ConnectionProgress::new(self.limits, self.clock.now());
        let connection = Arc::new(CallerConnection {
            clock: self.clock,
            peer,
            progress: Mutex::new(progress),
            held: AtomicUsize::new(0),
            has_large_body: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            close: Notify::new(),
        });
        lock(&self.connections).insert(id, Arc::clone(&connection));
        TableEntry { table: Arc::clone(self), id, connection }
    }

    /// Tells the connection to close that makes place for a new one. Returns the time at which the
    /// next connection may be closed if there is none now.
    pub(crate) fn close_for_place(&self) -> Option<MonotonicTime> {
        let connections = self.open_connections();
        let progresses =
            connections.iter().map(|connection| (connection, lock(&connection.progress).clone()));
        match place_victim(progresses, self.clock.now()) {
            PlaceChoice::Close(connection) => self.close(connection),
            PlaceChoice::Wait(due) => return Some(due),
            PlaceChoice::AllServing => {}
        }
        None
    }

    /// Tells connections to close that together hold `bytes`. Returns `false`, and closes none, if
    /// the overdue ones hold less.
    pub(crate) fn close_for_bytes(&self, bytes: usize) -> bool {
        let connections = self.open_connections();
        let holders = connections.iter().map(|connection| {
            let held = connection.held.load(Ordering::Relaxed);
            (connection, lock(&connection.progress).clone(), held)
        });
        let victims = byte_victims(holders, bytes, self.clock.now());
        for connection in &victims {
            self.close(connection);
        }
        !victims.is_empty()
    }

    /// Earliest time at which a connection that holds bytes becomes overdue.
    pub(crate) fn next_due(&self) -> Option<MonotonicTime> {
        let connections = self.open_connections();
        let holders =
            connections.iter().filter(|connection| connection.held.load(Ordering::Relaxed) > 0);
        holders.filter_map(|connection| lock(&connection.progress).due()).min()
    }

    fn close(&self, connection: &CallerConnection) {
        connection.is_closing.store(true, Ordering::Relaxed);
        connection.close.notify_one();
        let phase = lock(&connection.progress).phase();
        let held_bytes = connection.held.load(Ordering::Relaxed);
        self.telemetry.count(match phase {
            ConnectionPhase::Head => CounterName::StalledHeadsClosed,
            ConnectionPhase::Body | ConnectionPhase::Discarding => CounterName::StalledBodiesClosed,
            ConnectionPhase::Idle | ConnectionPhase::Serving if held_bytes > 0 => {
                CounterName::UnreadAnswersClosed
            }
            ConnectionPhase::Idle | ConnectionPhase::Serving => CounterName::IdleConnectionsClosed,
        });
        let now = self.clock.now();
        let mut logged = lock(&self.close_logged);
        if logged.is_none_or(|logged| now.since(logged) >= CLOSE_LOG_INTERVAL) {
            *logged = Some(now);
            info!(self.telemetry.log, "connection_closed";
                "caller" => connection.peer.to_string(), "phase" => phase.to_string(),
                "held_bytes" => held_bytes, "connections" => self.len());
        }
    }

    fn open_connections(&self) -> Vec<Arc<CallerConnection>> {
        let connections = lock(&self.connections);
        let open = connections.values();
        open.filter(|connection| !connection.is_closing.load(Ordering::Relaxed)).cloned().collect()
    }
}

impl CallerConnection {
    /// Records that `phase` begins.
    pub(crate) fn begin(&self, phase: ConnectionPhase) {
        lock(&self.progress).begin(phase, self.clock.now());
    }

    /// Records that there is room for the body that arrives, and that it is large.
    pub(crate) fn begin_large_body(&self) {
        self.has_large_body.store(true, Ordering::Relaxed);
    }

    /// Whether a large body has begun to arrive since the last call.
    pub(crate) fn take_large_body(&self) -> bool {
        self.has_large_body.load(Ordering::Relaxed)
            && self.has_large_body.swap(false, Ordering::Relaxed)
    }

    /// Records that the answer to a request begins. A connection that discards the rest of a body
    /// goes on to do so.
    pub(crate) fn begin_answer(&self) {
        self.begin_unless_discarding(ConnectionPhase::Serving);
    }

    /// Records that the answer to a request has ended. A connection that discards the rest of a body
    /// goes on to do so.
    pub(crate) fn end_request(&self) {
        self.begin_unless_discarding(ConnectionPhase::Idle);
    }

    fn begin_unless_discarding(&self, phase: ConnectionPhase) {
        let mut progress = lock(&self.progress);
        if progress.phase() != ConnectionPhase::Discarding {
            progress.begin(phase, self.clock.now());
        }
    }

    /// Records that `bytes` have arrived, and returns the phase before. The first bytes of an idle
    /// connection begin a head.
    pub(crate) fn record_received(&self, bytes: usize) -> ConnectionPhase {
        let now = self.clock.now();
        let mut progress = lock(&self.progress);
        let phase = progress.phase();
        match phase {
            ConnectionPhase::Idle => progress.begin(ConnectionPhase::Head, now),
            _ => progress.record_bytes(bytes, now),
        }
        phase
    }

    /// Records that `bytes` were sent.
    pub(crate) fn record_sent(&self, bytes: usize) {
        lock(&self.progress).record_bytes(bytes, self.clock.now());
    }

    /// Waits until the connection has to close. A request that has arrived meanwhile is served.
    pub(crate) async fn closing(&self) {
        loop {
            self.close.notified().await;
            if lock(&self.progress).phase() != ConnectionPhase::Serving {
                return;
            }
            self.is_closing.store(false, Ordering::Relaxed);
        }
    }

    pub(super) fn add_held(&self, bytes: usize) {
        self.held.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn remove_held(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        lock(&self.table.connections).remove(&self.id);
    }
}
