//! `crocusdaled`: the daemon that accepts requests for model pipelines and routes their stages.

#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, Result};
use crocusdale_core::configuration::{
    LimitSettings, PlatformSettings, ProcessSettings, PublishedSettings,
};
use crocusdale_core::daemon::DaemonEvent;
use crocusdale_core::identity::InstanceId;
use crocusdale_core::membership::{MemberCapacity, MemberPlace};
use crocusdale_core::memory::MemoryPlan;
use crocusdale_core::{DaemonCoreBuilder, DiscoverySettings};
use crocusdale_platform::configuration::read_declarations;
use crocusdaled::engine::{DaemonEngine, MonotonicClock};
use crocusdaled::forwarding::{ForwardService, ReadyService};
use crocusdaled::http::HttpListenerBuilder;
use crocusdaled::memory::{CallerMemory, ConnectionTable, VmResources};
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

/// Time that callers' connections have to finish when the daemon stops on a platform that kills the
/// process soon after. All requests have been answered by then.
const PUBLISHED_FINISH_TIMEOUT: Duration = Duration::from_millis(300);
/// Exit code for invalid arguments or settings.
const USAGE_EXIT_CODE: u8 = 2;
/// Number of low bits of an incarnation that are random. The start time is above them.
const INCARNATION_RANDOM_BITS: u32 = 16;

fn main() -> ExitCode {
    let settings = match read_arguments() {
        Ok(Some(settings)) => settings,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusdaled: {error:#}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let runtime = match settings.threads {
        1 => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        threads => {
            let mut runtime = tokio::runtime::Builder::new_multi_thread();
            runtime.worker_threads(threads).enable_all().build()
        }
    };
    match runtime
        .context("can't start the worker threads")
        .and_then(|runtime| runtime.block_on(run(settings)))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusdaled: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the arguments and the settings file. Returns `None` if the process has nothing to run, as
/// with `--help`, `--version` or `--check`.
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
    let check_only = arguments.contains("--check");
    let path: PathBuf = arguments
        .value_from_str("--settings")
        .context("--settings FILE is required; see --help")?;
    let unknown = arguments.finish();
    anyhow::ensure!(unknown.is_empty(), "unknown arguments {unknown:?}; see --help");
    let name = path.display().to_string();
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("can't read settings file {name}"))?;
    let settings = ProcessSettings::check(&name, &text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("invalid settings\n{}", lines.join("\n"))
    })?;
    Ok((!check_only).then_some(settings))
}

async fn run(settings: ProcessSettings) -> Result<()> {
    let (log, _guard) = start_log(settings.log, &settings.vm);
    let peer_listener =
        PeerServer::bind(settings.peer).await.context("can't bind the address of [listen] peer")?;
    let limits = &settings.limits;
    let resources = VmResources::read(limits)?;
    let plan = MemoryPlan::new(resources.memory_bytes, resources.descriptors, limits);
    let callers = HttpListenerBuilder::default()
        .max_connections(plan.connections())
        .receive_bytes(limits.receive_bytes)
        .max_head_bytes(limits.head_bytes)
        .head_timeout(limits.head_timeout);
    let callers = match &settings.platform {
        PlatformSettings::Services { .. } => callers,
        PlatformSettings::Published(_) => callers.finish_timeout(PUBLISHED_FINISH_TIMEOUT),
    };
    let callers =
        callers.bind(settings.caller).await.context("can't bind the address of [listen] caller")?;
    let operator_listener = HttpListenerBuilder::default()
        .max_connections(plan.operator_connections())
        .receive_bytes(plan.lookup_receive_bytes());
    let operator_listener = operator_listener.bind(settings.operator).await;
    let operator_listener =
        operator_listener.context("can't bind the address of [listen] operator")?;

    slog::info!(log, "started";
        "version" => env!("CARGO_PKG_VERSION"), "zone" => &settings.zone,
        "caller" => settings.caller.to_string(), "peer" => settings.peer.to_string(),
        "memory_bytes" => resources.memory_bytes, "descriptors" => resources.descriptors,
        "connections" => plan.connections());
    let engine = start_engine(&settings, plan, log)?;
    let (stop_sender, stop_receiver) = watch::channel(false);
    tokio::spawn(PeerServer::new(Arc::clone(&engine)).serve(peer_listener));
    let router = OperatorService::new(Arc::clone(&engine)).router();
    let operators = connection_table(&engine, limits);
    tokio::spawn(operator_listener.serve(router, operators, stop_receiver.clone()));
    let router = match &settings.platform {
        PlatformSettings::Services { .. } => {
            CallerService::new(Arc::clone(&engine), limits).router()
        }
        PlatformSettings::Published(published) => {
            serve_address_listeners(&engine, published, limits, &stop_receiver).await?;
            ForwardService::new(Arc::clone(&engine), limits).router()
        }
    };
    let limits_engine = Arc::clone(&engine);
    let caller_limits = move || limits_engine.core.caller_limits();
    let memory = Arc::clone(engine.memory());
    let callers = callers.serve_callers(router, memory, stop_receiver, caller_limits);
    let callers = tokio::spawn(callers);

    tokio::spawn(drain_on_signal(Arc::clone(&engine)));
    engine.drained.notified().await;
    // The last answers may still be in the send buffers of their connections.
    stop_sender.send(true).context("can't signal the listeners to stop")?;
    let finished = callers.await.context("the task that serves callers failed");
    slog::info!(engine.telemetry.log, "stopped"; "whole" => finished.is_ok());
    finished
}

