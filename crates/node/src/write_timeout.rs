//! TCP stream with a timeout on writes, against receivers that stop reading.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

/// TCP stream whose writes fail if the receiver accepts no bytes for `timeout`.
#[derive(Debug)]
pub(crate) struct WriteTimeoutStream {
    inner: TcpStream,
    timeout: Duration,
    /// Timer that runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    pub(crate) fn new(inner: TcpStream, timeout: Duration) -> WriteTimeoutStream {
        WriteTimeoutStream { inner, timeout, timer: None }
    }

    /// Returns `poll` if it is ready; otherwise fails once the timer has expired.
    fn check_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.timer = None;
            return poll;
        }
        let end = Instant::now() + self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(end)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_timeout(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(cx);
        self.check_timeout(cx, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
