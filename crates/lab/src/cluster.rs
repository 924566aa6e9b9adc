//! In-memory deployment on virtual time: real nodes with simulated upstreams, platform and
//! network.

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
    context::{Context, External},
    external::{self, BoxFuture, SubRequest, UpstreamError},
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

/// Versioned service, for searches.
pub const SEARCH_SERVICE: &str = "search";
/// Unversioned service, for non-idempotent requests.
pub const LEDGER_SERVICE: &str = "ledger";
/// Search class with the higher priority.
pub const FIRST_CLASS: &str = "first";
/// Search class with the lower priority.
pub const SECOND_CLASS: &str = "second";
/// Class of the non-idempotent requests, which run at most once.
pub const AT_MOST_ONCE_CLASS: &str = "once";
/// Caller set that may use every class.
pub const CALLER: &str = "tester";

/// Wall clock time at which a cluster starts, since the Unix epoch.
const WALL_ORIGIN: Duration = Duration::from_secs(1_700_000_000);
const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// Configuration of a cluster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Nodes in each of the three failure domains.
    pub nodes_per_domain: usize,
    /// Shard groups of the search service.
    pub groups: usize,
    /// Service time distribution of upstreams.
    pub service_time: ServiceTime,
    /// Routing of sub-requests between nodes.
    pub routing: Routing,
    /// Optional mechanisms of the group schedulers.
    pub mechanisms: group::Options,
    /// Coverage rule of all classes.
    pub coverage: CoverageRule,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// Seed of all random number generators.
    pub seed: u64,
}

