//! A deployment in memory on virtual time: real nodes, stand-ins for everything else.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{
    clock::{Clock, TokioClock, WallClock},
    id,
    keyspace::KeyRange,
    unit::Generation,
};
use config::{
    deployment::{
        Caller, Class, CoverageRule, Deployment, FORMAT_VERSION, Group, Priority, Server, Service,
    },
    settings::{Routing, Settings},
};
use node::{
    context::{Context, Edges},
    edge::{self, Pending, Sub, UpstreamError},
    node::Node,
};
use parking_lot::Mutex;
use policy::group;
use standin::{
    event_log::EventLog, mesh::Mesh, platform::Platform, service_time::ServiceTime,
    upstream_set::UpstreamSet,
};
use tokio_util::sync::CancellationToken;
use wire::{
    answer, caller,
    platform::{State, Vm},
    upstream,
};

/// Service with an index version.
pub const SEARCH_SERVICE: &str = "search";
/// Service without one, for non-idempotent requests.
pub const LEDGER_SERVICE: &str = "ledger";
/// Class that goes first.
pub const FIRST_CLASS: &str = "first";
/// Class that does not.
pub const SECOND_CLASS: &str = "second";
/// Class whose requests run at most once.
pub const AT_MOST_ONCE_CLASS: &str = "once";
/// The set of callers that may use every class.
pub const CALLER: &str = "tester";

const WALL_ORIGIN: Duration = Duration::from_secs(1_700_000_000);
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// Shape of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Nodes in each of the three failure domains.
    pub nodes_per_domain: usize,
    /// Shard groups of the search service.
    pub groups: usize,
    /// Service time of upstreams.
    pub service_time: ServiceTime,
    /// Routing of sub-requests.
    pub routing: Routing,
    /// Mechanisms of the leaves.
    pub mechanisms: group::Options,
    /// Rule on partial answers of the classes for searches.
    pub coverage: CoverageRule,
    /// Deadline of the classes.
    pub deadline: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Options {
    /// 18 nodes and 25 groups, as users run today.
    pub fn new(service_time: ServiceTime, seed: u64) -> Options {
        Options {
            nodes_per_domain: 6,
            groups: 25,
            service_time,
            routing: Routing::ViaLeaf,
            mechanisms: group::Options::default(),
            coverage: CoverageRule::Best,
            deadline: Duration::from_secs(1),
            seed,
        }
    }
}

/// A caller's request that did not get an answer from the node it was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// Upstreams as a node that can be killed sees them: once killed, it sends nothing.
#[derive(Debug)]
struct Guarded {
    upstreams: UpstreamSet,
    killed: CancellationToken,
}

impl edge::Upstream for Guarded {
    fn request(&self, sub: Sub) -> Pending<'static, Result<upstream::Reply, UpstreamError>> {
        let (request, killed) = (self.upstreams.request(sub), self.killed.clone());
        Box::pin(async move {
            tokio::select! {
                biased;
                () = killed.cancelled() => std::future::pending().await,
                result = request => result,
            }
        })
    }

    fn status(
        &self,
        upstream: id::Upstream,
    ) -> Pending<'static, Result<upstream::Status, UpstreamError>> {
        self.upstreams.status(upstream)
    }
}

/// A deployment in memory.
#[derive(Debug)]
pub struct Cluster {
    /// Its shape.
    pub options: Options,
    /// Links between nodes.
    pub mesh: Mesh,
    /// Upstreams.
    pub upstreams: UpstreamSet,
    /// What they saw.
    pub event_log: EventLog,
    /// The platform's service.
    pub platform: Platform,
    nodes: Mutex<Vec<Arc<Node>>>,
    clock: Arc<dyn Clock>,
}

