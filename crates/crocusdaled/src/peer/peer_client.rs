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

use super::peer_call::{call, call_at};
use super::piece_client::send_pieces;
use super::unwanted_results::UnwantedResults;
use crate::engine::DaemonEngine;

/// Time that a peer has to answer a call.
const PATIENCE: Duration = Duration::from_millis(800);
/// Time that a peer has to answer a question whose asker's request waits for it.
const SHORT_PATIENCE: Duration = Duration::from_millis(300);
/// Time that a peer has to send its configuration.
const FETCH_PATIENCE: Duration = Duration::from_millis(1_500);
/// Pause after which a peer that owes an answer is asked for a sign of life, and the time that it
/// has for it. Together the time after which a dispatcher that is frozen or cut off is given up: short
/// against objectives of a second or two, and longer than a process may wait for its share of a core.
const LIFE_SIGN_PACE: Duration = Duration::from_millis(150);
/// See [`LIFE_SIGN_PACE`].
const LIFE_SIGN_PATIENCE: Duration = Duration::from_millis(200);
/// Times that a witness is told of an outcome before it is left without. With [`RECORD_PAUSE`] and
/// [`PATIENCE`] that is some nine seconds, longer than a peer may be silent and still count as one.
const RECORD_ATTEMPTS: u32 = 5;
/// Pause after the first attempt; it grows by as much after each further one.
const RECORD_PAUSE: Duration = Duration::from_millis(300);

/// Calls other daemons.
#[derive(Debug, Default)]
pub struct PeerClient {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
    unwanted: UnwantedResults,
}

impl PeerClient {
    /// Carries out a command that concerns a peer; the reply goes to the core.
    pub fn carry_out(&self, engine: &Arc<DaemonEngine>, command: Command) {
        let command = match command {
            Command::SendPieces { vm, order } => {
                send_pieces(engine, vm, *order);
                return;
            }
            Command::ReleaseRemoteResults { vm, pool, results } => {
                self.unwanted.send(engine, vm, pool, results);
                return;
            }
            command => command,
        };
        let engine = Arc::clone(engine);
        tokio::spawn(async move {
            match command {
                Command::SendHeartbeat { vm, message } => exchange(&engine, vm, *message).await,
                Command::PingSeed { address, message } => greet(&engine, address, *message).await,
                Command::FetchDirectory { vm, known } => fetch_directory(&engine, &vm, known).await,
                Command::FetchConfiguration { vm, known } => fetch(&engine, &vm, known).await,
                Command::RecordOutcome { .. } => record(&engine, command).await,
                Command::AskHolder { .. } => ask_holder(&engine, command).await,
                Command::AskWitness { .. } => register(&engine, command).await,
                _ => debug_assert!(false, "not a command about a peer"),
            }
        });
    }

    /// Unwanted results whose dispatchers are still to be told.
    pub(super) fn unwanted(&self) -> &UnwantedResults {
        &self.unwanted
    }

    pub(super) fn channel(&self, address: SocketAddr) -> Channel {
        let mut channels = lock(&self.channels);
        let connect = || {
            let endpoint = Endpoint::from_shared(format!("http://{address}"));
            let endpoint = endpoint.expect("an address makes a valid URI");
            endpoint
                .connect_timeout(SHORT_PATIENCE)
                .http2_keep_alive_interval(LIFE_SIGN_PACE)
                .keep_alive_timeout(LIFE_SIGN_PATIENCE)
                .tcp_nodelay(true)
                .connect_lazy()
        };
        channels.entry(address).or_insert_with(connect).clone()
    }

    /// Guards against a connection to a peer that went silent for good: after a call without an
    /// answer the next one opens a new connection.
    pub(super) fn forget(&self, address: SocketAddr) {
        lock(&self.channels).remove(&address);
    }
}

async fn exchange(engine: &Arc<DaemonEngine>, vm: String, message: ExchangeMessage) {
    let wire = crocusdale_schema::peer::ExchangeMessage::from(message);
    let sent = engine.now();
    let reply =
        call(engine, &vm, PATIENCE, |mut client| async move { client.exchange(wire).await });
    let message = reply.await.ok().and_then(|wire| ExchangeMessage::try_from(wire).ok());
    engine.feed(match message {
        // Another VM may have taken over the address since the list was read.
        Some(message) if message.sender.instance.vm == vm => {
            DaemonEvent::HeartbeatAnswered { message: Box::new(message), sent }
        }
        _ => DaemonEvent::HeartbeatFailed(vm),
    });
}

