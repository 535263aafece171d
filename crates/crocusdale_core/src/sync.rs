//! The one way in which this project takes a lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `part`, also after a panic in another thread: parts are changed by whole steps, so what a
/// panic left behind can still refuse and answer.
pub fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}
