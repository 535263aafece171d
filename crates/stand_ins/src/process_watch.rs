use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};

/// Pause between two samples.
const SAMPLE_PAUSE: Duration = Duration::from_millis(10);
/// Column of `/proc/net/tcp` with the bytes that are queued for sending and receiving.
const QUEUE_COLUMN: usize = 4;
/// Connection state `LISTEN` in `/proc/net/tcp`, where the receive queue counts connections.
const LISTEN_STATE: &str = "0A";

/// Largest use of resources by a process while it was watched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourcePeaks {
    /// Resident memory and received bytes that the process has not read, in bytes.
    pub memory_bytes: u64,
    /// Received bytes that the process has not read, in bytes.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples the memory and descriptors of a process until it is finished.
#[derive(Debug)]
pub struct ProcessWatch {
    process: PathBuf,
    is_finished: Arc<AtomicBool>,
    sampler: JoinHandle<ResourcePeaks>,
}

impl ProcessWatch {
    /// Starts to watch the process `id`, which serves the connections to `addresses`.
    #[must_use]
    pub fn start(id: u32, addresses: &[SocketAddr]) -> Self {
        let process = PathBuf::from(format!("/proc/{id}"));
        let is_finished = Arc::new(AtomicBool::new(false));
        let addresses: Vec<String> = addresses.iter().filter_map(proc_address).collect();
        let (sampled, finished) = (process.clone(), Arc::clone(&is_finished));
        let sampler = std::thread::spawn(move || {
            let mut peaks = ResourcePeaks::default();
            while !finished.load(Ordering::Relaxed) {
                let unread = unread_bytes(&addresses);
                let memory = status_bytes(&sampled, "VmRSS").unwrap_or_default() + unread;
                peaks.memory_bytes = peaks.memory_bytes.max(memory);
                peaks.unread_bytes = peaks.unread_bytes.max(unread);
                peaks.descriptors = peaks.descriptors.max(descriptor_count(&sampled));
                std::thread::sleep(SAMPLE_PAUSE);
            }
            peaks
        });
        Self { process, is_finished, sampler }
    }

    /// Ends the samples. The peak of the resident memory is the one that the system has recorded.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn finish(self) -> Result<ResourcePeaks> {
        self.is_finished.store(true, Ordering::Relaxed);
        let mut peaks = self.sampler.join().ok().context("the sampler has panicked")?;
        let recorded = status_bytes(&self.process, "VmHWM").context("the process has ended")?;
        peaks.memory_bytes = peaks.memory_bytes.max(recorded);
        Ok(peaks)
    }
}

/// Value of a field of `/proc/PID/status`, in bytes. `None` if the process has ended.
fn status_bytes(process: &std::path::Path, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(process.join("status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1_024)
}

fn descriptor_count(process: &std::path::Path) -> usize {
    std::fs::read_dir(process.join("fd")).map_or(0, Iterator::count)
}

/// Bytes in the receive queues of all connections with one of the local `addresses`.
fn unread_bytes(addresses: &[String]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let connections = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = connections.filter(|columns| {
        columns.len() > QUEUE_COLUMN
            && columns[3] != LISTEN_STATE
            && addresses.iter().any(|address| address == columns[1])
    });
    own.filter_map(|columns| {
        let (_, received) = columns[QUEUE_COLUMN].split_once(':')?;
        u64::from_str_radix(received, 16).ok()
    })
    .sum()
}

/// Returns `address` as `/proc/net/tcp` shows it: the bytes of the host as a number of this machine.
fn proc_address(address: &SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let host = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{host:08X}:{:04X}", address.port()))
}
