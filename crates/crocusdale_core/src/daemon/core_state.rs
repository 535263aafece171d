use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use super::directory_state::DirectoryState;
use super::held_work::HeldWork;
use super::news_bounds::NewsPace;
use super::pause_watch::PauseWatch;
use super::{DaemonCore, FleetState, NewsBounds};
use crate::admission::{AdmissionGate, EntryBacklog, WorkspaceMeter};
use crate::batching::{BatchDispatcher, PoolWaits};
use crate::claims::RegisterShard;
use crate::configuration::{DeclarationReader, Declarations, MembershipSettings, RegionMap};
use crate::identity::{InstanceId, MonotonicTime, RequestKey};
use crate::membership::{MemberPlace, MemberViewBuilder, RosterHistory};
use crate::pipeline::RequestShard;
use crate::quarantine::CrashDetector;
use crate::rate_limiting::RateLimiter;
use crate::retry::RetryLimits;
use crate::routing::{ColdLimits, UpstreamRouter};
use crate::sync::lock;
use crate::tickets::TicketIssuer;

/// Shards of requests and of registers.
const SHARDS: usize = 16;
/// Requests that run at one time, unless set.
const DEFAULT_REQUESTS: usize = 8_192;

/// Time after a pause for which a request may have waited through it in a socket.
const SUSPICION: Duration = Duration::from_secs(1);

/// Parts of the core, each under its own lock; no lock is held while another part is called.
#[derive(Debug)]
pub(super) struct CoreState {
    pub(super) own: InstanceId,
    pub(super) zone: String,
    /// Regions of the availability zones.
    pub(super) regions: RegionMap,
    pub(super) started: MonotonicTime,
    pub(super) shards: Vec<Mutex<RequestShard>>,
    pub(super) registers: Vec<Mutex<RegisterShard>>,
    pub(super) gate: Mutex<AdmissionGate>,
    pub(super) fleet: Mutex<FleetState>,
    pub(super) directory: Mutex<DirectoryState>,
    /// What waits until what the platform publishes has been read.
    pub(super) held: Mutex<HeldWork>,
    pub(super) dispatcher: Mutex<BatchDispatcher>,
    /// Upstreams that have named a rate.
    pub(super) limiter: Arc<RateLimiter>,
    /// Until when upstreams that turned this daemon away want nothing from it.
    pub(super) away: Mutex<HashMap<String, MonotonicTime>>,
    /// Upstreams that ended under requests.
    pub(super) crashes: Mutex<CrashDetector>,
    /// How long pieces would wait in each pool.
    pub(super) waits: Mutex<PoolWaits>,
    /// What each workspace sends.
    pub(super) workspaces: Mutex<WorkspaceMeter>,
    /// Requests that can't be in time, until there is room for them.
    pub(super) backlog: Mutex<EntryBacklog>,
    /// Time for which a draining process may still end by itself, if it is killed after it.
    pub(super) grace: Option<Duration>,
    /// Time after which a draining process takes no new request that it might not finish.
    pub(super) refuse_from: Mutex<Option<MonotonicTime>>,
    router: RwLock<Arc<UpstreamRouter>>,
    basis: RwLock<Arc<RequestBasis>>,
    next_call: AtomicU64,
    /// Whether addresses that were given out may no longer point here.
    pub(super) window_over: AtomicBool,
    pub(super) last_housekeeping: Mutex<MonotonicTime>,
    pub(super) pauses: Mutex<PauseWatch>,
    /// Time until which requests may have waited in a socket through a long pause.
    suspicious_until: Mutex<MonotonicTime>,
    pub(super) tickets: TicketIssuer,
}

/// What every request needs to know of configuration and membership, in one reading.
#[derive(Clone, Debug)]
pub(super) struct RequestBasis {
    pub(super) declarations: Option<Arc<Declarations>>,
    pub(super) history: RosterHistory,
    pub(super) key_life: Duration,
}

