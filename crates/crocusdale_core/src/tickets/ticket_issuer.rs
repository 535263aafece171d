use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::identity::{MonotonicTime, RequestKey};

/// Issues and verifies the tickets of one process incarnation, without storing them.
///
/// A ticket contains the incarnation, the time of issue by its clock, and an authentication tag
/// that binds both to one key. No other incarnation accepts the ticket, so no two clocks have to
/// agree.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use crocusdale_core::identity::{MonotonicTime, RequestKey};
/// use crocusdale_core::tickets::TicketIssuer;
///
/// let (issuer, key) = (TicketIssuer::new(1, 7), RequestKey::new("mail", "order"));
/// let ticket = issuer.issue(&key, MonotonicTime::from_millis(0));
/// let life = Duration::from_millis(500);
/// assert!(issuer.is_valid(&ticket, &key, MonotonicTime::from_millis(400), life));
/// assert!(!issuer.is_valid(&ticket, &key, MonotonicTime::from_millis(501), life));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TicketIssuer {
    incarnation: u64,
    secret: u64,
}

impl TicketIssuer {
    /// Creates the issuer of the process incarnation `incarnation`, which signs tickets with
    /// `secret`.
    #[must_use]
    pub fn new(incarnation: u64, secret: u64) -> Self {
        Self { incarnation, secret }
    }

    /// Issues a ticket for `key` at the time `now`.
    #[must_use]
    pub fn issue(&self, key: &RequestKey, now: MonotonicTime) -> String {
        let issued_ms = u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX);
        format!("{:x}-{issued_ms:x}-{:x}", self.incarnation, self.tag(key, issued_ms))
    }

    /// Whether this process incarnation issued `ticket` for `key` at most `life` ago.
    #[must_use]
    pub fn is_valid(
        &self,
        ticket: &str,
        key: &RequestKey,
        now: MonotonicTime,
        life: Duration,
    ) -> bool {
        let mut parts = ticket.splitn(3, '-').map(|part| u64::from_str_radix(part, 16));
        let (Some(Ok(incarnation)), Some(Ok(issued_ms)), Some(Ok(tag))) =
            (parts.next(), parts.next(), parts.next())
        else {
            return false;
        };
        incarnation == self.incarnation
            && tag == self.tag(key, issued_ms)
            && now.since(MonotonicTime::from_millis(issued_ms)) <= life
    }

    fn tag(&self, key: &RequestKey, issued_ms: u64) -> u64 {
        let tag_input = [self.incarnation, issued_ms, key.stable_hash()].map(u64::to_le_bytes);
        xxh3_64_with_seed(tag_input.as_flattened(), self.secret)
    }
}
