//! In-memory network between nodes: links can be cut in each direction, and datagrams lost.

use std::{
    collections::HashSet,
    sync::{Arc, Weak},
    time::Duration,
};

use base::{hash::FastMap, id};
use node::{
    external::{self, BoxFuture, PeerError},
    node::Node,
};
use parking_lot::Mutex;
use policy::{adoption::Stamp, membership::Record, replica::Window};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{
    answer,
    peer::{self, ConfigValue, GroupAnswer, Refusal, Search},
};

#[derive(Debug, Default)]
struct State {
    nodes: FastMap<id::Node, Weak<Node>>,
    /// Sender and receiver of each cut link.
    cut_links: HashSet<(id::Node, id::Node)>,
    /// Share of datagrams that are dropped, from 0 to 1.
    datagram_loss: f64,
    /// Bytes of datagrams by sender.
    bytes_sent: FastMap<id::Node, u64>,
}

/// Full mesh of links between nodes.
#[derive(Debug, Clone)]
pub struct Mesh {
    state: Arc<Mutex<State>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
    delay: Duration,
}

impl Mesh {
    /// Creates a mesh whose links have a one-way `delay`.
    pub fn new(delay: Duration, seed: u64) -> Mesh {
        let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        Mesh { state: Arc::default(), rng, delay }
    }

    /// Returns the network interface of the node at `from`.
    pub fn endpoint(&self, from: id::Node) -> Endpoint {
        Endpoint { mesh: self.clone(), from }
    }

    /// Connects `node`, which replaces an earlier node at the same address.
    pub fn add(&self, node: &Arc<Node>) {
        self.state.lock().nodes.insert(node.context.node, Arc::downgrade(node));
    }

    /// Disconnects the node at `address`. Calls to it fail as if its VM were gone.
    pub fn remove(&self, address: id::Node) {
        self.state.lock().nodes.remove(&address);
    }

    /// Cuts the link from `from` to `to`. Datagrams in that direction are dropped; calls, which
    /// need both directions, hang whichever side makes them.
    pub fn cut(&self, from: id::Node, to: id::Node) {
        self.state.lock().cut_links.insert((from, to));
    }

    /// Cuts the links between two sets of nodes in both directions.
    pub fn partition(&self, one: &[id::Node], other: &[id::Node]) {
        for a in one {
            for b in other {
                self.cut(*a, *b);
                self.cut(*b, *a);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        self.state.lock().cut_links.clear();
    }

    /// Sets the share of datagrams that are dropped, from 0 to 1.
    pub fn set_datagram_loss(&self, share: f64) {
        self.state.lock().datagram_loss = share;
    }

    /// Returns the bytes of datagrams sent by `from` so far, including those dropped.
    pub fn bytes_sent(&self, from: id::Node) -> u64 {
        self.state.lock().bytes_sent.get(&from).copied().unwrap_or(0)
    }

    fn route(&self, from: id::Node, to: id::Node) -> Route {
        let state = self.state.lock();
        if state.cut_links.contains(&(from, to)) || state.cut_links.contains(&(to, from)) {
            return Route::Cut;
        }
        let node = state.nodes.get(&to).and_then(Weak::upgrade);
        let alive = node.filter(|n| !n.cancel().is_cancelled());
        alive.map_or(Route::NoListener, Route::Node)
    }
}

/// State of the route of a call between two nodes.
enum Route {
    /// The receiver runs.
    Node(Arc<Node>),
    /// No process listens at the address: the connection is refused.
    NoListener,
    /// The link is cut in either direction: the call never returns.
    Cut,
}

/// Network interface of one node.
#[derive(Debug, Clone)]
pub struct Endpoint {
    mesh: Mesh,
    from: id::Node,
}

impl Endpoint {
    /// Runs `serve` on the node at `to`, after the delay of the link, and returns its result.
    /// Dropping the future aborts the call.
    fn call<T, F, R>(&self, to: id::Node, serve: F) -> BoxFuture<'static, Result<T, PeerError>>
    where
        T: Send + 'static,
        F: FnOnce(Arc<Node>) -> R + Send + 'static,
        R: Future<Output = Result<T, Refusal>> + Send + 'static,
    {
        let Endpoint { mesh, from } = self.clone();
        Box::pin(async move {
            tokio::time::sleep(mesh.delay).await;
            let node = match mesh.route(from, to) {
                Route::Node(node) => node,
                Route::NoListener => return Err(PeerError::NotSent),
                Route::Cut => std::future::pending().await,
            };
            let killed = node.cancel().clone();
            let task = tokio::spawn(serve(node));
            let guard = AbortOnDrop(task.abort_handle());
            let result = tokio::select! {
                biased;
                () = killed.cancelled() => Err(PeerError::Lost),
                result = task => match result {
                    Ok(result) => result.map_err(PeerError::Refused),
                    Err(_) => Err(PeerError::Lost),
                },
            };
            drop(guard);
            tokio::time::sleep(mesh.delay).await;
            match mesh.route(from, to) {
                Route::Cut => std::future::pending().await,
                Route::NoListener => Err(PeerError::Lost),
                Route::Node(_) => result,
            }
        })
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl external::Peer for Endpoint {
    fn search(
        &self,
        node: id::Node,
        request: Search,
    ) -> BoxFuture<'static, Result<Vec<GroupAnswer>, PeerError>> {
        self.call(node, |n| async move { n.leaf.search(request).await })
    }

    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> BoxFuture<'static, Result<answer::Run, PeerError>> {
        self.call(node, |n| async move { Ok(n.run_forwarded(request).await) })
    }

    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> BoxFuture<'static, Result<Vec<Option<Window>>, PeerError>> {
        self.call(node, |n| async move { Ok(n.leaf.windows(&service, &groups).await) })
    }

    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> BoxFuture<'static, Result<Option<ConfigValue>, PeerError>> {
        self.call(node, move |n| async move { Ok(n.config_newer_than(have)) })
    }

    fn members(&self, node: id::Node) -> BoxFuture<'static, Result<Vec<Record>, PeerError>> {
        self.call(node, |n| async move { Ok(n.members()) })
    }
}

impl external::Network for Endpoint {
    fn send(&self, to: id::Node, bytes: Vec<u8>) {
        let Endpoint { mesh, from } = self.clone();
        let lost = {
            let mut state = mesh.state.lock();
            *state.bytes_sent.entry(from).or_default() += bytes.len() as u64;
            let lost = mesh.rng.lock().random::<f64>() < state.datagram_loss;
            lost || state.cut_links.contains(&(from, to))
        };
        if lost {
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(mesh.delay).await;
            let node = mesh.state.lock().nodes.get(&to).and_then(Weak::upgrade);
            if let Some(node) = node.filter(|n| !n.cancel().is_cancelled()) {
                node.receive_heartbeat(&bytes);
            }
        });
    }
}
