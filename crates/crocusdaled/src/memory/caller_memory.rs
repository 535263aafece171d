use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::identity::MonotonicTime;
use crocusdale_core::memory::{
    ByteBudget, ByteLease, HoldClass, MemoryPlan, MemoryUsage, ProgressLimits,
};
use crocusdale_core::sync::lock;
use slog::{info, warn};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::vm_resources::ResidentMemory;
use super::{CallerConnection, ConnectionTable, HeldBytes};
use crate::engine::MonotonicClock;
use crate::telemetry::Telemetry;

/// Time for which a sample of the resident memory is used.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an answer waits for room. Callers that read nothing are gone by then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before an answer without room is tried again.
const ANSWER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of refused bodies whose rest is read and discarded at a time.
const MAX_DISCARDED_BODIES: usize = 256;

/// Memory that callers make the process hold: bodies of requests, and answers that wait for their
/// callers.
///
/// What exceeds the room of the VM is refused, after connections without progress were closed.
#[derive(Debug)]
pub struct CallerMemory {
    plan: MemoryPlan,
    progress: ProgressLimits,
    clock: MonotonicClock,
    telemetry: Arc<Telemetry>,
    budget: Arc<ByteBudget>,
    /// Held bytes that have arrived.
    arrived: AtomicUsize,
    connections: Arc<ConnectionTable>,
    resident: ResidentMemory,
    /// Time of the last sample of the resident memory.
    sampled: Mutex<Option<MonotonicTime>>,
    /// Whether a request was refused for want of room, and the room has not been half empty since.
    is_exhausted: AtomicBool,
    discards: Arc<Semaphore>,
}

/// What callers hold of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerUsage {
    /// Number of bytes of bodies and answers that are held.
    pub held_bytes: usize,
    /// Number of bytes that may be held.
    pub room_bytes: usize,
    /// Number of open connections.
    pub connections: usize,
}

/// There is no room for a body or an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// Time after which a caller may come back.
    pub retry_after: Duration,
}

impl CallerMemory {
    /// Creates the memory of `plan` for callers, whose connections must make the progress of
    /// `progress`.
    #[must_use]
    pub fn new(
        plan: MemoryPlan,
        progress: ProgressLimits,
        clock: MonotonicClock,
        telemetry: Arc<Telemetry>,
    ) -> Arc<Self> {
        let room = plan.room(MemoryUsage::default());
        let connections = ConnectionTable::new(clock, progress, Arc::clone(&telemetry));
        let memory = Self {
            plan,
            progress,
            clock,
            telemetry,
            budget: Arc::new(ByteBudget::new(room)),
            arrived: AtomicUsize::new(0),
            connections,
            resident: ResidentMemory::open(),
            sampled: Mutex::default(),
            is_exhausted: AtomicBool::new(false),
            discards: Arc::new(Semaphore::new(MAX_DISCARDED_BODIES)),
        };
        memory.sample();
        Arc::new(memory)
    }

    /// How the memory and the descriptors of the VM are divided.
    #[must_use]
    pub fn plan(&self) -> &MemoryPlan {
        &self.plan
    }

    /// Connections of callers.
    #[must_use]
    pub fn connections(&self) -> &Arc<ConnectionTable> {
        &self.connections
    }

    /// What callers hold at present.
    #[must_use]
    pub fn usage(&self) -> CallerUsage {
        self.sample_if_due();
        CallerUsage {
            held_bytes: self.budget.held(),
            room_bytes: self.budget.capacity(),
            connections: self.connections.len(),
        }
    }

    /// Holds `bytes` of a body of `class` that `connection` sends. Closes connections without
    /// progress if there is no room.
    ///
    /// # Errors
    ///
    /// Returns when there may be room, if there is none now.
    pub(crate) fn hold(
        self: &Arc<Self>,
        bytes: usize,
        class: HoldClass,
        connection: Option<&Arc<CallerConnection>>,
    ) -> Result<HeldBytes, NoRoom> {
        let lease = self.lease(bytes, class)?;
        Ok(HeldBytes::new(Arc::clone(self), lease, connection.cloned()))
    }