impl Cluster {
    /// Starts a cluster, with its nodes listed at the platform, and waits until they are ready.
    pub async fn start(options: Options) -> Cluster {
        let clock: Arc<dyn Clock> = Arc::new(TokioClock);
        let event_log = EventLog::new();
        let deployment = deployment(&options, Generation(1), Generation(1), options.groups);
        let upstreams = UpstreamSet::new(
            &deployment,
            options.service_time,
            UPSTREAM_DELAY,
            &event_log,
            options.seed,
        );
        let platform = Platform::new();
        platform.publish(deployment.generation, deployment.to_bytes());
        let mesh = Mesh::new(NODE_DELAY, options.seed);
        let cluster = Cluster {
            options,
            mesh,
            upstreams,
            event_log,
            platform,
            nodes: Mutex::default(),
            clock,
        };
        let count = cluster.options.nodes_per_domain * DOMAINS.len();
        let vms = (0..count).map(|i| Vm { address: address(i, PEERS).0, state: State::Live });
        let vms = vms.collect();
        cluster.platform.change(|state| state.vms = vms);
        for index in 0..count {
            let node = cluster.make(index, 1);
            cluster.nodes.lock().push(node);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Waits until each running node is ready and sees all the others.
    pub async fn wait_until_ready(&self) {
        let count = self.nodes().len();
        let serving = |n: &Arc<Node>| n.context.view().iter().filter(|r| r.serving).count();
        let settled = |n: &Arc<Node>| n.is_ready() && serving(n) + 1 >= count;
        for _ in 0..SETTLE_POLLS {
            if self.nodes().iter().all(settled) {
                return;
            }
            tokio::time::sleep(SETTLE_POLL).await;
        }
    }

    fn make(&self, index: usize, incarnation: u64) -> Arc<Node> {
        let peers = address(index, PEERS);
        let port = Arc::new(self.mesh.endpoint(peers));
        let killed = CancellationToken::new();
        let upstream = Guarded { upstreams: self.upstreams.clone(), killed: killed.clone() };
        let edges = Edges {
            upstream: Arc::new(upstream),
            peer: port.clone(),
            platform: Arc::new(self.platform.clone()),
            network: port,
            clock: self.clock.clone(),
        };
        let anchored = WallClock::with_origin(self.clock.clone(), WALL_ORIGIN + self.age());
        let seed = self.options.seed
            ^ base::hash::stable(&[&index.to_be_bytes(), &incarnation.to_be_bytes()]);
        let settings = settings(&self.options, index);
        let context = Context::new(settings, id::Incarnation(incarnation), edges, anchored, seed)
            .with_options(self.options.mechanisms);
        let node = Arc::new(Node::new(context, killed));
        self.mesh.add(&node);
        node.start();
        node
    }

    fn age(&self) -> Duration {
        let nodes = self.nodes.lock();
        let oldest = nodes.first().map(|n| n.context.anchored.unix_ms());
        oldest.map_or(Duration::ZERO, |ms| Duration::from_millis(ms).saturating_sub(WALL_ORIGIN))
    }

    /// The running nodes.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.lock().iter().filter(|n| !n.cancel().is_cancelled()).cloned().collect()
    }

    /// Node `index`, running or not.
    pub fn node(&self, index: usize) -> Arc<Node> {
        let nodes = self.nodes.lock();
        nodes[index % nodes.len()].clone()
    }

    /// Number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.lock().len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ends a node without notice.
    pub fn kill(&self, index: usize) {
        let node = self.node(index);
        node.cancel().cancel();
        self.mesh.remove(node.context.node);
    }

    /// Stops a node as planned; returns the number of requests that were cut off.
    pub async fn stop(&self, index: usize) -> usize {
        let node = self.node(index);
        let limit = node.context.settings.stop_limit;
        node.leave(limit).await;
        // From here on nothing listens: what still arrives is refused.
        self.mesh.remove(node.context.node);
        let cut_off = node.drain(limit).await;
        node.cancel().cancel();
        cut_off
    }

    /// Starts a new process at the address of node `index`.
    pub fn restart(&self, index: usize) {
        let old = self.node(index);
        old.cancel().cancel();
        let node = self.make(index, old.context.incarnation.0 + 1);
        self.nodes.lock()[index] = node;
    }

    /// Publishes the configuration as `generation`, with shard map `map` of `groups` groups.
    pub fn publish(&self, generation: Generation, map: Generation, groups: usize) -> Deployment {
        let deployment = deployment(&self.options, generation, map, groups);
        self.platform.publish(generation, deployment.to_bytes());
        deployment
    }

    /// Waits up to `limit` until `holds`; returns how long it took, or `None` if it never did.
    pub async fn wait_until(
        &self,
        limit: Duration,
        holds: impl Fn(&Cluster) -> bool,
    ) -> Option<Duration> {
        let begun = tokio::time::Instant::now();
        while begun.elapsed() <= limit {
            if holds(self) {
                return Some(begun.elapsed());
            }
            tokio::time::sleep(UNTIL_POLL).await;
        }
        None
    }

    /// Whether `generation` is in force at every running node.
    pub fn in_force(&self, generation: Generation) -> bool {
        let of = |n: &Arc<Node>| n.context.config().map(|v| v.stamp.generation);
        self.nodes().iter().all(|n| of(n) == Some(generation))
    }

    /// Sends a search to a node as a caller would, over a link that fails if the node is killed.
    pub async fn search(
        &self,
        node: &Arc<Node>,
        call: caller::Search,
    ) -> Result<answer::Search, NoAnswer> {
        let (target, killed) = (node.clone(), node.cancel().clone());
        let serving = async move { target.search(call).await };
        deliver(killed, serving).await?.map_err(|_| NoAnswer)
    }

    /// Sends a non-idempotent request to a node.
    pub async fn run(&self, node: &Arc<Node>, call: caller::Run) -> Result<answer::Run, NoAnswer> {
        let (target, killed) = (node.clone(), node.cancel().clone());
        let serving = async move { target.run(call).await };
        deliver(killed, serving).await?.map_err(|_| NoAnswer)
    }

    /// Addresses of the nodes for other nodes.
    pub fn peer_addresses(&self) -> Vec<id::Node> {
        (0..self.len()).map(|i| address(i, PEERS)).collect()
    }
}

const UPSTREAM_DELAY: Duration = Duration::from_millis(1);
const NODE_DELAY: Duration = Duration::from_millis(1);
const UNTIL_POLL: Duration = Duration::from_millis(10);
const SETTLE_POLL: Duration = Duration::from_millis(50);
const SETTLE_POLLS: usize = 400;
const PEERS: u16 = 7_100;
const CALLERS: u16 = 7_000;
const OPERATORS: u16 = 7_200;

async fn deliver<T: Send + 'static>(
    killed: CancellationToken,
    serving: impl Future<Output = T> + Send + 'static,
) -> Result<T, NoAnswer> {
    if killed.is_cancelled() {
        return Err(NoAnswer);
    }
    // A task of its own: the node goes on even if the caller does not wait.
    let task = tokio::spawn(serving);
    tokio::select! {
        biased;
        () = killed.cancelled() => Err(NoAnswer),
        result = task => result.map_err(|_| NoAnswer),
    }
}

