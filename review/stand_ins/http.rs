//! A small HTTP/1.1 reader and writer over blocking sockets, enough for stand-ins and clients.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// A request or an answer with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: `GET /path HTTP/1.1` or `HTTP/1.1 200 OK`.
    pub start: String,
    /// Header fields with lower-case names.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        value.replace("%2F", "/").replace("%2f", "/")
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut chunk = [0_u8; 65_536];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads the head of a message. `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                let is_clean = self.buffer.is_empty();
                return if is_clean { Ok(None) } else { Err(cut("the head was cut")) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines();
        let start = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()));
        Ok(Some(Message { start, fields: fields.collect(), body: Vec::new() }))
    }

    /// Reads exactly `length` bytes of a body.
    pub fn read_exact(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(cut("the body was cut"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        let end = loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Err(cut("a chunk was cut"));
            }
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads the next chunk of a chunked body. It is empty at the end of the body.
    pub fn read_chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| cut("a chunk has no size"))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads a whole message. `None` if the peer closed the connection before it.
    pub fn read_message(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        if message.field("transfer-encoding").to_lowercase().contains("chunked") {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        } else if let Ok(length) = message.field("content-length").parse() {
            message.body = self.read_exact(length)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

fn cut(cause: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, cause)
}

/// Encodes an answer with a length.
pub fn answer(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
