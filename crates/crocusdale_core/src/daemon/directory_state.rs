use std::time::Duration;

use super::staleness_bounds::RefreshIntervals;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::ExchangeMessage;
use crate::routing::{
    CONNECT_TIMEOUT, ColdUpstream, DirectoryEntry, ListAge, PeerDirectory, RESTORE_GRACE,
    UpstreamDirectory, ZoneEvacuation,
};

/// Response time of a healthy platform to a read of the upstream list, without the transfer time of
/// the list. A slower response means that the platform or the network path to it has failed.
/// Staleness bounds do not apply then, and callers must not wait for the response.
const BASE_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// Transfer time of one upstream entry, about 400 bytes, over a link of ten megabits a second.
const TRANSFER_TIME_PER_UPSTREAM: Duration = Duration::from_micros(320);
/// Time for which a failed read counts as evidence of a platform outage. The next failure comes at
/// most 1.9 s after the one before: the longest backoff plus the time of a try.
const FAILURE_VALIDITY: Duration = Duration::from_millis(2_500);
/// Shortest and longest backoff after a failed read of the platform.
const READ_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_000));
/// Interval at which a daemon that reads changes reads the whole list again. It bounds the time for
/// which a change that a read has missed stays unknown.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Timeout of a list fetch from a peer, after which another fetch may start.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which reads must have failed before the platform counts as unavailable. Upstream
/// entries may have expired in the store by then, because upstreams could not renew them.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(700);

/// Startup delays before the daemon reads the list from the platform itself. The first is the wait
/// for contact with any peer. The second is the wait for a peer's list, if another daemon reads the
/// platform for this zone; daemons of later turns wait several times as long.
const STARTUP_WAITS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_000));
/// Last turn in which daemons read the list from the platform after a start.
const MAX_STARTUP_TURN: u32 = 3;
/// Interval at which a daemon that starts checks whether it has met a peer.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Time after an outage within which an upstream that is missing from the list may be listed again.
/// Users specify two seconds for entries that expired while the store accepted no writes.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_000);

/// The list of published upstreams, and the schedule of reads that keep it fresh.
#[derive(Debug, Default)]
pub(super) struct DirectoryState {
    intervals: RefreshIntervals,
    started_at: MonotonicTime,
    /// Time after the start at which the daemon reads the platform itself, if it has no list by then.
    startup_wait: Duration,
    pub(super) directory: UpstreamDirectory,
    pending_read: Option<PendingRead>,
    /// When the next poll is due. `None` before the first one.
    next_poll: Option<MonotonicTime>,
    /// Whether the last check found the list too old to route by, so that attempts wait for a read.
    is_expired: bool,
    /// Whether the pending read repeats one that failed while this process was paused.
    is_repeated_read: bool,
    /// The last failed read, kept also after later successes.
    last_failure: Option<FailedRead>,
    consecutive_failures: u32,
    last_success: Option<MonotonicTime>,
    /// When this daemon last read the whole list. `None` if it has only received it from peers.
    last_full_read: Option<MonotonicTime>,
    /// When a daemon that reads the platform for this one was last asked for the age of its list.
    last_query: Option<MonotonicTime>,
    /// Time at which the list and the configuration were last known to be up to date, as confirmed
    /// by a read of this daemon or of a peer. `None` before the first confirmation.
    verified_at: Option<MonotonicTime>,
    /// End of the first failed read since the list was last known to be up to date.
    failing_since: Option<MonotonicTime>,
    /// Whether reads failed for [`OUTAGE_THRESHOLD`] since the last success, so that entries may
    /// have expired in the store.
    had_outage: bool,
    /// Peer that is being asked for its list, and the time of the request.
    pending_fetch: Option<(String, MonotonicTime)>,
}

/// Result of one read of the platform: all upstreams, or those that have changed.
#[derive(Debug)]
pub(super) struct PlatformSnapshot {
    position: StorePosition,
    entries: Vec<(u64, DirectoryEntry)>,
    evacuations: Vec<ZoneEvacuation>,
    cold_upstreams: Vec<ColdUpstream>,
}

