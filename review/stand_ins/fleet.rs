//! Daemons as separate processes, with the settings that the deploy template gives them.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Connection;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Limits the receive buffer of a client's socket, as on a client with little memory.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd as _;
    // SAFETY: The pointer refers to a live integer of the stated length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
}

/// Free loopback addresses, all on hosts of a network of their own.
pub struct Hosts {
    network: [u8; 2],
    next: u8,
}

impl Hosts {
    pub fn new() -> Self {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let seed = clock as u64 ^ u64::from(std::process::id()) << 20;
        let mix = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        Self { network: [1 + (mix % 250) as u8, (mix >> 8) as u8], next: 1 }
    }

    /// Next loopback host on which nothing listens at the ports of a daemon.
    pub fn next(&mut self) -> Ipv4Addr {
        loop {
            let host = Ipv4Addr::new(127, self.network[0], self.network[1], self.next);
            self.next = self.next.checked_add(1).expect("enough hosts are free");
            let is_free = |port| TcpListener::bind((host, port)).is_ok();
            if [8620, 8621, 8625, 8628, 9464].into_iter().all(is_free) {
                return host;
            }
        }
    }
}

/// One daemon: its process, and its addresses.
pub struct Daemon {
    host: Ipv4Addr,
    process: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Daemon {
    pub fn caller(&self) -> SocketAddr {
        SocketAddr::from((self.host, 8625))
    }

    /// Address at which clients ask where to connect.
    pub fn registry(&self) -> SocketAddr {
        SocketAddr::from((self.host, 8620))
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.host, 8621))
    }

    /// Starts the process as the deploy file does.
    pub fn start(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new("target/release/crocusdaled");
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        // SAFETY: The closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        self.process = Some(command.spawn().expect("target/release/crocusdaled starts"));
    }

    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            // SAFETY: The process is a child that was not waited for, so the id is its own.
            unsafe { kill(process.id() as i32, SIGTERM) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Whether the process has ended by now.
    pub fn has_ended(&mut self) -> bool {
        self.process
            .as_mut()
            .is_none_or(|process| process.try_wait().is_ok_and(|end| end.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.readiness(), Duration::from_secs(1))
        else {
            return false;
        };
        let mut connection = Connection::new(stream);
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        connection.write(request).is_ok()
            && connection.read_message().is_ok_and(|read| read.is_some_and(|it| it.status() == 200))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Prepares `count` daemons, one a zone, with settings from the deploy template. `directory` is a
/// temporary folder.
pub fn daemons(
    count: usize,
    hosts: &mut Hosts,
    store: SocketAddr,
    directory: &Path,
) -> Vec<Daemon> {
    let template = std::fs::read_to_string("deploy/settings.ini.template").unwrap();
    let places: Vec<Ipv4Addr> = (0..count).map(|_| hosts.next()).collect();
    let seeds: Vec<String> = places.iter().take(3).map(|host| format!("{host}:8628")).collect();
    let daemon = |(index, host): (usize, &Ipv4Addr)| {
        let name = format!("entry-{index}");
        let values = [
            ("nodeName", name.clone()),
            ("zone", zone(index).to_owned()),
            ("limits.cpuQuota", "0.25".to_owned()),
            ("limits.linkMbps", "1000.0".to_owned()),
            ("listen.frontend", format!("{host}:8625")),
            ("listen.controlPlane", format!("{host}:8628")),
            ("listen.readiness", format!("{host}:8621")),
            ("listen.registry", format!("{host}:8620")),
            ("ip", host.to_string()),
            ("platform.address", store.to_string()),
            ("seeds", seeds.join(",")),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryRatio", "0.2".to_owned()),
            ("bounds.retrySlack", "52".to_owned()),
            ("bounds.retryWindowS", "10".to_owned()),
            ("bounds.drainMs", "2000".to_owned()),
            ("bounds.configApplyMs", "2000".to_owned()),
            ("bounds.contactMs", "3000".to_owned()),
        ];
        let settings = directory.join(format!("{name}.ini"));
        let mut file = std::fs::File::create(&settings).unwrap();
        file.write_all(render(&template, &values).as_bytes()).unwrap();
        let log = directory.join(format!("{name}.log"));
        Daemon { host: *host, process: None, settings, log }
    };
    places.iter().enumerate().map(daemon).collect()
}

/// Zone of the machine with this index.
pub fn zone(index: usize) -> &'static str {
    ["toledo-hall", "erie-hall", "huron-hall"][index % 3]
}

/// Renders the parts of the template language that the deploy template uses.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let zones = "toledo-hall=lakes,erie-hall=lakes,huron-hall=lakes";
    let mut text = template.replace("{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", zones);
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").unwrap();
        let name = text[start + 3..name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).unwrap();
        let is_present = values.iter().any(|(known, _)| *known == name);
        let inner = if is_present { text[name_end + 2..end].to_owned() } else { String::new() };
        text.replace_range(start..end + close.len(), &inner);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "the template has a field that is not rendered here:\n{text}");
    text
}

/// Starts all daemons and waits until they are ready and have met.
pub fn start_all(daemons: &mut [Daemon]) -> Result<(), String> {
    for daemon in daemons.iter_mut() {
        daemon.start();
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > until {
            return Err("the daemons were not ready within 20 s".to_owned());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    // Traffic starts once the start of the processes is longer ago than `contactMs`.
    std::thread::sleep(Duration::from_secs(4));
    Ok(())
}
