//! Case: stage workers send some answers a second time, late.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::daemons::{Bounds, Daemons};
use crate::http::{Message, answer, read_chunk, read_head, read_message};
use crate::record::{Random, Record, lock};
use crate::stages::{Piece, Results, SecondAnswers, StageRules, StageWorker, entry};
use crate::store::Store;

const ZONES: [&str; 3] = ["toledo-hall", "erie-hall", "huron-hall"];
/// Pieces of each request.
const PIECES: usize = 3;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(70);
/// Number of times that the disruption comes, how long it lasts, and the pause between.
const WAVES: u32 = 8;
const WAVE: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(2_500);
/// One answer in this many has a second copy: 3 in 100.
const ONE_IN: u64 = 34;
/// Events of each stream.
const EVENTS: usize = 4;

/// What model workers and clients have seen.
#[derive(Default)]
struct Seen {
    /// Requests that ran with inputs that are not exactly their own pieces.
    mixed: AtomicU64,
    runs: AtomicU64,
    served: AtomicU64,
    /// Statuses of all answers, with the number of each.
    statuses: Mutex<HashMap<String, u64>>,
}

pub fn run(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (results, seen) = (Arc::new(Results::default()), Arc::new(Seen::default()));
    let store = Store::start().map_err(text)?;
    let faults = Arc::new(SecondAnswers { one_in: ONE_IN, ..SecondAnswers::default() });
    store.write("op/config", Some(CONFIGURATION.to_owned()));
    let rules = StageRules {
        slots: 1,
        queue: 2,
        call: Duration::from_millis(200),
        item: Duration::from_micros(7_800),
        room_bytes: 50_000_000,
        result_bytes: 1_500_000,
        handle_life: Duration::from_secs(4),
    };
    for index in 0..5 {
        // Three of five workers have the fault.
        let own_faults = (index < 3).then(|| Arc::clone(&faults));
        let id = format!("scan-{index}");
        let worker = StageWorker::start(&id, rules, &results, own_faults, record).map_err(text)?;
        let zone = ZONES[index % ZONES.len()];
        store.write(&format!("servers/{id}"), Some(worker.entry("scan-intake", zone)));
    }
    for index in 0..6 {
        let id = format!("reader-{index}");
        let address = start_reader(&id, &results, &seen, record).map_err(text)?;
        let zone = ZONES[index % ZONES.len()];
        let item = entry("reader", address, zone, 96, "ready", 1);
        store.write(&format!("servers/{id}"), Some(item));
    }
    let bounds = Bounds { retry_reserve: 52 };
    let daemons = Daemons::start(program, folder, store.address, &ZONES, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(callers, &seen, record, &is_over);
    std::thread::sleep(Duration::from_secs(4));
    for wave in 0..WAVES {
        faults.is_on.store(trouble, Ordering::Relaxed);
        record.line(format_args!("wave {wave} begins (second answers: {trouble})"));
        std::thread::sleep(WAVE);
        faults.is_on.store(false, Ordering::Relaxed);
        record.line(format_args!("wave {wave} ends"));
        std::thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    std::thread::sleep(Duration::from_secs(3));
    let (runs, mixed) = (seen.runs.load(Ordering::Relaxed), seen.mixed.load(Ordering::Relaxed));
    let (served, sent) = (seen.served.load(Ordering::Relaxed), faults.sent.load(Ordering::Relaxed));
    record.report(format_args!("answers: {:?}", lock(&seen.statuses)));
    record.report(format_args!(
        "{runs} requests ran, {served} streams were served whole, {sent} answers of stage workers \
         came a second time, {mixed} requests ran with wrong inputs"
    ));
    if mixed > 0 {
        return Ok(false);
    }
    if served * 10 < runs * 8 || runs < 100 || (trouble && sent == 0) {
        return Err("too little was served, or no answer came a second time".to_owned());
    }
    Ok(true)
}

fn start_clients(
    callers: Vec<SocketAddr>,
    seen: &Arc<Seen>,
    record: &Record,
    is_over: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (seen, record, is_over) = (Arc::clone(seen), record.clone(), Arc::clone(is_over));
    std::thread::spawn(move || {
        let mut random = Random(0x5eed_0004);
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let caller = callers[random.below(callers.len() as u64) as usize];
            let attempt = format!("{:016x}", random.next());
            let (seen, record) = (Arc::clone(&seen), record.clone());
            calls.push(std::thread::spawn(move || {
                let status = ask(caller, &attempt).unwrap_or_else(|error| error.to_string());
                if status == "200 whole" {
                    seen.served.fetch_add(1, Ordering::Relaxed);
                }
                record.line(format_args!("client: request {attempt} ends: {status}"));
                *lock(&seen.statuses).entry(status).or_default() += 1;
            }));
            std::thread::sleep(REQUEST_INTERVAL);
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Sends one request and reads its answer.
fn ask(caller: SocketAddr, attempt: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&caller, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let body = format!("packet of {attempt}");
    write!(
        stream,
        "POST /puxa400/{attempt} HTTP/1.1\r\nhost: mail.example\r\nx-attempt-id: {attempt}\r\n\
         x-model: m\r\nx-token-usage: 1460,80\r\nx-prefix-hash: 5c1e07a2:800,{attempt}:660\r\n\
         x-deadline-ms: 6000\r\nx-pieces: {PIECES}\r\nx-piece-key: {attempt}\r\n\
         x-api-key: 9dnn2ctnfzs989anu6ws\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else { return Ok("closed".to_owned()) };
    if head.status() != 200 {
        return Ok(head.status().to_string());
    }
    let mut events = 0;
    while let Some(chunk) = read_chunk(&mut reader)? {
        events += String::from_utf8_lossy(&chunk).matches("id: ").count();
    }
    Ok(if events == EVENTS { "200 whole" } else { "200 short" }.to_owned())
}

/// Starts a model worker that judges the inputs of each request.
fn start_reader(
    id: &str,
    results: &Arc<Results>,
    seen: &Arc<Seen>,
    record: &Record,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, results, seen, record) =
        (id.to_owned(), Arc::clone(results), Arc::clone(seen), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, results) = (id.clone(), Arc::clone(&results));
            let (seen, record) = (Arc::clone(&seen), record.clone());
            std::thread::spawn(move || {
                let _ = serve_reader(stream, &id, &results, &seen, &record);
            });
        }
    });
    Ok(address)
}

fn serve_reader(
    stream: TcpStream,
    id: &str,
    results: &Results,
    seen: &Seen,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    while let Some(request) = read_message(&mut reader)? {
        let attempt = request.field("x-attempt-id").to_owned();
        let echo = ("x-attempt-id", attempt.as_str());
        if request.field("x-expect-instance") != id {
            writer.write_all(&answer("421 Misdirected Request", &[echo], b""))?;
            continue;
        }
        let not_run = [echo, ("x-not-executed", "1")];
        if request.field("x-inputs").is_empty() {
            writer.write_all(&answer("400 Bad Request", &not_run, b""))?;
            continue;
        }
        let handles: Vec<&str> = request.field("x-inputs").split(',').map(str::trim).collect();
        let inputs: Option<Vec<Piece>> = handles.iter().map(|each| results.fetch(each)).collect();
        let Some(inputs) = inputs else {
            record.line(format_args!("{id}: an input of request {attempt} is gone"));
            writer.write_all(&answer("409 Conflict", &not_run, b""))?;
            continue;
        };
        judge_inputs(id, &attempt, &request, &inputs, seen, record);
        stream_events(&mut writer, id, &attempt, &inputs)?;
    }
    Ok(())
}

/// Compares the inputs of a request with its own pieces.
fn judge_inputs(
    id: &str,
    attempt: &str,
    request: &Message,
    inputs: &[Piece],
    seen: &Seen,
    record: &Record,
) {
    seen.runs.fetch_add(1, Ordering::Relaxed);
    let mut segments: Vec<&str> = inputs
        .iter()
        .filter(|piece| piece.request == attempt && piece.phase == "0")
        .map(|piece| piece.segment.as_str())
        .collect();
    segments.sort_unstable();
    segments.dedup();
    let is_right = inputs.len() == PIECES && segments.len() == PIECES;
    record.line(format_args!("{id} runs request {attempt} with {}", request.field("x-inputs")));
    if !is_right {
        seen.mixed.fetch_add(1, Ordering::Relaxed);
        let pieces: Vec<String> = inputs
            .iter()
            .map(|piece| format!("{} {}.{}", piece.request, piece.phase, piece.segment))
            .collect();
        record.report(format_args!(
            "MIXED: {id} runs request {attempt} with inputs made for: {}",
            pieces.join(", ")
        ));
    }
}

fn stream_events(
    writer: &mut TcpStream,
    id: &str,
    attempt: &str,
    inputs: &[Piece],
) -> std::io::Result<()> {
    std::thread::sleep(Duration::from_millis(250));
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: {id}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )?;
    for number in 1..=EVENTS {
        let of = &inputs[(number - 1) % inputs.len()].request;
        let event = format!("id: {number}\ndata: summary of the pages of {of}\n\n");
        write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        std::thread::sleep(Duration::from_millis(40));
    }
    write!(writer, "0\r\n\r\n")
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"digest","host":"mail.example","prefix":"/puxa400/","routeType":"streaming","timeoutMs":6000,"targetLatencyMs":910,"priority":1,"service":"reader","maxAttempts":2,"stages":[{"service":"scan-intake","after":[],"byteCount":1500000}],"public":false,"affinity":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"reader","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":567734,"kvTokenBytes":96256,"linkMbps":550000.0,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"scan-intake","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"segments":{"slots":1,"queue":2,"batch":22,"callMs":200.0,"itemMs":7.8,"roomMb":50.0,"handleS":4.0,"linkMbps":10000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;