impl PlatformSnapshot {
    /// Creates the result of a read at `position`. The revisions of entries and evacuations belong
    /// to the era of `position`.
    pub(super) fn new(
        position: StorePosition,
        entries: Vec<(u64, DirectoryEntry)>,
        evacuations: Vec<(u64, String)>,
    ) -> Self {
        let with_position = |(revision, zone)| ZoneEvacuation {
            write_position: StorePosition { era: position.era, revision },
            zone,
        };
        let evacuations = evacuations.into_iter().map(with_position).collect();
        Self { position, entries, evacuations, cold_upstreams: Vec::new() }
    }

    /// Sets the upstreams that are in their cold start.
    pub(super) fn with_cold_upstreams(mut self, cold_upstreams: Vec<ColdUpstream>) -> Self {
        self.cold_upstreams = cold_upstreams;
        self
    }
}

/// A read of the platform that has not returned yet.
#[derive(Debug)]
struct PendingRead {
    started_at: MonotonicTime,
    /// Start of the last try of one of its calls.
    tried_at: MonotonicTime,
    /// Whether a call got no answer in time. The read goes on, but nobody waits for it.
    is_delayed: bool,
    /// Time by which a healthy platform has responded.
    response_due: MonotonicTime,
    /// Whether this process was paused after the read began.
    was_paused: bool,
}

/// Start and end of a read, or of a try of one of its calls, that failed.
#[derive(Debug)]
struct FailedRead {
    started_at: MonotonicTime,
    failed_at: MonotonicTime,
}

impl DirectoryState {
    /// Creates an empty state for a daemon that starts at `started_at` and refreshes its list at
    /// the intervals in `intervals`.
    pub(super) fn new(intervals: RefreshIntervals, started_at: MonotonicTime) -> Self {
        Self { intervals, started_at, ..Self::default() }
    }

    /// Sets the turn in which the daemon reads the platform itself after its start: after one wait,
    /// three or seven.
    pub(super) fn set_startup_turn(&mut self, turn: u32) {
        let wait_count = 2_u32.pow(turn.min(MAX_STARTUP_TURN)) - 1;
        self.startup_wait = STARTUP_WAITS.1 * wait_count;
    }