/// Builds a [`DaemonCore`].
///
/// # Examples
///
/// ```
/// use crocusdale_core::DaemonCoreBuilder;
/// use crocusdale_core::identity::{InstanceId, MonotonicTime};
///
/// let own = InstanceId::new("gl-entry-a1", 1);
/// let core = DaemonCoreBuilder::new(own, "a").seed(7).build(MonotonicTime::from_millis(0));
/// assert!(!core.is_ready());
/// ```
#[derive(Debug)]
pub struct DaemonCoreBuilder {
    own: InstanceId,
    zone: String,
    requests: usize,
    membership: Option<MembershipSettings>,
    roster_period: Option<Duration>,
    published: Option<PublishedFleet>,
    seed: u64,
}

/// How a daemon finds its peers and upstreams without a VM list and without declared upstreams.
#[derive(Clone, Debug)]
pub struct PublishedFleet {
    /// Where this daemon is.
    pub place: MemberPlace,
    /// Regions of the availability zones.
    pub regions: RegionMap,
    /// Addresses at which daemons may listen for others; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// What reads configurations.
    pub reader: DeclarationReader,
    /// How many retries all daemons may make together at one pool.
    pub retries: RetryLimits,
    /// Time between the wish that a process ends and the moment at which it is killed.
    pub grace: Duration,
    /// How far cold upstreams may be pressed.
    pub cold_limits: ColdLimits,
    /// How late news of the platform may take effect.
    pub bounds: NewsBounds,
}

impl DaemonCoreBuilder {
    /// Begins the core of the process life `own` in `zone`.
    #[must_use]
    pub fn new(own: InstanceId, zone: impl Into<String>) -> Self {
        Self {
            own,
            zone: zone.into(),
            requests: DEFAULT_REQUESTS,
            membership: None,
            roster_period: None,
            published: None,
            seed: 0,
        }
    }

    /// Sets how many requests run at one time.
    #[must_use]
    pub fn requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }

    /// Sets the pace of heartbeats.
    #[must_use]
    pub fn membership(mut self, membership: MembershipSettings) -> Self {
        self.membership = Some(membership);
        self
    }

    /// Sets the pause between two reads of the VM list.
    #[must_use]
    pub fn roster_period(mut self, period: Duration) -> Self {
        self.roster_period = Some(period);
        self
    }

    /// Finds peers and upstreams as `published` says.
    #[must_use]
    pub fn published(mut self, published: PublishedFleet) -> Self {
        self.published = Some(published);
        self
    }

    /// Seeds all random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the core, at `now`.
    #[must_use]
    pub fn build(self, now: MonotonicTime) -> DaemonCore {
        let mut view = MemberViewBuilder::new(self.own.clone()).seed(self.seed);
        if let Some(membership) = self.membership {
            view = view.period(membership.period).suspicion(membership.suspicion);
        }
        if let Some(published) = &self.published {
            view = view.place(published.place.clone());
        }
        let mut fleet = FleetState::new(view.build(), &self.zone, now, self.seed.wrapping_add(1));
        if let Some(period) = self.roster_period {
            fleet.set_roster_period(period);
        }
        let retries = self.published.as_ref().map(|each| each.retries).unwrap_or_default();
        let cold_limits = self.published.as_ref().map(|each| each.cold_limits).unwrap_or_default();
        let regions = self.published.as_ref().map(|each| each.regions.clone()).unwrap_or_default();
        let mut dispatcher = BatchDispatcher::default();
        dispatcher.set_retries(retries);
        let limiter = Arc::new(RateLimiter::default());
        dispatcher.set_limiter(Arc::clone(&limiter));
        let grace = self.published.as_ref().map(|each| each.grace);
        let crashes = CrashDetector::new(&self.own.vm, self.published.is_some());
        let mut directory = DirectoryState::default();
        if let Some(published) = self.published {
            let pace = NewsPace::from(published.bounds);
            directory = DirectoryState::new(pace, now);
            fleet.set_pace(pace);
            fleet.set_reader(published.reader);
            fleet.set_seeds(published.seeds, now);
        }
        let basis = RequestBasis {
            declarations: None,
            history: fleet.history.clone(),
            key_life: fleet.key_life(),
        };
        let router = UpstreamRouter::new(&self.zone, self.seed.wrapping_add(2)).retries(retries);
        let router = router.cold_limits(cold_limits).regions(regions.clone());
        let router = router.limiter(Arc::clone(&limiter));
        let incarnation = self.own.incarnation;
        DaemonCore::from_state(CoreState {
            shards: (0..SHARDS).map(|_| Mutex::new(RequestShard::new(self.own.clone()))).collect(),
            registers: (0..SHARDS).map(|_| Mutex::default()).collect(),
            own: self.own,
            zone: self.zone,
            regions,
            started: now,
            gate: Mutex::new(AdmissionGate::new(self.requests)),
            fleet: Mutex::new(fleet),
            directory: Mutex::new(directory),
            held: Mutex::default(),
            dispatcher: Mutex::new(dispatcher),
            limiter,
            away: Mutex::default(),
            crashes: Mutex::new(crashes),
            waits: Mutex::default(),
            workspaces: Mutex::default(),
            backlog: Mutex::default(),
            grace,
            refuse_from: Mutex::new(None),
            router: RwLock::new(Arc::new(router)),
            basis: RwLock::new(Arc::new(basis)),
            next_call: AtomicU64::new(1),
            window_over: AtomicBool::new(false),
            last_housekeeping: Mutex::new(now),
            pauses: Mutex::new(PauseWatch::new(now)),
            suspicious_until: Mutex::new(now),
            tickets: TicketIssuer::new(incarnation, self.seed.wrapping_add(3)),
        })
    }
}