impl Options {
    /// Returns a configuration of the size of current production deployments: 18 nodes and 25
    /// groups.
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

/// Error of a request that got no answer, because the node was killed or rejected it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoAnswer;

/// Client through which a node reaches upstreams. Once the node is killed, requests are no longer
/// sent, and pending ones never return.
#[derive(Debug)]
struct KillableClient {
    upstreams: UpstreamSet,
    killed: CancellationToken,
}

impl external::Upstream for KillableClient {
    fn request(
        &self,
        sub: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>> {
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
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>> {
        self.upstreams.status(upstream)
    }
}

/// In-memory deployment.
#[derive(Debug)]
pub struct Cluster {
    /// Configuration of the cluster.
    pub options: Options,
    /// Network between nodes.
    pub mesh: Mesh,
    /// Simulated upstreams.
    pub upstreams: UpstreamSet,
    /// Events at upstreams.
    pub event_log: EventLog,
    /// Simulated platform service.
    pub platform: Platform,
    nodes: Mutex<Vec<Arc<Node>>>,
    clock: Arc<dyn Clock>,
}

impl Cluster {
    /// Starts a cluster whose nodes are listed at the platform, and waits until they are ready.
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
        let vms = (0..count).map(|i| Vm { address: address(i, PEER_PORT).0, state: State::Live });
        let vms = vms.collect();
        cluster.platform.change(|state| state.vms = vms);
        for index in 0..count {
            let node = cluster.start_node(index, 1);
            cluster.nodes.lock().push(node);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Waits until each running node is ready and sees all others serving, or for 20 s of virtual
    /// time at most.
    pub async fn wait_until_ready(&self) {
        let count = self.nodes().len();
        let serving = |n: &Arc<Node>| n.context.view().iter().filter(|r| r.serving).count();
        let ready = |n: &Arc<Node>| n.is_ready() && serving(n) + 1 >= count;
        for _ in 0..READY_POLLS {
            if self.nodes().iter().all(ready) {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    fn start_node(&self, index: usize, incarnation: u64) -> Arc<Node> {
        let peer_address = address(index, PEER_PORT);
        let endpoint = Arc::new(self.mesh.endpoint(peer_address));
        let killed = CancellationToken::new();
        let upstream = KillableClient { upstreams: self.upstreams.clone(), killed: killed.clone() };
        let external = External {
            upstream: Arc::new(upstream),
            peer: endpoint.clone(),
            platform: Arc::new(self.platform.clone()),
            network: endpoint,
            clock: self.clock.clone(),
        };
        let wall_clock = WallClock::with_origin(self.clock.clone(), WALL_ORIGIN + self.uptime());
        let seed = self.options.seed
            ^ base::hash::stable(&[&index.to_be_bytes(), &incarnation.to_be_bytes()]);
        let settings = settings(&self.options, index);
        let context =
            Context::new(settings, id::Incarnation(incarnation), external, wall_clock, seed)
                .with_options(self.options.mechanisms);
        let node = Arc::new(Node::new(context, killed));
        self.mesh.add(&node);
        node.start();
        node
    }

    /// Returns the time since the start of the cluster, by the clock of the first node.
    fn uptime(&self) -> Duration {
        let nodes = self.nodes.lock();
        let first = nodes.first().map(|n| n.context.wall_clock.unix_ms());
        first.map_or(Duration::ZERO, |ms| Duration::from_millis(ms).saturating_sub(WALL_ORIGIN))
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> Vec<Arc<Node>> {
        self.nodes.lock().iter().filter(|n| !n.cancel().is_cancelled()).cloned().collect()
    }

    /// Returns the node at `index` modulo the number of nodes, running or not.
    pub fn node(&self, index: usize) -> Arc<Node> {
        let nodes = self.nodes.lock();
        nodes[index % nodes.len()].clone()
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.lock().len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Kills a node without notice.
    pub fn kill(&self, index: usize) {
        let node = self.node(index);
        node.cancel().cancel();
        self.mesh.remove(node.context.node);
    }

    /// Stops a node gracefully: it leaves the fleet and drains. Returns the number of requests that
    /// were cut off.
    pub async fn stop(&self, index: usize) -> usize {
        let node = self.node(index);
        let limit = node.context.settings.stop_limit;
        node.leave(limit).await;
        // The listener is closed before draining, so that new connections are refused.
        self.mesh.remove(node.context.node);
        let cut_off = node.drain(limit).await;
        node.cancel().cancel();
        cut_off
    }

    /// Kills the node at `index` and starts a new incarnation at its address.
    pub fn restart(&self, index: usize) {
        let old = self.node(index);
        old.cancel().cancel();
        let node = self.start_node(index, old.context.incarnation.0 + 1);
        self.nodes.lock()[index] = node;
    }

    /// Publishes the configuration as `generation`, with shard map `map` of `groups` groups, and
    /// returns it.
    pub fn publish(&self, generation: Generation, map: Generation, groups: usize) -> Deployment {
        let deployment = deployment(&self.options, generation, map, groups);
        self.platform.publish(generation, deployment.to_bytes());
        deployment
    }

    /// Waits up to `limit` until `condition` holds. Returns the time that passed, or `None` on a
    /// timeout.
    pub async fn wait_until(
        &self,
        limit: Duration,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Option<Duration> {
        let started = tokio::time::Instant::now();
        while started.elapsed() <= limit {
            if condition(self) {
                return Some(started.elapsed());
            }
            tokio::time::sleep(CONDITION_POLL_INTERVAL).await;
        }
        None
    }

    /// Returns whether `generation` is in force at every running node.
    pub fn in_force(&self, generation: Generation) -> bool {
        let in_force = |n: &Arc<Node>| n.context.config().map(|v| v.stamp.generation);
        self.nodes().iter().all(|n| in_force(n) == Some(generation))
    }

    /// Sends a search to a node as a caller would.
    ///
    /// # Errors
    ///
    /// Fails if the node is killed before it answers, or rejects the request.
    pub async fn search(
        &self,
        node: &Arc<Node>,
        call: caller::Search,
    ) -> Result<answer::Search, NoAnswer> {
        let (target, killed) = (node.clone(), node.cancel().clone());
        let serving = async move { target.search(call).await };
        deliver(killed, serving).await?.map_err(|_| NoAnswer)
    }

    /// Sends a non-idempotent request to a node as a caller would.
    ///
    /// # Errors
    ///
    /// Fails if the node is killed before it answers, or rejects the request.
    pub async fn run(&self, node: &Arc<Node>, call: caller::Run) -> Result<answer::Run, NoAnswer> {
        let (target, killed) = (node.clone(), node.cancel().clone());
        let serving = async move { target.run(call).await };
        deliver(killed, serving).await?.map_err(|_| NoAnswer)
    }

    /// Returns the peer addresses of all nodes, running or not.
    pub fn peer_addresses(&self) -> Vec<id::Node> {
        (0..self.len()).map(|i| address(i, PEER_PORT)).collect()
    }
}

/// One-way delay between a node and an upstream.
const UPSTREAM_DELAY: Duration = Duration::from_millis(1);
/// One-way delay between two nodes.
const NODE_DELAY: Duration = Duration::from_millis(1);
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const READY_POLLS: usize = 400;
const PEER_PORT: u16 = 7_100;
const CALLER_PORT: u16 = 7_000;
const OPERATOR_PORT: u16 = 7_200;

/// Runs `serving`, the handling of a request at a node, until it returns or the node is killed.
async fn deliver<T: Send + 'static>(
    killed: CancellationToken,
    serving: impl Future<Output = T> + Send + 'static,
) -> Result<T, NoAnswer> {
    if killed.is_cancelled() {
        return Err(NoAnswer);
    }
    // A separate task: the node continues to handle the request if the caller stops waiting.
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

/// Parses a constant name.
fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| unreachable!("the constant name {text} is invalid"))
}

fn settings(options: &Options, index: usize) -> Settings {
    Settings {
        deployment: name("test"),
        domain: name(DOMAINS[index % DOMAINS.len()]),
        caller_addr: address(index, CALLER_PORT).0,
        peer_addr: address(index, PEER_PORT).0,
        operator_addr: address(index, OPERATOR_PORT).0,
        platform_addr: address(usize::from(u16::MAX), PEER_PORT).0,
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

/// Upstreams of each group.
const REPLICAS: usize = 3;
/// Slots of each upstream.
const SLOTS: u32 = 3;
/// Connection limit of each upstream.
const CONNECTIONS: u32 = 65;

/// Returns the configuration of a cluster, with shard map `map` of `groups` groups. With fewer
/// groups than the cluster was started with, some upstreams are unused; with more, the servers of
/// the additional groups do not exist.
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

/// Returns a search request for `query` in `class`.
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

/// Returns a non-idempotent request with `body` and request id `id`.
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
