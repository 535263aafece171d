use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::coordination::Coordination;
use super::directory_state::DirectoryState;
use super::held_work::HeldWork;
use super::pause_detector::PauseDetector;
use super::pending_requests::{AskedKeepers, PendingRequests};
use super::placement_state::PlacementState;
use super::staleness_bounds::RefreshIntervals;
use super::{DaemonCore, FleetState, StalenessBounds};
use crate::admission::{AdmissionGate, EntryBacklog, WorkspaceMeter};
use crate::batching::{BatchDispatcher, PoolWaits};
use crate::claims::RegisterShard;
use crate::configuration::{
    DeclarationReader, Declarations, MembershipSettings, RegionMap, SchedulingSettings,
};
use crate::identity::{InstanceId, MonotonicTime, RequestKey};
use crate::membership::{MemberPlace, MemberViewBuilder, VmListHistory};
use crate::pipeline::RequestShard;
use crate::quarantine::{CrashDetector, PartDetector};
use crate::rate_limiting::RateLimiter;
use crate::reachability::LinkMonitor;
use crate::retry::RetryLimits;
use crate::routing::{ChangedUpstream, ColdLimits, UpstreamRouter};
use crate::streams::{OriginLog, VersionHistory};
use crate::sync::lock;
use crate::tickets::TicketIssuer;

/// Number of shards that the requests, and likewise the claim registers, are split into by key.
const SHARD_COUNT: usize = 16;
/// Limit on concurrently running requests unless the builder sets one.
const DEFAULT_MAX_REQUESTS: usize = 8_192;

/// Time after a pause of the process in which newly read requests may have spent that pause in a
/// socket buffer.
const UNKNOWN_AGE_WINDOW: Duration = Duration::from_secs(1);

/// State of one daemon. Each part has its own lock, which is not held while another part is called.
#[derive(Debug)]
pub(super) struct CoreState {
    pub(super) own_instance: InstanceId,
    pub(super) zone: String,
    /// Maps each availability zone to its region.
    pub(super) region_map: RegionMap,
    pub(super) started_at: MonotonicTime,
    pub(super) request_shards: Vec<Mutex<RequestShard>>,
    pub(super) register_shards: Vec<Mutex<RegisterShard>>,
    pub(super) admission_gate: Mutex<AdmissionGate>,
    pub(super) fleet: Mutex<FleetState>,
    pub(super) directory: Mutex<DirectoryState>,
    /// Attempts and requests queued until the list of published upstreams has been read again.
    pub(super) held_work: Mutex<HeldWork>,
    pub(super) dispatcher: Mutex<BatchDispatcher>,
    /// Whether the timer for the next release of unneeded results is set.
    pub(super) is_release_scheduled: AtomicBool,
    /// Rate limits that upstreams have announced, and this daemon's share of them.
    pub(super) limiter: Arc<RateLimiter>,
    /// End of the backoff that each upstream has asked this daemon for, by upstream name.
    pub(super) unavailable_until: Mutex<HashMap<String, MonotonicTime>>,
    /// Pools that this daemon can't connect to over its own links.
    pub(super) links: Mutex<LinkMonitor>,
    pub(super) link_random: Mutex<SmallRng>,
    /// Whether `links` has any failure, kept outside its lock so that it isn't locked for each
    /// connection.
    pub(super) has_failed_links: AtomicBool,
    /// Number of open requests that this daemon sends on behalf of others, and its limit.
    pub(super) open_transits: AtomicUsize,
    pub(super) transit_limit: usize,
    /// Crashes of upstreams, by the request that they ran, and the resulting quarantines.
    pub(super) crash_detector: Mutex<CrashDetector>,
    /// Crashes of upstreams, by the prompt parts that they ran, and the resulting quarantines.
    pub(super) part_detector: Mutex<PartDetector>,
    /// Where streams began, as this daemon has seen or was told as a keeper of their records.
    pub(super) stream_log: Mutex<OriginLog>,
    /// Software versions that the upstreams of each pool have had of late.
    pub(super) versions: Mutex<VersionHistory>,
    /// Requests that take up streams of which this daemon does not know where they began.
    pub(super) pending_streams: Mutex<PendingRequests<AskedKeepers>>,
    /// Expected queueing time in each batched pool, as its dispatcher last reported it.
    pub(super) pool_waits: Mutex<PoolWaits>,
    /// Request rate of each workspace, to detect floods.
    pub(super) workspace_meter: Mutex<WorkspaceMeter>,
    /// Requests expected to miss their latency objective, queued until pools have room.
    pub(super) entry_backlog: Mutex<EntryBacklog>,
    /// Grace period from the start of a drain until the kill; `None` if the process isn't killed.
    pub(super) grace_period: Option<Duration>,
    /// Time from which a draining process refuses new requests that it might not finish; `None`
    /// before the drain.
    pub(super) refuse_requests_from: Mutex<Option<MonotonicTime>>,
    pub(super) coordination: Coordination,
    pub(super) placements: PlacementState,
    router: RwLock<Arc<UpstreamRouter>>,
    fleet_snapshot: RwLock<Arc<FleetSnapshot>>,
    next_call: AtomicU64,
    /// Whether the drain window is over: every address answer that names this daemon has expired.
    pub(super) is_drain_window_over: AtomicBool,
    pub(super) last_housekeeping: Mutex<MonotonicTime>,
    pub(super) pause_detector: Mutex<PauseDetector>,
    /// End of the time in which newly read requests may have spent a long pause in a socket buffer.
    unknown_age_until: Mutex<MonotonicTime>,
    pub(super) ticket_issuer: TicketIssuer,
}

