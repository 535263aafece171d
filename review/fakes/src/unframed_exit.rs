//! Case: model workers answer without a length, and are replaced one after the other.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::daemons::{Bounds, Daemons};
use crate::http::{answer, read_chunk, read_head, read_message};
use crate::record::{Random, Record, lock};
use crate::stages::entry;
use crate::store::Store;

const ZONES: [&str; 3] = ["toledo-hall", "erie-hall", "huron-hall"];
const READERS: usize = 6;
/// Readers that are replaced: half of them.
const REPLACED: usize = 3;
/// Events of a whole stream, and the time between two.
const EVENTS: usize = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a reader serves on after the store has its leaving notice: `drainMs` and a little.
const SERVES_ON: Duration = Duration::from_millis(3_500);

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
    fn start(id: &str, port: u16) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let program = std::env::current_exe().map_err(text)?;
        let mut command = Command::new(program);
        command
            .args(["reader-process", &format!("{id}:{port}")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        let mut process = command.spawn().map_err(text)?;
        let mut line = String::new();
        let output = process.stdout.take().ok_or("no output of the reader")?;
        BufReader::new(output).read_line(&mut line).map_err(text)?;
        let address = line.trim().parse().map_err(|_| format!("no address in {line:?}"))?;
        Ok(Self { id: id.to_owned(), address, process })
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
        readers.push(add_reader(&store, index)?);
    }
    let bounds = Bounds { retry_reserve: 52 };
    let daemons = Daemons::start(program, folder, store.address, &ZONES, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(callers, &seen, record, &is_over);
    std::thread::sleep(Duration::from_secs(8));
    for index in 0..REPLACED {
        if trouble {
            readers.push(add_reader(&store, READERS + index)?);
            std::thread::sleep(Duration::from_millis(500));
            publish(&store, &readers[index], index, "draining", 2);
            record.line(format_args!("{} is draining, the store has it", readers[index].id));
            std::thread::sleep(SERVES_ON);
            readers[index].exit();
            record.line(format_args!("the process of {} has ended", readers[index].id));
            store.write(&format!("servers/{}", readers[index].id), None);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    verdict(&seen, record)
}

/// Number of rounds in which a daemon is frozen, and the time between the starts of two.
const ROUNDS: usize = 4;
const ROUND: Duration = Duration::from_secs(12);

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
        readers.push(add_reader(&store, index)?);
    }
    let (bounds, zones) = (Bounds { retry_reserve: 52 }, [ZONES, ZONES].concat());
    let daemons = Daemons::start(program, folder, store.address, &zones, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(callers, &seen, record, &is_over);
    std::thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        if trouble {
            frozen_round(&store, &daemons, &mut readers, round, record)?;
        } else {
            std::thread::sleep(ROUND);
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
    let (daemon, reader) = (round % daemons.all.len(), round % READERS);
    daemons.signal(daemon, "STOP");
    record.line(format_args!("{} is frozen", daemons.all[daemon].name));
    until(500);
    let (old_id, address) = (readers[reader].id.clone(), readers[reader].address);
    let _ = readers[reader].process.kill();
    let _ = readers[reader].process.wait();
    record.line(format_args!("{old_id} has crashed"));
    until(2_500);
    let new_id = format!("reader-{reader}-{round}");
    readers[reader] = Reader::start(&new_id, address.port())?;
    publish(store, &readers[reader], reader, "ready", 1);
    record.line(format_args!("{new_id} has started at the address of {old_id}"));
    until(3_500);
    daemons.signal(daemon, "CONT");
    record.line(format_args!("{} goes on", daemons.all[daemon].name));
    // The entry of the crashed worker goes after three heartbeat intervals of silence.
    until(500 + 3 * 1_200);
    store.write(&format!("servers/{old_id}"), None);
    until(12_000);
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

fn add_reader(store: &Store, index: usize) -> Result<Reader, String> {
    let reader = Reader::start(&format!("reader-{index}"), 0)?;
    publish(store, &reader, index, "ready", 1);
    Ok(reader)
}

fn publish(store: &Store, reader: &Reader, index: usize, state: &str, number: u64) {
    let item = entry("reader", reader.address, ZONES[index % ZONES.len()], 96, state, number);
    store.write(&format!("servers/{}", reader.id), Some(item));
}

fn start_clients(
    callers: Vec<SocketAddr>,
    seen: &Arc<Seen>,
    record: &Record,
    is_over: &Arc<AtomicBool>,
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
                let end = ask(caller, &attempt).unwrap_or_else(|error| error.to_string());
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
            std::thread::sleep(REQUEST_INTERVAL);
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

/// Sends one request, reads its stream and tells how it ended.
fn ask(caller: SocketAddr, attempt: &str) -> std::io::Result<String> {
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
    let is_whole = ids.iter().copied().eq(1..=EVENTS);
    Ok(if is_whole { "whole" } else { "complete, but short" }.to_owned())
}

/// Serves streams without a length until standard input ends. `name` is the id and the port.
pub fn serve_reader(name: &str) -> std::io::Result<()> {
    let (id, port) = name.split_once(':').unwrap_or((name, "0"));
    let listener = TcpListener::bind(format!("127.0.0.1:{port}"))?;
    println!("{}", listener.local_addr()?);
    std::io::stdout().flush()?;
    let id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = id.clone();
            std::thread::spawn(move || {
                let _ = serve_stream(stream, &id);
            });
        }
    });
    let mut rest = String::new();
    while std::io::stdin().read_line(&mut rest)? > 0 {}
    std::process::exit(0)
}

fn serve_stream(stream: TcpStream, id: &str) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone()?), stream);
    while let Some(request) = read_message(&mut reader)? {
        let attempt = request.field("x-attempt-id").to_owned();
        let echo = ("x-attempt-id", attempt.as_str());
        if request.field("x-expect-instance") != id {
            writer.write_all(&answer("421 Misdirected Request", &[echo], b""))?;
            continue;
        }
        if request.field("x-deadline-ms").is_empty() {
            writer.write_all(&answer("400 Bad Request", &[echo, ("x-not-executed", "1")], b""))?;
            continue;
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-signature: {id}\r\n\
             content-type: text/event-stream\r\nconnection: close\r\n\r\n"
        )?;
        let last: usize = request.field("last-event-id").parse().unwrap_or(0);
        for number in last + 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            writer.write_all(format!("id: {number}\ndata: tag {number}\n\n").as_bytes())?;
        }
        return Ok(());
    }
    Ok(())
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"tags","host":"mail.example","prefix":"/tags/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":1700,"priority":2,"service":"reader","maxAttempts":2,"stages":[],"public":false,"affinity":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"reader","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":567734,"kvTokenBytes":96256,"linkMbps":550000.0,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;