    /// Starts a read of the platform if it is due. It is due for a daemon that reads for its zone,
    /// for which `reader` is `None`, and for any daemon whose list has become too old. Otherwise
    /// returns the daemon to ask for the age of its list, if that query is due.
    ///
    /// Guards against a fleet whose processes all start at one moment and each read the whole list
    /// from the platform. A daemon first waits to meet other daemons (`has_met_peers`). It then
    /// takes the list from them, unless it reads for its zone.
    pub(super) fn poll(
        &mut self,
        reader: Option<String>,
        has_met_peers: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Option<String> {
        let is_reading = self.pending_read.is_some();
        let is_awaited = self.pending_read.as_ref().is_some_and(|read| !read.is_delayed);
        // A timer that was set before the last read fires too early and must not start a poll.
        if is_awaited || self.next_poll.is_some_and(|at| now < at) {
            return None;
        }
        let is_isolated = !has_met_peers && !self.directory.is_known();
        if is_isolated && now.since(self.started_at) < STARTUP_WAITS.0 {
            self.schedule_poll(now + STARTUP_POLL_INTERVAL, out);
            return None;
        }
        if is_reading && reader.is_none() {
            return None;
        }
        if !is_reading && (reader.is_none() || self.is_stale(now)) {
            self.start_read(reader, now, out);
            return None;
        }
        let is_query_due = self
            .last_query
            .is_none_or(|last_query| now.since(last_query) >= self.intervals.query_interval);
        if is_query_due {
            self.last_query = Some(now);
        }
        // Computed from the time of the last query rather than from `now`, because each millisecond
        // of a late poll would add to the age of the list.
        let next_query_at =
            self.last_query.map_or(now, |last_query| last_query + self.intervals.query_interval);
        let startup_limit = self.started_at + self.startup_wait;
        let stale_at = self
            .verified_at
            .map_or(startup_limit, |verified_at| verified_at + self.intervals.self_read_age);
        let next_poll_at = if is_reading { next_query_at } else { next_query_at.min(stale_at) };
        self.schedule_poll(next_poll_at, out);
        reader.filter(|_| is_query_due)
    }

    /// Returns whether the list is too old to route by, and makes sure that a read is under way if
    /// so.
    ///
    /// The list becomes usable again with a response from the platform or from a peer. It also
    /// becomes usable, whatever its age, once a read has failed or has taken longer than a healthy
    /// platform needs: work must not wait for a platform outage to end.
    pub(super) fn is_expired(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        let is_too_old = self.directory.is_known()
            && self.age(now).is_some_and(|age| age >= self.intervals.max_age);
        let has_failed = self.has_recent_failure(now);
        if is_too_old && !has_failed && self.pending_read.is_none() {
            self.start_read(None, now, out);
        }
        let is_unanswered =
            self.pending_read.as_ref().is_some_and(|pending_read| now >= pending_read.response_due);
        let is_expired = is_too_old && !has_failed && !is_unanswered;
        if is_expired && !self.is_expired {
            let age_ms = self.age(now).map(whole_millis);
            out.push(Command::LogStateChange(StateChange::DirectoryOverdue { age_ms }));
        }
        self.is_expired = is_expired;
        is_expired
    }

    /// Extends the deadline of the pending read after this process was paused for `pause`, which
    /// ended at `now`. The response may have arrived during the pause and not been processed yet.
    ///
    /// The deadline is extended once for each read, so that a process with frequent pauses still
    /// detects a platform outage.
    pub(super) fn extend_read_deadline(&mut self, pause: Duration, now: MonotonicTime) {
        let expected_response_time = self.expected_response_time();
        if let Some(pending_read) = &mut self.pending_read
            && !pending_read.was_paused
        {
            pending_read.was_paused = true;
            if pending_read.response_due + pause > now {
                pending_read.response_due = now + expected_response_time;
            }
        }
    }

    /// Applies the list age that a peer reported in its response to a heartbeat sent at `sent`.
    /// `revision` is the configuration in force in this daemon. Returns the time at which the local
    /// list and configuration were last known to be up to date, or `None` if the report proves
    /// nothing about them.
    ///
    /// Guards against a list that is considered fresher than it is. If its age is counted from the
    /// arrival of the response or from a later query, the leaving notice of an upstream in between
    /// seems to be included. That upstream then receives requests for too long, by 0.8 s where the
    /// peer's response took as long. The report held when the peer was asked, so the age is
    /// subtracted from the time of the heartbeat. The local list was up to date at that time only
    /// if it lacks nothing that the peer knows.
    pub(super) fn apply_peer_age(
        &mut self,
        message: &ExchangeMessage,
        revision: u64,
        sent: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let age = message.directory_age?;
        if message.directory > self.directory.position() || message.revision > revision {
            return None;
        }
        let verified_at = MonotonicTime::from_start(sent.since_start().checked_sub(age)?);
        self.set_verified_at(verified_at);
        self.verified_at
    }

    /// Applies the age of a list that was fetched from a peer by a request sent at `requested_at`.
    /// The age is ignored if the peer has a newer configuration in force than `revision`.
    fn apply_list_age(&mut self, list_age: ListAge, revision: u64, requested_at: MonotonicTime) {
        let since_start = requested_at.since_start().checked_sub(list_age.age);
        if list_age.revision <= revision
            && let Some(since_start) = since_start
        {
            self.set_verified_at(MonotonicTime::from_start(since_start));
        }
    }

    fn set_verified_at(&mut self, verified_at: MonotonicTime) {
        self.verified_at = self.verified_at.max(Some(verified_at));
        // A peer has read the platform successfully, so earlier failures are obsolete. After an
        // outage in which entries may have expired, only a read by this daemon ends the failure
        // state, because that read starts the grace period for those entries.
        if !self.had_outage
            && self.failing_since.is_some_and(|failing_since| verified_at > failing_since)
        {
            self.failing_since = None;
        }
    }

    /// Time at which the list and the configuration were last known to be up to date.
    pub(super) fn verified_at(&self) -> Option<MonotonicTime> {
        self.verified_at
    }

    /// Replaces the list with the result of a full read. Returns whether routing must be updated.
    pub(super) fn apply_full_read(
        &mut self,
        snapshot: PlatformSnapshot,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let PlatformSnapshot { position, entries, evacuations, cold_upstreams } = snapshot;
        let age = self.age(now);
        let is_after_outage = self.record_success(now, out);
        let previous_position = self.directory.position();
        let is_store_restored = self.directory.is_known() && position.era > previous_position.era;
        // An upstream that this read lists and a later one omits has really gone. Only entries that
        // expired during an outage, or that a restored store lacks, may still be written again.
        let grace_end = match (is_after_outage, is_store_restored) {
            (true, false) => Some(self.outage_grace_end(now)),
            (_, true) => Some(now + RESTORE_GRACE),
            (false, false) => None,
        };
        let previous_zones = self.evacuated_zones();
        let restore_grace_end = is_store_restored.then_some(now + RESTORE_GRACE);
        let mut changed =
            self.directory.replace_evacuations(position, evacuations, restore_grace_end);
        changed |= self.directory.replace(position, entries, grace_end);
        self.last_full_read = Some(now);
        changed |= self.record_cold_starts(cold_upstreams, now, out);
        self.log_evacuations(&previous_zones, None, out);
        self.log_restore(previous_position, None, out);
        self.log_list_change(changed, None, age, out);
        changed
    }

    /// Applies the changes that a read returned, with the IDs of upstreams that were `removed` and the
    /// revisions of the removals. Returns whether routing must be updated. If the
    /// changes can't be applied, or if entries may have expired meanwhile, starts a full read.
    pub(super) fn apply_changes_read(
        &mut self,
        changes: PlatformSnapshot,
        removed: Vec<(u64, String)>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let PlatformSnapshot { position, entries, evacuations, cold_upstreams } = changes;
        let age = self.age(now);
        let previous_zones = self.evacuated_zones();
        let applied = match self.had_outage {
            true => None,
            false => self.directory.apply_store_changes(position, entries, removed),
        };
        let Some(mut changed) = applied else {
            self.pending_read = None;
            self.start_read(None, now, out);
            return false;
        };
        changed |= self.directory.replace_evacuations(position, evacuations, None);
        self.record_success(now, out);
        changed |= self.record_cold_starts(cold_upstreams, now, out);
        self.log_evacuations(&previous_zones, None, out);
        self.log_list_change(changed, None, age, out);
        changed
    }

    /// Records the cold starts that a read returned, and logs them if any of them is new. Returns
    /// whether routing must be updated.
    fn record_cold_starts(
        &mut self,
        cold_upstreams: Vec<ColdUpstream>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let has_changed = self.directory.record_cold(cold_upstreams.clone(), now);
        if has_changed {
            self.log_cold_starts(cold_upstreams, now, out);
        }
        has_changed
    }

    /// Records that a call of the pending read got no answer in time. The read goes on, and the
    /// daemon that reads for this one is asked meanwhile.
    pub(super) fn record_read_delay(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let expected_response_time = self.expected_response_time();
        let Some(pending_read) = &mut self.pending_read else { return };
        let tried_at = std::mem::replace(&mut pending_read.tried_at, now);
        if pending_read.was_paused && !self.is_repeated_read {
            // The answer may lie unprocessed in its socket, as in `record_read_failure`.
            self.is_repeated_read = true;
            pending_read.was_paused = false;
            pending_read.response_due = now + expected_response_time;
            let at = pending_read.response_due;
            out.push(Command::SetTimer { timer: TimerKey::DirectoryReadDue, at });
            return;
        }
        pending_read.is_delayed = true;
        self.record_failed_try(tried_at, now, out);
    }

    /// Records a failed read and schedules the next one after a backoff.
    pub(super) fn record_read_failure(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        let pending_read = self.pending_read.take();
        if pending_read.as_ref().is_some_and(|pending_read| pending_read.was_paused)
            && !self.is_repeated_read
        {
            // Guards against a process that mistakes its own pause for a platform outage and
            // continues to route by the list from before the pause. The response may have arrived
            // unprocessed during the pause, so the read is repeated at once.
            out.push(Command::Count(CounterName::PlatformReadsFailed));
            self.is_repeated_read = true;
            self.start_read(None, now, out);
            return;
        }
        self.is_repeated_read = false;
        let tried_at = pending_read.map_or(now, |pending_read| pending_read.tried_at);
        self.record_failed_try(tried_at, now, out);
    }

    /// Records that a read, or a call of it, has failed at `now`, and schedules the next poll after a
    /// backoff. `started_at` is the start of its last try.
    fn record_failed_try(
        &mut self,
        started_at: MonotonicTime,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::Count(CounterName::PlatformReadsFailed));
        self.last_failure = Some(FailedRead { started_at, failed_at: now });
        if self.consecutive_failures == 0 && self.directory.is_known() {
            out.push(Command::LogStateChange(StateChange::PlatformLost));
        }
        self.consecutive_failures += 1;
        let failing_since = *self.failing_since.get_or_insert(now);
        self.had_outage |= now.since(failing_since) >= OUTAGE_THRESHOLD;
        let backoff = READ_BACKOFF.0 * 2_u32.pow(self.consecutive_failures.min(4) - 1);
        self.schedule_poll(now + backoff.min(READ_BACKOFF.1), out);
    }