/// Immutable snapshot of the configuration, the VM lists and the retention time of idempotency
/// keys. Each request is decided by one snapshot.
#[derive(Clone, Debug)]
pub(super) struct FleetSnapshot {
    pub(super) declarations: Option<Arc<Declarations>>,
    pub(super) history: VmListHistory,
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
    own_instance: InstanceId,
    zone: String,
    max_requests: usize,
    membership: Option<MembershipSettings>,
    vm_list_interval: Option<Duration>,
    discovery: Option<DiscoverySettings>,
    scheduling: SchedulingSettings,
    seed: u64,
}

/// Settings of a daemon that discovers its peers by seed addresses and its upstreams in the
/// platform's store, instead of a VM list and declared upstreams.
#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    /// Availability zone, addresses and capacity of this daemon.
    pub place: MemberPlace,
    /// Maps each availability zone to its region.
    pub regions: RegionMap,
    /// Addresses of possible peers, contacted first after a start. Some may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Parser for configuration texts.
    pub reader: DeclarationReader,
    /// Retry budget of all daemons together for one pool.
    pub retries: RetryLimits,
    /// Grace period between the request to terminate this process and its kill.
    pub grace: Duration,
    /// Limits on the load of cold upstreams.
    pub cold_limits: ColdLimits,
    /// Longest delays until changes on the platform must take effect.
    pub bounds: StalenessBounds,
}

impl DaemonCoreBuilder {
    /// Starts a builder for the process `own_instance` in the availability zone `zone`.
    #[must_use]
    pub fn new(own_instance: InstanceId, zone: impl Into<String>) -> Self {
        Self {
            own_instance,
            zone: zone.into(),
            max_requests: DEFAULT_MAX_REQUESTS,
            membership: None,
            vm_list_interval: None,
            discovery: None,
            scheduling: SchedulingSettings::default(),
            seed: 0,
        }
    }

    /// Sets the limit on concurrently running requests.
    #[must_use]
    pub fn requests(mut self, requests: usize) -> Self {
        self.max_requests = requests;
        self
    }

    /// Sets the heartbeat period and the time before a silent peer is unreachable.
    #[must_use]
    pub fn membership(mut self, membership: MembershipSettings) -> Self {
        self.membership = Some(membership);
        self
    }

    /// Sets the interval between two reads of the VM list.
    #[must_use]
    pub fn vm_list_interval(mut self, period: Duration) -> Self {
        self.vm_list_interval = Some(period);
        self
    }

