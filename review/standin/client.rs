//! Stand-in for a client.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Connection, Message};

pub const HOST: &str = "hufi27.example";

pub struct Request<'a> {
    pub id: &'a str,
    pub path: &'a str,
    /// Body of a POST; a GET has none.
    pub body: Option<&'a [u8]>,
    pub timeout: Duration,
}

pub fn connect(node: SocketAddr) -> io::Result<Connection> {
    TcpStream::connect_timeout(&node, Duration::from_secs(1)).map(Connection::new)
}

pub fn send(connection: &mut Connection, request: &Request) -> io::Result<()> {
    let method = if request.body.is_some() { "POST" } else { "GET" };
    let timeout = request.timeout.as_millis().to_string();
    let headers = [("Host", HOST), ("Request-Id", request.id), ("Timeout-Ms", timeout.as_str())];
    let start = format!("{method} {} HTTP/1.1", request.path);
    connection.write(&start, &headers, request.body.unwrap_or_default())
}

/// Sends a request and reads the answer.
pub fn exchange(connection: &mut Connection, request: &Request) -> io::Result<Message> {
    let deadline = Instant::now() + request.timeout;
    send(connection, request)?;
    let answer = connection.read(Some(deadline))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

pub fn outcome(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(message) => {
            let stamp = message.header("server-stamp").unwrap_or("none");
            format!("{}, Server-Stamp: {stamp}, {} bytes", message.status(), message.body.len())
        }
        Err(e) => format!("no answer: {e}"),
    }
}
