//! Cases: model workers answer without a length at times, and are replaced or crash.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::daemons::{Bounds, Daemons};
use crate::http::{answer, read_chunk, read_head, read_message};
use crate::record::{Random, Record, lock};
use crate::stages::entry;
use crate::store::Store;

/// What the cases of this file differ in.
#[derive(Clone, Copy)]
struct Setting {
    /// Events of a whole stream.
    events: usize,
    request_interval: Duration,
}

/// Planned exits.
const EXIT: Setting = Setting { events: 100, request_interval: Duration::from_millis(10) };
/// A frozen daemon.
const FROZEN: Setting = Setting { events: 60, request_interval: Duration::from_millis(8) };
const ZONES: [&str; 3] = ["toledo-hall", "erie-hall", "huron-hall"];
const READERS: usize = 18;
/// Readers whose answers come without a length at times: half of them.
const UNSOUND: usize = 9;
/// One answer in this many of theirs comes without a length, at these times.
const ONE_IN: usize = 20;
/// Readers that are replaced, one after the other: a share of 0.28.
const REPLACED: usize = 5;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a reader serves on after the store has its leaving notice: `drainMs` and a little.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// How long some answers of half of the readers come without a length, each time.
const UNFRAMED: Duration = Duration::from_millis(5_000);
/// Pause before these answers come again.
const PAUSE: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct Seen {
    /// Streams that ended as complete before their last event.
    short: AtomicU64,
    served: AtomicU64,
    ends: Mutex<HashMap<String, u64>>,
}

/// A reader in a process of its own, which ends when its standard input does.
struct Reader {
    id: String,
    address: SocketAddr,
    process: Child,
}

