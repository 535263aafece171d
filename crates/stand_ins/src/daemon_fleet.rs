use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use crocusdale_core::membership::{VmEntry, VmList, VmRole, VmState};

use crate::child_process::without_starts;
use crate::{CallerClient, ChildProcess, PlatformStandIn, RelayStandIn};

/// Zones of a test fleet.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);
/// Time that a fleet has to become ready.
const READY_PATIENCE: Duration = Duration::from_secs(20);

/// A fleet of daemons as separate processes, with one platform.
#[derive(Debug)]
pub struct DaemonFleet {
    /// The platform.
    pub platform: PlatformStandIn,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The path from each daemon to each other one, if the fleet has relays.
    links: Vec<FleetLink>,
    /// Section of the settings, or nothing.
    limits: String,
    binary: PathBuf,
    directory: PathBuf,
}

/// The path by which one daemon reaches another.
#[derive(Debug)]
struct FleetLink {
    from: usize,
    to: usize,
    relay: RelayStandIn,
}

/// Builds a [`DaemonFleet`].
#[derive(Debug)]
pub struct DaemonFleetBuilder {
    binary: PathBuf,
    directory: PathBuf,
    size: usize,
    relays: bool,
    zones: Vec<String>,
    limits: String,
    configuration: String,
}

/// One daemon.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of its VM.
    pub name: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    peer: SocketAddr,
    zone: String,
    /// VM list of its own, which shows it the other daemons behind relays.
    vm_list: Option<PlatformStandIn>,
    process: ChildProcess,
}

impl DaemonFleetBuilder {
    /// Starts `binary`, with files in a new folder below `directory`.
    #[must_use]
    pub fn new(binary: &str, directory: &str) -> Self {
        let directory = Path::new(directory).join(format!("fleet-{:016x}", rand::random::<u64>()));
        let zones = ZONES.iter().map(|zone| (*zone).to_owned()).collect();
        Self {
            binary: binary.into(),
            directory,
            size: 6,
            relays: false,
            zones,
            limits: String::new(),
            configuration: String::new(),
        }
    }

    /// Sets the number of daemons, spread over three zones.
    #[must_use]
    pub fn size(mut self, size: usize) -> Self {
        self.size = size;
        self
    }

    /// Puts a relay between each two daemons in each direction, so that they can be cut off.
    #[must_use]
    pub fn relays(mut self) -> Self {
        self.relays = true;
        self
    }

    /// Sets the zones over which the daemons are spread.
    #[must_use]
    pub fn zones(mut self, zones: Vec<String>) -> Self {
        self.zones = zones;
        self
    }

    /// Lets each daemon have `connections` open connections from callers.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
        self.limits = format!("[limits]\nconnections = {connections}\n");
        self
    }

    /// Adds the section `[limits]`, with the lines `keys`, to the settings of each daemon.
    #[must_use]
    pub fn limits(mut self, keys: &str) -> Self {
        self.limits = format!("[limits]\n{keys}\n");
        self
    }

    /// Publishes `text` as revision 1.
    #[must_use]
    pub fn configuration(mut self, text: impl Into<String>) -> Self {
        self.configuration = text.into();
        self
    }

    /// Starts everything and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or become ready.
    pub async fn start(self) -> Result<DaemonFleet> {
        std::fs::create_dir_all(&self.directory)?;
        let platform = PlatformStandIn::start(loopback(0))?;
        let daemons: Result<Vec<_>> = (0..self.size)
            .map(|index| DaemonProcess::plan(index, &self.zones[index % self.zones.len()]))
            .collect();
        let mut fleet = DaemonFleet {
            platform,
            daemons: daemons?,
            links: Vec::new(),
            limits: self.limits,
            binary: self.binary,
            directory: self.directory,
        };
        if self.relays {
            fleet.link()?;
        }
        let vms = fleet.daemons.iter().map(DaemonProcess::entry).collect();
        fleet.platform.set_roster(VmList { revision: 1, vms });
        fleet.platform.publish(1, self.configuration);
        for index in 0..self.size {
            fleet.launch(index)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }
}