    /// Adds `bytes` of a body of `class` to `held`.
    ///
    /// # Errors
    ///
    /// Returns when there may be room, if there is none now.
    pub(crate) fn extend(
        &self,
        held: &mut HeldBytes,
        bytes: usize,
        class: HoldClass,
    ) -> Result<(), NoRoom> {
        held.extend(self.lease(bytes, class)?);
        Ok(())
    }

    /// Holds `bytes` of an answer for `connection`, and waits for room if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no room for three seconds.
    pub(crate) async fn hold_answer(
        self: &Arc<Self>,
        bytes: usize,
        connection: Option<&Arc<CallerConnection>>,
    ) -> Result<HeldBytes, NoRoom> {
        let lease = self.lease_for_answer(bytes).await?;
        Ok(HeldBytes::new(Arc::clone(self), lease, connection.cloned()))
    }

    /// Adds `bytes` of an answer to `held`, and waits for room if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no room for three seconds.
    pub(crate) async fn extend_answer(
        &self,
        held: &mut HeldBytes,
        bytes: usize,
    ) -> Result<(), NoRoom> {
        held.extend(self.lease_for_answer(bytes).await?);
        Ok(())
    }

    /// Holds `bytes` that are already in memory.
    pub(crate) fn hold_copy(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        HeldBytes::new(Arc::clone(self), self.budget.hold(bytes), None)
    }

    /// Permit to read and discard the rest of a refused body. `None` if too many are discarded.
    pub(crate) fn discard_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.discards).try_acquire_owned().ok()
    }

    pub(super) fn add_arrived(&self, bytes: usize) {
        self.arrived.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn remove_arrived(&self, bytes: usize) {
        self.arrived.fetch_sub(bytes, Ordering::Relaxed);
    }

    async fn lease_for_answer(&self, bytes: usize) -> Result<ByteLease, NoRoom> {
        let until = self.clock.now() + ANSWER_TIMEOUT;
        loop {
            match self.lease(bytes, HoldClass::Medium) {
                Err(_) if self.clock.now() < until => {
                    tokio::time::sleep(ANSWER_RETRY_DELAY).await;
                }
                lease => return lease,
            }
        }
    }

    fn lease(&self, bytes: usize, class: HoldClass) -> Result<ByteLease, NoRoom> {
        self.sample_if_due();
        if let Some(lease) = self.budget.try_hold(bytes, class) {
            self.note_room();
            return Ok(lease);
        }
        self.note_exhausted(bytes);
        let missing = self.budget.missing(bytes, class);
        if missing > 0 && !self.connections.close_for_bytes(missing) {
            return Err(self.no_room());
        }
        // The closed connections give their bytes back as soon as their tasks run.
        Ok(self.budget.hold(bytes))
    }

    fn no_room(&self) -> NoRoom {
        let due = self.connections.next_due();
        let until_due = due.map(|due| self.clock.time_until(due));
        let retry_after = until_due.filter(|left| !left.is_zero()).unwrap_or(self.progress.grace);
        NoRoom { retry_after }
    }

    fn note_exhausted(&self, bytes: usize) {
        if self.is_exhausted.swap(true, Ordering::Relaxed) {
            return;
        }
        let usage = self.usage();
        warn!(self.telemetry.log, "room_exhausted";
            "wanted_bytes" => bytes, "held_bytes" => usage.held_bytes,
            "room_bytes" => usage.room_bytes, "connections" => usage.connections);
    }

    fn note_room(&self) {
        let (held, room) = (self.budget.held(), self.budget.capacity());
        if held <= room / 2 && self.is_exhausted.swap(false, Ordering::Relaxed) {
            info!(self.telemetry.log, "room_restored"; "held_bytes" => held, "room_bytes" => room);
        }
    }

    fn sample_if_due(&self) {
        let now = self.clock.now();
        let mut sampled = lock(&self.sampled);
        if sampled.is_none_or(|sampled| now.since(sampled) >= SAMPLE_INTERVAL) {
            *sampled = Some(now);
            drop(sampled);
            self.sample();
        }
    }

    /// Sets the room by the memory that the process uses now.
    fn sample(&self) {
        let Some(resident_bytes) = self.resident.read() else { return };
        let usage = MemoryUsage {
            resident_bytes,
            body_bytes: self.arrived.load(Ordering::Relaxed),
            connections: self.connections.len(),
        };
        self.budget.set_capacity(self.plan.room(usage));
    }
}
