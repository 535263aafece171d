use std::time::Duration;

use super::news_bounds::NewsPace;
use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::{MonotonicTime, StorePosition};
use crate::membership::ExchangeMessage;
use crate::routing::{
    CONNECT_PATIENCE, ColdUpstream, DirectoryEntry, ListAge, PeerDirectory, RESTORE_GRACE,
    UpstreamDirectory, ZoneEvacuation,
};

/// Time in which a platform in order answers a reading, without the time that the list takes on the link.
/// One that takes longer is slow or away, or the path to it is; no bound is due then, and callers must
/// not wait for it.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Time that an upstream of the list takes on a link of ten megabits a second: about 400 bytes.
const ENTRY_TIME: Duration = Duration::from_micros(320);
/// Time for which a failed reading says that the platform, or the path to it, is out of order. The next
/// one ends 1.9 s later at the latest: the longest pause, and the patience of a reading.
const FAILURE_LIFE: Duration = Duration::from_millis(2_500);
/// First pause after a failed read, and the longest one.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_000));
/// Time after which a fetch from a peer counts as lost.
const FETCH_PATIENCE: Duration = Duration::from_millis(800);
/// Time for which reads must have failed for the list to count as away: entries may have lapsed
/// meanwhile.
const AWAY_AFTER: Duration = Duration::from_millis(700);

/// Time after its start for which a daemon waits to meet a peer before it reads by itself, and for which
/// one that has met the reader of its zone waits for a list from its peers.
const FIRST_READING: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_000));
/// Pause between two looks for a peer meanwhile.
const MEETING_PAUSE: Duration = Duration::from_millis(30);

/// Time after the return of the published list within which a missing upstream may come back. The
/// users state two seconds for entries that lapsed while the list could not be written.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// The published upstreams, and when to read what the platform publishes.
#[derive(Debug, Default)]
pub(super) struct DirectoryState {
    pace: NewsPace,
    started: MonotonicTime,
    pub(super) directory: UpstreamDirectory,
    reading: Option<OpenReading>,
    /// When the next look is due.
    next_look: Option<MonotonicTime>,
    /// Whether attempts wait for a reading.
    overdue: bool,
    /// Whether the open reading was begun because this process slept through the one before.
    repeated: bool,
    /// The last reading in vain.
    failed: Option<FailedReading>,
    failures: u32,
    last_read: Option<MonotonicTime>,
    /// When a reader was last asked.
    last_asked: Option<MonotonicTime>,
    /// When list and configuration were last known to be the latest, by a reading of this daemon or of
    /// another.
    current: Option<MonotonicTime>,
    /// When the first of the readings in vain ended, since the list was last known to be the latest.
    failing_since: Option<MonotonicTime>,
    /// Whether entries may have lapsed since the last read that succeeded.
    away: bool,
    /// Peer that was asked for its list, and when.
    fetching: Option<(String, MonotonicTime)>,
}

/// All that one reading of the platform found.
#[derive(Debug)]
pub(super) struct PublishedList {
    position: StorePosition,
    entries: Vec<(u64, DirectoryEntry)>,
    evacuations: Vec<ZoneEvacuation>,
    cold: Vec<ColdUpstream>,
}

impl PublishedList {
    /// What was read at `position`; revisions are of its era.
    pub(super) fn new(
        position: StorePosition,
        entries: Vec<(u64, DirectoryEntry)>,
        evacuations: Vec<(u64, String)>,
    ) -> Self {
        let placed = |(revision, zone)| ZoneEvacuation {
            written: StorePosition { era: position.era, revision },
            zone,
        };
        let evacuations = evacuations.into_iter().map(placed).collect();
        Self { position, entries, evacuations, cold: Vec::new() }
    }

    /// Sets the upstreams that are cold.
    pub(super) fn cold(mut self, cold: Vec<ColdUpstream>) -> Self {
        self.cold = cold;
        self
    }
}