fn address(index: usize, port: u16) -> id::Node {
    let [high, low] = (index as u16).to_be_bytes();
    id::Node(SocketAddr::from(([10, 1, high, low], port)))
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| unreachable!("{text} is a constant name"))
}

fn settings(options: &Options, index: usize) -> Settings {
    Settings {
        deployment: name("test"),
        domain: name(DOMAINS[index % DOMAINS.len()]),
        caller_addr: address(index, CALLERS).0,
        peer_addr: address(index, PEERS).0,
        operator_addr: address(index, OPERATORS).0,
        platform_addr: address(usize::from(u16::MAX), PEERS).0,
        routing: options.routing,
        address_validity: Duration::from_secs(5),
        id_validity: Duration::from_secs(10),
        stop_limit: Duration::from_secs(60),
        max_requests: 1_000,
        max_body_bytes: 1 << 20,
        io_timeout: Duration::from_secs(5),
        worker_threads: 1,
        log_level: "off".to_owned(),
        statsd_addr: None,
        otlp_url: None,
    }
}

/// Upstreams of a group.
const REPLICAS: usize = 3;
const SLOTS: u32 = 3;
const CONNECTIONS: u32 = 65;

/// The configuration of a cluster. With fewer groups than the cluster was made with, some
/// upstreams are left without work; with more, group `g` shares its upstreams with another.
pub fn deployment(
    options: &Options,
    generation: Generation,
    map: Generation,
    groups: usize,
) -> Deployment {
    let server = |service: u8, group: usize, replica: usize| {
        let number = (group * REPLICAS + replica) as u16;
        let [high, low] = number.to_be_bytes();
        let address = SocketAddr::from(([10, 10 + service, high, low], 8_000));
        let domain = name(DOMAINS[replica % DOMAINS.len()]);
        Server { upstream: id::Upstream(address), domain, leaving: false }
    };
    let group = |service: u8, index: usize, count: usize| Group {
        range: KeyRange::part(index as u32, count as u32),
        servers: (0..REPLICAS).map(|r| server(service, index, r)).collect(),
    };
    let service = |text: &str, number: u8, versioned, map, count: usize| Service {
        name: name(text),
        versioned,
        slots: SLOTS,
        connections: CONNECTIONS,
        connection_setup_ms: 6,
        map,
        groups: (0..count).map(|g| group(number, g, count)).collect(),
    };
    let class = |text: &str, service: &str, rank, at_most_once| Class {
        name: name(text),
        services: vec![name(service)],
        rank,
        deadline_ms: options.deadline.as_millis() as u64,
        coverage: options.coverage,
        at_most_once,
    };
    let classes = vec![
        class(FIRST_CLASS, SEARCH_SERVICE, 0, false),
        class(SECOND_CLASS, SEARCH_SERVICE, 1, false),
        class(AT_MOST_ONCE_CLASS, LEDGER_SERVICE, 1, true),
    ];
    Deployment {
        format: FORMAT_VERSION,
        name: name("test"),
        generation,
        weigh_most: Priority::TailLatency,
        domains: DOMAINS.iter().map(|d| name(d)).collect(),
        callers: vec![Caller {
            name: name(CALLER),
            classes: classes.iter().map(|c| c.name.clone()).collect(),
        }],
        classes,
        services: vec![
            service(SEARCH_SERVICE, 0, true, map, groups),
            service(LEDGER_SERVICE, 1, false, Generation(1), 2),
        ],
    }
}

/// A search for `query` in `class`.
pub fn search_request(class: &str, query: &str) -> caller::Search {
    caller::Search {
        caller: name(CALLER),
        class: name(class),
        services: vec![name(SEARCH_SERVICE)],
        query: query.to_owned(),
        limit: None,
        deadline_ms: None,
    }
}

/// A non-idempotent request with `body` under `id`.
pub fn run_request(body: &str, id: Option<policy::home::RequestId>) -> caller::Run {
    caller::Run {
        caller: name(CALLER),
        class: name(AT_MOST_ONCE_CLASS),
        service: name(LEDGER_SERVICE),
        key: body.to_owned(),
        body: body.to_owned(),
        id,
        deadline_ms: None,
    }
}
