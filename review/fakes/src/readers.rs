//! Model workers that judge the inputs of requests, and the clients that send them.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Message, answer, read_chunk, read_head, read_message};
use crate::record::Record;
use crate::stages::{Piece, Results};

/// Events of each stream.
const EVENTS: usize = 4;

/// What model workers and clients have seen.
#[derive(Default)]
pub struct Seen {
    /// Requests that ran with inputs that are not exactly their own pieces.
    pub mixed: AtomicU64,
    pub runs: AtomicU64,
    /// Statuses of all answers, with the number of each.
    pub statuses: Mutex<HashMap<String, u64>>,
    /// Stage whose results a request needs, and the number of its pieces.
    phase: &'static str,
    pieces: usize,
}

impl Seen {
    pub fn new(phase: &'static str, pieces: usize) -> Self {
        Self { phase, pieces, ..Self::default() }
    }
}

/// Sends one request and reads its answer.
pub fn ask(caller: SocketAddr, attempt: &str, pieces: &str, key: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&caller, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let body = format!("packet of {attempt}");
    write!(
        stream,
        "POST /puxa400/{attempt} HTTP/1.1\r\nhost: mail.example\r\nx-attempt-id: {attempt}\r\n\
         x-model: m\r\nx-token-usage: 1460,80\r\nx-prefix-hash: 5c1e07a2:800,{attempt}:660\r\n\
         x-deadline-ms: 6000\r\nx-pieces: {pieces}\r\nx-piece-key: {key}\r\n\
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
pub fn start_reader(
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
        .filter(|piece| piece.request == attempt && piece.phase == seen.phase)
        .map(|piece| piece.segment.as_str())
        .collect();
    segments.sort_unstable();
    segments.dedup();
    let is_right = inputs.len() == seen.pieces && segments.len() == seen.pieces;
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
