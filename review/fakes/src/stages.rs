//! Stand-ins of workers that compute the pieces of stages, and the store of their results.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, json_answer, read_message};
use crate::json::Json;
use crate::record::{Record, lock};

/// What one result is: the piece of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    pub request: String,
    pub phase: String,
    pub segment: String,
}

#[derive(Clone)]
struct Kept {
    piece: Piece,
    until: Instant,
    bytes: u64,
}

/// Figures of a stage service.
#[derive(Clone, Copy)]
pub struct StageRules {
    pub slots: u32,
    pub queue: u32,
    pub call: Duration,
    pub item: Duration,
    pub room_bytes: u64,
    pub result_bytes: u64,
    pub handle_life: Duration,
}

/// All results that stage workers keep, by handle, and all that they ever made.
#[derive(Default)]
pub struct Results {
    kept: Mutex<HashMap<String, Kept>>,
    made: Mutex<HashMap<String, Piece>>,
    next: AtomicU64,
}

impl Results {
    /// The piece that `handle` stands for, if its maker still keeps it.
    pub fn fetch(&self, handle: &str) -> Option<Piece> {
        let kept = lock(&self.kept);
        kept.get(handle).filter(|kept| Instant::now() < kept.until).map(|kept| kept.piece.clone())
    }

    fn make(&self, address: SocketAddr, piece: Piece, rules: &StageRules) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let handle = format!("{address}/{:011x}", number.wrapping_mul(0x9e37_79b9_7f4a) >> 4);
        let until = Instant::now() + rules.handle_life;
        let kept = Kept { piece: piece.clone(), until, bytes: rules.result_bytes };
        lock(&self.kept).insert(handle.clone(), kept);
        lock(&self.made).insert(handle.clone(), piece);
        handle
    }

    fn free(&self, handle: &str) {
        lock(&self.kept).remove(handle);
    }

    fn used_bytes(&self, address: SocketAddr) -> u64 {
        let (kept, prefix) = (lock(&self.kept), format!("{address}/"));
        let now = Instant::now();
        let own =
            kept.iter().filter(|(handle, kept)| handle.starts_with(&prefix) && now < kept.until);
        own.map(|(_, kept)| kept.bytes).sum()
    }
}

/// Places of a worker: running calls and waiting ones.
#[derive(Default)]
struct Places {
    counts: Mutex<(u32, u32)>,
    changed: Condvar,
}

impl Places {
    /// Takes a place, or returns `false` if the queue is full.
    fn enter(&self, rules: &StageRules) -> bool {
        let mut counts = lock(&self.counts);
        if counts.0 >= rules.slots {
            if counts.1 >= rules.queue {
                return false;
            }
            counts.1 += 1;
            while counts.0 >= rules.slots {
                counts = self.changed.wait(counts).unwrap_or_else(|fault| fault.into_inner());
            }
            counts.1 -= 1;
        }
        counts.0 += 1;
        true
    }

    fn leave(&self) {
        lock(&self.counts).0 -= 1;
        self.changed.notify_all();
    }

    fn load(&self, rules: &StageRules) -> String {
        let counts = lock(&self.counts);
        format!("{},{},{}", counts.0, counts.1, rules.slots)
    }
}

/// Judges an item of a call for pieces.
pub type ItemCheck = Box<dyn Fn(&Json) + Send + Sync>;

/// One worker of a stage service.
pub struct StageWorker {
    pub id: String,
    pub address: SocketAddr,
    rules: StageRules,
    places: Places,
    results: Arc<Results>,
    check: ItemCheck,
    record: Record,
}

impl StageWorker {
    pub fn start(
        id: &str,
        rules: StageRules,
        results: &Arc<Results>,
        check: ItemCheck,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            rules,
            places: Places::default(),
            results: Arc::clone(results),
            check,
            record: record.clone(),
        });
        let server = Arc::clone(&worker);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = Arc::clone(&server);
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if writer.write_all(&self.respond(&request)).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let load = self.places.load(&self.rules);
        // Workers echo the id of an attempt, if the request has one.
        let echoed = request.field("x-attempt-id").to_owned();
        let mut fields = vec![("x-instance-load", load.as_str())];
        if !echoed.is_empty() {
            fields.push(("x-attempt-id", &echoed));
        }
        let expected = request.field("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return answer("421 Misdirected Request", &fields, b"");
        }
        match request.word(1) {
            "/-/report" => {
                let used = self.results.used_bytes(self.address);
                let free = self.rules.room_bytes.saturating_sub(used) / 1_000_000;
                json_answer(&fields, &format!("{{\"waiting\":0,\"busy\":false,\"freeMb\":{free}}}"))
            }
            "/healthz" => {
                fields.push(("x-instance-id", &self.id));
                answer("200 OK", &fields, b"")
            }
            "/-/stage-free" => {
                let document = Json::parse(&request.body_text()).unwrap_or(Json::Null);
                for handle in document.get("handles").map(Json::items).unwrap_or_default() {
                    self.results.free(handle.text());
                }
                json_answer(&fields, "{}")
            }
            "/-/stage-run" => self.run(request, fields),
            _ => answer("404 Not Found", &fields, b""),
        }
    }

    fn run(&self, request: &Message, mut fields: Vec<(&str, &str)>) -> Vec<u8> {
        if !self.places.enter(&self.rules) {
            fields.push(("x-not-executed", "1"));
            return answer("503 Service Unavailable", &fields, b"");
        }
        let document = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        let items = document.get("items").map(|items| items.items().to_vec()).unwrap_or_default();
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        std::thread::sleep(self.rules.call + self.rules.item * count);
        let mut answers = Vec::new();
        for item in &items {
            (self.check)(item);
            let field =
                |name| item.get(name).map(|value| value.text().to_owned()).unwrap_or_default();
            let piece =
                Piece { request: field("id"), phase: field("phase"), segment: field("segment") };
            let inputs = item.get("inputs").map(Json::items).unwrap_or_default();
            if inputs.iter().any(|handle| self.results.fetch(handle.text()).is_none()) {
                answers.push("{\"reason\":\"gone\"}".to_owned());
                continue;
            }
            let handle = self.results.make(self.address, piece.clone(), &self.rules);
            self.record.line(format_args!(
                "{} makes {handle} for request {} piece {}.{}",
                self.id, piece.request, piece.phase, piece.segment
            ));
            answers.push(format!("{{\"handle\":\"{handle}\"}}"));
        }
        self.places.leave();
        json_answer(&fields, &format!("{{\"items\":[{}]}}", answers.join(",")))
    }

    /// Entry of this worker in the store.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        entry(service, self.address, zone, self.rules.slots, "ready", 1)
    }
}

/// Entry of a worker in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    number: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\
         \"seqNo\":{number}}}"
    )
}
