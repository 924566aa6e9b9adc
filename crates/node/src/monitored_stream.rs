//! TCP stream whose state can be observed while another task drives it: whether the peer has
//! closed it, and how many bytes were written to it.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Observer of a [`MonitoredStream`], for use outside of the task that drives it.
#[derive(Debug, Clone)]
pub(crate) struct StreamMonitor {
    stream: Arc<TcpStream>,
    written: Arc<AtomicU64>,
}

impl StreamMonitor {
    /// Returns whether the peer has closed the connection, as far as its packets have arrived.
    pub(crate) fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // Asks the kernel, because the event loop may not have processed the close yet.
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the number of bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }
}

/// TCP stream that counts the bytes written to it.
#[derive(Debug)]
pub(crate) struct MonitoredStream(StreamMonitor);

impl MonitoredStream {
    /// Wraps `stream`, and returns its monitor as well.
    pub(crate) fn new(stream: TcpStream) -> (MonitoredStream, StreamMonitor) {
        let monitor = StreamMonitor { stream: Arc::new(stream), written: Arc::default() };
        (MonitoredStream(monitor.clone()), monitor)
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0.stream;
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let StreamMonitor { stream, written } = &self.0;
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match stream.try_write(bytes) {
                Ok(n) => {
                    written.fetch_add(n as u64, Ordering::AcqRel);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