/// A reading that has no answer yet.
#[derive(Debug)]
struct OpenReading {
    began: MonotonicTime,
    /// When a platform in order has answered it.
    answer_due: MonotonicTime,
    /// Whether this process was paused since.
    slept: bool,
}

/// A reading in vain.
#[derive(Debug)]
struct FailedReading {
    began: MonotonicTime,
    ended: MonotonicTime,
}

impl DirectoryState {
    /// Knows nothing yet at `started`, and reads at `pace`.
    pub(super) fn new(pace: NewsPace, started: MonotonicTime) -> Self {
        Self { pace, started, ..Self::default() }
    }

    /// Reads the list if this daemon is a reader, for which `reader` is `None`, or if nobody is
    /// known to have read it of late. Returns the reader that is to be asked, if it is time.
    ///
    /// Guards against a platform that is asked for its whole list by every process of a fleet that starts
    /// at one moment: a daemon first meets others (`has_met`), and has their list if it reads for nobody.
    pub(super) fn look(
        &mut self,
        reader: Option<String>,
        has_met: bool,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Option<String> {
        // A timer of before the last reading is not the next look.
        if self.reading.is_some() || self.next_look.is_some_and(|at| now < at) {
            return None;
        }
        let alone = !has_met && !self.directory.is_known();
        if alone && now.since(self.started) < FIRST_READING.0 {
            self.set_look(now + MEETING_PAUSE, out);
            return None;
        }
        if reader.is_none() || self.is_stale(now) {
            self.begin_reading(reader, now, out);
            return None;
        }
        let due = self.last_asked.is_none_or(|last| now.since(last) >= self.pace.ask_pause);
        if due {
            self.last_asked = Some(now);
        }
        // To the millisecond: looks that came late made the list as much older.
        let ask = self.last_asked.map_or(now, |last| last + self.pace.ask_pause);
        let first = self.started + FIRST_READING.1;
        let stale = self.current.map_or(first, |current| current + self.pace.stale_after);
        self.set_look(ask.min(stale), out);
        reader.filter(|_| due)
    }

    /// Whether the list is too old to choose by. If so, it is being read.
    ///
    /// It is fit again with an answer, from the platform or from a peer, and whatever its age once a
    /// reading has failed or stays unanswered for longer than a platform in order needs.
    pub(super) fn is_overdue(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        let old =
            self.directory.is_known() && self.age(now).is_some_and(|age| age >= self.pace.fit_for);
        let failing = self.is_failing(now);
        if old && !failing && self.reading.is_none() {
            self.begin_reading(None, now, out);
        }
        let silent = self.reading.as_ref().is_some_and(|reading| now >= reading.answer_due);
        let overdue = old && !failing && !silent;
        if overdue && !self.overdue {
            let age_ms = self.age(now).map(millis);
            out.push(Command::LogStateChange(StateChange::DirectoryOverdue { age_ms }));
        }
        self.overdue = overdue;
        overdue
    }

    /// This process was paused for `pause` until now: an answer that was due meanwhile may lie unread.
    /// Once for each reading, as a process that stutters must see an outage too.
    pub(super) fn woke(&mut self, pause: Duration, now: MonotonicTime) {
        let answer_time = self.answer_time();
        if let Some(reading) = &mut self.reading
            && !reading.slept
        {
            reading.slept = true;
            if reading.answer_due + pause > now {
                reading.answer_due = now + answer_time;
            }
        }
    }

    /// Takes what a peer says of its readings in the answer to a heartbeat that was sent at `sent`;
    /// `revision` is that of the configuration in force here. Returns since when what is known here is
    /// known to be the latest.
    ///
    /// Guards against a list that is taken for younger than it is, because its age is reckoned from
    /// when the answer came, or from a later question: a notice that lies in between seems to be
    /// known, and its upstream gets requests for longer than it may, 0.8 s where the answer of a peer
    /// was that slow. What the answer says was true when its own question was sent, less the age that
    /// it names, and what is known here was the latest then if it lacks nothing that the peer knows.
    pub(super) fn heard_age(
        &mut self,
        message: &ExchangeMessage,
        revision: u64,
        sent: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let age = message.directory_age?;
        if message.directory > self.directory.position() || message.revision > revision {
            return None;
        }
        let current = MonotonicTime::from_start(sent.since_start().checked_sub(age)?);
        self.set_current(current);
        self.current
    }

    /// Takes how old a peer's list was, which is known here now, in answer to a question of `asked`.
    fn take_age(&mut self, told: ListAge, revision: u64, asked: MonotonicTime) {
        let since_start = asked.since_start().checked_sub(told.age);
        if told.revision <= revision
            && let Some(since_start) = since_start
        {
            self.set_current(MonotonicTime::from_start(since_start));
        }
    }

    fn set_current(&mut self, current: MonotonicTime) {
        self.current = self.current.max(Some(current));
        // A peer has read since: what failed before is over. An outage that was long enough for entries
        // to lapse ends only with a reading of this daemon, which then waits for them.
        if !self.away && self.failing_since.is_some_and(|since| current > since) {
            self.failing_since = None;
        }
    }

    /// When the list was last known to be the latest.
    pub(super) fn current(&self) -> Option<MonotonicTime> {
        self.current
    }

    /// Takes a whole list. Returns whether routing must change.
    pub(super) fn read_whole(
        &mut self,
        read: PublishedList,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let PublishedList { position, entries, evacuations, cold } = read;
        let age = self.age(now);
        let is_back = self.succeeded(now, out);
        let before = self.directory.position();
        let is_restored = self.directory.is_known() && position.era > before.era;
        // What this reading lists and a later one does not is gone: only what lapsed before the
        // list came back may still be on its way.
        let grace = match (is_back, is_restored) {
            (true, false) => Some(self.return_grace(now)),
            (_, true) => Some(now + RESTORE_GRACE),
            (false, false) => None,
        };
        let zones = self.evacuated_zones();
        let restored = is_restored.then_some(now + RESTORE_GRACE);
        let mut changed = self.directory.replace_evacuations(position, evacuations, restored);
        changed |= self.directory.replace(position, entries, grace);
        let told = cold.clone();
        if self.directory.note_cold(cold, now) {
            changed = true;
            self.note_cold_starts(told, now, out);
        }
        self.note_evacuations(&zones, None, out);
        self.note_restore(before, None, out);
        self.note(changed, None, age, out);
        changed
    }

    /// A read failed.
    pub(super) fn read_failed(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        out.push(Command::Count(CounterName::PlatformReadsFailed));
        let reading = self.reading.take();
        if reading.as_ref().is_some_and(|reading| reading.slept) && !self.repeated {
            // Guards against a process that takes its own sleep for an outage of the platform, and so
            // goes on by a list from before it: the answer may have come meanwhile, unread.
            self.repeated = true;
            self.begin_reading(None, now, out);
            return;
        }
        self.repeated = false;
        let began = reading.map_or(now, |reading| reading.began);
        self.failed = Some(FailedReading { began, ended: now });
        if self.failures == 0 && self.directory.is_known() {
            out.push(Command::LogStateChange(StateChange::PlatformLost));
        }
        self.failures += 1;
        let since = *self.failing_since.get_or_insert(now);
        self.away |= now.since(since) >= AWAY_AFTER;
        let pause = BACK_OFF.0 * 2_u32.pow(self.failures.min(4) - 1);
        self.set_look(now + pause.min(BACK_OFF.1), out);
    }

    /// Asks `vm`, which knows of a later change, for what is not known here.
    ///
    /// Guards against a change that is missed for good: pages of a list are no snapshot, so that the last
    /// change of a list may be later than one that it lacks. Everything is known up to its position only.
    pub(super) fn heard_of(
        &mut self,
        vm: &str,
        changed: StorePosition,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let newer = changed > self.directory.position();
        let fetching = self.fetching.as_ref();
        let fetching = fetching.is_some_and(|(_, since)| now.since(*since) < FETCH_PATIENCE);
        if newer && !fetching {
            self.fetching = Some((vm.to_owned(), now));
            out.push(Command::Count(CounterName::DirectoryFetches));
            let (vm, known) = (vm.to_owned(), self.directory.known_to_peers());
            out.push(Command::FetchDirectory { known, vm });
        }
    }

    /// Takes the list of a peer; `revision` is that of the configuration in force here. Returns whether
    /// routing must change.
    ///
    /// Guards against fleets in which every daemon reads for itself: where some upstream changes with each
    /// reading, the answer to a heartbeat always names a change that is not known yet, and only the list
    /// that is fetched then is as young as the peer's.
    pub(super) fn fetched(
        &mut self,
        list: Option<PeerDirectory>,
        revision: u64,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let fetching = self.fetching.take();
        let asked = fetching.as_ref().map(|(_, asked)| *asked);
        let peer = fetching.map(|(vm, _)| vm);
        let Some(list) = list else {
            out.push(Command::Count(CounterName::DirectoryFetchesFailed));
            return false;
        };
        let (before, zones) = (self.directory.position(), self.evacuated_zones());
        let (told, position) = (list.age, list.position);
        let changed = self.directory.merge(list, now);
        let is_taken = self.directory.position() == position;
        if let Some((told, asked)) = told.filter(|_| is_taken).zip(asked) {
            self.take_age(told, revision, asked);
        }
        self.note_evacuations(&zones, peer.as_deref(), out);
        self.note_restore(before, peer.as_deref(), out);
        self.note(changed, peer, self.age(now), out);
        changed
    }

    /// Drops upstreams and evacuations that stayed missing. Returns whether there were any.
    pub(super) fn drop_missing(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        let zones = self.evacuated_zones();
        let dropped = self.directory.drop_missing(now);
        self.note_evacuations(&zones, None, out);
        dropped
    }

    /// Time since the list was last known to be the latest.
    pub(super) fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.current.map(|current| now.since(current))
    }

