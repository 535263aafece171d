use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::SMALL_BODY_BYTES;

/// Largest size of [`HoldClass::Medium`], in bytes.
const MAX_MEDIUM_BYTES: usize = 64 << 10;
/// Part of the capacity that [`HoldClass::Large`] may fill, as numerator and denominator. The rest
/// lets bursts of smaller bodies in.
const LARGE_SHARE: (usize, usize) = (3, 4);

/// Number of bytes that callers may make the process hold at a time.
///
/// The capacity may change at any time. A lower one refuses further bytes, and leaves those that are
/// held.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use crocusdale_core::memory::{ByteBudget, HoldClass};
///
/// let budget = Arc::new(ByteBudget::new(100_000));
/// let lease = budget.try_hold(70_000, HoldClass::of(70_000)).expect("there is room");
/// assert!(budget.try_hold(70_000, HoldClass::of(70_000)).is_none());
/// drop(lease);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Debug)]
pub struct ByteBudget {
    capacity: AtomicUsize,
    held: AtomicUsize,
}

/// Class of held bytes by the size of the body or answer that they belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum HoldClass {
    /// At most [`SMALL_BODY_BYTES`]. Is part of what its connection takes, and always held.
    Small,
    /// At most 64 KiB. May fill the whole capacity.
    Medium,
    /// More than 64 KiB. May fill three quarters of the capacity.
    Large,
}

/// Bytes that are held. They are given back when the lease is dropped.
#[derive(Debug)]
pub struct ByteLease {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl HoldClass {
    /// Class of a body or an answer of `bytes` bytes.
    #[must_use]
    pub fn of(bytes: usize) -> Self {
        if bytes <= SMALL_BODY_BYTES {
            Self::Small
        } else if bytes <= MAX_MEDIUM_BYTES {
            Self::Medium
        } else {
            Self::Large
        }
    }

    fn limit(self, capacity: usize) -> usize {
        match self {
            Self::Small => usize::MAX,
            Self::Medium => capacity,
            Self::Large => capacity / LARGE_SHARE.1 * LARGE_SHARE.0,
        }
    }
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity: AtomicUsize::new(capacity), held: AtomicUsize::new(0) }
    }

    /// Sets the number of bytes that may be held.
    pub fn set_capacity(&self, capacity: usize) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Number of bytes that may be held.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity.load(Ordering::Relaxed)
    }

    /// Number of bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Number of bytes that have to be given back before `bytes` more of `class` have room.
    #[must_use]
    pub fn missing(&self, bytes: usize, class: HoldClass) -> usize {
        (self.held() + bytes).saturating_sub(class.limit(self.capacity()))
    }

    /// Holds `bytes` if there is room for them in `class`.
    #[must_use]
    pub fn try_hold(self: &Arc<Self>, bytes: usize, class: HoldClass) -> Option<ByteLease> {
        let limit = class.limit(self.capacity());
        let added = |held: usize| held.checked_add(bytes).filter(|held| *held <= limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, added).ok()?;
        Some(ByteLease { budget: Arc::clone(self), bytes })
    }

    /// Holds `bytes` although they may exceed the capacity.
    #[must_use]
    pub fn hold(self: &Arc<Self>, bytes: usize) -> ByteLease {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        ByteLease { budget: Arc::clone(self), bytes }
    }
}

impl ByteLease {
    /// Number of bytes that are held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of `other` to this lease.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.held.fetch_sub(surplus, Ordering::Relaxed);
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
