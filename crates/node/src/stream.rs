//! A connection that tells whether its peer has ended it and how much was written to it.

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

/// What can be seen of a connection from beside the task that drives it.
#[derive(Debug, Clone)]
pub(crate) struct Watch {
    stream: Arc<TcpStream>,
    written: Arc<AtomicU64>,
}

impl Watch {
    /// Whether the peer has ended the connection, as far as its bytes have arrived.
    pub(crate) fn has_ended(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // Asks the kernel: the event loop may not have heard of the end yet.
        match SockRef::from(&*self.stream).peek(&mut byte) {
            Ok(read) => read == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }
}

/// The connection as its driving task reads and writes it.
#[derive(Debug)]
pub(crate) struct Watched(Watch);

impl Watched {
    /// Wraps `stream`.
    pub(crate) fn new(stream: TcpStream) -> (Watched, Watch) {
        let watch = Watch { stream: Arc::new(stream), written: Arc::default() };
        (Watched(watch.clone()), watch)
    }
}

impl AsyncRead for Watched {
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

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Watch { stream, written } = &self.0;
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
