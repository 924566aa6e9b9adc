//! Links between nodes and upstreams, which a test cuts for chosen nodes.
//!
//! All nodes connect to the same address of an upstream, from the same loopback address. A link
//! therefore finds out which node has opened a connection by the socket that the node's process
//! holds, as the system lists it under `/proc`. On a busy machine that takes longer than a new connection
//! must stay open to count as accepted, so that a node whose connections are reset returns in vain.

use std::{
    collections::HashMap,
    mem::MaybeUninit,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// How a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Connections stay open and carry nothing; new ones, too. They are reset when the cut ends.
    Hang,
    /// Connections are reset, and new ones, too.
    Reset,
    /// Connections live on; new ones are reset.
    RefuseNew,
}

type Cuts = HashMap<u32, Cut>;

/// Links between nodes and upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamLinks {
    /// Cuts by the id of the node's process.
    cuts: watch::Sender<Cuts>,
    owners: Arc<Mutex<Owners>>,
    stop: CancellationToken,
    _stop: DropGuard,
}

impl UpstreamLinks {
    pub(crate) fn new() -> UpstreamLinks {
        let stop = CancellationToken::new();
        let _stop = stop.clone().drop_guard();
        UpstreamLinks { cuts: watch::Sender::default(), owners: Arc::default(), stop, _stop }
    }

    /// Sets the processes of the nodes.
    pub(crate) fn set_processes(&self, processes: impl IntoIterator<Item = u32>) {
        self.owners.lock().processes = processes.into_iter().collect();
    }

    /// Cuts the links of the node with the process `process`, or ends that.
    pub(crate) fn set_cut(&self, process: u32, cut: Option<Cut>) {
        self.cuts.send_modify(|cuts| match cut {
            Some(cut) => drop(cuts.insert(process, cut)),
            None => drop(cuts.remove(&process)),
        });
    }

    /// Opens a link; returns the address for the registry and what sets the upstream's own.
    pub(crate) async fn open(&self) -> (SocketAddr, watch::Sender<Option<SocketAddr>>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let target = watch::Sender::new(None);
        let (mut to, cuts) = (target.subscribe(), self.cuts.subscribe());
        let (owners, stop) = (self.owners.clone(), self.stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            let target = to.wait_for(Option::is_some).await.ok().and_then(|t| *t);
            let target = target.expect("a target");
            while let Ok((near, from)) = listener.accept().await {
                tokio::spawn(forward(near, from, target, cuts.clone(), owners.clone()));
            }
        }));
        (address, target)
    }
}

async fn forward(
    mut near: TcpStream,
    from: SocketAddr,
    target: SocketAddr,
    mut cuts: watch::Receiver<Cuts>,
    owners: Arc<Mutex<Owners>>,
) {
    let accepted_at = Instant::now();
    let socket = socket2::SockRef::from(&near).try_clone().expect("an open socket");
    let process = tokio::task::spawn_blocking(move || {
        let is_open = || !matches!(socket.peek(&mut [MaybeUninit::uninit()]), Ok(0));
        owners.lock().find(from.port(), accepted_at, is_open)
    });
    // A process that no node has is never cut off.
    let process = async { process.await.ok().flatten().unwrap_or_default() };
    tokio::pin!(process);
    let mut known = None;
    if !cuts.borrow().is_empty() {
        let process = *known.insert((&mut process).await);
        if matches!(cuts.borrow().get(&process), Some(Cut::Reset | Cut::RefuseNew)) {
            return reset(&near);
        }
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return reset(&near) };
    let cut = async {
        let process = match known {
            Some(process) => process,
            None => process.await,
        };
        let is_cut = |cuts: &Cuts| cuts.get(&process).is_some_and(|c| *c != Cut::RefuseNew);
        let _ = cuts.wait_for(is_cut).await;
        process
    };
    let process = tokio::select! {
        biased;
        process = cut => process,
        _ = copy_bidirectional(&mut near, &mut far) => return,
    };
    // Ends with a reset, at once or when the link works again.
    let _ = cuts.wait_for(|cuts| cuts.get(&process) != Some(&Cut::Hang)).await;
    reset(&near);
    reset(&far);
}

/// Makes the connection end with a reset rather than an orderly close.
fn reset(stream: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Reads of the system's tables after which a socket without an owner is taken to be closed.
const MAX_READS: usize = 5;

/// Which process holds the socket at each port. Reading the system's tables takes some
/// milliseconds, so it is done once for connections that come together.
#[derive(Debug, Default)]
struct Owners {
    processes: Vec<u32>,
    read_at: Option<Instant>,
    by_port: HashMap<u16, u32>,
}

impl Owners {
    /// Returns the process that has opened the connection from `port`, which was accepted at
    /// `accepted_at`; `None` if that has closed it.
    fn find(&mut self, port: u16, accepted_at: Instant, is_open: impl Fn() -> bool) -> Option<u32> {
        for _ in 0..MAX_READS {
            if !is_open() {
                return None;
            }
            if self.read_at.is_none_or(|at| at < accepted_at) {
                self.read_at = Some(Instant::now());
                self.read();
            }
            if let Some(process) = self.by_port.get(&port) {
                return Some(*process);
            }
            // The system may leave out entries of a table that changes while it is read.
            self.read_at = None;
        }
        None
    }

    fn read(&mut self) {
        let mut by_socket = HashMap::new();
        for process in &self.processes {
            let files = std::fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten();
            for link in files.flatten().filter_map(|file| std::fs::read_link(file.path()).ok()) {
                by_socket.insert(link.to_string_lossy().into_owned(), *process);
            }
        }
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port = |line: &str| {
            let mut fields = line.split_whitespace().skip(1);
            let (_, port) = fields.next()?.split_once(':')?;
            let process = by_socket.get(&format!("socket:[{}]", fields.nth(7)?))?;
            Some((u16::from_str_radix(port, 16).ok()?, *process))
        };
        self.by_port = table.lines().filter_map(port).collect();
    }
}
