//! TCP proxy on loopback that injects network faults.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Fault injected into the connections of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards bytes unchanged.
    Pass,
    /// Delays each chunk by this time.
    Delay(Duration),
    /// Holds bytes back without closing connections.
    Stall,
    /// Drops bytes that the connecting side sends.
    DropForward,
    /// Drops bytes that the accepting side sends.
    DropBackward,
    /// Resets open and new connections.
    Reset,
}

/// Proxy in front of one target.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    mode: watch::Sender<Mode>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    address: SocketAddr,
}

impl Proxy {
    pub(crate) async fn start() -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let proxy = Proxy { mode: watch::Sender::new(Mode::Pass), target: Arc::default(), address };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().connection(stream));
            }
        });
        proxy
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set_target(&self, target: SocketAddr) {
        *self.target.lock() = Some(target);
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    async fn connection(self, near: TcpStream) {
        let target = *self.target.lock();
        let Some(target) = target.filter(|_| *self.mode.borrow() != Mode::Reset) else {
            return reset(&near);
        };
        let Ok(far) = TcpStream::connect(target).await else { return reset(&near) };
        let mut mode = self.mode.subscribe();
        let (mut near_read, mut near_write) = near.into_split();
        let (mut far_read, mut far_write) = far.into_split();
        let (forward, backward) = (self.mode.subscribe(), self.mode.subscribe());
        tokio::select! {
            () = copy_bytes(&mut near_read, &mut far_write, forward, Mode::DropForward) => {}
            () = copy_bytes(&mut far_read, &mut near_write, backward, Mode::DropBackward) => {}
            _ = mode.wait_for(|m| *m == Mode::Reset) => {
                reset(near_read.as_ref());
                reset(far_read.as_ref());
            }
        }
    }
}

/// Makes the connection end with a reset rather than an orderly close.
fn reset(stream: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Copies bytes from `from` to `to` as `mode` says. Drops them while the mode is `drop_mode`.
async fn copy_bytes(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut mode: watch::Receiver<Mode>,
    drop_mode: Mode,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(size) = from.read(&mut buffer).await else { return };
        if size == 0 {
            return;
        }
        let now = *mode.borrow();
        match now {
            Mode::Delay(time) => tokio::time::sleep(time).await,
            // Waits for another mode. `Proxy::connection` handles a reset.
            Mode::Stall => drop(mode.wait_for(|m| *m != Mode::Stall).await),
            _ => {}
        }
        if now == drop_mode {
            continue;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