/// Exchanges heartbeats with whoever listens at the address of a seed.
async fn greet(engine: &Arc<DaemonEngine>, address: SocketAddr, message: ExchangeMessage) {
    let wire = crocusdale_schema::peer::ExchangeMessage::from(message);
    let sent = engine.now();
    let reply =
        call_at(engine, address, PATIENCE, |mut client| async move { client.exchange(wire).await });
    let message = reply.await.ok().and_then(|wire| ExchangeMessage::try_from(wire).ok());
    engine.feed(match message {
        Some(message) => DaemonEvent::HeartbeatAnswered { message: Box::new(message), sent },
        None => DaemonEvent::SeedPingFailed,
    });
}

async fn fetch_directory(engine: &Arc<DaemonEngine>, vm: &str, known: StorePosition) {
    let request = FetchDirectoryRequest { revision: known.revision, era: known.era };
    let reply = call(engine, vm, FETCH_PATIENCE, |mut client| async move {
        client.fetch_directory(request).await
    });
    let list = reply.await.ok().filter(|reply| reply.revision > 0).and_then(|reply| {
        let unreadable = |fault: &std::net::AddrParseError| {
            warn!(engine.telemetry.log, "directory_unreadable";
                "peer" => vm, "cause" => fault.to_string());
        };
        PeerDirectory::try_from(reply).inspect_err(unreadable).ok()
    });
    engine.feed(DaemonEvent::DirectoryFetched(list));
}

async fn fetch(engine: &Arc<DaemonEngine>, vm: &str, known: u64) {
    let request = FetchConfigurationRequest { known_revision: known };
    // Declarations are repetitive: compressed, a change costs a tenth of its text.
    let reply = call(engine, vm, FETCH_PATIENCE, |client| async move {
        client.accept_compressed(CompressionEncoding::Gzip).fetch_configuration(request).await
    });
    let fetched = reply.await.ok().filter(|reply| reply.revision > 0);
    engine
        .feed(DaemonEvent::ConfigurationFetched(fetched.map(|reply| (reply.revision, reply.text))));
}

async fn register(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::AskWitness { call: asker, witness, key, witnesses, is_tombstone: bury } = command
    else {
        return;
    };
    let (key, vms) = (Some(key.into()), witnesses.vms().to_vec());
    let reply =
        if bury {
            let request = BuryRequest { key, witnesses: vms };
            call(engine, &witness, SHORT_PATIENCE, |mut client| async move {
                client.bury(request).await
            })
            .await
        } else {
            let claimant = Some(engine.core.instance().clone().into());
            let request = ClaimRequest { key, claimant, witnesses: vms };
            call(engine, &witness, SHORT_PATIENCE, |mut client| async move {
                client.claim(request).await
            })
            .await
        };
    let reply = reply.ok().map(Into::into);
    engine.feed(DaemonEvent::WitnessReplied { call: asker, witness, reply });
}

/// Leaves an outcome with a witness, which may have to be told more than once.
///
/// Guards against a witness that does not answer just then: it is busy, or its connection has just
/// gone silent. One lost call would leave the key with a witness less until the key is forgotten,
/// and the answer with it once the holder ends. Writing an outcome twice changes nothing.
async fn record(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::RecordOutcome { witness, key, body } = command else { return };
    let holder = engine.core.instance();
    if witness == holder.vm {
        engine.core.record_outcome(&key, holder, &body, engine.now());
        return;
    }
    for attempt in 1..=RECORD_ATTEMPTS {
        let request = RecordOutcomeRequest {
            key: Some(key.clone().into()),
            holder: Some(holder.clone().into()),
            outcome: Some(RecordedOutcome { body: body.to_vec() }),
        };
        let reply = call(engine, &witness, PATIENCE, |mut client| async move {
            client.record_outcome(request).await
        });
        if reply.await.is_ok() {
            return;
        }
        tokio::time::sleep(RECORD_PAUSE * attempt).await;
    }
    engine.telemetry.count(CounterName::OutcomesUnrecorded);
    warn!(engine.telemetry.log, "outcome_unrecorded"; "witness" => witness, "key" => key.to_string(),
        "attempts" => RECORD_ATTEMPTS);
}

async fn ask_holder(engine: &Arc<DaemonEngine>, command: Command) {
    let Command::AskHolder { call: asker, key, holder } = command else { return };
    let vm = holder.vm.clone();
    let request = AskOutcomeRequest { key: Some(key.into()), holder: Some(holder.into()) };
    let reply =
        call(
            engine,
            &vm,
            SHORT_PATIENCE,
            |mut client| async move { client.ask_outcome(request).await },
        );
    let reply = reply.await.ok().map(Into::into);
    engine.feed(DaemonEvent::HolderReplied { call: asker, reply });
}