    /// Fetches changes from the peer on `vm` if its last change, at `changed`, is newer than the
    /// local list, and the local list is too old to wait for the daemon that reads the platform for
    /// this one.
    ///
    /// Guards against a fleet that is busy with its own list. In a large fleet some upstream changes
    /// all the time, and each daemon would handle each change apart if it fetched from any peer.
    ///
    /// Guards against a change that is lost for good. A paged read is not an atomic snapshot, so it
    /// can return a change with a higher revision than one that it missed. The comparison therefore
    /// uses the position up to which the list is complete, not the position of its last change.
    pub(super) fn fetch_newer_list(
        &mut self,
        vm: &str,
        changed: StorePosition,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let is_fresh = self.age(now).is_some_and(|age| age < self.intervals.any_peer_age);
        if !is_fresh && changed > self.directory.position() {
            self.fetch_list(vm, now, out);
        }
    }

    /// Fetches the changes of the list from the peer on `vm`, unless a fetch is pending.
    pub(super) fn fetch_list(&mut self, vm: &str, now: MonotonicTime, out: &mut Vec<Command>) {
        let pending_fetch = self.pending_fetch.as_ref();
        let is_fetching =
            pending_fetch.is_some_and(|(_, requested_at)| now.since(*requested_at) < FETCH_TIMEOUT);
        if is_fetching {
            return;
        }
        self.pending_fetch = Some((vm.to_owned(), now));
        out.push(Command::Count(CounterName::DirectoryFetches));
        let (vm, known) = (vm.to_owned(), self.directory.sync_position());
        out.push(Command::FetchDirectory { known, vm });
    }

