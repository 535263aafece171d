//! Daemons of the project, as separate processes with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::get;
use crate::record::Record;

/// Time within which all daemons must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One daemon, its addresses and its process.
pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
    pub readiness: SocketAddr,
    pub addresses: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// All daemons of a deployment. They are killed when this is dropped.
pub struct Daemons {
    pub all: Vec<Daemon>,
    program: PathBuf,
}

/// Figures that the platform fills into the settings template.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub retry_reserve: u32,
}

impl Daemons {
    /// Starts one daemon in each zone of `zones`, and waits until all of them are ready and know
    /// each other. Zones may stand more than once.
    pub fn start(
        program: &Path,
        folder: &Path,
        store: SocketAddr,
        zones: &[&str],
        bounds: Bounds,
        record: &Record,
    ) -> Result<Self, String> {
        let mut held = Vec::new();
        let mut free = || -> Result<SocketAddr, String> {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            held.push(listener);
            Ok(address)
        };
        let mut all = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let name = format!("entry-{zone}-{index}");
            all.push(Daemon {
                settings: folder.join(format!("{name}.ini")),
                log: folder.join(format!("{name}.log")),
                name,
                zone: (*zone).to_owned(),
                caller: free()?,
                peer: free()?,
                operator: free()?,
                readiness: free()?,
                addresses: free()?,
                process: None,
            });
        }
        drop(held);
        let seeds: Vec<String> = all.iter().take(3).map(|daemon| daemon.peer.to_string()).collect();
        let mut regions: Vec<String> = zones.iter().map(|zone| format!("{zone}=lakes")).collect();
        regions.sort();
        regions.dedup();
        for daemon in &all {
            let text = settings(daemon, &regions.join(","), store, &seeds.join(","), bounds);
            std::fs::write(&daemon.settings, text).map_err(|error| error.to_string())?;
        }
        let mut daemons = Self { all, program: program.to_owned() };
        for index in 0..daemons.all.len() {
            daemons.spawn(index)?;
        }
        daemons.wait_ready(record)?;
        Ok(daemons)
    }

    /// Starts the process of the daemon at `index`.
    pub fn spawn(&mut self, index: usize) -> Result<(), String> {
        let daemon = &mut self.all[index];
        let log = File::options().create(true).append(true).open(&daemon.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|error| format!("can't start {}: {error}", self.program.display()))?;
        daemon.process = Some(child);
        Ok(())
    }

    fn wait_ready(&self, record: &Record) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        let count = self.all.len();
        for daemon in &self.all {
            loop {
                let known = daemon.known_addresses().len();
                if daemon.is_ready() && known == count {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not ready; it names {known} daemons", daemon.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        record.line(format_args!("{count} daemons are ready"));
        Ok(())
    }

    /// Sends a signal to the process of the daemon at `index`.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(process) = &self.all[index].process {
            let id = process.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        }
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for daemon in &mut self.all {
            if let Some(mut process) = daemon.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        get(self.readiness, "/-/readyz", timeout).is_ok_and(|answer| answer.status() == 200)
    }

    /// Addresses that the daemon names to a client.
    pub fn known_addresses(&self) -> Vec<SocketAddr> {
        let path = format!("/-/resolve?name=mail.example&region=lakes&zone={}", self.zone);
        let Ok(answer) = get(self.addresses, &path, Duration::from_millis(500)) else {
            return Vec::new();
        };
        let Some(document) = crate::json::Json::parse(&answer.body_text()) else {
            return Vec::new();
        };
        let addresses = document.get("addresses").map(|list| list.items().to_vec());
        let addresses = addresses.unwrap_or_default();
        addresses.iter().filter_map(|address| address.text().parse().ok()).collect()
    }
}

/// The settings template of the project, filled in as for a small deployment.
fn settings(
    daemon: &Daemon,
    regions: &str,
    store: SocketAddr,
    seeds: &str,
    bounds: Bounds,
) -> String {
    format!(
        "[daemon]\nname = {}\nzone = {}\nregions = {regions}\nthreads = 1\ncpu_share = 0.25\n\
         link_mbps = 1000\n\n[listen]\ncaller = {}\npeer = {}\noperator = {}\nreadiness = {}\n\
         addresses = {}\n\n[published]\nstore = {store}\nseeds = {seeds}\ngrace_s = 8\n\
         retry_ratio = 0.2\nretry_reserve = {}\nretry_window_s = 10\nnotice_ms = 2000\n\
         configuration_ms = 2000\ncontact_ms = 3000\n\n[limits]\nhead_ms = 60000\n\
         body_ms = 10000\nbody_bytes = 4194304\nconnections = 2000\n\n[membership]\n\
         period_ms = 500\nsuspicion_ms = 1500\n\n[log]\nformat = json\n\n[scheduling]\n\
         coordination_min_daemons = 32\nengine_placement = on\npipeline_levels = on\n\
         abandon_ms = 2000\nabandon_objectives = 4\nabandon_gaps = 8\nchain_admission = on\n\
         workspace_shares = on\n",
        daemon.name,
        daemon.zone,
        daemon.caller,
        daemon.peer,
        daemon.operator,
        daemon.readiness,
        daemon.addresses,
        bounds.retry_reserve,
    )
}
