//! Test fixture: nodes as separate processes on loopback, with stand-ins for the upstreams and the
//! platform's store.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

mod link;
pub(crate) mod upstream_link;

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use link::Links;
pub(crate) use platform_standin::upstream::Spec;
use platform_standin::{
    caller::{self, Config},
    store::Store,
    upstream::Upstream,
};

/// Port at which nodes reach each other.
pub(crate) const PEER_PORT: u16 = 7104;
/// Port that nodes behind links listen on.
const LINKED_PORT: u16 = 7106;
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_balsamgate");
/// Limit of [`eventually`]: many times what a node needs to be ready, or a fleet to converge, on a
/// busy machine. No test measures a time by it.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Failure domains of the nodes and upstreams.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Drain time of upstreams that leave.
pub(crate) const DRAIN: Duration = Duration::from_secs(3);
/// Time that a node has for a planned stop.
pub(crate) const GRACE: Duration = Duration::from_secs(6);
pub(crate) const HOST: &str = "search.example";

/// Process of one node.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) ip: IpAddr,
    program: PathBuf,
    child: Option<Child>,
    /// Whether standard output is a pipe that nobody reads, rather than the log file.
    unread_stdout: bool,
    settings: PathBuf,
    pub(crate) log: PathBuf,
}

impl Process {
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 7101)
    }

    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 7102)
    }

    pub(crate) fn directory(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 7103)
    }

    pub(crate) fn start(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log).expect("log file");
        let child = Command::new(&self.program)
            .args(["relay", "--settings"])
            .arg(&self.settings)
            .stdout(match self.unread_stdout {
                true => Stdio::piped(),
                false => log.try_clone().expect("log file").into(),
            })
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Uses `program` from the next start on.
    pub(crate) fn set_program(&mut self, program: PathBuf) {
        self.program = program;
    }

    /// Process id while the process runs.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        child.try_wait().expect("a child of this process").is_none()
    }

    /// Sends a signal such as `-TERM` to the process.
    pub(crate) fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(sent.success(), "signal {name} to {id}");
    }

    /// Waits for the process to exit. Returns its exit code, -1 if a signal ended it, or `None` if
    /// it still runs after `limit`.
    pub(crate) async fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        let start = std::time::Instant::now();
        while start.elapsed() < limit {
            let child = self.child.as_mut()?;
            if let Some(status) = child.try_wait().expect("a child of this process") {
                self.child = None;
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails if the process has exited already.
            let _ = child.kill();
            child.wait().expect("a child of this process");
        }
    }

    pub(crate) fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Loopback addresses that no other fleet uses, also of test processes that run beside this one.
#[derive(Debug)]
struct Subnet {
    prefix: [u8; 3],
    /// Holds the subnet's last address while the fleet exists.
    _reservation: TcpListener,
}

impl Subnet {
    fn reserve() -> Subnet {
        loop {
            let prefix = [127, rand::random_range(10..250), rand::random_range(0..=255)];
            let [a, b, c] = prefix;
            if let Ok(reservation) = TcpListener::bind((Ipv4Addr::new(a, b, c, 254), 7100)) {
                return Subnet { prefix, _reservation: reservation };
            }
        }
    }

    fn node(&self, n: u8) -> IpAddr {
        let [a, b, c] = self.prefix;
        Ipv4Addr::new(a, b, c, n + 1).into()
    }
}

