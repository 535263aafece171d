//! Workers of a stage send a second answer where the next one is expected.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{Hosts, daemons, start_all, zone};
use crate::http::{Connection, Message, answer};
use crate::store::Store;
use crate::{Record, Setup, Verdict};

/// Number of workers of the stage, and of those that are faulty.
const STAGE_WORKERS: usize = 5;
const FAULTY_WORKERS: usize = 3;
/// Number of model workers.
const ENGINES: usize = 3;
/// One answer in this many of a faulty worker is sent twice.
const EXTRA_EVERY: u64 = 34;
/// Length of a disruption, and the time from one to the next.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const TROUBLE_INTERVAL: Duration = Duration::from_secs(9);
/// Number of disruptions.
const TROUBLES: u32 = 5;
/// Time that a call of the stage takes, and the time of each piece in it.
const CALL_TIME: Duration = Duration::from_millis(200);
const PIECE_TIME: Duration = Duration::from_millis(8);
/// Number of clients, each with one request at a time.
const CLIENTS: usize = 6;
/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
/// Number of events in a stream.
const EVENTS: usize = 5;

/// What the workers have made and run.
struct World {
    record: Arc<Record>,
    /// Request, stage and piece of each result, by its handle.
    makers: Mutex<HashMap<String, (String, u64, u64)>>,
    handles: AtomicU64,
    answers: AtomicU64,
    extras: AtomicU64,
    is_troubled: AtomicBool,
    runs: AtomicUsize,
    /// Requests that a model worker ran with results that were made for another request.
    mixed: Mutex<Vec<String>>,
    ends: AtomicBool,
}

pub fn play(setup: &Setup) -> Verdict {
    let mut hosts = Hosts::new();
    let store_address = SocketAddr::from((hosts.next(), 8624));
    let store = Store::start(store_address);
    store.write("op/config", Some(CONFIGURATION));
    let world = Arc::new(World {
        record: Arc::clone(&setup.record),
        makers: Mutex::default(),
        handles: AtomicU64::new(0),
        answers: AtomicU64::new(0),
        extras: AtomicU64::new(0),
        is_troubled: AtomicBool::new(false),
        runs: AtomicUsize::new(0),
        mixed: Mutex::default(),
        ends: AtomicBool::new(false),
    });
    for index in 0..STAGE_WORKERS + ENGINES {
        let address = SocketAddr::from((hosts.next(), 8080));
        let is_stage = index < STAGE_WORKERS;
        let (service, slots) = if is_stage { ("scan-intake", 1) } else { ("reader", 96) };
        let id = format!("i-{service}-{index}");
        let worker = Worker {
            id: id.clone(),
            address,
            is_faulty: index < FAULTY_WORKERS,
            is_stage,
            turn: Arc::default(),
            answered: Arc::default(),
            world: Arc::clone(&world),
        };
        worker.start();
        store.write(
            &format!("servers/{id}"),
            Some(&format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"seqNo\":1}}",
                zone(index)
            )),
        );
    }
    let mut fleet = daemons(3, &mut hosts, store_address, &setup.directory);
    start_all(&mut fleet)?;
    setup.record.line(&format!(
        "{CLIENTS} clients; {FAULTY_WORKERS} of {STAGE_WORKERS} workers of scan-intake send one \
         answer in {EXTRA_EVERY} twice, {TROUBLES} times for {} s",
        TROUBLE_TIME.as_secs()
    ));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (caller, world) = (fleet[index % fleet.len()].caller(), Arc::clone(&world));
            std::thread::spawn(move || run_client(caller, index, &world))
        })
        .collect();
    let started = Instant::now();
    for round in 0..TROUBLES {
        wait_until(started + TROUBLE_INTERVAL * round + Duration::from_secs(2));
        world.is_troubled.store(setup.trouble, Ordering::Relaxed);
        std::thread::sleep(TROUBLE_TIME);
        world.is_troubled.store(false, Ordering::Relaxed);
    }
    std::thread::sleep(Duration::from_secs(1));
    world.ends.store(true, Ordering::Relaxed);
    let (mut asked, mut answered) = (0, 0);
    for client in clients {
        let (sent, whole) = client.join().map_err(|_| "a client failed".to_owned())?;
        asked += sent;
        answered += whole;
    }
    let mixed = world.mixed.lock().unwrap();
    for line in mixed.iter() {
        setup.record.line(&format!("MIXED: {line}"));
    }
    setup.record.line(&format!(
        "{asked} requests sent, {answered} answered whole, {} run by model workers; {} calls of the \
         stage answered, {} of them twice; {} requests run with results of another request",
        world.runs.load(Ordering::Relaxed),
        world.answers.load(Ordering::Relaxed),
        world.extras.load(Ordering::Relaxed),
        mixed.len()
    ));
    if answered * 2 < asked || asked < 100 {
        return Err("too few requests were served".to_owned());
    }
    if setup.trouble && world.extras.load(Ordering::Relaxed) == 0 {
        return Err("no answer was sent twice".to_owned());
    }
    Ok(!mixed.is_empty())
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-sort\",\"host\":\"mail.example\",\
    \"prefix\":\"/sort/\",\"routeType\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":1800,\
    \"priority\":0,\"service\":\"reader\",\"maxAttempts\":2,\"stages\":[{\"service\":\"scan-intake\",\
    \"after\":[],\"byteCount\":8000}],\"public\":false,\"affinity\":true,\"resumable\":false,\
    \"gapTargetMs\":250}],\"services\":[{\"name\":\"reader\",\"healthPath\":\"/healthz\",\
    \"maxConns\":480,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":96,\"kvCapacity\":567734,\
    \"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"scan-intake\",\
    \"healthPath\":\"/healthz\",\"maxConns\":480,\"protocol\":\"h1\",\"tls\":false,\"segments\":{\
    \"slots\":1,\"queue\":2,\"batch\":22,\"callMs\":200.0,\"itemMs\":7.8,\"roomMb\":50.0,\
    \"handleS\":4.0,\"linkMbps\":10000}}],\"limits\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"letters\",\"apiKeys\":[\"key-of-letters\"]}]}";

