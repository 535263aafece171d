use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crocusdale_core::daemon::{Command, CounterName, DaemonEvent};
use crocusdale_core::identity::StorePosition;
use crocusdale_core::membership::ExchangeMessage;
use crocusdale_core::routing::PeerDirectory;
use crocusdale_core::sync::lock;
use crocusdale_schema::peer::{
    AskOutcomeRequest, BuryRequest, ClaimRequest, FetchConfigurationRequest, FetchDirectoryRequest,
    RecordOutcomeRequest, RecordedOutcome,
};
use slog::warn;
use tonic::codec::CompressionEncoding;
use tonic::transport::{Channel, Endpoint};

use super::admission_client::{ask_admission, report_pool_status};
use super::peer_call::{call, call_at};
use super::piece_client::send_pieces;
use super::placement_client::place_request;
use super::placement_reports::PlacementReports;
use super::released_results::ReleasedResults;
use super::stream_client::{RecordQueue, find_stream};
use crate::engine::DaemonEngine;

/// Timeout of heartbeat exchanges and outcome records.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of claims, tombstones and outcome queries, for whose replies a caller's request waits.
/// Connecting to a peer has the same timeout.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a peer's reply with its configuration or upstream directory.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of HTTP/2 keepalive pings on a connection with an open call.
///
/// Together with [`KEEPALIVE_TIMEOUT`] this is the time after which a frozen or disconnected
/// dispatcher is given up. It is short compared to latency objectives of one or two seconds, and
/// longer than a process may have to wait for CPU time.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a peer has to answer a keepalive ping before its connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of attempts to record an outcome with a witness before giving up.
///
/// With [`RECORD_BACKOFF_STEP`] and [`CALL_TIMEOUT`] the attempts span some nine seconds. That is
/// longer than a peer may be silent and still count as a member.
const MAX_RECORD_ATTEMPTS: u32 = 5;
/// Backoff after the first failed attempt to record an outcome. It grows by the same amount with
/// each further attempt.
const RECORD_BACKOFF_STEP: Duration = Duration::from_millis(300);

/// gRPC client for calls to other daemons, with one channel for each address.
#[derive(Debug, Default)]
pub struct PeerClient {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    released_results: ReleasedResults,
    placement_reports: PlacementReports,
    stream_records: RecordQueue,
}

impl PeerClient {
    /// Executes a command that calls a peer, and passes the peer's reply to the core.
    pub fn execute(&self, engine: &Arc<DaemonEngine>, command: Command) {
        let command = match command {
            Command::SendPieces { vm, order } => {
                send_pieces(engine, vm, *order);
                return;
            }
            Command::ReleaseRemoteResults { vm, pool, results } => {
                self.released_results.enqueue(engine, vm, pool, results);
                return;
            }
            Command::ReportPlacement { vm, section, report } => {
                self.placement_reports.enqueue(engine, vm, section, *report);
                return;
            }
            Command::RecordStream { vm, record } => {
                self.stream_records.enqueue(engine, vm, *record);
                return;
            }
            command => command,
        };
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            match command {
                Command::SendHeartbeat { vm, message } => exchange(&engine, vm, *message).await,
                Command::PingSeed { address, message } => ping(&engine, address, *message).await,
                Command::FetchDirectory { vm, known } => fetch_directory(&engine, &vm, known).await,
                Command::FetchConfiguration { vm, known } => pull_config(&engine, &vm, known).await,
                Command::PlaceRequest { vm, request } => place_request(&engine, vm, request).await,
                Command::RecordOutcome { .. } => record_outcome(&engine, command).await,
                Command::AskHolder { .. } => ask_holder(&engine, command).await,
                Command::AskAdmission { vm, call, request } => {
                    ask_admission(&engine, vm, call, *request).await;
                }
                Command::ReportPoolStatus { vm, status } => {
                    report_pool_status(&engine, &vm, *status).await;
                }
                Command::FindStream { vm, call, key } => {
                    find_stream(&engine, vm, call, key).await;
                }
                Command::AskWitness { .. } => ask_witness(&engine, command).await,
                _ => debug_assert!(false, "the peer client accepts only commands that call a peer"),
            }
        });
    }

    /// Released results that have not yet been reported to their dispatchers.
    pub(super) fn released_results(&self) -> &ReleasedResults {
        &self.released_results
    }

    /// Reports that have not yet been sent to their placement coordinators.
    pub(super) fn placement_reports(&self) -> &PlacementReports {
        &self.placement_reports
    }

    /// Records of streams that have not yet been sent to their keepers.
    pub(super) fn stream_records(&self) -> &RecordQueue {
        &self.stream_records
    }

    pub(super) fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = lock(&self.channels);
        let connect = || {
            let endpoint = Endpoint::from_shared(format!("http://{address}"));
            let endpoint = endpoint.expect("a socket address always forms a valid URI");
            endpoint
                .connect_timeout(CLAIM_TIMEOUT)
                .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
                .keep_alive_timeout(KEEPALIVE_TIMEOUT)
                .tcp_nodelay(true)
                .connect_lazy()
        };
        channels.entry(address).or_insert_with(connect).clone()
    }

    /// Drops the channel to `address`, so that the next call opens a new connection.
    ///
    /// Guards against a connection that stays silent for good: without this, every later call
    /// to the peer would time out on it as well.
    pub(super) fn drop_channel(&self, address: SocketAddr) {
        lock(&self.channels).remove(&address);
    }
}

