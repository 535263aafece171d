//! Runs a whole deployment on this machine: `demo DIRECTORY [--keep SECONDS] [--instant]
//! [--pieces N]`.
//!
//! Starts the platform, the upstreams and six daemons as separate processes, asks a daemon for
//! an address, sends one request through encode, retrieve, rerank and generate, prints its answer
//! with time and cost by stage, and ends what it started. With `--instant` upstreams answer at
//! once, to measure the
//! system itself; `--pieces` sets the length of generated streams, 16 unless given.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use crocusdale_core::configuration::{Declarations, PlatformSettings, ProcessSettings};
use crocusdale_core::membership::{VmEntry, VmList, VmRole, VmState};
use crocusdale_core::pipeline::OutcomeKind;
use serde_json::{Value, json};
use stand_ins::{CallerAnswer, CallerClient, wait_for};
use tokio::signal::unix::{SignalKind, signal};

/// Time that the daemons have to become ready.
const READY_PATIENCE: Duration = Duration::from_secs(20);
/// Time that a daemon has to drain.
const DRAIN_PATIENCE: Duration = Duration::from_secs(30);
/// Upstreams in one process.
const UPSTREAMS_PER_PROCESS: usize = 16;

/// Pieces of a generated stream unless given.
const PIECES: u64 = 16;

/// How the upstreams work.
#[derive(Clone, Copy)]
struct UpstreamLoad {
    instant: bool,
    pieces: u64,
}

/// Processes that are ended when this is dropped.
struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let keep: Option<u64> = arguments.opt_value_from_str("--keep")?;
    let load = UpstreamLoad {
        instant: arguments.contains("--instant"),
        pieces: arguments.opt_value_from_str("--pieces")?.unwrap_or(PIECES),
    };
    let directory: PathBuf = arguments.free_from_str().context("usage: demo DIRECTORY")?;
    let bin = std::env::current_exe()?.parent().context("no folder")?.to_owned();
    let work = std::env::temp_dir().join(format!("crocusdale-demo-{}", std::process::id()));
    std::fs::create_dir_all(&work)?;
    let mut terminate = signal(SignalKind::terminate())?;
    // Dropping the run ends what it started, so nothing is left when it is interrupted either.
    let end = tokio::select! {
        end = run(&directory, &bin, &work, keep, load) => end,
        _ = terminate.recv() => Ok(()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    };
    std::fs::remove_dir_all(&work)?;
    end
}

async fn run(
    directory: &Path,
    bin: &Path,
    work: &Path,
    keep: Option<u64>,
    load: UpstreamLoad,
) -> Result<()> {
    let declarations = directory.join("declarations.ini");
    let text = std::fs::read_to_string(&declarations)?;
    let checked = Declarations::check(&declarations.display().to_string(), &text);
    let checked = checked.map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
    let settings = read_settings(directory)?;
    let mut stand_ins = Processes(Vec::new());
    start_platform(&settings, &declarations, bin, work, &mut stand_ins)?;
    start_upstreams(&checked, bin, load, &mut stand_ins)?;
    let mut daemons = Processes(Vec::new());
    for (path, _) in &settings {
        let child = Command::new(bin.join("../crocusdaled"))
            .args(["--settings".as_ref(), path.as_os_str()])
            .stderr(Stdio::null())
            .spawn()
            .context("starting crocusdaled")?;
        daemons.0.push(child);
    }
    let client = CallerClient::new();
    for (_, daemon) in &settings {
        wait_for(READY_PATIENCE, "the daemons are ready", async || {
            client.get(daemon.operator, "/ready").await.is_ok_and(|(status, _)| status == 200)
        })
        .await?;
    }
    println!("{} upstreams and {} daemons are up", checked.upstreams().len(), settings.len());
    show_request(&client, settings[0].1.caller, &checked).await?;
    if let Some(seconds) = keep {
        println!("kept up for {seconds} s; callers: {}", settings[0].1.caller);
        tokio::time::sleep(Duration::from_secs(seconds)).await;
    }
    drain(&mut daemons).await
}