/// A worker of the stage, or a model worker.
#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    is_faulty: bool,
    is_stage: bool,
    /// Held while a call is worked on: a stage worker has one slot.
    turn: Arc<Mutex<()>>,
    /// Answers to calls of the stage during disruptions.
    answered: Arc<AtomicU64>,
    world: Arc<World>,
}

impl Worker {
    fn start(self) {
        let listener = TcpListener::bind(self.address).expect("the worker's address is free");
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = self.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // Answer that is sent again where the next one is expected.
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read_message() {
            if let Some(bytes) = extra.take() {
                self.world.extras.fetch_add(1, Ordering::Relaxed);
                let path = request.path();
                self.world
                    .record
                    .line(&format!("{} repeats its last answer before {path}", self.id));
                if connection.write(&bytes).is_err() {
                    return;
                }
            }
            let bytes = self.answer(&request);
            if connection.write(&bytes).is_err() {
                return;
            }
            if request.path() == "/-/stage-run" && self.sends_extra() {
                extra = Some(bytes);
            }
        }
    }

    /// Counts an answer to a call of the stage. Returns whether it is sent twice.
    fn sends_extra(&self) -> bool {
        self.world.answers.fetch_add(1, Ordering::Relaxed);
        if !self.is_faulty || !self.world.is_troubled.load(Ordering::Relaxed) {
            return false;
        }
        (self.answered.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(EXTRA_EVERY)
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let json = ("Content-Type", "application/json");
        match request.path() {
            "/healthz" => answer("200 OK", &[("X-Instance-Id", &self.id)], b""),
            "/-/report" => {
                answer("200 OK", &[json], b"{\"waiting\":0,\"busy\":false,\"freeMb\":50}")
            }
            "/-/stage-free" => answer("200 OK", &[], b""),
            _ if request.field("x-expect-instance") != self.id => {
                answer("421 Misdirected Request", &[("X-Instance-Id", &self.id)], b"")
            }
            "/-/stage-run" if self.is_stage => {
                let body = self.run_stage(&String::from_utf8_lossy(&request.body));
                let mut fields = vec![json, ("X-Instance-Load", "0,0,1")];
                // Workers echo the id of a call, by which an extra answer is known, if it has one.
                let attempt = request.field("x-attempt-id");
                if !attempt.is_empty() {
                    fields.push(("X-Attempt-Id", attempt));
                }
                answer("200 OK", &fields, body.as_bytes())
            }
            _ => self.run_model(request),
        }
    }

    fn run_stage(&self, body: &str) -> String {
        let _turn = self.turn.lock().unwrap();
        let items: Vec<&str> = body.split("{\"id\":\"").skip(1).collect();
        std::thread::sleep(CALL_TIME + PIECE_TIME * items.len() as u32);
        let mut handles = Vec::new();
        for item in items {
            let request = item.split('"').next().unwrap_or_default().to_owned();
            let number = |name: &str| -> u64 {
                let rest = item.split_once(name).map_or("", |(_, rest)| rest);
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().unwrap_or(u64::MAX)
            };
            let made = (request, number("\"phase\":"), number("\"segment\":"));
            let count = self.world.handles.fetch_add(1, Ordering::Relaxed);
            let handle = format!("{}/{:x}", self.address, 0x5c1e_0000 + count);
            self.world.record.line(&format!("{} made {handle} for {}", self.id, made.0));
            self.world.makers.lock().unwrap().insert(handle.clone(), made);
            handles.push(format!("{{\"handle\":\"{handle}\"}}"));
        }
        format!("{{\"items\":[{}]}}", handles.join(","))
    }

    /// Runs a request. Its inputs must have been made for it.
    fn run_model(&self, request: &Message) -> Vec<u8> {
        let attempt = request.field("x-attempt-id");
        let inputs = request.field("x-inputs");
        if inputs.is_empty() {
            return answer("400 Bad Request", &[("X-Not-Executed", "1")], b"");
        }
        self.world.runs.fetch_add(1, Ordering::Relaxed);
        self.world.record.line(&format!("{} runs {attempt} with {inputs}", self.id));
        for handle in inputs.split(',') {
            let makers = self.world.makers.lock().unwrap();
            let made_for = makers.get(handle).map(|(request, ..)| request.as_str());
            if made_for != Some(attempt) {
                let made_for = made_for.unwrap_or("nobody");
                self.world.mixed.lock().unwrap().push(format!(
                    "{} ran {attempt} with the result {handle}, which was made for {made_for}",
                    self.id
                ));
            }
        }
        let events = (0..EVENTS).map(|id| format!("id: {id}\ndata: word {id} of {attempt}\n\n"));
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Signature: signed\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for event in events {
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        text.push_str("0\r\n\r\n");
        text.into_bytes()
    }
}

/// Sends one request after the other. Returns how many were sent, and how many answered whole.
fn run_client(caller: SocketAddr, index: usize, world: &World) -> (usize, usize) {
    let (mut sent, mut whole) = (0, 0);
    let mut kept: Option<Connection> = None;
    while !world.ends.load(Ordering::Relaxed) {
        sent += 1;
        let attempt = format!("{index:02x}{sent:06x}");
        let request = format!(
            "POST /sort/7 HTTP/1.1\r\nHost: mail.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Model: m\r\nX-Token-Usage: 1800,20\r\nX-Prefix-Hash: 5c1e07a2:568,{attempt}:1232\r\n\
             X-Pieces: 1\r\nX-Piece-Key: 7c1e{attempt}\r\nX-Deadline-Ms: 6000\r\n\
             X-Api-Key: key-of-letters\r\nContent-Length: 0\r\n\r\n"
        );
        world.record.line(&format!("client {index} sends {attempt}"));
        let connection =
            kept.take().or_else(|| TcpStream::connect(caller).ok().map(Connection::new));
        if let Some(mut connection) = connection
            && connection.write(request.as_bytes()).is_ok()
            && let Ok(Some(message)) = connection.read_message()
        {
            let body = String::from_utf8_lossy(&message.body).into_owned();
            let last = format!("data: word {} of {attempt}\n\n", EVENTS - 1);
            let is_whole = message.status() == 200 && body.ends_with(&last);
            let status = message.status();
            world
                .record
                .line(&format!("{attempt} is answered: status {status}, whole: {is_whole}"));
            whole += usize::from(is_whole);
            kept = Some(connection);
        }
        std::thread::sleep(CLIENT_PAUSE);
    }
    (sent, whole)
}

fn wait_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