    /// Merges the list that was fetched from a peer; `None` means that the fetch failed. `revision`
    /// is the configuration in force in this daemon. Returns whether routing must be updated.
    ///
    /// Guards against a fleet in which every daemon reads the platform itself. Where some upstream
    /// changes between any two reads, each heartbeat names a change that this daemon lacks, so the
    /// age in the heartbeat can't be applied. Only the age of the fetched list can.
    pub(super) fn apply_peer_list(
        &mut self,
        list: Option<PeerDirectory>,
        revision: u64,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let pending_fetch = self.pending_fetch.take();
        let requested_at = pending_fetch.as_ref().map(|(_, requested_at)| *requested_at);
        let peer = pending_fetch.map(|(vm, _)| vm);
        let Some(list) = list else {
            out.push(Command::Count(CounterName::DirectoryFetchesFailed));
            return false;
        };
        let (previous_position, previous_zones) =
            (self.directory.position(), self.evacuated_zones());
        let (list_age, position) = (list.age, list.position);
        let changed = self.directory.merge(list, now);
        let is_applied = self.directory.position() == position;
        if let Some((list_age, requested_at)) = list_age.filter(|_| is_applied).zip(requested_at) {
            self.apply_list_age(list_age, revision, requested_at);
        }
        self.log_evacuations(&previous_zones, peer.as_deref(), out);
        self.log_restore(previous_position, peer.as_deref(), out);
        self.log_list_change(changed, peer, self.age(now), out);
        changed
    }

