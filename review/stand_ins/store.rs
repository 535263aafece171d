//! Stand-in of the platform's store: range reads, reads of one key, and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};

/// Store with the value and revision of each key. A deleted key has no value.
#[derive(Default)]
pub struct Store {
    items: Mutex<(BTreeMap<String, (Option<String>, u64)>, u64)>,
    changed: Condvar,
    /// Largest number of items of a page.
    page_items: usize,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        Self::start_with_pages(address, 500)
    }

    pub fn start_with_pages(address: SocketAddr, page_items: usize) -> Arc<Self> {
        let store = Arc::new(Self { page_items, ..Self::default() });
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read_message() {
                        if connection.write(&store.serve(&request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes `key`, or deletes it if `value` is `None`.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut items = self.items.lock().unwrap();
        items.1 += 1;
        let revision = items.1;
        items.0.insert(key.to_owned(), (value.map(str::to_owned), revision));
        self.changed.notify_all();
    }

    fn serve(&self, request: &Message) -> Vec<u8> {
        match request.path() {
            "/-/kv-range" => self.range(request),
            "/-/kv-watch" => self.watch(request),
            "/-/kv-key" => self.key(request),
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn range(&self, request: &Message) -> Vec<u8> {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let items = self.items.lock().unwrap();
        let listed = items.0.iter().filter(|(key, (value, _))| {
            key.starts_with(&prefix) && **key > after && value.is_some()
        });
        let mut listed: Vec<String> =
            listed.map(|(key, (value, revision))| item(key, value.as_deref(), *revision)).collect();
        let has_more = listed.len() > self.page_items;
        listed.truncate(self.page_items);
        json(&format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{}}}",
            listed.join(","),
            items.1
        ))
    }

    fn key(&self, request: &Message) -> Vec<u8> {
        let key = request.query("key");
        let items = self.items.lock().unwrap();
        match items.0.get(&key) {
            Some((Some(value), revision)) => {
                let mut text = item(&key, Some(value), *revision);
                text.pop();
                json(&format!("{text},\"storeRevision\":{}}}", items.1))
            }
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn watch(&self, request: &Message) -> Vec<u8> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut items = self.items.lock().unwrap();
        loop {
            let events = items
                .0
                .iter()
                .filter(|(key, (_, revision))| key.starts_with(&prefix) && *revision > after);
            let mut events: Vec<(u64, String)> = events
                .map(|(key, (value, revision))| (*revision, item(key, value.as_deref(), *revision)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.sort();
                let events: Vec<String> = events.into_iter().map(|(_, event)| event).collect();
                return json(&format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    items.1
                ));
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn json(body: &str) -> Vec<u8> {
    answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\
             \"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
