//! In-memory links between nodes, which can be cut in each direction and lose datagrams.

use std::{
    collections::HashSet,
    sync::{Arc, Weak},
    time::Duration,
};

use base::{hash::FastMap, id};
use node::{
    edge::{self, PeerError, Pending},
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
    cut: HashSet<(id::Node, id::Node)>,
    loss: f64,
    bytes: FastMap<id::Node, u64>,
}

/// Links between nodes.
#[derive(Debug, Clone)]
pub struct Mesh {
    state: Arc<Mutex<State>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
    delay: Duration,
}

impl Mesh {
    /// Links with a one-way `delay`.
    pub fn new(delay: Duration, seed: u64) -> Mesh {
        let rng = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        Mesh { state: Arc::default(), rng, delay }
    }

    /// The links as `from` sees them.
    pub fn endpoint(&self, from: id::Node) -> Endpoint {
        Endpoint { mesh: self.clone(), from }
    }

    /// Connects `node`; replaces an earlier one at the same address.
    pub fn add(&self, node: &Arc<Node>) {
        self.state.lock().nodes.insert(node.context.node, Arc::downgrade(node));
    }

    /// Disconnects the node at `address`, as when its VM is lost.
    pub fn remove(&self, address: id::Node) {
        self.state.lock().nodes.remove(&address);
    }

    /// Cuts what `from` sends to `to`.
    pub fn cut(&self, from: id::Node, to: id::Node) {
        self.state.lock().cut.insert((from, to));
    }

    /// Cuts both directions between the nodes of two sides.
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
        self.state.lock().cut.clear();
    }

    /// Loses a share of datagrams, from 0 to 1.
    pub fn set_datagram_loss(&self, share: f64) {
        self.state.lock().loss = share;
    }

    /// Bytes of datagrams sent by `from` so far.
    pub fn bytes_sent(&self, from: id::Node) -> u64 {
        self.state.lock().bytes.get(&from).copied().unwrap_or(0)
    }

    fn reach(&self, from: id::Node, to: id::Node) -> Reach {
        let state = self.state.lock();
        if state.cut.contains(&(from, to)) || state.cut.contains(&(to, from)) {
            return Reach::Silence;
        }
        let node = state.nodes.get(&to).and_then(Weak::upgrade);
        let alive = node.filter(|n| !n.cancel().is_cancelled());
        alive.map_or(Reach::Nothing, Reach::Node)
    }
}

enum Reach {
    Node(Arc<Node>),
    /// Nothing listens there.
    Nothing,
    /// The link is cut: no answer ever comes.
    Silence,
}

/// The links as one node sees them.
#[derive(Debug, Clone)]
pub struct Endpoint {
    mesh: Mesh,
    from: id::Node,
}

impl Endpoint {
    fn call<T, F, R>(&self, to: id::Node, f: F) -> Pending<'static, Result<T, PeerError>>
    where
        T: Send + 'static,
        F: FnOnce(Arc<Node>) -> R + Send + 'static,
        R: Future<Output = Result<T, Refusal>> + Send + 'static,
    {
        let Endpoint { mesh, from } = self.clone();
        Box::pin(async move {
            tokio::time::sleep(mesh.delay).await;
            let node = match mesh.reach(from, to) {
                Reach::Node(node) => node,
                Reach::Nothing => return Err(PeerError::Unreached),
                Reach::Silence => std::future::pending().await,
            };
            let killed = node.cancel().clone();
            let serving = tokio::spawn(f(node));
            let guard = AbortOnDrop(serving.abort_handle());
            let result = tokio::select! {
                biased;
                () = killed.cancelled() => Err(PeerError::Lost),
                result = serving => match result {
                    Ok(result) => result.map_err(PeerError::Refused),
                    Err(_) => Err(PeerError::Lost),
                },
            };
            drop(guard);
            tokio::time::sleep(mesh.delay).await;
            match mesh.reach(from, to) {
                Reach::Silence => std::future::pending().await,
                Reach::Nothing => Err(PeerError::Lost),
                Reach::Node(_) => result,
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

impl edge::Peer for Endpoint {
    fn search(
        &self,
        node: id::Node,
        request: Search,
    ) -> Pending<'static, Result<Vec<GroupAnswer>, PeerError>> {
        self.call(node, |n| async move { n.leaf.search(request).await })
    }

    fn run(
        &self,
        node: id::Node,
        request: peer::Run,
    ) -> Pending<'static, Result<answer::Run, PeerError>> {
        self.call(node, |n| async move { Ok(n.run_forwarded(request).await) })
    }

    fn windows(
        &self,
        node: id::Node,
        service: id::Service,
        groups: Vec<id::Group>,
    ) -> Pending<'static, Result<Vec<Option<Window>>, PeerError>> {
        self.call(node, |n| async move { Ok(n.leaf.windows(&service, &groups).await) })
    }

    fn config(
        &self,
        node: id::Node,
        have: Stamp,
    ) -> Pending<'static, Result<Option<ConfigValue>, PeerError>> {
        self.call(node, move |n| async move { Ok(n.config_above(have)) })
    }

    fn members(&self, node: id::Node) -> Pending<'static, Result<Vec<Record>, PeerError>> {
        self.call(node, |n| async move { Ok(n.members()) })
    }
}

impl edge::Network for Endpoint {
    fn send(&self, to: id::Node, bytes: Vec<u8>) {
        let Endpoint { mesh, from } = self.clone();
        let lost = {
            let mut state = mesh.state.lock();
            *state.bytes.entry(from).or_default() += bytes.len() as u64;
            let lost = mesh.rng.lock().random::<f64>() < state.loss;
            lost || state.cut.contains(&(from, to))
        };
        if lost {
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(mesh.delay).await;
            let node = mesh.state.lock().nodes.get(&to).and_then(Weak::upgrade);
            if let Some(node) = node.filter(|n| !n.cancel().is_cancelled()) {
                node.heartbeat(&bytes);
            }
        });
    }
}
