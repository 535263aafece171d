//! `crocusdaled`: the daemon of crocusdale.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::{PlatformSettings, ProcessSettings, PublishedSettings};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::InstanceId;
use crocusdale_core::membership::{MemberCapacity, MemberPlace};
use crocusdale_core::{DaemonCoreBuilder, DiscoverySettings};
use crocusdale_platform::configuration::read_declarations;
use crocusdaled::engine::{DaemonEngine, MonotonicClock};
use crocusdaled::forwarding::{ForwardService, ReadyService};
use crocusdaled::http::HttpListenerBuilder;
use crocusdaled::peer::PeerServer;
use crocusdaled::platform::{PlatformReader, ServiceReader, StoreReader};
use crocusdaled::service::{CallerService, OperatorService};
use crocusdaled::telemetry::{Telemetry, start_log};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

const HELP: &str = "\
crocusdaled: the daemon of crocusdale

Usage: crocusdaled --settings FILE [--check]

Options:
  --settings FILE  process settings (INI)
  --check          check the settings and exit
  --help           print this text
  --version        print the version

Signals: SIGTERM and SIGINT drain the daemon; it exits when every request has ended.

Exit codes: 0 done, 1 failure while running, 2 bad arguments or settings
";

/// Time that connections have to finish at the end of a process that is killed soon after: its
/// answers have been given by then.
const PUBLISHED_FINISH_TIME: Duration = Duration::from_millis(300);
/// Exit code for bad arguments or settings.
const BAD_INPUT: u8 = 2;
/// Bits of an incarnation that are random, below the time of the start.
const RANDOM_BITS: u32 = 16;

fn main() -> ExitCode {
    let settings = match read_arguments() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusdaled: {error:#}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    let runtime = match settings.threads {
        1 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        threads => {
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(threads).enable_all().build()
        }
    };
    match runtime.context("starting threads").and_then(|runtime| runtime.block_on(run(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusdaled: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads arguments and settings; `None` if there is nothing left to do.
fn read_arguments() -> Result<Option<ProcessSettings>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(None);
    }
    if arguments.contains("--version") {
        println!("crocusdaled {}", env!("CARGO_PKG_VERSION"));
        return Ok(None);
    }
    let check = arguments.contains("--check");
    let path: PathBuf = arguments.value_from_str("--settings").context("see --help")?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}; see --help");
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path).with_context(|| format!("reading {name}"))?;
    let settings = ProcessSettings::check(&name, &text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("bad settings\n{}", lines.join("\n"))
    })?;
    Ok((!check).then_some(settings))
}

async fn run(settings: ProcessSettings) -> Result<()> {
    let (log, _guard) = start_log(settings.log, &settings.vm);
    let peers = PeerServer::bind(settings.peer).await.context("binding [listen] peer")?;
    let limits = &settings.limits;
    let callers = HttpListenerBuilder::default()
        .connections(limits.connections)
        .head_bytes(limits.head_bytes)
        .head_time(limits.head_timeout);
    let callers = match &settings.platform {
        PlatformSettings::Services { .. } => callers,
        PlatformSettings::Published(_) => callers.finish_time(PUBLISHED_FINISH_TIME),
    };
    let callers = callers.bind(settings.caller).await.context("binding [listen] caller")?;
    let operators = HttpListenerBuilder::default().bind(settings.operator).await;
    let operators = operators.context("binding [listen] operator")?;

    slog::info!(log, "started";
        "version" => env!("CARGO_PKG_VERSION"), "zone" => &settings.zone,
        "caller" => settings.caller.to_string(), "peer" => settings.peer.to_string());
    let engine = start_engine(&settings, log)?;
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(PeerServer::new(Arc::clone(&engine)).serve(peers));
    let router = OperatorService::new(Arc::clone(&engine)).router();
    tokio::spawn(operators.serve(router, stopped.clone()));
    let router = match &settings.platform {
        PlatformSettings::Services { .. } => {
            CallerService::new(Arc::clone(&engine), limits).router()
        }
        PlatformSettings::Published(published) => {
            serve_questions(&engine, published, &stopped).await?;
            ForwardService::new(Arc::clone(&engine), limits).router()
        }
    };
    let declaring = Arc::clone(&engine);
    let declared = move || declaring.core.caller_limits();
    let callers = tokio::spawn(callers.serve_within(router, stopped, declared));

    tokio::spawn(drain_on_signal(Arc::clone(&engine)));
    engine.drained.notified().await;
    // The last answers are still on their way out of their connections.
    stop.send(true).context("stopping the listeners")?;
    let finished = callers.await.context("finishing the connections of callers");
    slog::info!(engine.telemetry.log, "stopped"; "whole" => finished.is_ok());
    finished
}