fn start_engine(
    settings: &ProcessSettings,
    plan: MemoryPlan,
    log: slog::Logger,
) -> Result<Arc<DaemonEngine>> {
    let clock = MonotonicClock::start();
    let instance = InstanceId::new(settings.vm.clone(), incarnation()?);
    let core = DaemonCoreBuilder::new(instance, settings.zone.clone())
        .requests(settings.limits.requests)
        .membership(settings.membership)
        .scheduling(settings.scheduling)
        .seed(rand::random());
    let (core, platform) = match &settings.platform {
        PlatformSettings::Services { configuration, vm_list, vm_list_period } => {
            let reader = ServiceReader::new(*configuration, *vm_list)?;
            (core.vm_list_interval(*vm_list_period), PlatformReader::Services(reader))
        }
        PlatformSettings::Published(published) => {
            let reader = StoreReader::new(published.store);
            (core.discovery(discovery_settings(settings, published)), PlatformReader::Store(reader))
        }
    };
    let core = core.build(clock.now());
    let telemetry = Arc::new(Telemetry::new(log));
    let progress = settings.limits.progress;
    let memory = CallerMemory::new(plan, progress, clock, Arc::clone(&telemetry));
    Ok(DaemonEngine::start(core, clock, telemetry, memory, platform))
}

fn discovery_settings(
    settings: &ProcessSettings,
    published: &PublishedSettings,
) -> DiscoverySettings {
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

/// Serves the listeners for callers that look up daemon addresses, and for readiness probes of the
/// platform.
async fn serve_address_listeners(
    engine: &Arc<DaemonEngine>,
    published: &PublishedSettings,
    limits: &LimitSettings,
    stop_receiver: &watch::Receiver<bool>,
) -> Result<()> {
    let plan = engine.memory().plan();
    let listeners = [
        (published.readiness, "readiness", plan.operator_connections()),
        (published.addresses, "addresses", plan.lookup_connections()),
    ];
    for (address, key, max_connections) in listeners {
        let listener = HttpListenerBuilder::default()
            .max_connections(max_connections)
            .receive_bytes(plan.lookup_receive_bytes());
        let listener = listener.bind(address).await;
        let listener =
            listener.with_context(|| format!("can't bind the address of [listen] {key}"))?;
        let router = ReadyService::new(Arc::clone(engine)).router();
        let table = connection_table(engine, limits);
        tokio::spawn(listener.serve(router, table, stop_receiver.clone()));
    }
    Ok(())
}

/// Table for the connections of a listener.
fn connection_table(engine: &DaemonEngine, limits: &LimitSettings) -> Arc<ConnectionTable> {
    ConnectionTable::new(engine.clock, limits.progress, Arc::clone(&engine.telemetry))
}

/// Returns the incarnation number of this process. Later starts on a VM get higher numbers, and the
/// random bits make two starts in one millisecond differ.
fn incarnation() -> Result<u64> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("the system clock is set before 1970")?;
    let millis = u64::try_from(since_epoch.as_millis())
        .context("the system clock exceeds 64 bits of milliseconds since 1970")?;
    Ok((millis << INCARNATION_RANDOM_BITS) | u64::from(rand::random::<u16>()))
}

async fn drain_on_signal(engine: Arc<DaemonEngine>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            // SIGHUP reloads nothing. The settings hold addresses, which can't change while the
            // process runs, and all that may change is read from the platform.
            _ = reload.recv() => {
                slog::info!(engine.telemetry.log, "settings_kept"; "cause" => "SIGHUP");
                continue;
            }
        }
        engine.handle_event(DaemonEvent::DrainRequested);
    }
}
