//! TCP streams that end when the other end reads too slowly.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use futures::task::AtomicWaker;
use http::HeaderValue;
use parking_lot::Mutex;
use policy::relay::{delivery, memory::Transfer};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Sleep,
};

use crate::{log_limiter::LogKind, node::Node, request_log, socket};

/// Longest sleep before a caller's time is checked again: bounds the delay until a suspension of the
/// VM is noticed.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Who reads what the node writes to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reader {
    /// A caller, which reads answers. It is cut off once its answer is of no more use to it.
    Caller,
    /// An upstream, which reads requests. It is cut off at the deadline of its attempt.
    Upstream,
    /// A peer, which reads requests that it is to serve. It is cut off at their deadline.
    Peer,
}

impl Reader {
    /// Name in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Reader::Caller => "caller",
            Reader::Upstream => "upstream",
            Reader::Peer => "peer",
        }
    }
}

/// What is written on a connection, and how fast the other end reads it.
#[derive(Debug)]
pub(crate) struct Flow {
    number: u64,
    state: Mutex<State>,
    /// Task that writes to the connection.
    writer: AtomicWaker,
}

#[derive(Debug)]
struct State {
    transfer: Transfer,
    request_id: Option<HeaderValue>,
}

impl Flow {
    fn new(now: Instant) -> Arc<Flow> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let transfer = Transfer {
            started_at: now,
            deadline: now,
            held: 0,
            written: 0,
            buffered: socket::SEND_BUFFER_BYTES,
            is_cut: false,
        };
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let state = Mutex::new(State { transfer, request_id: None });
        Arc::new(Flow { number, state, writer: AtomicWaker::new() })
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn transfer(&self) -> Transfer {
        self.state.lock().transfer
    }

    /// Begins a message that holds `held` bytes and is of use to the other end until `deadline`.
    pub(crate) fn start(
        &self,
        now: Instant,
        deadline: Instant,
        held: usize,
        request_id: Option<HeaderValue>,
    ) {
        let mut state = self.state.lock();
        let transfer = Transfer { started_at: now, deadline, held, written: 0, ..state.transfer };
        *state = State { transfer, request_id };
    }

    /// Ends the connection with the next write.
    pub(crate) fn cut(&self) {
        self.state.lock().transfer.is_cut = true;
        self.writer.wake();
    }
}

/// A TCP stream that fails once its [`Flow`] is cut off.
#[derive(Debug)]
pub(crate) struct WatchedStream {
    node: Arc<Node>,
    reader: Reader,
    peer: Option<SocketAddr>,
    flow: Arc<Flow>,
    stream: socket::Stream,
    /// Set while the other end has to read before more can be written.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl WatchedStream {
    pub(crate) fn new(node: Arc<Node>, reader: Reader, stream: socket::Stream) -> WatchedStream {
        let flow = Flow::new(node.now());
        let peer = stream.peer_addr().ok();
        WatchedStream { node, reader, peer, flow, stream, blocked: None }
    }

    pub(crate) fn flow(&self) -> Arc<Flow> {
        self.flow.clone()
    }

    /// Writes with `write`, unless the flow has been cut off.
    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut socket::Stream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if self.flow.transfer().is_cut {
            return Poll::Ready(Err(self.close("full")));
        }
        match write(Pin::new(&mut self.stream), cx) {
            Poll::Ready(written) => {
                if let Err(e) = &written {
                    self.record_failure(e);
                }
                self.unblock();
                self.flow.state.lock().transfer.written += *written.as_ref().unwrap_or(&0);
                Poll::Ready(written)
            }
            Poll::Pending => self.wait(cx).map(Err),
        }
    }

    /// Waits until the other end has read, or until it has no use for the message any more.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        self.flow.writer.register(cx.waker());
        if self.blocked.is_none() {
            self.node.body_memory.block(&self.flow);
        }
        let transfer = self.flow.transfer();
        loop {
            let due = match self.reader {
                Reader::Caller => transfer.due(),
                Reader::Upstream | Reader::Peer => transfer.deadline,
            };
            let left = due.saturating_duration_since(self.node.now());
            if left.is_zero() {
                return Poll::Ready(self.close("late"));
            }
            let sleep = tokio::time::sleep(left.min(MAX_SLEEP));
            let sleep = self.blocked.insert(Box::pin(sleep));
            if sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    fn unblock(&mut self) {
        if self.blocked.take().is_some() {
            self.node.body_memory.unblock(&self.flow);
        }
    }

    /// Fails if the other end is a caller whose time has passed and that takes no more of its answer,
    /// the rest of which the system holds.
    fn check_unread(&mut self) -> io::Result<()> {
        if self.reader != Reader::Caller {
            return Ok(());
        }
        let is_stalled = self.stream.stalled_for().is_some_and(|t| t >= delivery::SILENCE_LIMIT);
        match is_stalled && self.flow.transfer().due() <= self.node.now() {
            true => Err(self.close("late")),
            false => Ok(()),
        }
    }

    /// Counts that the connection has failed, and logs it if the other end gave no sign of life.
    fn record_failure(&self, error: &io::Error) {
        let node = &self.node;
        let cause = match error.kind() {
            io::ErrorKind::TimedOut => "silent",
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => "reset",
            _ => "other",
        };
        let reader = self.reader.name();
        node.metrics.connections_failed.with_label_values(&[cause, reader]).inc();
        let now = node.now();
        if cause == "silent" && node.log_limiter.allows(now, LogKind::SlowReader) {
            let State { transfer, request_id } = &*self.flow.state.lock();
            let request = request_id.as_ref().map(request_log::id_text);
            let age_ms = now.saturating_duration_since(transfer.started_at).as_millis() as u64;
            let peer = self.peer.map(|p| p.to_string());
            tracing::warn!(request, reader, peer, cause = %error, age_ms, "lost a connection");
        }
    }

    /// Records that the other end is cut off. Its connection is reset, so that what the system still
    /// holds for it is released as well.
    fn close(&mut self, cause: &'static str) -> io::Error {
        self.stream.discard_on_close();
        self.flow.state.lock().transfer.is_cut = true;
        let reader = self.reader.name();
        let node = &self.node;
        node.metrics.slow_readers.with_label_values(&[cause, reader]).inc();
        let now = node.now();
        if node.log_limiter.allows(now, LogKind::SlowReader) {
            let State { transfer, request_id } = &*self.flow.state.lock();
            let request = request_id.as_ref().map(request_log::id_text);
            let age_ms = now.saturating_duration_since(transfer.started_at).as_millis() as u64;
            let peer = self.peer.map(|p| p.to_string());
            let Transfer { held, written, .. } = *transfer;
            tracing::warn!(
                request,
                reader,
                peer,
                cause,
                held,
                written,
                age_ms,
                "closed a connection: its other end reads too slowly"
            );
        }
        io::ErrorKind::TimedOut.into()
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.unblock();
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.check_unread()?;
        if let Poll::Ready(Err(e)) = &result {
            self.record_failure(e);
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write(cx, buffer))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write_vectored(cx, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