impl RequestBasis {
    /// How old a ticket may be: its request must still end within the life of the key.
    pub(super) fn ticket_life(&self) -> Duration {
        let deadline = self.declarations.as_ref();
        let deadline = deadline.map_or(self.key_life, |each| each.deployment().longest_deadline);
        self.key_life.saturating_sub(deadline)
    }
}

impl CoreState {
    /// Takes note of a pause of the process. Requests that waited in a socket through a pause
    /// longer than the life of a key are of unknown age.
    pub(super) fn note_pause(&self, pause: Duration, now: MonotonicTime) {
        if pause >= self.basis().key_life {
            *lock(&self.suspicious_until) = now + SUSPICION;
        }
    }

    /// Whether a request that was read now may have waited through a long pause.
    pub(super) fn is_suspicious(&self, now: MonotonicTime) -> bool {
        let last = *lock(&self.last_housekeeping);
        now.since(last) >= self.basis().key_life || now < *lock(&self.suspicious_until)
    }

    pub(super) fn router(&self) -> Arc<UpstreamRouter> {
        Arc::clone(&self.router.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_router(&self, router: UpstreamRouter) {
        *self.router.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(router);
        // The router before it may have been told after this one was made.
        let is_closed = lock(&self.held).is_closed();
        self.router().set_suspended(is_closed);
    }

    pub(super) fn basis(&self) -> Arc<RequestBasis> {
        Arc::clone(&self.basis.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_basis(&self, basis: RequestBasis) {
        *self.basis.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(basis);
    }

    /// Numbers a call so that its shard can be told from the number.
    pub(super) fn next_call(&self, key: &RequestKey) -> u64 {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        number * SHARDS as u64 + key.stable_hash() % SHARDS as u64
    }

    pub(super) fn shard(&self, call: u64) -> MutexGuard<'_, RequestShard> {
        lock(&self.shards[(call % SHARDS as u64) as usize])
    }

    pub(super) fn shard_of_key(&self, key: &RequestKey) -> MutexGuard<'_, RequestShard> {
        self.shard(key.stable_hash())
    }

    pub(super) fn register(&self, key: &RequestKey) -> MutexGuard<'_, RegisterShard> {
        lock(&self.registers[(key.stable_hash() % SHARDS as u64) as usize])
    }
}