fn start_engine(settings: &ProcessSettings, log: slog::Logger) -> Result<Arc<DaemonEngine>> {
    let clock = MonotonicClock::start();
    let instance = InstanceId::new(settings.vm.clone(), incarnation()?);
    let core = DaemonCoreBuilder::new(instance, settings.zone.clone())
        .requests(settings.limits.requests)
        .membership(settings.membership)
        .seed(rand::random());
    let (core, platform) = match &settings.platform {
        PlatformSettings::Services { configuration, vm_list, vm_list_period } => {
            let reader = ServiceReader::new(*configuration, *vm_list)?;
            (core.vm_list_interval(*vm_list_period), PlatformReader::Services(reader))
        }
        PlatformSettings::Published(published) => {
            let reader = StoreReader::new(published.store);
            (core.discovery(published_fleet(settings, published)), PlatformReader::Store(reader))
        }
    };
    let core = core.build(clock.now());
    Ok(DaemonEngine::start(core, clock, Telemetry::new(log), platform))
}

fn published_fleet(settings: &ProcessSettings, published: &PublishedSettings) -> DiscoverySettings {
    let place = MemberPlace {
        zone: settings.zone.clone(),
        caller: settings.caller,
        peer: settings.peer,
        capacity: MemberCapacity::new(settings.cpu_share, settings.link_mbps),
    };
    DiscoverySettings {
        place,
        regions: settings.regions.clone(),
        seeds: published.seeds.clone(),
        reader: read_declarations,
        retries: published.retries,
        grace: published.grace,
        cold_limits: published.cold_limits,
        bounds: published.bounds,
    }
}

/// Serves the questions of callers for addresses, and of the platform for readiness.
async fn serve_questions(
    engine: &Arc<DaemonEngine>,
    published: &PublishedSettings,
    stopped: &watch::Receiver<bool>,
) -> Result<()> {
    let places = [(published.readiness, "readiness"), (published.addresses, "addresses")];
    for (address, key) in places {
        let listener = HttpListenerBuilder::default().bind(address).await;
        let listener = listener.with_context(|| format!("binding [listen] {key}"))?;
        let router = ReadyService::new(Arc::clone(engine)).router();
        tokio::spawn(listener.serve(router, stopped.clone()));
    }
    Ok(())
}

/// Numbers this life of the process: later starts on a VM get higher numbers, and two starts in
/// one millisecond different ones.
fn incarnation() -> Result<u64> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).context("the clock is unset")?;
    let millis = u64::try_from(since_epoch.as_millis()).context("the clock is far off")?;
    Ok((millis << RANDOM_BITS) | u64::from(rand::random::<u16>()))
}

async fn drain_on_signal(engine: Arc<DaemonEngine>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            // Everything that may change while the process runs comes from the platform; the
            // settings name addresses, which stay for the life of the process.
            _ = reload.recv() => {
                slog::info!(engine.telemetry.log, "settings_kept"; "cause" => "SIGHUP");
                continue;
            }
        }
        engine.feed(DaemonEvent::DrainRequested);
    }
}
