//! Real nodes as separate processes on loopback, with stand-ins around them.

// Each test file uses its own part.
#![allow(dead_code)]

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

pub(crate) use platform_standin::upstream::Spec;
use platform_standin::{
    caller::{self, Config},
    store::Store,
    upstream::Upstream,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_balsamgate");
/// Time for a node to be ready, and for the fleet to agree: many times what it takes on a busy
/// machine, as nothing is measured by it.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
pub(crate) const DRAIN: Duration = Duration::from_secs(3);
pub(crate) const GRACE: Duration = Duration::from_secs(6);
pub(crate) const HOST: &str = "search.example";

/// One node's process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) ip: IpAddr,
    program: PathBuf,
    child: Option<Child>,
    /// Its standard output is a pipe that nobody reads.
    unread: bool,
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
            .stdout(match self.unread {
                true => Stdio::piped(),
                false => log.try_clone().expect("log file").into(),
            })
            .stderr(log)
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// The process's id, while it runs.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, by its id.
    pub(crate) fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(sent.success(), "signal {name} to {id}");
    }

    /// Waits for the process to end; its exit code, or `None` if it is still there after `limit`.
    pub(crate) async fn ended(&mut self, limit: Duration) -> Option<i32> {
        let begun = std::time::Instant::now();
        while begun.elapsed() < limit {
            let child = self.child.as_mut()?;
            if let Some(status) = child.try_wait().expect("own child") {
                self.child = None;
                return Some(status.code().unwrap_or(-1));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended already cannot be killed.
            let _ = child.kill();
            child.wait().expect("own child");
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

/// Nodes with the files that they use.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Process>,
    directory: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if !std::thread::panicking() {
            // Left behind where it cannot be removed; the system clears its temporary files.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts `count` nodes that read the platform at `store`.
    pub(crate) fn start(count: u8, store: SocketAddr) -> Fleet {
        Fleet::start_with(count, store, false)
    }

    /// The same; `unread` nodes log all they can to a pipe that nobody reads.
    pub(crate) fn start_with(count: u8, store: SocketAddr, unread: bool) -> Fleet {
        let log = if unread { "rate = 100000" } else { "rate = 20" };
        Fleet::start_program(PROGRAM.into(), count, store, log, unread)
    }

    /// The same of `program`, with the lines `log` in the settings' section on logs.
    pub(crate) fn start_program(
        program: PathBuf,
        count: u8,
        store: SocketAddr,
        log: &str,
        unread: bool,
    ) -> Fleet {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("balsamgate-{process}-{number}"));
        std::fs::create_dir_all(&directory).expect("temporary directory");
        // Loopback addresses of this fleet alone, as other tests run beside it.
        let (high, low) = (10 + (process % 200) as u8, (process / 200 % 16) as u8);
        let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(127, high, low * 16 + number as u8 % 16, n + 1));
        let seeds = (0..count.min(3)).map(|n| format!("{}:7104", ip(n))).collect::<Vec<_>>();
        let node = |n: u8| {
            let settings = directory.join(format!("node-{n}.ini"));
            let (ip, zone) = (ip(n), ZONES[usize::from(n) % ZONES.len()]);
            let text = format!(
                "[node]\ndeployment = test\nfailure_domain = {zone}\n\
                 [listen]\ncallers = {ip}:7101\nready = {ip}:7102\ndirectory = {ip}:7103\n\
                 peers = {ip}:7104\nmetrics = {ip}:7105\n\
                 [fleet]\nseeds = {}\n[platform]\naddress = {store}\n\
                 [bounds]\napply = 3 s\ndrain = {} ms\ngrace = {} ms\n\
                 [extra]\nratio = 0.2\nslack = 100\n[limits]\nbuffer = 1048576\n\
                 [log]\n{log}\n",
                seeds.join(","),
                DRAIN.as_millis(),
                GRACE.as_millis(),
            );
            std::fs::write(&settings, text).expect("settings file");
            let log = directory.join(format!("node-{n}.log"));
            let program = program.clone();
            let mut process = Process { ip, program, child: None, unread, settings, log };
            process.start();
            process
        };
        Fleet { nodes: (0..count).map(node).collect(), directory }
    }

    /// Waits until all nodes say that they are ready.
    pub(crate) async fn ready(&self) {
        for node in &self.nodes {
            let ready = node.ready();
            eventually("a node is ready", async || caller::is_ready(ready).await).await;
        }
    }

    /// Where the logs are.
    pub(crate) fn directory(&self) -> &std::path::Path {
        &self.directory
    }
}

/// Waits until `check` holds.
pub(crate) async fn eventually(what: &str, check: impl AsyncFn() -> bool) {
    let begun = std::time::Instant::now();
    while !check().await {
        assert!(begun.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

/// Name of the pool `n` of the search.
pub(crate) fn pool(n: usize) -> String {
    format!("shard-{n}")
}

/// The configuration of `version`.
pub(crate) fn config(version: u64, pools: usize) -> Config {
    Config {
        version,
        host: HOST.to_owned(),
        search_pools: (0..pools).map(pool).collect(),
        min_share: 0.6,
        once_pool: "single".to_owned(),
        marker_prefix: format!("/mark-{version}/"),
    }
}

/// How to start the upstream `n` of `pool`.
pub(crate) fn spec(pool: &str, n: usize) -> Spec {
    Spec {
        instance: format!("i-{pool}-{n}"),
        pool: pool.to_owned(),
        zone: ZONES[n % ZONES.len()].to_owned(),
        address: ([127, 0, 0, 1], 0).into(),
        advertised_address: None,
        slots: 3,
        service_time: Duration::from_millis(5),
    }
}

/// Starts `count` upstreams of each of `pools` pools, and of the pool for single requests.
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
