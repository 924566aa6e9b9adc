//! HTTP/1.1 messages over blocking sockets: as much as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A message: its first line, its header fields, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Value of a parameter in the query of a request.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().1.split_once('?')?.1;
        let found = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        found.map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
    }
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads bytes until the end of a head; `None` if the connection ends before the first byte.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let start = lines.next().unwrap_or("").to_owned();
            let headers = lines.filter_map(|l| l.split_once(':'));
            let headers = headers.map(|(n, v)| (n.to_owned(), v.trim().to_owned())).collect();
            return Ok(Some(Message { start, headers, body: Vec::new() }));
        }
        let mut chunk = [0; 16384];
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(closed()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Reads a message whose body has a stated length, or none. `buffer` holds bytes that were read before.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        let mut chunk = [0; 16384];
        match stream.read(&mut chunk)? {
            0 => return Err(closed()),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