impl Reader {
    /// Starts a process that listens on `port`, or on a free one if that is 0.
    fn start(id: &str, port: u16, events: usize) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let program = std::env::current_exe().map_err(text)?;
        let mut command = Command::new(program);
        command
            .args(["reader-process", &format!("{id}:{port}:{events}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = command.spawn().map_err(text)?;
        let mut line = String::new();
        let output = process.stdout.take().ok_or("no output of the reader")?;
        BufReader::new(output).read_line(&mut line).map_err(text)?;
        let address = line.trim().parse().map_err(|_| format!("no address in {line:?}"))?;
        Ok(Self { id: id.to_owned(), address, process })
    }

    /// Sends one answer in `one_in` without a length from now on, or none if that is 0.
    fn set_unframed(&mut self, one_in: usize) {
        if let Some(input) = &mut self.process.stdin {
            let _ = writeln!(input, "{one_in}");
        }
    }

    /// Ends the process, as it does at the end of a planned shutdown.
    fn exit(&mut self) {
        drop(self.process.stdin.take());
        let _ = self.process.wait();
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn run(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let seen = Arc::new(Seen::default());
    let store = Store::start().map_err(|error| error.to_string())?;
    store.write("op/config", Some(CONFIGURATION.to_owned()));
    let mut readers = Vec::new();
    for index in 0..READERS {
        readers.push(add_reader(&store, index, &EXIT)?);
    }
    let bounds = Bounds { retry_reserve: 52 };
    let daemons = Daemons::start(program, folder, store.address, &ZONES, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(callers, &seen, record, &is_over, &EXIT);
    std::thread::sleep(Duration::from_secs(4));
    for index in 0..REPLACED {
        set_unframed(&mut readers[..UNSOUND], ONE_IN, record);
        std::thread::sleep(UNFRAMED);
        set_unframed(&mut readers[..UNSOUND], 0, record);
        if trouble {
            readers.push(add_reader(&store, READERS + index, &EXIT)?);
            std::thread::sleep(PAUSE / 4);
            publish(&store, &readers[index], index, "draining", 2);
            record.line(format_args!("{} is draining, the store has it", readers[index].id));
            std::thread::sleep(SERVES_ON);
            readers[index].exit();
            record.line(format_args!("the process of {} has ended", readers[index].id));
            store.write(&format!("servers/{}", readers[index].id), None);
        }
        std::thread::sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    verdict(&seen, record)
}

fn set_unframed(readers: &mut [Reader], one_in: usize, record: &Record) {
    for reader in readers.iter_mut() {
        reader.set_unframed(one_in);
    }
    match one_in {
        0 => record.line("all answers have chunks again"),
        _ => record.line(format_args!(
            "one answer in {one_in} of {} readers comes without a length",
            readers.len()
        )),
    }
}

/// Number of rounds in which a daemon is frozen, and the time between the starts of two.
const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_secs(10);
/// Readers that crash in a round: a share of 0.22.
const CRASHED: usize = 4;

/// Case: a daemon is frozen, and meanwhile a worker crashes and starts again at its address.
pub fn run_frozen(
    program: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> Result<bool, String> {
    let seen = Arc::new(Seen::default());
    let store = Store::start().map_err(|error| error.to_string())?;
    store.write("op/config", Some(CONFIGURATION.to_owned()));
    let mut readers = Vec::new();
    for index in 0..READERS {
        readers.push(add_reader(&store, index, &FROZEN)?);
    }
    let (bounds, zones) = (Bounds { retry_reserve: 52 }, [ZONES, ZONES].concat());
    let daemons = Daemons::start(program, folder, store.address, &zones, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(callers, &seen, record, &is_over, &FROZEN);
    std::thread::sleep(Duration::from_secs(3));
    for round in 0..ROUNDS {
        set_unframed(&mut readers[..UNSOUND], ONE_IN, record);
        std::thread::sleep(UNFRAMED);
        set_unframed(&mut readers[..UNSOUND], 0, record);
        if trouble {
            frozen_round(&store, &daemons, &mut readers, round, record)?;
        } else {
            std::thread::sleep(ROUND - UNFRAMED);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    verdict(&seen, record)
}

fn frozen_round(
    store: &Store,
    daemons: &Daemons,
    readers: &mut [Reader],
    round: usize,
    record: &Record,
) -> Result<(), String> {
    let started = std::time::Instant::now();
    let until = |millis| {
        let end = Duration::from_millis(millis);
        std::thread::sleep(end.saturating_sub(started.elapsed()));
    };
    let daemon = round % daemons.all.len();
    daemons.signal(daemon, "STOP");
    record.line(format_args!("{} is frozen", daemons.all[daemon].name));
    until(500);
    let mut old_ids = Vec::new();
    for index in 0..CRASHED {
        let reader = &mut readers[(CRASHED * round + index) % UNSOUND];
        let _ = reader.process.kill();
        let _ = reader.process.wait();
        record.line(format_args!("{} has crashed", reader.id));
        old_ids.push(reader.id.clone());
    }
    until(2_500);
    for index in 0..CRASHED {
        let position = (CRASHED * round + index) % UNSOUND;
        let (new_id, port) =
            (format!("reader-{position}-{round}"), readers[position].address.port());
        readers[position] = Reader::start(&new_id, port, FROZEN.events)?;
        publish(store, &readers[position], position, "ready", 1);
        record.line(format_args!("{new_id} has started at the address of {}", old_ids[index]));
    }
    until(3_500);
    daemons.signal(daemon, "CONT");
    record.line(format_args!("{} goes on", daemons.all[daemon].name));
    // The entries of the crashed workers go after three heartbeat intervals of silence.
    until(500 + 3 * 1_200);
    for old_id in old_ids {
        store.write(&format!("servers/{old_id}"), None);
    }
    until(5_000);
    Ok(())
}

fn verdict(seen: &Seen, record: &Record) -> Result<bool, String> {
    let (short, served) = (seen.short.load(Ordering::Relaxed), seen.served.load(Ordering::Relaxed));
    record.report(format_args!("ends of streams: {:?}", lock(&seen.ends)));
    record.report(format_args!(
        "{served} streams came whole, {short} ended as complete before their last event"
    ));
    if short > 0 {
        return Ok(false);
    }
    if served < 50 { Err("too little was served".to_owned()) } else { Ok(true) }
}

fn add_reader(store: &Store, index: usize, setting: &Setting) -> Result<Reader, String> {
    let reader = Reader::start(&format!("reader-{index}"), 0, setting.events)?;
    publish(store, &reader, index, "ready", 1);
    Ok(reader)
}

fn publish(store: &Store, reader: &Reader, index: usize, state: &str, number: u64) {
    let zone = ZONES[index % ZONES.len()];
    let item = entry("reader", reader.address, zone, 96, state, number);
    store.write(&format!("servers/{}", reader.id), Some(item));
}

fn start_clients(
    callers: Vec<SocketAddr>,
    seen: &Arc<Seen>,
    record: &Record,
    is_over: &Arc<AtomicBool>,
    setting: &'static Setting,
) -> std::thread::JoinHandle<()> {
    let (seen, record, is_over) = (Arc::clone(seen), record.clone(), Arc::clone(is_over));
    std::thread::spawn(move || {
        let mut random = Random(0x5eed_0005);
        let mut calls = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            let caller = callers[random.below(callers.len() as u64) as usize];
            let attempt = format!("{:016x}", random.next());
            let (seen, record) = (Arc::clone(&seen), record.clone());
            calls.push(std::thread::spawn(move || {
                let end = ask(caller, &attempt, setting).unwrap_or_else(|error| error.to_string());
                match end.as_str() {
                    "whole" => drop(seen.served.fetch_add(1, Ordering::Relaxed)),
                    "complete, but short" => {
                        seen.short.fetch_add(1, Ordering::Relaxed);
                        record.report(format_args!(
                            "ORDER: the stream of request {attempt} ended as complete before its \
                             last event"
                        ));
                    }
                    _ => {}
                }
                record.line(format_args!("client: request {attempt}: {end}"));
                *lock(&seen.ends).entry(end).or_default() += 1;
            }));
            std::thread::sleep(setting.request_interval);
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Sends one request, reads its stream and tells how it ended.
fn ask(caller: SocketAddr, attempt: &str, setting: &Setting) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&caller, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(21)))?;
    write!(
        stream,
        "POST /tags/{attempt} HTTP/1.1\r\nhost: mail.example\r\nx-attempt-id: {attempt}\r\n\
         x-model: m\r\nx-token-usage: 543,280\r\nx-prefix-hash: 5c1e07{}:172,{attempt}:371\r\n\
         x-deadline-ms: 20000\r\nx-api-key: 9dnn2ctnfzs989anu6ws\r\ncontent-length: 4\r\n\r\npage",
        &attempt[..2]
    )?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else { return Ok("closed".to_owned()) };
    if head.status() != 200 {
        return Ok(format!("status {}", head.status()));
    }
    let mut text = String::new();
    loop {
        match read_chunk(&mut reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break,
            Err(_) => return Ok("cut".to_owned()),
        }
    }
    let ids: Vec<usize> =
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok()).collect();
    let is_whole = ids.iter().copied().eq(1..=setting.events);
    Ok(if is_whole { "whole" } else { "complete, but short" }.to_owned())
}

/// What a reader's process knows of itself.
struct Serving {
    id: String,
    events: usize,
    /// One answer in this many comes without a length, none if 0.
    one_in: AtomicUsize,
    answers: AtomicUsize,
}

/// Serves streams until standard input ends, which says how many answers come without a length.
/// `name` is the id, the port and the number of events.
pub fn serve_reader(name: &str) -> std::io::Result<()> {
    let mut parts = name.split(':');
    let mut part = || parts.next().unwrap_or_default();
    let (id, port, events) = (part().to_owned(), part(), part());
    let events = events.parse().unwrap_or(0);
    let listener = TcpListener::bind(format!("127.0.0.1:{port}"))?;
    println!("{}", listener.local_addr()?);
    std::io::stdout().flush()?;
    let (one_in, answers) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let serving = Arc::new(Serving { id, events, one_in, answers });
    let server = Arc::clone(&serving);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serving = Arc::clone(&server);
            std::thread::spawn(move || {
                let _ = serve_streams(stream, &serving);
            });
        }
    });
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line)? > 0 {
        serving.one_in.store(line.trim().parse().unwrap_or(0), Ordering::Relaxed);
        line.clear();
    }
    std::process::exit(0)
}

fn serve_streams(stream: TcpStream, serving: &Serving) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    while let Some(request) = read_message(&mut reader)? {
        let attempt = request.field("x-attempt-id").to_owned();
        let echo = ("x-attempt-id", attempt.as_str());
        if request.field("x-expect-instance") != serving.id {
            writer.write_all(&answer("421 Misdirected Request", &[echo], b""))?;
            continue;
        }
        if request.field("x-deadline-ms").is_empty() {
            writer.write_all(&answer("400 Bad Request", &[echo, ("x-not-executed", "1")], b""))?;
            continue;
        }
        let one_in = serving.one_in.load(Ordering::Relaxed);
        let is_unframed =
            one_in > 0 && (serving.answers.fetch_add(1, Ordering::Relaxed) + 1) % one_in == 0;
        let framing = if is_unframed { "connection: close" } else { "transfer-encoding: chunked" };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: {}\r\n\
             content-type: text/event-stream\r\n{framing}\r\n\r\n",
            serving.id
        )?;
        let last: usize = request.field("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=serving.events {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: tag {number}\n\n");
            if is_unframed {
                writer.write_all(event.as_bytes())?;
            } else {
                writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
        }
        if is_unframed {
            return Ok(());
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"tags","host":"mail.example","prefix":"/tags/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":1700,"priority":2,"service":"reader","maxAttempts":2,"stages":[],"public":false,"affinity":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"reader","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":567734,"kvTokenBytes":96256,"linkMbps":550000.0,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;
