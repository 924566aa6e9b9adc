//! A TCP proxy on loopback that troubles what passes through it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    Pass,
    /// Each chunk of bytes comes later.
    Delay(Duration),
    /// Nothing passes, and nothing is closed.
    Silence,
    /// Bytes of the side that connected are lost.
    CutForth,
    /// Bytes of the side that accepted are lost.
    CutBack,
    /// Open connections are reset, and new ones too.
    Reset,
}

/// A proxy to one target.
#[derive(Debug, Clone)]
pub(crate) struct Proxy {
    mode: watch::Sender<Mode>,
    target: Arc<Mutex<Option<SocketAddr>>>,
    address: SocketAddr,
}

impl Proxy {
    pub(crate) async fn start() -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let proxy = Proxy { mode: watch::Sender::new(Mode::Pass), target: Arc::default(), address };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().connection(stream));
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

    pub(crate) fn set(&self, mode: Mode) {
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
        let (forth, back) = (self.mode.subscribe(), self.mode.subscribe());
        tokio::select! {
            () = pump(&mut near_read, &mut far_write, forth, Mode::CutForth) => {}
            () = pump(&mut far_read, &mut near_write, back, Mode::CutBack) => {}
            _ = mode.wait_for(|m| *m == Mode::Reset) => {
                reset(near_read.as_ref());
                reset(far_read.as_ref());
            }
        }
    }
}

/// Lets the connection end with a reset rather than an orderly close.
fn reset(stream: &TcpStream) {
    // Fails only on a connection that has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pump(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    mut mode: watch::Receiver<Mode>,
    cut: Mode,
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
            // Held until the silence ends; a reset ends the connection elsewhere.
            Mode::Silence => drop(mode.wait_for(|m| *m != Mode::Silence).await),
            _ => {}
        }
        if now == cut {
            continue;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
