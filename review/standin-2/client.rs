//! Client that sends one request on a connection of its own.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{self, Message};

/// Sends a request and returns the answer. Fails if the connection ends without one, or if there is none
/// within `limit`.
pub fn send(
    address: &str,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let address: SocketAddr =
        address.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let host = address.to_string();
    let mut all = vec![];
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        all.push(("Host", host.as_str()));
    }
    all.extend_from_slice(headers);
    http::write(&mut stream, &format!("{method} {target} HTTP/1.1"), &all, body)?;
    let answer = http::read(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