    /// Removes upstreams and evacuations whose grace period ended before they were listed again.
    /// Returns whether any were removed.
    pub(super) fn drop_missing(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        let previous_zones = self.evacuated_zones();
        let has_dropped = self.directory.remove_expired(now);
        self.log_evacuations(&previous_zones, None, out);
        has_dropped
    }

    /// Time since the list was last known to be up to date. `None` if it never was.
    pub(super) fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.verified_at.map(|verified_at| now.since(verified_at))
    }

    /// Whether a read that started after the list was last known to be up to date has failed
    /// recently.
    ///
    /// Guards against an old failure that is mistaken for a current outage. A daemon whose list is
    /// kept fresh by another daemon does not read again after a failure, so no success would clear
    /// it.
    fn has_recent_failure(&self, now: MonotonicTime) -> bool {
        self.last_failure.as_ref().is_some_and(|last_failure| {
            let is_newer_than_list =
                self.verified_at.is_none_or(|verified_at| last_failure.started_at > verified_at);
            is_newer_than_list && now.since(last_failure.failed_at) < FAILURE_VALIDITY
        })
    }

    /// Time in which a healthy platform responds to a read of a list of the current size.
    fn expected_response_time(&self) -> Duration {
        let entries = u32::try_from(self.directory.entries().count()).unwrap_or(u32::MAX);
        BASE_RESPONSE_TIME + TRANSFER_TIME_PER_UPSTREAM.saturating_mul(entries)
    }

    fn start_read(&mut self, reader: Option<String>, now: MonotonicTime, out: &mut Vec<Command>) {
        let response_due = now + self.expected_response_time();
        self.pending_read = Some(PendingRead {
            started_at: now,
            tried_at: now,
            is_delayed: false,
            response_due,
            was_paused: false,
        });
        out.push(Command::SetTimer { timer: TimerKey::DirectoryReadDue, at: response_due });
        out.push(Command::Count(CounterName::DirectoryReads));
        if let Some(reader) = reader {
            out.push(Command::Count(CounterName::DirectoryReadsForAge));
            let age_ms = self.age(now).map(whole_millis);
            out.push(Command::LogStateChange(StateChange::DirectoryAged { age_ms, reader }));
        }
        let since = self.known_position(now);
        if since.is_none() {
            out.push(Command::Count(CounterName::FullDirectoryReads));
        }
        out.push(Command::ReadDirectory { since });
    }

    /// Store position since which a read has to return changes. No position if it has to return the
    /// whole list: the list is incomplete, entries may have expired during an outage, or the last
    /// whole list is from [`FULL_READ_INTERVAL`] ago.
    fn known_position(&self, now: MonotonicTime) -> StorePosition {
        let is_recent =
            self.last_full_read.is_none_or(|read_at| now.since(read_at) < FULL_READ_INTERVAL);
        if is_recent && !self.had_outage {
            self.directory.sync_position()
        } else {
            StorePosition::default()
        }
    }

    /// End of the grace period for upstreams that the first read after an outage does not list.
    ///
    /// Guards against requests to an upstream that left while only this daemon was cut off from the
    /// platform. The connection may have recovered just after the last failed read began, up to two
    /// seconds ago including the backoff. The daemon must meet its staleness bounds within
    /// [`RefreshIntervals::recovery_time`] of that recovery.
    fn outage_grace_end(&self, now: MonotonicTime) -> MonotonicTime {
        let started_at =
            self.last_failure.as_ref().map_or(now, |last_failure| last_failure.started_at);
        let recovery_end = started_at + self.intervals.recovery_time;
        let last_usable =
            MonotonicTime::from_start(recovery_end.since_start().saturating_sub(CONNECT_TIMEOUT));
        last_usable.min(now + OUTAGE_GRACE)
    }

    fn schedule_poll(&mut self, at: MonotonicTime, out: &mut Vec<Command>) {
        self.next_poll = Some(at);
        out.push(Command::SetTimer { timer: TimerKey::DirectoryPoll, at });
    }

    fn is_stale(&self, now: MonotonicTime) -> bool {
        match self.verified_at {
            Some(verified_at) => now.since(verified_at) >= self.intervals.self_read_age,
            None => now.since(self.started_at) >= self.startup_wait,
        }
    }

    /// Records a successful read. Returns whether it is the first one after an outage in which
    /// entries may have expired.
    fn record_success(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.consecutive_failures > 0 && self.last_success.is_some() {
            out.push(Command::LogStateChange(StateChange::PlatformRegained));
        }
        let started_at = self.pending_read.take().map(|pending_read| pending_read.started_at);
        self.consecutive_failures = 0;
        self.is_repeated_read = false;
        self.failing_since = None;
        self.last_success = Some(now);
        self.verified_at = self.verified_at.max(started_at);
        // Counted from the start of the read, as the age of the list is, because the transfer of
        // thousands of upstreams takes a noticeable time.
        let next_read_at = started_at.unwrap_or(now) + self.intervals.read_interval;
        self.schedule_poll(next_read_at.max(now), out);
        std::mem::take(&mut self.had_outage)
    }

    fn evacuated_zones(&self) -> Vec<String> {
        self.directory.evacuated_zones().map(str::to_owned).collect()
    }

    /// Logs which availability zones were evacuated or reopened compared with `previous`.
    fn log_evacuations(&self, previous: &[String], peer: Option<&str>, out: &mut Vec<Command>) {
        let current = self.evacuated_zones();
        for zone in current.iter().filter(|zone| !previous.contains(zone)) {
            let (zone, peer) = (zone.clone(), peer.map(str::to_owned));
            out.push(Command::LogStateChange(StateChange::ZoneEvacuated { zone, peer }));
        }
        for zone in previous.iter().filter(|zone| !current.contains(zone)) {
            let (zone, peer) = (zone.clone(), peer.map(str::to_owned));
            out.push(Command::LogStateChange(StateChange::ZoneOpened { zone, peer }));
        }
    }

    /// Records that an upstream reported its cold start. Returns whether routing must be updated.
    pub(super) fn record_cold_start(
        &mut self,
        upstream: ColdUpstream,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        self.record_cold_starts(vec![upstream], now, out)
    }

    /// Logs the upstreams that are in their cold start, with the time left for each.
    fn log_cold_starts(
        &self,
        cold_upstreams: Vec<ColdUpstream>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        for ColdUpstream { name: upstream, .. } in cold_upstreams {
            let until = self.directory.cold_until(&upstream);
            let left_ms = until.map_or(0, |until| whole_millis(until.since(now)));
            out.push(Command::LogStateChange(StateChange::UpstreamCold { upstream, left_ms }));
        }
    }

    /// Logs that the store was restored from an older copy, if the era of the list has risen since
    /// `before`.
    fn log_restore(&self, before: StorePosition, peer: Option<&str>, out: &mut Vec<Command>) {
        let after = self.directory.position();
        if before.is_none() || after.era <= before.era {
            return;
        }
        let (peer, missing) = (peer.map(str::to_owned), self.directory.missing_count());
        out.push(Command::Count(CounterName::StoreRestores));
        out.push(Command::LogStateChange(StateChange::StoreRestored {
            before,
            after,
            missing,
            peer,
        }));
    }

    fn log_list_change(
        &self,
        changed: bool,
        peer: Option<String>,
        age: Option<Duration>,
        out: &mut Vec<Command>,
    ) {
        if changed {
            let StorePosition { era, revision } = self.directory.change_position();
            let upstreams = self.directory.available_entries().count();
            let age_ms = age.map(whole_millis);
            let change = StateChange::DirectoryTaken { era, revision, upstreams, peer, age_ms };
            out.push(Command::LogStateChange(change));
        }
    }
}

/// Converts `time` to whole milliseconds, capped at `u64::MAX`.
pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
