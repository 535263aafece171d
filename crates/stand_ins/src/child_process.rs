use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{PoisonError, RwLock};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, bail, ensure};

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(20);
/// Time that a process has to stand still after it was stopped.
const STOP_PATIENCE: Duration = Duration::from_secs(20);

/// Held for writing while a probe of a free address is open, and for reading while a process is
/// started.
///
/// Guards against a process that one test starts while another test probes: until the new process
/// has loaded its program it holds a copy of the probe's socket, and the daemon that is to have the
/// address can't bind it. It shows as "address already in use" once in some thousand starts.
static STARTS: RwLock<()> = RwLock::new(());

/// Runs `probe` while no process is being started.
pub(crate) fn without_starts<T>(probe: impl FnOnce() -> T) -> T {
    let _held = STARTS.write().unwrap_or_else(PoisonError::into_inner);
    probe()
}

/// Starts a process while no probe is open.
fn start(command: &mut Command) -> std::io::Result<Child> {
    let _held = STARTS.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// A process that a test starts, and ends by its id.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Option<Child>,
}

impl ChildProcess {
    /// A process that does not run yet; errors call it `name`.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), child: None }
    }

    /// Starts it with `command`.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn spawn(&mut self, command: &mut Command) -> Result<()> {
        let child = start(command).with_context(|| format!("starting {}", self.name))?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether it was started, and not killed since.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Its identifier.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub fn id(&self) -> Result<u32> {
        self.child.as_ref().map(Child::id).with_context(|| format!("{} does not run", self.name))
    }

    /// Kills it, as a VM that loses its power.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends it the signal `name`, as `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not run.
    pub fn signal(&self, name: &str) -> Result<()> {
        let mut command = Command::new("kill");
        command.arg(format!("-{name}")).arg(self.id()?.to_string());
        let status = start(&mut command)?.wait()?;
        ensure!(status.success(), "no {name} for {}", self.name);
        if name == "STOP" { self.wait_stopped() } else { Ok(()) }
    }

    /// Waits until every thread of the process stands still: one takes the signal and stops the
    /// others, and on a busy machine they go on working until it gets its turn.
    fn wait_stopped(&self) -> Result<()> {
        let tasks = PathBuf::from(format!("/proc/{}/task", self.id()?));
        let until = Instant::now() + STOP_PATIENCE;
        while !all_stopped(&tasks)? {
            ensure!(Instant::now() < until, "{} did not stop", self.name);
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    /// Waits until it has ended by itself; gives its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than `patience`.
    pub async fn wait_exit(&mut self, patience: Duration) -> Result<Option<i32>> {
        let mut child = self.child.take().with_context(|| format!("{} does not run", self.name))?;
        let until = Instant::now() + patience;
        loop {
            if let Some(status) = child.try_wait()? {
                return Ok(status.code());
            }
            if Instant::now() > until {
                self.child = Some(child);
                bail!("{} did not end within {patience:?}", self.name);
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Whether all threads below `tasks` are stopped.
fn all_stopped(tasks: &Path) -> Result<bool> {
    for task in std::fs::read_dir(tasks)? {
        let stat = std::fs::read_to_string(task?.path().join("stat")).unwrap_or_default();
        // The state stands behind the name, which is in parentheses.
        let state = stat.rsplit(") ").next().and_then(|rest| rest.chars().next());
        if state != Some('T') {
            return Ok(false);
        }
    }
    Ok(true)
}