    /// Discovers peers and upstreams as `discovery` says, instead of a VM list and declared
    /// upstreams.
    #[must_use]
    pub fn discovery(mut self, discovery: DiscoverySettings) -> Self {
        self.discovery = Some(discovery);
        self
    }

    /// Sets which decisions coordinators make for the whole fleet.
    #[must_use]
    pub fn scheduling(mut self, scheduling: SchedulingSettings) -> Self {
        self.scheduling = scheduling;
        self
    }

    /// Sets the seed of all random choices, so that runs can be repeated.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the daemon's state machine, whose clock starts at `now`.
    #[must_use]
    pub fn build(self, now: MonotonicTime) -> DaemonCore {
        let mut view = MemberViewBuilder::new(self.own_instance.clone()).seed(self.seed);
        if let Some(membership) = self.membership {
            view = view.period(membership.period).suspicion(membership.suspicion);
        }
        if let Some(discovery) = &self.discovery {
            view = view.place(discovery.place.clone());
        }
        let mut fleet = FleetState::new(view.build(), &self.zone, now, self.seed.wrapping_add(1));
        if let Some(period) = self.vm_list_interval {
            fleet.set_vm_list_interval(period);
        }
        let retries =
            self.discovery.as_ref().map(|discovery| discovery.retries).unwrap_or_default();
        let cold_limits =
            self.discovery.as_ref().map(|discovery| discovery.cold_limits).unwrap_or_default();
        let region_map =
            self.discovery.as_ref().map(|discovery| discovery.regions.clone()).unwrap_or_default();
        let mut dispatcher = BatchDispatcher::default();
        dispatcher.set_retries(retries);
        let limiter = Arc::new(RateLimiter::default());
        dispatcher.set_limiter(Arc::clone(&limiter));
        let grace_period = self.discovery.as_ref().map(|discovery| discovery.grace);
        let crash_detector = CrashDetector::new(&self.own_instance.vm, self.discovery.is_some());
        let capacity = self.discovery.as_ref().map(|discovery| discovery.place.capacity);
        let transit_limit = capacity.unwrap_or_default().transit_limit();
        let mut directory = DirectoryState::default();
        if let Some(discovery) = self.discovery {
            let intervals = RefreshIntervals::from(discovery.bounds);
            directory = DirectoryState::new(intervals, now);
            fleet.set_refresh_intervals(intervals);
            fleet.set_reader(discovery.reader);
            fleet.set_seeds(discovery.seeds, now);
        }
        let snapshot = FleetSnapshot {
            declarations: None,
            history: fleet.history.clone(),
            key_life: fleet.key_life(),
        };
        let router = UpstreamRouter::new(&self.zone, self.seed.wrapping_add(2)).retries(retries);
        let router = router.cold_limits(cold_limits).regions(region_map.clone());
        let router = router.limiter(Arc::clone(&limiter));
        let incarnation = self.own_instance.incarnation;
        DaemonCore::from_state(CoreState {
            request_shards: (0..SHARD_COUNT)
                .map(|_| Mutex::new(RequestShard::new(self.own_instance.clone())))
                .collect(),
            register_shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            own_instance: self.own_instance,
            zone: self.zone,
            region_map,
            started_at: now,
            admission_gate: Mutex::new(AdmissionGate::new(self.max_requests)),
            fleet: Mutex::new(fleet),
            directory: Mutex::new(directory),
            held_work: Mutex::default(),
            dispatcher: Mutex::new(dispatcher),
            is_release_scheduled: AtomicBool::new(false),
            limiter,
            unavailable_until: Mutex::default(),
            links: Mutex::default(),
            link_random: Mutex::new(SmallRng::seed_from_u64(self.seed.wrapping_add(4))),
            has_failed_links: AtomicBool::new(false),
            open_transits: AtomicUsize::new(0),
            transit_limit,
            crash_detector: Mutex::new(crash_detector),
            part_detector: Mutex::default(),
            stream_log: Mutex::default(),
            versions: Mutex::default(),
            pending_streams: Mutex::default(),
            pool_waits: Mutex::default(),
            workspace_meter: Mutex::default(),
            entry_backlog: Mutex::default(),
            grace_period,
            refuse_requests_from: Mutex::new(None),
            coordination: Coordination::new(self.scheduling),
            placements: PlacementState::default(),
            router: RwLock::new(Arc::new(router)),
            fleet_snapshot: RwLock::new(Arc::new(snapshot)),
            next_call: AtomicU64::new(1),
            is_drain_window_over: AtomicBool::new(false),
            last_housekeeping: Mutex::new(now),
            pause_detector: Mutex::new(PauseDetector::new(now)),
            unknown_age_until: Mutex::new(now),
            ticket_issuer: TicketIssuer::new(incarnation, self.seed.wrapping_add(3)),
        })
    }
}

