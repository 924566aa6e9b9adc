//! TCP sockets with options that detect silent connections.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

/// Idle time after which the remote end is probed. With the two probes that follow, a silent
/// connection is detected within 3 s, less than the 4 s after which a deployment holds a VM to
/// its limits again.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// `TCP_USER_TIMEOUT`: time for which sent bytes may remain unacknowledged. On Linux it also decides,
/// instead of the number of probes, when keep-alive gives up on a silent connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The same for a caller that has to read before more can be written: the system makes no difference
/// between bytes that are not acknowledged and a receiver without room, which the node bounds itself.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that the system keeps of what the other end has not read, for each connection. Without a
/// bound it would keep up to several MiB. At a round trip of 16 ms this still allows 8 MB/s.
pub(crate) const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Connects to `address` and sets the options of the connection. Fails with
/// [`io::ErrorKind::TimedOut`] after `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm, and sets the keep-alive and acknowledgement timeouts and the size of
/// the send buffer.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // The system doubles the size, for its own records.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES / 2)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Sets whether the system closes the connection if the other end reads nothing for a time. If not,
/// it closes it only after [`UNREAD_TIMEOUT`].
pub(crate) fn set_unread_timeout(stream: &TcpStream, is_usual: bool) -> io::Result<()> {
    let timeout = if is_usual { UNACKNOWLEDGED_TIMEOUT } else { UNREAD_TIMEOUT };
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Listens on `address`, even while connections of an earlier process linger on it.
pub fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