    /// Whether a reading that was begun since the list was last known to be the latest has failed, of
    /// late.
    ///
    /// Guards against a failure of long ago that stands for an outage: a daemon whose list is kept young
    /// by another one does not read again after it.
    fn is_failing(&self, now: MonotonicTime) -> bool {
        self.failed.as_ref().is_some_and(|failed| {
            let since = self.current.is_none_or(|current| failed.began > current);
            since && now.since(failed.ended) < FAILURE_LIFE
        })
    }

    /// Time in which a platform in order has answered a reading.
    fn answer_time(&self) -> Duration {
        let entries = u32::try_from(self.directory.entries().count()).unwrap_or(u32::MAX);
        ANSWER_TIME + ENTRY_TIME.saturating_mul(entries)
    }

    fn begin_reading(
        &mut self,
        reader: Option<String>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let answer_due = now + self.answer_time();
        self.reading = Some(OpenReading { began: now, answer_due, slept: false });
        out.push(Command::SetTimer { timer: TimerKey::DirectoryAnswer, at: answer_due });
        out.push(Command::Count(CounterName::DirectoryReads));
        if let Some(reader) = reader {
            out.push(Command::Count(CounterName::DirectoryReadsForAge));
            let age_ms = self.age(now).map(millis);
            out.push(Command::LogStateChange(StateChange::DirectoryAged { age_ms, reader }));
        }
        out.push(Command::ReadDirectory);
    }