impl DaemonFleet {
    /// Starts the daemon `index` as a new process, on the addresses that it had.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn launch(&mut self, index: usize) -> Result<()> {
        let platform = self.platform.address();
        let daemon = &mut self.daemons[index];
        let vm_list = daemon.vm_list.as_ref().map_or(platform, PlatformStandIn::address);
        ensure!(!daemon.process.is_running(), "{} runs already", daemon.name);
        let path = self.directory.join(format!("{}.ini", daemon.name));
        std::fs::write(&path, daemon.settings(platform, vm_list) + &self.limits)?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{}.log", daemon.name)))?;
        let mut command = Command::new(&self.binary);
        command.arg("--settings").arg(&path);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        daemon.process.spawn(&mut command)
    }

    /// Waits until every daemon that runs is ready and has seen every other that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_ready(&self) -> Result<()> {
        let client = CallerClient::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.process.is_running()) {
            wait_for(READY_PATIENCE, &format!("{} is ready", daemon.name), async || {
                client.get(daemon.operator, "/ready").await.is_ok_and(|(status, _)| status == 200)
            })
            .await
            .with_context(|| self.log_of(daemon))?;
        }
        Ok(())
    }

    /// Log of a daemon, for the report of a failure.
    fn log_of(&self, daemon: &DaemonProcess) -> String {
        let log = std::fs::read_to_string(self.directory.join(format!("{}.log", daemon.name)));
        format!("log of {}:\n{}", daemon.name, log.unwrap_or_default())
    }

    /// Waits until daemons vote as witnesses: for the life of a key after their start.
    pub async fn wait_for_witnesses(&self, key_life: Duration) {
        // The abstention is a promise in time, so there is no condition to wait on but time.
        tokio::time::sleep(key_life + Duration::from_millis(600)).await;
    }

    /// Cuts the daemons `side` off from the others, in both directions, or heals that cut.
    pub fn isolate(&self, side: &[usize], cut: bool) {
        for link in &self.links {
            if side.contains(&link.from) != side.contains(&link.to) {
                link.relay.cut(cut);
            }
        }
    }

    /// Cuts every daemon off from every other, or heals all cuts.
    pub fn isolate_all(&self, cut: bool) {
        for link in &self.links {
            link.relay.cut(cut);
        }
    }

    /// Makes every open connection between daemons silent for good; new ones work.
    pub fn silence_links(&self) {
        for link in &self.links {
            link.relay.silence_open();
        }
    }

    /// Puts a relay on each path between two daemons, and gives each daemon a VM list that shows
    /// the others behind its own relays.
    fn link(&mut self) -> Result<()> {
        let entries: Vec<VmEntry> = self.daemons.iter().map(DaemonProcess::entry).collect();
        for (from, daemon) in self.daemons.iter_mut().enumerate() {
            let mut vms = entries.clone();
            for (to, vm) in vms.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                let target = vm.peer.context("an entry VM has a peer address")?;
                let relay = RelayStandIn::start(loopback(0), target)?;
                vm.peer = Some(relay.address());
                self.links.push(FleetLink { from, to, relay });
            }
            let vm_list = PlatformStandIn::start(loopback(0))?;
            vm_list.set_roster(VmList { revision: 1, vms });
            daemon.vm_list = Some(vm_list);
        }
        Ok(())
    }

    /// Addresses for callers of all daemons that run.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter(|daemon| daemon.process.is_running());
        running.map(|daemon| daemon.caller).collect()
    }
}

impl Drop for DaemonFleet {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl DaemonProcess {
    fn plan(index: usize, zone: &str) -> Result<Self> {
        Ok(Self {
            name: format!("entry-{index}"),
            caller: free_address()?,
            operator: free_address()?,
            peer: free_address()?,
            vm_list: None,
            zone: zone.to_owned(),
            process: ChildProcess::new(format!("entry-{index}")),
        })
    }

    fn entry(&self) -> VmEntry {
        VmEntry {
            name: self.name.clone(),
            zone: self.zone.clone(),
            role: VmRole::Entry,
            state: VmState::Live,
            peer: Some(self.peer),
            caller: Some(self.caller),
            operator: Some(self.operator),
        }
    }

    fn settings(&self, platform: SocketAddr, vm_list: SocketAddr) -> String {
        format!(
            "[daemon]\nname = {}\nzone = {}\n[listen]\ncaller = {}\npeer = {}\noperator = {}\n\
             [platform]\nconfiguration = {platform}\nvm_list = {vm_list}\n\
             vm_list_period_ms = 200\n[membership]\nperiod_ms = 100\nsuspicion_ms = 500\n",
            self.name, self.zone, self.caller, self.peer, self.operator,
        )
    }

    /// Identifier of its process.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub fn id(&self) -> Result<u32> {
        self.process.id()
    }

    /// Kills it, as a VM that loses its power.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends it the signal `name`, as `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub fn signal(&self, name: &str) -> Result<()> {
        self.process.signal(name)
    }

    /// Waits until its process has ended by itself; gives its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than `patience`.
    pub async fn wait_exit(&mut self, patience: Duration) -> Result<Option<i32>> {
        self.process.wait_exit(patience).await
    }
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// Returns an error if that takes longer than `patience`.
pub async fn wait_for(
    patience: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<()> {
    let until = Instant::now() + patience;
    while !condition().await {
        ensure!(Instant::now() < until, "not within {patience:?}: {what}");
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

/// An address of the loopback network that nobody else uses: the network has so many hosts that a
/// random one is free.
///
/// # Errors
///
/// Returns an error if the system gives no port.
pub fn free_address() -> Result<SocketAddr> {
    let host =
        Ipv4Addr::new(127, rand::random_range(1..255), rand::random(), rand::random_range(1..255));
    Ok(without_starts(|| TcpListener::bind((host, 0))?.local_addr())?)
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
