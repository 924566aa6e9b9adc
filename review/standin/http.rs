//! Minimal HTTP/1.1 over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
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
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    /// Reads more bytes, `chunk` at most. Returns how many; 0 at the end of the stream.
    fn fill(&mut self, chunk: usize, deadline: Option<Instant>) -> io::Result<usize> {
        let timeout = match deadline {
            Some(at) => {
                let left = at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
            None => None,
        };
        self.stream.set_read_timeout(timeout)?;
        let mut buffer = vec![0; chunk];
        let read = self.stream.read(&mut buffer).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
            _ => e,
        })?;
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    /// Reads a message; `None` if the connection ends before it begins.
    pub fn read(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        self.read_paced(deadline, 64 << 10, Duration::ZERO)
    }

    /// Like `read`, `chunk` bytes at a time with a pause between two reads.
    pub fn read_paced(
        &mut self,
        deadline: Option<Instant>,
        chunk: usize,
        pause: Duration,
    ) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill(chunk, deadline)? == 0 {
                if self.rest.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers =
            headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect::<Vec<_>>();
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.rest.len() < head_end + length {
            std::thread::sleep(pause);
            if self.fill(chunk, deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.rest[head_end..head_end + length].to_vec();
        self.rest.drain(..head_end + length);
        Ok(Some(message))
    }

    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Whether the other end has closed the connection.
    pub fn has_ended(&self) -> bool {
        if !self.rest.is_empty() {
            return false;
        }
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
