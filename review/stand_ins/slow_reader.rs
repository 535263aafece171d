//! A daemon gets SIGTERM while clients still read answers that its worker has finished.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{Hosts, daemons, limit_receive_buffer, start_all, zone};
use crate::http::{Connection, answer};
use crate::store::Store;
use crate::{Record, Setup, Verdict};

/// Size of an answer.
const ANSWER_BYTES: usize = 15_000_000;
/// Speed at which a client reads, in bytes a second.
const READ_SPEED: f64 = 1_500_000.0;
/// Number of clients.
const CLIENTS: usize = 3;
/// Time from the first byte of the answers to SIGTERM.
const SIGTERM_AFTER: Duration = Duration::from_millis(300);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time after `graceS` until which an end counts as one around planned work.
const PLANNED_MARGIN: Duration = Duration::from_secs(1);
/// Time that a client gives its request: its own deadline and the timeout of the route.
const DEADLINE_MS: u64 = 20_000;

pub fn play(setup: &Setup) -> Verdict {
    let mut hosts = Hosts::new();
    let store_address = SocketAddr::from((hosts.next(), 8624));
    let store = Store::start(store_address);
    store.write(
        "op/config",
        Some(&format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-copy\",\"host\":\"copy.example\",\
             \"prefix\":\"/copy/\",\"routeType\":\"safe\",\"timeoutMs\":{DEADLINE_MS},\
             \"targetLatencyMs\":10000,\"priority\":1,\"service\":\"portal\",\"maxAttempts\":2,\
             \"stages\":[],\"public\":false,\"affinity\":false,\"resumable\":false}}],\
             \"services\":[{{\"name\":\"portal\",\"healthPath\":\"/healthz\",\"maxConns\":96,\
             \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"letters\",\"apiKeys\":[\"key-of-letters\"]}}]}}"
        )),
    );
    let runs = Arc::new(AtomicUsize::new(0));
    for index in 0..3 {
        let address = SocketAddr::from((hosts.next(), 8080));
        let id = format!("i-portal-{index}");
        start_worker(address, &id, Arc::clone(&runs), Arc::clone(&setup.record));
        store.write(
            &format!("servers/{id}"),
            Some(&format!(
                "{{\"service\":\"portal\",\"address\":\"{address}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seqNo\":1}}",
                zone(index)
            )),
        );
    }
    let mut fleet = daemons(3, &mut hosts, store_address, &setup.directory);
    start_all(&mut fleet)?;
    let caller = fleet[0].caller();
    setup
        .record
        .line(&format!("{CLIENTS} clients read {ANSWER_BYTES} bytes each at {READ_SPEED} B/s"));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            setup.record.line(&format!("copy{index} is sent to entry-0"));
            std::thread::spawn(move || read_slowly(caller, &format!("copy{index}")))
        })
        .collect();
    std::thread::sleep(SIGTERM_AFTER);
    let term_at = Instant::now();
    if setup.trouble {
        setup.record.line("SIGTERM to entry-0, whose worker has finished all answers");
        fleet[0].terminate();
    }
    let ended_after = loop {
        if fleet[0].has_ended() {
            break Some(term_at.elapsed());
        }
        if clients.iter().all(|client| client.is_finished()) || term_at.elapsed() > GRACE {
            break None;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    if let Some(time) = ended_after {
        setup.record.line(&format!(
            "entry-0 ended by itself {:.2} s after SIGTERM, graceS is {} s",
            time.as_secs_f64(),
            GRACE.as_secs()
        ));
    }
    let mut lost = 0;
    for client in clients {
        let end = client.join().map_err(|_| "a client failed".to_owned())??;
        setup.record.line(&end.text);
        if end.status != 200 {
            return Err("a client got no success".to_owned());
        }
        let seen_after = end.ended_at.saturating_duration_since(term_at);
        let is_planned = end.sent_at < term_at && seen_after <= GRACE + PLANNED_MARGIN;
        if is_planned && !end.is_complete {
            let seconds = seen_after.as_secs_f64();
            setup
                .record
                .line(&format!("LOST: cut, as its client sees {seconds:.2} s after SIGTERM"));
            lost += 1;
        }
    }
    let runs = runs.load(Ordering::Relaxed);
    setup
        .record
        .line(&format!("the workers ran {runs} requests to their end; {lost} answers were cut"));
    Ok(lost > 0)
}

/// Worker that answers at once with the whole body.
fn start_worker(address: SocketAddr, id: &str, runs: Arc<AtomicUsize>, record: Arc<Record>) {
    let listener = TcpListener::bind(address).expect("the worker's address is free");
    let id = id.to_owned();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs, record) = (id.clone(), Arc::clone(&runs), Arc::clone(&record));
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read_message() {
                    let bytes = if request.path() == "/healthz" {
                        answer("200 OK", &[("X-Instance-Id", &id)], b"")
                    } else if request.field("x-expect-instance") != id {
                        answer("421 Misdirected Request", &[("X-Instance-Id", &id)], b"")
                    } else {
                        runs.fetch_add(1, Ordering::Relaxed);
                        let fields = [
                            ("X-Attempt-Id", request.field("x-attempt-id")),
                            ("X-Response-Signature", "signed"),
                            ("Content-Type", "application/pdf"),
                        ];
                        answer("200 OK", &fields, &vec![b'p'; ANSWER_BYTES])
                    };
                    if connection.write(&bytes).is_err() {
                        return;
                    }
                    if request.path() != "/healthz" {
                        let attempt = request.field("x-attempt-id");
                        record.line(&format!("{id} has run {attempt} and sent its answer whole"));
                    }
                }
            });
        }
    });
}

/// What a client has seen.
struct ClientEnd {
    status: u16,
    sent_at: Instant,
    ended_at: Instant,
    is_complete: bool,
    text: String,
}

/// Sends a request and reads its answer no faster than [`READ_SPEED`].
fn read_slowly(caller: SocketAddr, attempt: &str) -> Result<ClientEnd, String> {
    let stream = TcpStream::connect(caller).map_err(|error| error.to_string())?;
    limit_receive_buffer(&stream, 65_536);
    let mut connection = Connection::new(stream);
    let request = format!(
        "GET /copy/7 HTTP/1.1\r\nHost: copy.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {DEADLINE_MS}\r\nX-Api-Key: key-of-letters\r\n\r\n"
    );
    let sent_at = Instant::now();
    connection.write(request.as_bytes()).map_err(|error| error.to_string())?;
    let head = connection.read_head().map_err(|error| error.to_string())?;
    let head = head.ok_or("the connection was closed without an answer")?;
    let length: usize = head.field("content-length").parse().unwrap_or(0);
    let (mut read, started) = (0, Instant::now());
    let mut fault = String::new();
    while read < length {
        let step = 20_000.min(length - read);
        match connection.read_exact(step) {
            Ok(bytes) => read += bytes.len(),
            Err(error) => {
                fault = format!(", then {error}");
                break;
            }
        }
        let due = Duration::from_secs_f64(read as f64 / READ_SPEED);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let (status, ended_at) = (head.status(), Instant::now());
    let text = format!(
        "{attempt}: status {status}, {read} of {length} bytes in {:.2} s{fault}",
        sent_at.elapsed().as_secs_f64()
    );
    let is_complete = read == length && length == ANSWER_BYTES;
    Ok(ClientEnd { status, sent_at, ended_at, is_complete, text })
}