    /// Until when upstreams are waited for that the first reading after an outage does not list.
    ///
    /// Guards against requests to one that has left while this daemon alone was cut off: it may have
    /// been back since its last reading in vain began, which with the pause after it can be two
    /// seconds ago, and is counted on [`NewsPace::contact`] after its return.
    fn return_grace(&self, now: MonotonicTime) -> MonotonicTime {
        let began = self.failed.as_ref().map_or(now, |failed| failed.began);
        let counted_on = began + self.pace.contact;
        let last =
            MonotonicTime::from_start(counted_on.since_start().saturating_sub(CONNECT_PATIENCE));
        last.min(now + RETURN_GRACE)
    }

    fn set_look(&mut self, at: MonotonicTime, out: &mut Vec<Command>) {
        self.next_look = Some(at);
        out.push(Command::SetTimer { timer: TimerKey::Directory, at });
    }

    fn is_stale(&self, now: MonotonicTime) -> bool {
        match self.current {
            Some(current) => now.since(current) >= self.pace.stale_after,
            None => now.since(self.started) >= FIRST_READING.1,
        }
    }

    /// A read succeeded. Returns whether it was the first one after a time in which entries may have
    /// lapsed.
    fn succeeded(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.failures > 0 && self.last_read.is_some() {
            out.push(Command::LogStateChange(StateChange::PlatformRegained));
        }
        let began = self.reading.take().map(|reading| reading.began);
        self.failures = 0;
        self.repeated = false;
        self.failing_since = None;
        self.last_read = Some(now);
        self.current = self.current.max(began);
        // From its beginning, as the age of the list is: one of thousands of upstreams takes its time.
        let next = began.unwrap_or(now) + self.pace.read_pause;
        self.set_look(next.max(now), out);
        std::mem::take(&mut self.away)
    }

