//! End-to-end tests of nodes that are cut off from all upstreams, while callers, the store and other
//! nodes reach them.

mod fleet;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fleet::{
    Fleet, HOST, config, eventually, pool, spec,
    upstream_link::{Cut, UpstreamLinks},
};
use platform_standin::{
    caller::{Answer, CONFIG_KEY, CallerRequest, Connection, is_ready, lookup_nodes},
    store::Store,
    upstream::{Faults, Upstream},
};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_util::sync::CancellationToken;

const POOLS: usize = 3;
const UPSTREAMS: usize = 3;
/// Callers of each node under load: more than the connections that are kept between tests.
const CALLERS: usize = 6;
/// Time from the cut from which callers must be served, as the nodes' settings have it.
const CONTACT: Duration = Duration::from_secs(5);
/// Time under load after that.
const LOAD: Duration = Duration::from_secs(3);
const ISOLATED: &str = "this node is cut off from the upstreams";
const OUTAGE: &str = "peers do not reach upstreams either";

/// Testbeds that run at a time: links must reset a connection before it counts as accepted.
static PERMITS: Semaphore = Semaphore::const_new(2);

struct Testbed {
    _permit: SemaphorePermit<'static>,
    fleet: Fleet,
    links: UpstreamLinks,
    upstreams: Vec<Upstream>,
    next_id: Arc<AtomicUsize>,
    cancel: CancellationToken,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Testbed {
    async fn start(nodes: u8) -> Testbed {
        let testbed = Testbed::start_with(&vec![1.0; nodes.into()]).await;
        for node in 0..nodes.into() {
            testbed.wait_listed(node, true).await;
        }
        testbed
    }

    /// Starts one node for each of `cores`, the processor capacity of its VM.
    async fn start_with(cores: &[f64]) -> Testbed {
        Testbed::start_in(cores, "", &config(1, POOLS).to_json()).await
    }

    /// Starts nodes with further `sections` of their settings, and with the configuration `config`.
    async fn start_in(cores: &[f64], sections: &str, config: &str) -> Testbed {
        let permit = PERMITS.acquire().await.expect("it is never closed");
        let cancel = CancellationToken::new();
        let store = Store::start(cancel.clone()).await.expect("a store");
        store.put(CONFIG_KEY, config.as_bytes());
        let links = UpstreamLinks::new();
        let mut upstreams = Vec::new();
        for name in (0..POOLS).map(pool).chain(["single".to_owned()]) {
            for n in 0..UPSTREAMS {
                let (advertised, target) = links.open().await;
                let spec = fleet::Spec { advertised_address: Some(advertised), ..spec(&name, n) };
                let upstream = Upstream::start(spec, &store).await.expect("an upstream");
                target.send_replace(Some(upstream.address()));
                upstreams.push(upstream);
            }
        }
        let mut fleet = Fleet::start_relaying_with(cores, store.address(), sections);
        fleet.ready().await;
        links.set_processes(fleet.nodes.iter().filter_map(|n| n.id()));
        Testbed { _permit: permit, fleet, links, upstreams, next_id: Arc::default(), cancel }
    }

    fn cut(&self, nodes: &[usize], cut: Option<Cut>) {
        for node in nodes {
            self.links.set_cut(self.fleet.nodes[*node].id().expect("it runs"), cut);
        }
    }

    /// Waits until the address lists of all nodes contain `node`, or none does.
    async fn wait_listed(&self, node: usize, listed: bool) {
        let address = self.fleet.nodes[node].callers();
        for other in &self.fleet.nodes {
            let directory = other.directory();
            let condition = format!("node {node} in the list of {directory}: {listed}");
            eventually(&condition, async || {
                let found = lookup_nodes(directory, "elsewhere").await;
                found.is_some_and(|(nodes, _)| nodes.contains(&address) == listed)
            })
            .await;
        }
    }

    /// Waits until `nodes` have been isolated, under load.
    async fn wait_isolated(&self, nodes: &[usize]) {
        for node in nodes {
            let node = &self.fleet.nodes[*node];
            eventually("a node is isolated", async || node.log_text().contains(ISOLATED)).await;
        }
    }

    fn assert_never(&self, line: &str) {
        for node in &self.fleet.nodes {
            assert!(!node.log_text().contains(line), "{line}: {}", node.log.display());
        }
    }

    async fn send(&self, node: usize, path: &str) -> (String, Option<Answer>) {
        let id = format!("request-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let answer = send(self.fleet.nodes[node].callers(), path, &id).await;
        (id, answer)
    }

    /// Starts callers of `node`.
    fn load(&self, node: usize) -> Callers {
        self.load_by(node, CALLERS)
    }

    fn load_by(&self, node: usize, callers: usize) -> Callers {
        let load = Load::default();
        let address = self.fleet.nodes[node].callers();
        for _ in 0..callers {
            let (load, next_id) = (load.clone(), self.next_id.clone());
            tokio::spawn(async move {
                let mut connection = None;
                while !load.stop.load(Ordering::Relaxed) {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let path = if id % 3 == 0 { "/once/x" } else { "/search/x" };
                    let request = request(&format!("{path}{id}"), &format!("load-{id}"));
                    let answer = send_on(&mut connection, address, &request).await;
                    load.sent.fetch_add(1, Ordering::Relaxed);
                    if answer.is_none_or(|a| a.status != 200) {
                        load.failed.fetch_add(1, Ordering::Relaxed);
                    }
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
            });
        }
        Callers(load)
    }

    /// Number of runs of the request `id` at all upstreams.
    fn runs(&self, id: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(Upstream::runs);
        runs.filter(|r| r.request_id == id).count()
    }

    /// Checks the bound on failed first tries at `nodes`, which have just been cut off.
    async fn check_service(&self, nodes: &[usize], loads: &[Callers]) {
        tokio::time::sleep(CONTACT).await;
        self.wait_isolated(nodes).await;
        let early = loads.iter().map(|l| l.0.counts()).collect::<Vec<_>>();
        loads.iter().for_each(|l| l.0.restart());
        tokio::time::sleep(LOAD).await;
        println!("before, (sent, failed) {early:?}");
        loads.iter().for_each(|load| assert_served([load.0.counts()]));
    }

    /// Cuts off `nodes`, checks the service of their callers, and ends the cut.
    async fn check(&self, nodes: &[usize], cut: Cut) {
        let loads: Vec<Callers> = nodes.iter().map(|n| self.load(*n)).collect();
        self.send_some(nodes, 200).await;
        loads.iter().for_each(|l| l.0.restart());
        self.cut(nodes, Some(cut));
        self.check_service(nodes, &loads).await;
        self.cut(nodes, None);
        for node in nodes {
            self.wait_listed(*node, true).await;
            let ready = self.fleet.nodes[*node].ready();
            eventually("it is ready", async || is_ready(ready).await).await;
        }
        drop(loads);
        self.send_some(nodes, 200).await;
        self.assert_never("crash report recorded");
    }

    async fn send_some(&self, nodes: &[usize], status: u16) {
        for node in nodes {
            for path in ["/search/some", "/once/some"] {
                let (_, answer) = self.send(*node, path).await;
                assert_eq!(answer.map(|a| a.status), Some(status), "{path}");
            }
        }
    }
}

/// What the callers of one node have sent.
#[derive(Debug, Clone, Default)]
struct Load {
    sent: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

/// Ends the callers when dropped.
#[derive(Debug)]
struct Callers(Load);

impl Drop for Callers {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

impl Load {
    fn restart(&self) {
        self.sent.store(0, Ordering::Relaxed);
        self.failed.store(0, Ordering::Relaxed);
    }

    fn counts(&self) -> (usize, usize) {
        (self.sent.load(Ordering::Relaxed), self.failed.load(Ordering::Relaxed))
    }
}

/// Checks the bound on first tries that fail, over the numbers of those sent and failed.
fn assert_served(counts: impl IntoIterator<Item = (usize, usize)>) {
    let counts: Vec<(usize, usize)> = counts.into_iter().collect();
    let sent: usize = counts.iter().map(|(sent, _)| sent).sum();
    let failed: usize = counts.iter().map(|(_, failed)| failed).sum();
    println!("{failed} of {sent} failed; (sent, failed) {counts:?}");
    assert!(sent > 50 && failed <= 10 + sent / 50, "{failed} of {sent} failed");
}

fn request(path: &str, id: &str) -> CallerRequest {
    CallerRequest {
        host: HOST.to_owned(),
        path: path.to_owned(),
        id: id.to_owned(),
        timeout: Duration::from_millis(1_500),
        body: if path.starts_with("/once/") { Bytes::from("x") } else { Bytes::new() },
    }
}

/// Sends on `connection`, or on a new one; drops it after a failure.
async fn send_on(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    request: &CallerRequest,
) -> Option<Answer> {
    let mut used = match connection.take().filter(|c| !c.is_closed()) {
        Some(connection) => connection,
        None => Connection::connect(address).await.ok()?,
    };
    let answer = used.send(request).await.ok()?;
    *connection = Some(used);
    Some(answer)
}

async fn send(address: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    send_on(&mut None, address, &request(path, id)).await
}

/// Guards against a node that fails its callers while it is cut off, or that does not return.
#[tokio::test(flavor = "multi_thread")]
async fn one_node_of_four_whose_connections_are_reset() {
    let testbed = Testbed::start(4).await;
    testbed.check(&[1], Cut::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_node_of_four_whose_connections_hang() {
    let testbed = Testbed::start(4).await;
    testbed.check(&[1], Cut::Hang).await;
}

/// The connections that it has do not suffice for its callers.
#[tokio::test(flavor = "multi_thread")]
async fn one_node_of_four_that_gets_no_new_connections() {
    let testbed = Testbed::start(4).await;
    testbed.send_some(&[1], 200).await;
    testbed.cut(&[1], Some(Cut::RefuseNew));
    let load = testbed.load(1);
    testbed.check_service(&[1], &[load]).await;
    testbed.wait_listed(1, false).await;
    testbed.cut(&[1], None);
    testbed.wait_listed(1, true).await;
}

/// Guards against nodes that ask each other in vain.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_of_a_failure_domain() {
    let testbed = Testbed::start(4).await;
    testbed.check(&[0, 3], Cut::Reset).await;
}

/// Guards against nodes that ask peers that are cut off too, and take their failures for an outage.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_nine_nodes_of_ten_that_are_cut_off_are_served_by_the_tenth() {
    let testbed = Testbed::start(10).await;
    let cut_off: Vec<usize> = (0..9).collect();
    let loads: Vec<Callers> = cut_off.iter().map(|n| testbed.load_by(*n, 1)).collect();
    testbed.cut(&cut_off, Some(Cut::Hang));
    tokio::time::sleep(CONTACT).await;
    loads.iter().for_each(|l| l.0.restart());
    tokio::time::sleep(LOAD).await;
    assert_served(loads.iter().map(|l| l.0.counts()));
}

/// Guards against idle nodes that nobody asks, although they are the only ones that reach upstreams.
#[tokio::test(flavor = "multi_thread")]
async fn weak_idle_nodes_serve_while_all_strong_ones_are_cut_off() {
    let testbed = Testbed::start_with(&[4.0, 4.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5]).await;
    for strong in [0, 1] {
        testbed.wait_listed(strong, true).await;
    }
    testbed.wait_listed(7, false).await;
    let loads = [0, 1].map(|strong| testbed.load(strong));
    testbed.cut(&[0, 1, 2, 3, 4, 5], Some(Cut::Hang));
    tokio::time::sleep(CONTACT).await;
    loads.iter().for_each(|l| l.0.restart());
    let start = tokio::time::Instant::now();
    let mut looked_up = (0, 0);
    while start.elapsed() < LOAD {
        for node in &testbed.fleet.nodes {
            let named = lookup_nodes(node.directory(), "elsewhere").await;
            let named = named.and_then(|(nodes, _)| nodes.first().copied());
            let id = format!("looked-up-{}", looked_up.0);
            let answer = match named {
                Some(address) => send(address, "/search/x", &id).await,
                None => None,
            };
            looked_up.0 += 1;
            looked_up.1 += usize::from(answer.is_none_or(|a| a.status != 200));
        }
    }
    assert_served([looked_up]);
    assert_served(loads.iter().map(|l| l.0.counts()));
}

/// Guards against bodies that leave the home regions of their route by way of a peer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_relayed_within_the_home_regions_of_their_route() {
    let regions = "[regions]\na = north\nb = south\nc = south\n";
    let at_home = r#""home-regions":["north"],"prefix":"#;
    let config = config(1, POOLS).to_json().replace(r#""prefix":"#, at_home);
    let testbed = Testbed::start_in(&[1.0; 4], regions, &config).await;
    let load = testbed.load(0);
    testbed.cut(&[0], Some(Cut::Reset));
    testbed.wait_isolated(&[0]).await;
    tokio::time::sleep(LOAD).await;
    drop(load);
    let log = testbed.fleet.nodes[0].log_text();
    let relayed = |n: usize| {
        let peer = format!("\"peer\":\"{}\"", testbed.fleet.nodes[n].callers());
        log.lines().filter(|l| l.contains("relayed") && l.contains(&peer)).count()
    };
    println!("relayed to the nodes {:?}", [0, 1, 2, 3].map(relayed));
    assert!(relayed(3) > 0);
    assert_eq!((relayed(1), relayed(2)), (0, 0));
}

/// Guards against nodes that leave in an outage of the upstreams, or at its end.
#[tokio::test(flavor = "multi_thread")]
async fn no_node_leaves_in_an_outage_of_all_upstreams() {
    for cut in [Cut::Reset, Cut::Hang] {
        let testbed = Testbed::start(4).await;
        let all = [0, 1, 2, 3];
        let loads: Vec<Callers> = all.iter().map(|n| testbed.load(*n)).collect();
        testbed.cut(&all, Some(cut));
        for node in &testbed.fleet.nodes {
            eventually("peers are asked", async || node.log_text().contains(OUTAGE)).await;
        }
        tokio::time::sleep(LOAD).await;
        testbed.cut(&all, None);
        tokio::time::sleep(LOAD).await;
        drop(loads);
        testbed.send_some(&all, 200).await;
        testbed.assert_never(ISOLATED);
    }
}

/// Guards against a second run by way of a peer, and against "not run" for what may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_run_only_once_is_relayed_once() {
    let mut testbed = Testbed::start(2).await;
    let load = testbed.load(0);
    testbed.cut(&[0], Some(Cut::Reset));
    testbed.wait_isolated(&[0]).await;
    drop(load);
    for _ in 0..50 {
        let (id, answer) = testbed.send(0, "/once/x").await;
        assert_eq!(answer.map(|a| a.status), Some(200));
        assert_eq!(testbed.runs(&id), 1);
    }
    // The peer ends while the request runs.
    let slow = Faults { extra_latency: Duration::from_secs(1), ..Faults::default() };
    testbed.upstreams.iter().for_each(|u| u.set_faults(slow.clone()));
    let address = testbed.fleet.nodes[0].callers();
    let sent = tokio::spawn(async move { send(address, "/once/last", "last").await });
    eventually("it runs", async || testbed.runs("last") == 1).await;
    testbed.fleet.nodes[1].kill();
    let answer = sent.await.expect("the caller does not panic").expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(testbed.runs("last"), 1);
}
