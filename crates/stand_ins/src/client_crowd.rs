use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};

/// Longest write that a client waits for before it keeps its connection as it is.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of bytes that a client passes to one write.
const MAX_WRITE_BYTES: usize = 256 << 10;
/// Pause between two looks of a client that holds its connection.
const HOLD_PAUSE: Duration = Duration::from_millis(20);

/// What a client of a crowd sends after its request line and header fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBody {
    /// Nothing: the head lacks its last line.
    UnfinishedHead,
    /// Nothing: the request has no body.
    Empty,
    /// A body with a length, of which only the first bytes are sent.
    Announced {
        /// Length that the head announces.
        announced: u64,
        /// Number of bytes that are sent.
        sent: u64,
        /// Number of bytes in each write.
        piece: usize,
    },
    /// A body in chunks.
    Chunked {
        /// Number of bytes in each chunk.
        chunk: usize,
        /// Number of bytes that are sent.
        sent: u64,
        /// Whether the last chunk, which ends the body, is sent.
        ends: bool,
    },
}

/// Clients that send requests over raw connections, read no answers, and stay connected.
#[derive(Debug)]
pub struct ClientCrowd {
    clients: Vec<JoinHandle<()>>,
    has_written: Vec<Arc<AtomicBool>>,
    is_leaving: Arc<AtomicBool>,
}

impl ClientCrowd {
    /// Connects one client for each head in `heads` to `address`. Each sends its head, to which the
    /// fields of the body and the empty line are added, and the body.
    #[must_use]
    pub fn connect(address: SocketAddr, heads: Vec<String>, body: CrowdBody) -> Self {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let (mut clients, mut has_written) = (Vec::new(), Vec::new());
        for head in heads {
            let (leaving, written) = (Arc::clone(&is_leaving), Arc::new(AtomicBool::new(false)));
            has_written.push(Arc::clone(&written));
            clients.push(std::thread::spawn(move || {
                let stream = TcpStream::connect(address);
                if let Ok(stream) = &stream {
                    // A daemon may close the connection of such a client at any time.
                    let _ = send(stream, &head, body, &leaving);
                }
                written.store(true, Ordering::Relaxed);
                while !leaving.load(Ordering::Relaxed) {
                    std::thread::sleep(HOLD_PAUSE);
                }
            }));
        }
        Self { clients, has_written, is_leaving }
    }

    /// Whether each client has sent all it has, or has failed to.
    #[must_use]
    pub fn has_written(&self) -> bool {
        self.has_written.iter().all(|written| written.load(Ordering::Relaxed))
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Sends one request like a client of a crowd, and returns the status line of the answer.
///
/// # Errors
///
/// Returns an error if the connection breaks or nothing arrives within `timeout`.
pub fn send_raw(
    address: SocketAddr,
    head: &str,
    body: CrowdBody,
    timeout: Duration,
) -> Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(timeout))?;
    send(&stream, head, body, &AtomicBool::new(false)).context("the request was not read")?;
    let mut answer = [0; 1_024];
    let count = stream.read(&mut answer).context("no answer arrived")?;
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

fn send(
    mut stream: &TcpStream,
    head: &str,
    body: CrowdBody,
    is_leaving: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    match body {
        CrowdBody::UnfinishedHead => stream.write_all(head.as_bytes()),
        CrowdBody::Empty => stream.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes()),
        CrowdBody::Announced { announced, sent, piece } => {
            stream.write_all(format!("{head}content-length: {announced}\r\n\r\n").as_bytes())?;
            send_repeated(stream, &vec![b'x'; piece], sent, is_leaving)
        }
        CrowdBody::Chunked { chunk, sent, ends } => {
            stream.write_all(format!("{head}transfer-encoding: chunked\r\n\r\n").as_bytes())?;
            let mut framed = format!("{chunk:x}\r\n").into_bytes();
            framed.resize(framed.len() + chunk, b'x');
            framed.extend_from_slice(b"\r\n");
            let chunks = sent / chunk as u64;
            let frames_per_write = (MAX_WRITE_BYTES / framed.len()).max(1);
            let framed_bytes = framed.len() as u64 * chunks;
            send_repeated(stream, &framed.repeat(frames_per_write), framed_bytes, is_leaving)?;
            if ends { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
        }
    }
}

/// Sends `total` bytes, which repeat `piece`.
fn send_repeated(
    mut stream: &TcpStream,
    piece: &[u8],
    total: u64,
    is_leaving: &AtomicBool,
) -> std::io::Result<()> {
    let mut left = total;
    while left > 0 && !is_leaving.load(Ordering::Relaxed) {
        let count = usize::try_from(left).map_or(piece.len(), |left| left.min(piece.len()));
        stream.write_all(&piece[..count])?;
        left -= count as u64;
    }
    Ok(())
}
