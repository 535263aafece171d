//! All processes are killed while the store lists entries of another writer, whose keys hold spaces.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Daemon, Hosts, daemons, start_all, zone};
use crate::http::{Connection, answer};
use crate::store::Store;
use crate::{Record, Setup, Verdict};

/// Number of daemons, of workers and of entries of another writer.
const DAEMONS: usize = 6;
const WORKERS: usize = 37;
const FOREIGN_ENTRIES: usize = 20;
/// Items of a page of the store.
const PAGE_ITEMS: usize = 50;
/// Time of traffic before the kill.
const TIME_BEFORE: Duration = Duration::from_secs(8);
/// Time for which the processes are down.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// `recoverS` of the settings.
const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Time in which requests are judged after `recoverS`.
const JUDGED_TIME: Duration = Duration::from_secs(10);
/// Number of clients, each with one request at a time, and their pause between two requests.
const CLIENTS: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

/// Counts of requests that were sent and served in a span of time.
#[derive(Default)]
struct Tally {
    sent: AtomicUsize,
    served: AtomicUsize,
}

struct Traffic {
    record: Arc<Record>,
    registries: Vec<SocketAddr>,
    before: Tally,
    recovering: Tally,
    after: Tally,
    /// 0 before the kill, 1 until `recoverS` after it, 2 later.
    phase: AtomicUsize,
    ends: AtomicBool,
}

pub fn play(setup: &Setup) -> Verdict {
    let mut hosts = Hosts::new();
    let store_address = SocketAddr::from((hosts.next(), 8624));
    let store = Store::start_with_pages(store_address, PAGE_ITEMS);
    store.write("op/config", Some(CONFIGURATION));
    for index in 0..WORKERS {
        let address = SocketAddr::from((hosts.next(), 8080));
        let id = format!("i-{index:04x}");
        start_worker(address, &id, Arc::clone(&setup.record));
        store.write(
            &format!("servers/{id}"),
            Some(&format!(
                "{{\"service\":\"notify\",\"address\":\"{address}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":1}}",
                zone(index)
            )),
        );
    }
    let mut fleet = daemons(DAEMONS, &mut hosts, store_address, &setup.directory);
    start_all(&mut fleet)?;
    let traffic = Arc::new(Traffic {
        record: Arc::clone(&setup.record),
        registries: fleet.iter().map(Daemon::registry).collect(),
        before: Tally::default(),
        recovering: Tally::default(),
        after: Tally::default(),
        phase: AtomicUsize::new(0),
        ends: AtomicBool::new(false),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let traffic = Arc::clone(&traffic);
            std::thread::spawn(move || run_client(&traffic, index))
        })
        .collect();
    std::thread::sleep(TIME_BEFORE / 2);
    if setup.trouble {
        for index in 0..FOREIGN_ENTRIES {
            let key = format!("servers/probe {index:02}");
            store.write(&key, Some("{\"note\":\"written by another program\"}"));
        }
        setup.record.line(&format!(
            "another writer has written {FOREIGN_ENTRIES} entries, servers/probe 00 and so on"
        ));
    }
    std::thread::sleep(TIME_BEFORE / 2);
    traffic.phase.store(1, Ordering::Relaxed);
    for daemon in &mut fleet {
        daemon.kill();
    }
    setup.record.line("all processes are killed");
    std::thread::sleep(DOWN_TIME);
    for daemon in &mut fleet {
        daemon.start();
    }
    setup.record.line("all processes are started again");
    let back_at = Instant::now();
    std::thread::sleep(RECOVER_TIME);
    traffic.phase.store(2, Ordering::Relaxed);
    std::thread::sleep(JUDGED_TIME);
    traffic.ends.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client failed".to_owned())?;
    }
    let ready = fleet.iter().filter(|daemon| daemon.is_ready()).count();
    setup.record.line(&format!(
        "{ready} of {DAEMONS} daemons are ready {:.1} s after their start",
        back_at.elapsed().as_secs_f64()
    ));
    let share = |name: &str, tally: &Tally| {
        let (sent, served) =
            (tally.sent.load(Ordering::Relaxed), tally.served.load(Ordering::Relaxed));
        setup.record.line(&format!("{name}: {served} of {sent} requests served"));
        if sent < 10 { None } else { Some(served as f64 / sent as f64) }
    };
    let before = share("before the kill", &traffic.before);
    share("within recoverS", &traffic.recovering);
    let after = share("later than recoverS", &traffic.after);
    match (before, after) {
        (Some(before), Some(after)) if before >= 0.25 => Ok(after < 0.25),
        _ => Err("too few requests were sent, or too few served before the kill".to_owned()),
    }
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-due\",\"host\":\"mail.example\",\
    \"prefix\":\"/due/\",\"routeType\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":100,\
    \"priority\":0,\"service\":\"notify\",\"maxAttempts\":2,\"stages\":[],\"public\":false,\
    \"affinity\":false,\"resumable\":false}],\"services\":[{\"name\":\"notify\",\
    \"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"letters\",\"apiKeys\":[\"key-of-letters\"]}]}";