fn read_settings(directory: &Path) -> Result<Vec<(PathBuf, ProcessSettings)>> {
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(directory)?.map(|entry| Ok(entry?.path())).collect::<Result<_>>()?;
    paths.sort();
    let is_entry = |path: &PathBuf| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("entry-"))
    };
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path)?;
        let settings = ProcessSettings::check(&path.display().to_string(), &text);
        Ok((path, settings.map_err(|errors| anyhow::anyhow!("{}", errors[0]))?))
    };
    paths.into_iter().filter(is_entry).map(read).collect()
}

fn start_platform(
    settings: &[(PathBuf, ProcessSettings)],
    declarations: &Path,
    bin: &Path,
    work: &Path,
    processes: &mut Processes,
) -> Result<()> {
    let vms = settings.iter().map(|(_, daemon)| VmEntry {
        name: daemon.vm.clone(),
        zone: daemon.zone.clone(),
        role: VmRole::Entry,
        state: VmState::Live,
        peer: Some(daemon.peer),
        caller: Some(daemon.caller),
        operator: Some(daemon.operator),
    });
    let roster = VmList { revision: 1, vms: vms.collect() };
    let path = work.join("vms.json");
    std::fs::write(&path, serde_json::to_vec(&roster)?)?;
    let PlatformSettings::Services { configuration, .. } = &settings[0].1.platform else {
        bail!("the demonstration needs a section [platform]");
    };
    let child = Command::new(bin.join("platform"))
        .arg(configuration.to_string())
        .arg(declarations)
        .arg(&path)
        .spawn()
        .context("starting the platform")?;
    processes.0.push(child);
    Ok(())
}

fn start_upstreams(
    declarations: &Declarations,
    bin: &Path,
    load: UpstreamLoad,
    processes: &mut Processes,
) -> Result<()> {
    for group in declarations.upstreams().chunks(UPSTREAMS_PER_PROCESS) {
        let specs = group.iter().map(|upstream| {
            let times = match (load.instant, upstream.name.contains("generate")) {
                (true, _) => "0/0",
                (false, true) => "120/10",
                (false, false) => "15/0",
            };
            let pieces = load.pieces;
            format!("{}={}@{times}/{pieces}", upstream.name, upstream.address)
        });
        let child = Command::new(bin.join("upstreams")).args(specs).spawn();
        processes.0.push(child.context("starting upstreams")?);
    }
    Ok(())
}

async fn show_request(
    client: &CallerClient,
    any: SocketAddr,
    declarations: &Declarations,
) -> Result<()> {
    let (_, body) = client.get(any, "/v1/addresses?caller=demo").await?;
    let addresses: Value = serde_json::from_str(&body)?;
    println!("addresses for this caller: {addresses}");
    let address = addresses["addresses"][0].as_str().context("no address")?.parse()?;
    let halloran = declarations.workspace("winter-south").is_some();
    let (workspace, job) = if halloran { ("winter-south", "ask") } else { ("field-team", "draft") };
    let request = json!({
        "workspace": workspace, "key": "demo-1", "labels": { "job": job },
        "deadline_ms": 4_000, "repeatable": true,
        "payload": { "question": "what came in the mail today?" },
    });
    let answer = client.post(address, request.to_string()).await?;
    print_answer(&answer);
    anyhow::ensure!(answer.kind() == OutcomeKind::Answered, "the request was not answered");
    Ok(())
}

fn print_answer(answer: &CallerAnswer) {
    println!("outcome: {} (HTTP {})", answer.kind(), answer.status);
    println!("answer: {}", answer.text());
    println!("{:<10} {:<16} {:>9} {:>9} {:>8}", "stage", "upstream", "time ms", "attempts", "cost");
    for stage in &answer.outcome.stages {
        let (time, cost) = (stage.time_ms, stage.cost);
        let (name, upstream, attempts) = (&stage.stage, &stage.upstream, stage.attempts);
        println!("{name:<10} {upstream:<16} {time:>9.1} {attempts:>9} {cost:>8.3}");
    }
}

/// Asks the daemons to drain and waits until they have ended by themselves.
async fn drain(daemons: &mut Processes) -> Result<()> {
    for child in &daemons.0 {
        Command::new("kill").arg(child.id().to_string()).status()?;
    }
    wait_for(DRAIN_PATIENCE, "the daemons have drained", async || {
        daemons.0.iter_mut().all(|child| matches!(child.try_wait(), Ok(Some(_))))
    })
    .await?;
    daemons.0.clear();
    println!("drained; nothing is left running");
    Ok(())
}
