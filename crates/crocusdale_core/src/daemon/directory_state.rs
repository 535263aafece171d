use std::time::Duration;

use super::{Command, CounterName, StateChange, TimerKey};
use crate::identity::MonotonicTime;
use crate::membership::ExchangeMessage;
use crate::routing::{DirectoryEntry, PeerDirectory, UpstreamDirectory};

/// Pause between two reads. The list is always read whole: each upstream renews its entry about
/// every second, so that a watch would end as soon, and it would miss what changes while the store
/// forgets its history. The users bound the time from a notice to the last request at two seconds.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// First pause after a failed read, and the longest one.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_000));
/// Age of the list at which a daemon reads itself, whoever should read for it. A list that is asked
/// for every 0.4 s, of a daemon that reads twice a second, is 0.95 s old at most.
const STALE_AFTER: Duration = Duration::from_millis(1_100);
/// Pause between two questions to the daemon that reads the list for this one.
const ASK_PAUSE: Duration = Duration::from_millis(400);
/// Time after which a fetch from a peer counts as lost.
const FETCH_PATIENCE: Duration = Duration::from_millis(800);
/// Time for which reads must have failed for the list to count as away: entries may have lapsed
/// meanwhile.
const AWAY_AFTER: Duration = Duration::from_millis(700);

/// Time after the return of the published list within which a missing upstream may come back. The
/// users state two seconds for entries that lapsed while the list could not be written.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);

/// The published upstreams, and when to read them.
#[derive(Debug, Default)]
pub(super) struct DirectoryState {
    pub(super) directory: UpstreamDirectory,
    reading: bool,
    failures: u32,
    last_read: Option<MonotonicTime>,
    read_began: Option<MonotonicTime>,
    /// When a reader was last asked.
    last_asked: Option<MonotonicTime>,
    /// When the list was last known to be the latest one, by a reading of this daemon or of another.
    current: Option<MonotonicTime>,
    failing_since: Option<MonotonicTime>,
    /// Whether entries may have lapsed since the last read that succeeded.
    away: bool,
    /// Peer that was asked for its list, and when.
    fetching: Option<(String, MonotonicTime)>,
}

impl DirectoryState {
    /// Reads the list if this daemon is a reader, for which `reader` is `None`, or if nobody is
    /// known to have read it of late. Returns the reader that is to be asked, if it is time.
    pub(super) fn look(
        &mut self,
        reader: Option<String>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> Option<String> {
        if self.reading {
            return None;
        }
        if reader.is_none() || self.is_stale(now) {
            self.begin_reading(reader, now, out);
            return None;
        }
        let due = self.last_asked.is_none_or(|last| now.since(last) >= ASK_PAUSE);
        if due {
            self.last_asked = Some(now);
        }
        self.set_look(now, out);
        reader.filter(|_| due)
    }

    /// Takes what a peer says of its list in the answer to a heartbeat that was sent at `sent`.
    /// Returns since when the list here is known to be the latest.
    ///
    /// Guards against a list that is taken for younger than it is, because its age is reckoned from
    /// when the answer came, or from a later question: a notice that lies in between seems to be
    /// known, and its upstream gets requests for longer than it may, 0.8 s where the answer of a peer
    /// was that slow. What the answer says was true when its own question was sent, less the age that
    /// it names, and the list here is the latest of then if it lacks nothing that the peer knows.
    pub(super) fn heard_age(
        &mut self,
        message: &ExchangeMessage,
        sent: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let age = message.directory_age?;
        if message.directory > self.directory.changed() {
            return None;
        }
        let current = MonotonicTime::from_start(sent.since_start().checked_sub(age)?);
        self.current = self.current.max(Some(current));
        self.current
    }

    /// When the list was last known to be the latest.
    pub(super) fn current(&self) -> Option<MonotonicTime> {
        self.current
    }

    /// Takes a whole list. Returns whether routing must change.
    pub(super) fn read_whole(
        &mut self,
        revision: u64,
        entries: Vec<(u64, DirectoryEntry)>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let is_back = self.succeeded(now, out);
        // What this reading lists and a later one does not is gone: only what lapsed before the
        // list came back may still be on its way.
        let grace = is_back.then(|| now + RETURN_GRACE);
        let age = self.age(now);
        let changed = self.directory.replace(revision, entries, grace);
        self.note(changed, None, age, out);
        changed
    }

    /// A read failed.
    pub(super) fn read_failed(&mut self, now: MonotonicTime, out: &mut Vec<Command>) {
        out.push(Command::Count(CounterName::PlatformReadsFailed));
        if self.failures == 0 && self.directory.is_known() {
            out.push(Command::Note(StateChange::PlatformLost));
        }
        self.reading = false;
        self.failures += 1;
        let since = *self.failing_since.get_or_insert(now);
        self.away |= now.since(since) >= AWAY_AFTER;
        let pause = BACK_OFF.0 * 2_u32.pow(self.failures.min(4) - 1);
        let at = now + pause.min(BACK_OFF.1);
        out.push(Command::SetTimer { timer: TimerKey::Directory, at });
    }

    /// Asks `vm`, which knows of a later change, for its list, if this daemon can't read.
    pub(super) fn heard_of(
        &mut self,
        vm: &str,
        changed: u64,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        let newer = changed > self.directory.changed();
        let fetching = self.fetching.as_ref();
        let fetching = fetching.is_some_and(|(_, since)| now.since(*since) < FETCH_PATIENCE);
        if newer && !fetching {
            self.fetching = Some((vm.to_owned(), now));
            out.push(Command::Count(CounterName::DirectoryFetches));
            out.push(Command::FetchDirectory { vm: vm.to_owned() });
        }
    }

    /// Takes the list of a peer. Returns whether routing must change.
    pub(super) fn fetched(
        &mut self,
        list: Option<PeerDirectory>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) -> bool {
        let peer = self.fetching.take().map(|(vm, _)| vm);
        let Some(list) = list else {
            out.push(Command::Count(CounterName::DirectoryFetchesFailed));
            return false;
        };
        let changed = self.directory.merge(list, now);
        self.note(changed, peer, self.age(now), out);
        changed
    }

    /// Drops upstreams that stayed missing. Returns whether there were any.
    pub(super) fn drop_missing(&mut self, now: MonotonicTime) -> bool {
        self.directory.drop_missing(now)
    }

    /// Time since the list was last known to be the latest.
    pub(super) fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.current.map(|current| now.since(current))
    }

