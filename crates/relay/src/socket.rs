//! TCP sockets with options that detect silent connections.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use policy::relay::delivery::{Delivery, Verdict};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    time::Sleep,
};

use crate::tcp_info;

/// Idle time after which the remote end is probed. With the two probes that follow, a silent
/// connection is detected within 3 s, less than the 4 s after which a deployment holds a VM to
/// its limits again. `TCP_USER_TIMEOUT` would decide instead of the number of probes, and is unset.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which the system tries to deliver the rest of a closed connection to an end that takes
/// nothing.
const CLOSED_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes that the system keeps of what the other end has not read, for each connection. Without a
/// bound it would keep up to several MiB. At a round trip of 16 ms this still allows 8 MB/s.
pub(crate) const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Connects to `address`. Fails with [`io::ErrorKind::TimedOut`] after `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Stream> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    Stream::new(connecting.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??)
}

/// Listens on `address`, even while connections of an earlier process linger on it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A TCP stream that fails with [`io::ErrorKind::TimedOut`] once its other end has fallen silent, but not
/// while that end has no room.
///
/// The task that reads from it or writes to it is woken for the checks.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    delivery: Delivery,
    /// Ends when the next check may be due.
    check: Option<Pin<Box<Sleep>>>,
    is_silent: bool,
}

impl Stream {
    /// Disables Nagle's algorithm on `tcp`, and sets the keep-alive times and the size of the send
    /// buffer.
    pub fn new(tcp: TcpStream) -> io::Result<Stream> {
        tcp.set_nodelay(true)?;
        let socket = SockRef::from(&tcp);
        // The system doubles the size, for its own records.
        socket.set_send_buffer_size(SEND_BUFFER_BYTES / 2)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES);
        socket.set_tcp_keepalive(&keepalive)?;
        Ok(Stream { tcp, delivery: Delivery::new(), check: None, is_silent: false })
    }

    /// Returns the address of the other end.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.tcp.peer_addr()
    }

    /// Returns how long the other end has taken nothing for lack of room, as of the last check.
    pub(crate) fn stalled_for(&self) -> Option<Duration> {
        self.delivery.stalled_since().map(|since| now().saturating_duration_since(since))
    }

    /// Makes the system drop what it still holds for the other end when the stream is closed.
    pub(crate) fn discard_on_close(&self) {
        // Fails only if the connection has ended.
        let _ = SockRef::from(&self.tcp).set_linger(Some(Duration::ZERO));
    }

    /// Checks the delivery of what was written, if that is due. The task of `cx` is woken when the next
    /// check is.
    fn poll_delivery(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        loop {
            if self.is_silent {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let Some(due) = self.delivery.next_check() else {
                self.check = None;
                return Ok(());
            };
            let sleep = || Box::pin(tokio::time::sleep_until(due.into()));
            if self.check.get_or_insert_with(sleep).as_mut().poll(cx).is_pending() {
                return Ok(());
            }
            self.check = None;
            let now = now();
            // Later writes have put the check off.
            if now < due {
                continue;
            }
            match tcp_info::sample(&self.tcp).map(|sample| self.delivery.observe(now, sample)) {
                Ok(Verdict::Silent) => {
                    self.is_silent = true;
                    self.discard_on_close();
                }
                Ok(Verdict::Delivered | Verdict::Outstanding) => {}
                // The connection has ended, which the next read or write reports.
                Err(_) => self.delivery = Delivery::new(),
            }
        }
    }

    fn poll_written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(1..)) = written {
            self.delivery.record_write(now());
        }
        self.poll_delivery(cx)?;
        written
    }
}

/// The time by the clock of the checks' timers.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.delivery.next_check().is_some() && !self.is_silent {
            // Fails only if the connection has ended.
            let _ = SockRef::from(&self.tcp).set_tcp_user_timeout(Some(CLOSED_TIMEOUT));
        }
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.tcp.as_fd()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_delivery(cx)?;
        Pin::new(&mut self.tcp).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write(cx, buffer);
        self.poll_written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.tcp).poll_write_vectored(cx, buffers);
        self.poll_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_delivery(cx)?;
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