/// Worker that answers each request at once.
fn start_worker(address: SocketAddr, id: &str, record: Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    let id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, record) = (id.clone(), Arc::clone(&record));
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read_message() {
                    let bytes = if request.path() == "/healthz" {
                        answer("200 OK", &[("X-Instance-Id", &id)], b"")
                    } else if request.field("x-expect-instance") != id {
                        answer("421 Misdirected Request", &[("X-Instance-Id", &id)], b"")
                    } else {
                        let attempt = request.field("x-attempt-id");
                        record.line(&format!("{id} runs {attempt}"));
                        let fields =
                            [("X-Attempt-Id", attempt), ("X-Response-Signature", "signed")];
                        answer("200 OK", &fields, attempt.as_bytes())
                    };
                    if connection.write(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn run_client(traffic: &Traffic, index: usize) {
    let mut number = 0;
    while !traffic.ends.load(Ordering::Relaxed) {
        number += 1;
        let tally = match traffic.phase.load(Ordering::Relaxed) {
            0 => &traffic.before,
            1 => &traffic.recovering,
            _ => &traffic.after,
        };
        let attempt = format!("{index:02x}{number:06x}");
        tally.sent.fetch_add(1, Ordering::Relaxed);
        traffic.record.line(&format!("{attempt} is sent"));
        let end = send(traffic, &attempt, index + number);
        traffic
            .record
            .line(&format!("{attempt} ends: {}", end.as_ref().err().unwrap_or(&"200".into())));
        tally.served.fetch_add(usize::from(end.is_ok()), Ordering::Relaxed);
        std::thread::sleep(CLIENT_PAUSE);
    }
}

/// Asks up to three daemons where to connect, and sends one request there.
fn send(traffic: &Traffic, attempt: &str, draw: usize) -> Result<(), String> {
    let registries = &traffic.registries;
    let asked = (0..3).map(|step| registries[(draw + step * 5) % registries.len()]);
    let mut fault = String::new();
    for registry in asked {
        let query = "GET /-/resolve?name=mail.example&region=lakes&zone=toledo-hall HTTP/1.1\r\n\
                     Host: registry\r\nConnection: close\r\n\r\n";
        match call(registry, query, Duration::from_secs(1)) {
            Ok((200, body)) => {
                let addresses: Vec<SocketAddr> =
                    body.split('"').filter_map(|part| part.parse().ok()).collect();
                if let Some(address) = addresses.get(draw % addresses.len().max(1)) {
                    return send_to(*address, attempt);
                }
                fault = "an empty list of addresses".to_owned();
            }
            Ok((status, _)) => fault = format!("resolve answers {status}"),
            Err(error) => fault = format!("resolve fails: {error}"),
        }
    }
    Err(fault)
}

fn send_to(address: SocketAddr, attempt: &str) -> Result<(), String> {
    let request = format!(
        "GET /due/7 HTTP/1.1\r\nHost: mail.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 1500\r\nX-Api-Key: key-of-letters\r\nConnection: close\r\n\r\n"
    );
    match call(address, &request, Duration::from_millis(1_700)) {
        Ok((200, body)) if body == attempt => Ok(()),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(error) => Err(error.to_string()),
    }
}

fn call(address: SocketAddr, request: &str, timeout: Duration) -> std::io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut connection = Connection::new(stream);
    connection.write(request.as_bytes())?;
    let message = connection.read_message()?;
    let message = message.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    Ok((message.status(), String::from_utf8_lossy(&message.body).into_owned()))
}
