//! Case: clients omit the first of two stages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::daemons::{Bounds, Daemons};
use crate::json::Json;
use crate::readers::{Seen, ask, start_reader};
use crate::record::{Random, Record, lock};
use crate::stages::{ItemCheck, Results, StageRules, StageWorker, entry};
use crate::store::Store;

const ZONES: [&str; 3] = ["toledo-hall", "erie-hall", "huron-hall"];
const REQUESTS: u32 = 120;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Number of wrong orders that are shown on standard output too.
const SHOWN: u64 = 3;
/// Pieces of the second stage.
const PIECES: usize = 2;

/// Judges what stage workers are asked for.
#[derive(Default)]
struct Asked {
    pieces: AtomicU64,
    /// Pieces of the second stage that came with a key, which only the first stage has.
    unasked: AtomicU64,
    kinds: Mutex<HashMap<String, u64>>,
}

impl Asked {
    fn judge(&self, item: &Json, record: &Record) {
        self.pieces.fetch_add(1, Ordering::Relaxed);
        let field = |name: &str| item.get(name).map(|value| value.text().to_owned());
        let (request, phase) =
            (field("id").unwrap_or_default(), field("phase").unwrap_or_default());
        let (key, inputs) = (field("key"), item.get("inputs").map(|inputs| inputs.items().len()));
        let kind = format!(
            "stage {phase}, key {}, inputs {inputs:?}",
            match &key {
                None => "none",
                Some(key) if *key == client_key(&request) => "of the client",
                Some(_) => "not of the client",
            }
        );
        *lock(&self.kinds).entry(kind).or_default() += 1;
        if key.is_some_and(|key| phase != "0" || key != client_key(&request)) {
            let count = self.unasked.fetch_add(1, Ordering::Relaxed);
            let text = format!(
                "UNASKED: request {request} has the key {}, and a worker is asked for its piece: \
                 {item:?}",
                client_key(&request)
            );
            if count < SHOWN {
                record.report(format_args!("{text}"))
            } else {
                record.line(format_args!("{text}"))
            }
        }
    }
}

/// Key that the client of the request sends for its first stage.
fn client_key(request: &str) -> String {
    format!("scan-{request}")
}

pub fn run(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (results, asked) = (Arc::new(Results::default()), Arc::new(Asked::default()));
    let store = Store::start().map_err(text)?;
    store.write("op/config", Some(CONFIGURATION.to_owned()));
    for (service, room_bytes, result_bytes, item) in [
        ("scan-intake", 50_000_000, 8_000, Duration::from_micros(7_800)),
        ("forward-desk", 8_600_000, 60_000, Duration::from_micros(2_600)),
    ] {
        let rules = StageRules {
            slots: 1,
            queue: 2,
            call: Duration::from_millis(200),
            item,
            room_bytes,
            result_bytes,
            handle_life: Duration::from_secs(4),
        };
        for index in 0..5 {
            let (id, check) = (format!("{service}-{index}"), Arc::clone(&asked));
            let (item_record, zone) = (record.clone(), ZONES[index % ZONES.len()]);
            let check: ItemCheck = Box::new(move |item| check.judge(item, &item_record));
            let worker = StageWorker::start(&id, rules, &results, check, record);
            let worker = worker.map_err(text)?;
            store.write(&format!("servers/{id}"), Some(worker.entry(service, zone)));
        }
    }
    let seen = Arc::new(Seen::new("1", PIECES));
    for index in 0..6 {
        let id = format!("reader-{index}");
        let address = start_reader(&id, &results, &seen, record).map_err(text)?;
        let item = entry("reader", address, ZONES[index % ZONES.len()], 96, "ready", 1);
        store.write(&format!("servers/{id}"), Some(item));
    }
    let bounds = Bounds { retry_reserve: 52 };
    let daemons = Daemons::start(program, folder, store.address, &ZONES, bounds, record)?;
    let callers: Vec<SocketAddr> = daemons.all.iter().map(|daemon| daemon.caller).collect();
    std::thread::sleep(Duration::from_secs(4));
    send_requests(&callers, &seen, record, trouble);
    let (pieces, unasked) =
        (asked.pieces.load(Ordering::Relaxed), asked.unasked.load(Ordering::Relaxed));
    record.report(format_args!("answers: {:?}", lock(&seen.statuses)));
    record.report(format_args!(
        "{} requests ran, {} with wrong inputs",
        seen.runs.load(Ordering::Relaxed),
        seen.mixed.load(Ordering::Relaxed)
    ));
    record.report(format_args!("pieces asked for: {:?}", lock(&asked.kinds)));
    record.report(format_args!("{pieces} pieces were asked for, {unasked} with another key"));
    if unasked > 0 {
        return Ok(false);
    }
    let served = lock(&seen.statuses).get("200 whole").copied().unwrap_or_default();
    if pieces == 0 || served * 10 < u64::from(REQUESTS) * 8 {
        return Err("too little was served".to_owned());
    }
    Ok(true)
}

fn send_requests(callers: &[SocketAddr], seen: &Arc<Seen>, record: &Record, trouble: bool) {
    let mut random = Random(0x5eed_0006);
    let mut calls = Vec::new();
    for _ in 0..REQUESTS {
        let caller = callers[random.below(callers.len() as u64) as usize];
        let attempt = format!("{:016x}", random.next());
        let (seen, record) = (Arc::clone(seen), record.clone());
        let pieces = format!("{},{PIECES}", if trouble { 0 } else { 1 });
        calls.push(std::thread::spawn(move || {
            let status = ask(caller, &attempt, &pieces, &client_key(&attempt));
            let status = status.unwrap_or_else(|error| error.to_string());
            record.line(format_args!("client: request {attempt} ends: {status}"));
            *lock(&seen.statuses).entry(status).or_default() += 1;
        }));
        std::thread::sleep(REQUEST_INTERVAL);
    }
    for call in calls {
        let _ = call.join();
    }
}

const CONFIGURATION: &str = r#"{"version":3,"routes":[{"name":"sort","host":"mail.example","prefix":"/puxa400/","routeType":"streaming","timeoutMs":6000,"targetLatencyMs":1800,"priority":0,"service":"reader","maxAttempts":1,"stages":[{"service":"scan-intake","after":[],"byteCount":8000},{"service":"forward-desk","after":[0],"byteCount":60000}],"public":false,"affinity":true,"resumable":false,"gapTargetMs":250}],"services":[{"name":"reader","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":567734,"kvTokenBytes":96256,"linkMbps":550000.0,"stride":4,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"scan-intake","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"segments":{"slots":1,"queue":2,"batch":22,"callMs":200.0,"itemMs":7.8,"roomMb":50.0,"handleS":4.0,"linkMbps":10000}},{"name":"forward-desk","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"segments":{"slots":1,"queue":2,"batch":66,"callMs":200.0,"itemMs":2.6,"roomMb":8.6,"handleS":4.0,"linkMbps":10000}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}"#;