impl FleetSnapshot {
    /// Longest age of a valid ticket. A request with a ticket of that age still reaches its
    /// deadline before the witnesses forget its key.
    pub(super) fn ticket_life(&self) -> Duration {
        let in_force = self.declarations.as_ref();
        let longest_deadline = in_force
            .map_or(self.key_life, |declarations| declarations.deployment().longest_deadline);
        self.key_life.saturating_sub(longest_deadline)
    }
}

impl CoreState {
    /// Records a pause of the process. Requests that spent a pause longer than the retention time
    /// of keys in a socket buffer are of unknown age.
    pub(super) fn record_pause(&self, pause: Duration, now: MonotonicTime) {
        if pause >= self.fleet_snapshot().key_life {
            *lock(&self.unknown_age_until) = now + UNKNOWN_AGE_WINDOW;
        }
    }

    /// Whether a request read at `now` may have spent a long pause in a socket buffer.
    pub(super) fn is_request_age_unknown(&self, now: MonotonicTime) -> bool {
        let last_housekeeping = *lock(&self.last_housekeeping);
        now.since(last_housekeeping) >= self.fleet_snapshot().key_life
            || now < *lock(&self.unknown_age_until)
    }

    pub(super) fn router(&self) -> Arc<UpstreamRouter> {
        Arc::clone(&self.router.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_router(&self, router: UpstreamRouter) {
        *self.router.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(router);
        // The previous router may have been put on hold, or released, after this one was built.
        let is_holding = lock(&self.held_work).is_holding();
        self.router().set_suspended(is_holding);
    }

    /// Applies changes of published upstreams to the router. Returns `false` if that isn't possible:
    /// another thread uses the router, or the router was built without a list.
    pub(super) fn update_router(
        &self,
        declarations: &Declarations,
        changes: &[ChangedUpstream],
        now: MonotonicTime,
    ) -> bool {
        let mut slot = self.router.write().unwrap_or_else(PoisonError::into_inner);
        let unshared = Arc::get_mut(&mut slot).filter(|router| router.has_known_list());
        let is_possible = unshared.is_some();
        if let Some(router) = unshared {
            router.apply_changes(declarations, changes, now);
        }
        is_possible
    }

    pub(super) fn fleet_snapshot(&self) -> Arc<FleetSnapshot> {
        Arc::clone(&self.fleet_snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn set_fleet_snapshot(&self, snapshot: FleetSnapshot) {
        *self.fleet_snapshot.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// Assigns a call id whose remainder by the shard count is the shard of `key`.
    pub(super) fn next_call(&self, key: &RequestKey) -> u64 {
        let sequence_number = self.next_call.fetch_add(1, Ordering::Relaxed);
        sequence_number * SHARD_COUNT as u64 + key.stable_hash() % SHARD_COUNT as u64
    }

    pub(super) fn shard(&self, call: u64) -> MutexGuard<'_, RequestShard> {
        lock(&self.request_shards[(call % SHARD_COUNT as u64) as usize])
    }

    pub(super) fn shard_of_key(&self, key: &RequestKey) -> MutexGuard<'_, RequestShard> {
        self.shard(key.stable_hash())
    }

    pub(super) fn register_shard(&self, key: &RequestKey) -> MutexGuard<'_, RegisterShard> {
        lock(&self.register_shards[(key.stable_hash() % SHARD_COUNT as u64) as usize])
    }
}
