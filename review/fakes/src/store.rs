//! Stand-in of the platform's store: one key, a range, and a watch.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, json_answer, read_message};
use crate::record::lock;

/// Longest page of a range.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Items {
    /// Value, revision of the last change, and revision of the creation. Deleted keys have no value.
    items: BTreeMap<String, (Option<String>, u64, u64)>,
    revision: u64,
}

/// Store that loses nothing and answers at once.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Items>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { shared: Arc::default(), address: listener.local_addr()? };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes `value` under `key`, or deletes the key.
    pub fn write(&self, key: &str, value: Option<String>) {
        let mut items = lock(&self.shared.0);
        items.revision += 1;
        let revision = items.revision;
        let created = items.items.get(key).map_or(revision, |(_, _, created)| *created);
        items.items.insert(key.to_owned(), (value, revision, created));
        drop(items);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let path = request.word(1).split('?').next().unwrap_or_default().to_owned();
            let bytes = match path.as_str() {
                "/-/kv-key" => self.key(&request),
                "/-/kv-range" => self.range(&request),
                "/-/kv-watch" => self.watch(&request),
                _ => answer("404 Not Found", &[], b""),
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn key(&self, request: &Message) -> Vec<u8> {
        let items = lock(&self.shared.0);
        let key = request.query("key").unwrap_or_default();
        match items.items.get(&key) {
            Some((Some(value), revision, created)) => {
                let item = item_json(&key, Some(value), *revision, *created);
                let body =
                    format!("{},\"storeRevision\":{}}}", &item[..item.len() - 1], items.revision);
                json_answer(&[], &body)
            }
            _ => answer("404 Not Found", &[], b""),
        }
    }

    fn range(&self, request: &Message) -> Vec<u8> {
        let items = lock(&self.shared.0);
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let matching: Vec<String> = items
            .items
            .iter()
            .filter(|(key, (value, ..))| {
                key.starts_with(&prefix) && **key > after && value.is_some()
            })
            .map(|(key, (value, revision, created))| {
                item_json(key, value.as_deref(), *revision, *created)
            })
            .collect();
        let has_more = matching.len() > PAGE_ITEMS;
        let page = matching[..matching.len().min(PAGE_ITEMS)].join(",");
        let revision = items.revision;
        json_answer(
            &[],
            &format!("{{\"items\":[{page}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}"),
        )
    }

    fn watch(&self, request: &Message) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut items = lock(&self.shared.0);
        loop {
            if after > items.revision {
                return answer("410 Gone", &[], b"");
            }
            let mut changed: Vec<(u64, String)> = items
                .items
                .iter()
                .filter(|(key, (_, revision, _))| key.starts_with(&prefix) && *revision > after)
                .map(|(key, (value, revision, created))| {
                    (*revision, item_json(key, value.as_deref(), *revision, *created))
                })
                .collect();
            changed.sort();
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let events: Vec<String> = changed.into_iter().map(|(_, event)| event).collect();
                let (events, revision) = (events.join(","), items.revision);
                return json_answer(
                    &[],
                    &format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                );
            }
            let waited = self.shared.1.wait_timeout(items, left);
            items = waited.map(|(items, _)| items).unwrap_or_else(|fault| fault.into_inner().0);
        }
    }
}

fn item_json(key: &str, value: Option<&str>, revision: u64, created: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let all = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for index in 0..4 {
            if index <= group.len() {
                let digit = (number >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