async fn exchange(engine: &Arc<DaemonEngine>, vm: String, message: ExchangeMessage) {
    let wire_message = crocusdale_schema::peer::ExchangeMessage::from(message);
    let sent = engine.now();
    let reply =
        call(
            engine,
            &vm,
            CALL_TIMEOUT,
            |mut client| async move { client.exchange(wire_message).await },
        );
    let message =
        reply.await.ok().and_then(|wire_message| ExchangeMessage::try_from(wire_message).ok());
    engine.handle_event(match message {
        // Another VM may have taken over the address since the VM list was read.
        Some(message) if message.sender.instance.vm == vm => {
            DaemonEvent::HeartbeatAnswered { message: Box::new(message), sent }
        }
        _ => DaemonEvent::HeartbeatFailed(vm),
    });
}

/// Exchanges heartbeats with whichever daemon listens at the address of a seed.
async fn ping(engine: &Arc<DaemonEngine>, address: SocketAddr, message: ExchangeMessage) {
    let wire_message = crocusdale_schema::peer::ExchangeMessage::from(message);
    let sent = engine.now();
    let reply = call_at(engine, address, CALL_TIMEOUT, |mut client| async move {
        client.exchange(wire_message).await
    });
    let message =
        reply.await.ok().and_then(|wire_message| ExchangeMessage::try_from(wire_message).ok());
    engine.handle_event(match message {
        Some(message) => DaemonEvent::HeartbeatAnswered { message: Box::new(message), sent },
        None => DaemonEvent::SeedPingFailed,
    });
}

async fn fetch_directory(engine: &Arc<DaemonEngine>, vm: &str, known: StorePosition) {
    let request = FetchDirectoryRequest { revision: known.revision, era: known.era };
    let reply = call(engine, vm, FETCH_TIMEOUT, |mut client| async move {
        client.fetch_directory(request).await
    });
    let directory = reply.await.ok().filter(|reply| reply.revision > 0).and_then(|reply| {
        let log_unreadable = |parse_error: &std::net::AddrParseError| {
            warn!(engine.telemetry.log, "directory_unreadable";
                "peer" => vm, "cause" => parse_error.to_string());
        };
        PeerDirectory::try_from(reply).inspect_err(log_unreadable).ok()
    });
    engine.handle_event(DaemonEvent::DirectoryFetched(directory));
}

async fn pull_config(engine: &Arc<DaemonEngine>, vm: &str, known: u64) {
    let request = FetchConfigurationRequest { known_revision: known };
    // Declarations are repetitive: gzip reduces the configuration text to a tenth of its size.
    let reply = call(engine, vm, FETCH_TIMEOUT, |client| async move {
        client.accept_compressed(CompressionEncoding::Gzip).fetch_configuration(request).await
    });
    let fetched = reply.await.ok().filter(|reply| reply.revision > 0);
    engine.handle_event(DaemonEvent::ConfigurationFetched(
        fetched.map(|reply| (reply.revision, reply.text)),
    ));
}

async fn ask_witness(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::AskWitness { call: call_id, witness, key, witnesses, is_tombstone: is_burial } =
        command
    else {
        return;
    };
    let (key, vms) = (Some(key.into()), witnesses.vms().to_vec());
    let reply =
        if is_burial {
            let request = BuryRequest { key, witnesses: vms };
            call(
                engine,
                &witness,
                CLAIM_TIMEOUT,
                |mut client| async move { client.bury(request).await },
            )
            .await
        } else {
            let claimant = Some(engine.core.instance().clone().into());
            let request = ClaimRequest { key, claimant, witnesses: vms };
            call(engine, &witness, CLAIM_TIMEOUT, |mut client| async move {
                client.claim(request).await
            })
            .await
        };
    let reply = reply.ok().map(Into::into);
    engine.handle_event(DaemonEvent::WitnessReplied { call: call_id, witness, reply });
}

/// Records an outcome with a witness, with retries.
///
/// Guards against a witness that is busy or whose connection has just gone silent. Without retries
/// one lost call would leave the key with one witness fewer until the key expires, and the answer
/// could be lost once the daemon that holds it ends. Recording is idempotent.
async fn record_outcome(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::RecordOutcome { witness, key, body } = command else { return };
    let holder = engine.core.instance();
    if witness == holder.vm {
        engine.core.record_outcome(&key, holder, &body, engine.now());
        return;
    }
    for attempt in 1..=MAX_RECORD_ATTEMPTS {
        let request = RecordOutcomeRequest {
            key: Some(key.clone().into()),
            holder: Some(holder.clone().into()),
            outcome: Some(RecordedOutcome { body: body.to_vec() }),
        };
        let reply = call(engine, &witness, CALL_TIMEOUT, |mut client| async move {
            client.record_outcome(request).await
        });
        if reply.await.is_ok() {
            return;
        }
        tokio::time::sleep(RECORD_BACKOFF_STEP * attempt).await;
    }
    engine.telemetry.count(CounterName::OutcomesUnrecorded);
    warn!(engine.telemetry.log, "outcome_unrecorded"; "witness" => witness, "key" => key.to_string(),
        "attempts" => MAX_RECORD_ATTEMPTS);
}

async fn ask_holder(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::AskHolder { call: call_id, key, holder } = command else { return };
    let vm = holder.vm.clone();
    let request = AskOutcomeRequest { key: Some(key.into()), holder: Some(holder.into()) };
    let reply =
        call(
            engine,
            &vm,
            CLAIM_TIMEOUT,
            |mut client| async move { client.ask_outcome(request).await },
        );
    let reply = reply.await.ok().map(Into::into);
    engine.handle_event(DaemonEvent::HolderReplied { call: call_id, reply });
}
