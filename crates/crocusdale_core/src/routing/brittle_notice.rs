use std::time::Duration;

use crate::identity::MonotonicTime;

/// Time for which an announcement counts. Brittle upstreams repeat it in each answer.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);
/// Announcement of the upstreams of a pool that they are brittle.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BrittleNotice {
    /// Number of rejections per second that an upstream bears, and the end of the announcement.
    /// `None` if there was none.
    announced: Option<(u32, MonotonicTime)>,
    /// Time of the last request that this daemon sent to the pool.
    pub(super) last_send: Option<MonotonicTime>,
}

impl BrittleNotice {
    /// Records that the upstreams bear `max_rejections` per second.
    pub(super) fn announce(&mut self, max_rejections: u32, now: MonotonicTime) {
        self.announced = Some((max_rejections, now + ANNOUNCEMENT_TTL));
    }

    /// Number of rejections per second that an upstream bears. `None` without an announcement that
    /// still counts.
    pub(super) fn max_rejections(&self, now: MonotonicTime) -> Option<u32> {
        self.announced.filter(|(_, until)| now < *until).map(|(rejections, _)| rejections)
    }
}
