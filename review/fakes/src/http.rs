//! HTTP/1.1 over plain sockets, so that a stand-in decides about each byte.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Request or answer: its first line, its header fields in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the field `name`, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    /// Part `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Value of `name` in the query of a request, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decoded(value))
    }

    /// Status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decoded(text: &str) -> String {
    let (mut decoded, mut bytes) = (Vec::new(), text.bytes());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits: String = bytes.by_ref().take(2).map(char::from).collect();
        decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first_line.is_empty() {
            message.first_line = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole request or answer. `None` at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.field("transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else {
        let length: usize = message.field("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Reads one chunk. `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// An answer with a length.
pub fn answer(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// A JSON answer with status 200.
pub fn json_answer(fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut fields = fields.to_vec();
    fields.push(("content-type", "application/json"));
    answer("200 OK", &fields, body.as_bytes())
}

/// Sends one GET on a connection of its own, and returns the whole answer.
pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n")?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
