use std::collections::HashMap;
use std::time::Duration;

use crate::configuration::BatchRules;
use crate::identity::MonotonicTime;
use crate::pipeline::ResultHandle;

/// Part of an upstream's memory for results that is used. Sizes of results are declared roughly.
const ROOM_SHARE: f64 = 0.9;
/// Time for which a call waits for the answer to the question how much is free: some round trips
/// between availability zones, and a fifth of a call.
const ANSWER_PATIENCE: Duration = Duration::from_millis(40);
/// Pause between two questions while results of others lie there. They are given up one by one.
const QUESTION_PAUSE: Duration = Duration::from_millis(300);

/// Memory for results of one upstream, as its dispatcher counts it.
///
/// Guards against calls whose results find no room: the pieces come back unmade, after the whole time of
/// their call. A dispatcher counts what it had made itself, and asks for what the one before it left.
#[derive(Debug, Default)]
pub(super) struct RoomAccount {
    /// Memory that the results of open calls will take, in bytes.
    reserved: u64,
    /// Results of this dispatcher, with their size and the time at which they lapse.
    held: HashMap<ResultHandle, (u64, MonotonicTime)>,
    /// Results of others, in bytes, and the time at which the last of them lapses.
    foreign: Option<(u64, MonotonicTime)>,
    /// Whether the upstream has to be asked how much is free.
    unsure: bool,
    /// When it was asked last.
    asked: Option<MonotonicTime>,
}

impl RoomAccount {
    /// Memory that is free, in bytes.
    pub(super) fn free_bytes(&self, rules: &BatchRules) -> u64 {
        let held: u64 = self.held.values().map(|(bytes, _)| bytes).sum();
        let foreign = self.foreign.map_or(0, |(bytes, _)| bytes);
        let usable = (rules.result_bytes as f64 * ROOM_SHARE) as u64;
        usable.saturating_sub(held + self.reserved + foreign)
    }

    /// Keeps memory for the results of a call.
    pub(super) fn reserve(&mut self, bytes: u64) {
        self.reserved += bytes;
    }

    /// A call has ended for whose results `bytes` were kept.
    pub(super) fn unreserve(&mut self, bytes: u64) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }

    /// A result lies there until it is given up or lapses.
    pub(super) fn hold(&mut self, result: ResultHandle, bytes: u64, until: MonotonicTime) {
        self.held.insert(result, (bytes, until));
    }

    /// A result was given up.
    pub(super) fn release(&mut self, result: &ResultHandle) {
        self.held.remove(result);
    }

    /// Forgets results that have lapsed.
    pub(super) fn forget_lapsed(&mut self, now: MonotonicTime) {
        self.held.retain(|_, (_, until)| now < *until);
        self.foreign = self.foreign.filter(|(_, until)| now < *until);
    }

    /// Another dispatcher may have had results made there.
    pub(super) fn doubt(&mut self) {
        self.unsure = true;
        self.asked = None;
    }

    /// Whether the upstream is to be asked now how much is free; counts as asked then.
    pub(super) fn must_ask(&mut self, now: MonotonicTime) -> bool {
        let wants = self.unsure || self.foreign.is_some();
        let due = self.asked.is_none_or(|asked| now.since(asked) >= QUESTION_PAUSE);
        if wants && due {
            self.asked = Some(now);
        }
        wants && due
    }

    /// Whether a call should wait for the answer to that question.
    pub(super) fn awaits_answer(&self, now: MonotonicTime) -> bool {
        self.unsure && self.asked.is_none_or(|asked| now.since(asked) < ANSWER_PATIENCE)
    }

    /// The upstream said that `free` bytes are free, or nothing. Without a word it counts as empty,
    /// as it did before the question.
    ///
    /// What others had made only becomes less: a later answer that says otherwise counts results
    /// of this dispatcher that have come since.
    pub(super) fn told(&mut self, free: Option<u64>, rules: &BatchRules, now: MonotonicTime) {
        let first = std::mem::take(&mut self.unsure);
        let Some(free) = free else { return };
        let held: u64 = self.held.values().map(|(bytes, _)| bytes).sum();
        // Results take up room from the beginning of their call.
        let own = held + self.reserved;
        let foreign = rules.result_bytes.saturating_sub(free).saturating_sub(own);
        self.foreign = match self.foreign {
            None if first => Some((foreign, now + rules.result_life)),
            known => known.map(|(bytes, until)| (bytes.min(foreign), until)),
        };
        self.foreign = self.foreign.filter(|(bytes, _)| *bytes > 0);
    }
}