/// Nodes and the directory with their settings and logs.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Process>,
    directory: PathBuf,
    /// Set if a test may cut nodes off from each other.
    links: Option<Links>,
    _subnet: Subnet,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if !std::thread::panicking() {
            // The logs of a failed test are kept. A directory that cannot be removed is left to the
            // system's cleanup of temporary files.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts `count` nodes that use the platform's store at `store`.
    pub(crate) fn start(count: u8, store: SocketAddr) -> Fleet {
        Fleet::start_with(count, store, false)
    }

    /// Like [`Fleet::start`]. With `unread_stdout`, nodes log at a practically unlimited rate to a
    /// pipe that nobody reads.
    pub(crate) fn start_with(count: u8, store: SocketAddr, unread_stdout: bool) -> Fleet {
        let log = if unread_stdout { "rate = 100000" } else { "rate = 20" };
        Fleet::start_program(PROGRAM.into(), count, store, log, unread_stdout)
    }

    /// Like [`Fleet::start`], with links between the nodes that [`Fleet::set_cut`] cuts.
    pub(crate) fn start_linked(count: u8, store: SocketAddr) -> Fleet {
        let program = Path::new(PROGRAM);
        Fleet::start_nodes(program, &equal(count), store, "rate = 20", "", (false, true))
    }

    /// Like [`Fleet::start_with`], with nodes of `program` and the lines `log` in the `[log]`
    /// section of their settings.
    pub(crate) fn start_program(
        program: PathBuf,
        count: u8,
        store: SocketAddr,
        log: &str,
        unread_stdout: bool,
    ) -> Fleet {
        Fleet::start_nodes(&program, &equal(count), store, log, "", (unread_stdout, false))
    }

    /// Starts one node for each of `cores`, the processor capacity of its VM, with the lines `bounds` in
    /// the `[bounds]` section. If they are `linked`, the addresses that they advertise are those of
    /// links.
    fn start_nodes(
        program: &Path,
        cores: &[f64],
        store: SocketAddr,
        log: &str,
        bounds: &str,
        (unread_stdout, linked): (bool, bool),
    ) -> Fleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let count = u8::try_from(cores.len()).expect("a subnet has room for them");
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("balsamgate-{process}-{number}"));
        std::fs::create_dir_all(&directory).expect("temporary directory");
        let subnet = Subnet::reserve();
        let peer_port = if linked { LINKED_PORT } else { PEER_PORT };
        let links = linked.then(|| {
            let ips = (0..count).map(|n| subnet.node(n));
            Links::start(ips.map(|ip| ((ip, PEER_PORT).into(), (ip, peer_port).into())))
        });
        let seeds = (0..count.min(3)).map(|n| format!("{}:{PEER_PORT}", subnet.node(n)));
        let seeds = seeds.collect::<Vec<_>>();
        let limits = match log.contains("[limits]") {
            true => "",
            false => "[limits]\nbuffer = 1048576\n",
        };
        let node = |n: u8| {
            let settings = directory.join(format!("node-{n}.ini"));
            let (ip, zone) = (subnet.node(n), ZONES[usize::from(n) % ZONES.len()]);
            // An earlier program of `Fleet::start_program` may not know this setting.
            let advertise = match &links {
                Some(_) => format!("advertise = {ip}:{PEER_PORT}\n"),
                None => String::new(),
            };
            let text = format!(
                "[node]\ndeployment = test\nfailure_domain = {zone}\ncores = {}\n\
                 [listen]\ncallers = {ip}:7101\nready = {ip}:7102\ndirectory = {ip}:7103\n\
                 peers = {ip}:{peer_port}\nmetrics = {ip}:7105\n\
                 [fleet]\nseeds = {}\n{advertise}[platform]\naddress = {store}\n\
                 [bounds]\n{bounds}apply = 3 s\ndrain = {} ms\ngrace = {} ms\n\
                 [extra]\nratio = 0.2\nslack = 100\n{limits}[log]\n{log}\n",
                cores[usize::from(n)],
                seeds.join(","),
                DRAIN.as_millis(),
                GRACE.as_millis(),
            );
            std::fs::write(&settings, text).expect("settings file");
            let log = directory.join(format!("node-{n}.log"));
            let program = program.to_owned();
            let mut process = Process { ip, program, child: None, unread_stdout, settings, log };
            process.start();
            process
        };
        Fleet { nodes: (0..count).map(node).collect(), directory, links, _subnet: subnet }
    }

    /// Like [`Fleet::start`], with nodes that relay requests through each other while they are cut
    /// off from the upstreams.
    pub(crate) fn start_relaying(cores: &[f64], store: SocketAddr) -> Fleet {
        Fleet::start_relaying_with(cores, store, "")
    }

    /// Like [`Fleet::start_relaying`], with further `sections` of the settings.
    pub(crate) fn start_relaying_with(cores: &[f64], store: SocketAddr, sections: &str) -> Fleet {
        let program = Path::new(PROGRAM);
        let log = format!("rate = 20\n{sections}");
        Fleet::start_nodes(program, cores, store, &log, "contact = 5 s\n", (false, false))
    }

    /// Waits until all nodes report that they are ready.
    pub(crate) async fn ready(&mut self) {
        for node in &mut self.nodes {
            let ready = node.ready();
            eventually("a node is ready", async || caller::is_ready(ready).await).await;
            // Another process may have answered at the address of a node that could not start.
            assert!(node.is_running(), "a node has exited: {}", node.log_text());
        }
    }

    /// Panics if a node has exited.
    pub(crate) fn assert_running(&mut self) {
        for node in &mut self.nodes {
            assert!(node.is_running(), "a node has exited: {}", node.log_text());
        }
    }

    /// Cuts node `n` of a linked fleet off from the other nodes, or ends that. Its callers, its
    /// upstreams and the store still reach it.
    pub(crate) fn set_cut(&self, n: usize, is_cut: bool) {
        let links = self.links.as_ref().expect("a linked fleet");
        links.set_cut(self.nodes[n].ip, is_cut);
    }

    /// Directory of the settings and logs.
    pub(crate) fn directory(&self) -> &std::path::Path {
        &self.directory
    }
}

/// Returns the processor capacity of `count` equal VMs, in cores.
fn equal(count: u8) -> Vec<f64> {
    vec![1.0; count.into()]
}

/// Polls `check` until it holds; panics after [`WAIT_LIMIT`].
pub(crate) async fn eventually(condition: &str, check: impl AsyncFn() -> bool) {
    let start = std::time::Instant::now();
    while !check().await {
        assert!(start.elapsed() < WAIT_LIMIT, "not within {WAIT_LIMIT:?}: {condition}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Name of pool `n` of the search route.
pub(crate) fn pool(n: usize) -> String {
    format!("shard-{n}")
}

/// Configuration of `version` with `pools` pools in the search route.
pub(crate) fn config(version: u64, pools: usize) -> Config {
    Config {
        version,
        host: HOST.to_owned(),
        search_pools: (0..pools).map(pool).collect(),
        min_share: 0.6,
        once_pool: "single".to_owned(),
        once_timeout: Duration::from_secs(2),
        marker_prefix: format!("/mark-{version}/"),
        cold: None,
    }
}

/// Parameters of upstream `n` of `pool`.
pub(crate) fn spec(pool: &str, n: usize) -> Spec {
    Spec {
        instance: format!("i-{pool}-{n}"),
        pool: pool.to_owned(),
        zone: ZONES[n % ZONES.len()].to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        advertised_address: None,
        slots: 3,
        service_time: Duration::from_millis(5),
        cold: None,
    }
}

/// Starts `count` upstreams for each of `pools` search pools and for the pool `single`.
pub(crate) async fn upstreams(store: &Store, pools: usize, count: usize) -> Vec<Upstream> {
    let mut all = Vec::new();
    let names = (0..pools).map(pool).chain(["single".to_owned()]);
    for name in names {
        for n in 0..count {
            let started = Upstream::start(spec(&name, n), store).await;
            all.push(started.expect("an upstream starts"));
        }
    }
    all
}
