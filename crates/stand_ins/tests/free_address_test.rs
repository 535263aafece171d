//! Addresses that tests give to the processes that they start.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use stand_ins::{ChildProcess, free_address};

/// Probes of one run; without the guard a few in a hundred fail.
const PROBES: usize = 1_500;

/// Tests run side by side: one looks for a free address while others start processes. A process
/// that is just starting holds a copy of the probe's socket, and whoever is given the address can't
/// bind it; a daemon ends at its start, and a test fails that has nothing to do with it.
#[test]
fn free_address_can_be_bound_while_processes_start() {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let mut process = ChildProcess::new("a short process");
                    let mut command = Command::new("true");
                    process.spawn(command.stdout(Stdio::null())).expect("it starts");
                }
            });
        }
        let bound = (0..PROBES).filter(|_| {
            let address = free_address().expect("a free address");
            TcpListener::bind(address).is_ok()
        });
        let bound = bound.count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(bound, PROBES);
    });
}
