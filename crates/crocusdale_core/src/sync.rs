//! Locking that tolerates poisoned mutexes. All code of this crate locks its mutexes this way.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, even if another thread has panicked while it held the lock. Each change of the
/// protected state leaves it consistent, so the daemon can go on serving or refusing requests after
/// a panic.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