    fn evacuated_zones(&self) -> Vec<String> {
        self.directory.evacuated_zones().map(str::to_owned).collect()
    }

    /// Tells which availability zones were evacuated or opened since `before`.
    fn note_evacuations(&self, before: &[String], peer: Option<&str>, out: &mut Vec<Command>) {
        let after = self.evacuated_zones();
        for zone in after.iter().filter(|zone| !before.contains(zone)) {
            let (zone, peer) = (zone.clone(), peer.map(str::to_owned));
            out.push(Command::LogStateChange(StateChange::ZoneEvacuated { zone, peer }));
        }
        for zone in before.iter().filter(|zone| !after.contains(zone)) {
            let (zone, peer) = (zone.clone(), peer.map(str::to_owned));
            out.push(Command::LogStateChange(StateChange::ZoneOpened { zone, peer }));
        }
    }

    /// Takes the word of an upstream that is cold. Returns whether that matters to routing.
    pub(super) fn hear_cold(
        &mut self,
        cold: ColdUpstream,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let is_news = self.directory.note_cold(vec![cold.clone()], now);
        if is_news {
            self.note_cold_starts(vec![cold], now, out);
        }
        is_news
    }

    /// Tells which upstreams are cold.
    fn note_cold_starts(
        &self,
        cold: Vec<ColdUpstream>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        for ColdUpstream { name: upstream, .. } in cold {
            let until = self.directory.cold_until(&upstream);
            let left_ms = until.map_or(0, |until| millis(until.since(now)));
            out.push(Command::LogStateChange(StateChange::UpstreamCold { upstream, left_ms }));
        }
    }

    /// Tells of a store that came back from an older copy.
    fn note_restore(&self, before: StorePosition, peer: Option<&str>, out: &mut Vec<Command>) {
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

    fn note(
        &self,
        changed: bool,
        peer: Option<String>,
        age: Option<Duration>,
        out: &mut Vec<Command>,
    ) {
        if changed {
            let StorePosition { era, revision } = self.directory.changed();
            let upstreams = self.directory.staying().count();
            let age_ms = age.map(millis);
            let taken = StateChange::DirectoryTaken { era, revision, upstreams, peer, age_ms };
            out.push(Command::LogStateChange(taken));
        }
    }
}

/// Whole milliseconds of `time`.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