    fn begin_reading(
        &mut self,
        reader: Option<String>,
        now: MonotonicTime,
        out: &mut Vec<Command>,
    ) {
        self.reading = true;
        self.read_began = Some(now);
        out.push(Command::Count(CounterName::DirectoryReads));
        if let Some(reader) = reader {
            out.push(Command::Count(CounterName::DirectoryReadsForAge));
            let age_ms = self.age(now).map(millis);
            out.push(Command::Note(StateChange::DirectoryAged { age_ms, reader }));
        }
        out.push(Command::ReadDirectory);
    }

    /// Sets the next look: when the reader is to be asked again, or when the list is old enough to be
    /// read here, to the millisecond. A look that came a quarter of a second late made the list that
    /// much older.
    fn set_look(&self, now: MonotonicTime, out: &mut Vec<Command>) {
        let ask = self.last_asked.map_or(now, |last| last + ASK_PAUSE);
        let stale = self.current.map_or(now, |current| current + STALE_AFTER);
        out.push(Command::SetTimer { timer: TimerKey::Directory, at: ask.min(stale).max(now) });
    }

    fn is_stale(&self, now: MonotonicTime) -> bool {
        self.current.is_none_or(|current| now.since(current) >= STALE_AFTER)
    }

    /// A read succeeded. Returns whether it was the first one after a time in which entries may have
    /// lapsed.
    fn succeeded(&mut self, now: MonotonicTime, out: &mut Vec<Command>) -> bool {
        if self.failures > 0 && self.last_read.is_some() {
            out.push(Command::Note(StateChange::PlatformRegained));
        }
        self.reading = false;
        self.failures = 0;
        self.failing_since = None;
        self.last_read = Some(now);
        self.current = self.current.max(self.read_began);
        out.push(Command::SetTimer { timer: TimerKey::Directory, at: now + READ_PAUSE });
        std::mem::take(&mut self.away)
    }

    fn note(
        &self,
        changed: bool,
        peer: Option<String>,
        age: Option<Duration>,
        out: &mut Vec<Command>,
    ) {
        if changed {
            let revision = self.directory.changed();
            let upstreams = self.directory.entries().filter(|entry| !entry.leaving).count();
            let age_ms = age.map(millis);
            let taken = StateChange::DirectoryTaken { revision, upstreams, peer, age_ms };
            out.push(Command::Note(taken));
        }
    }
}

/// Whole milliseconds of `time`.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
