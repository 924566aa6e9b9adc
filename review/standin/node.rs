//! Nodes of the project as separate processes, with settings as the template fills them in.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record, store::Store};

const PROGRAM: &str = "target/release/balsamgate";
const CALLERS: u16 = 18_226;
const READY: u16 = 18_227;
const DIRECTORY: u16 = 18_225;
const CONTROL: u16 = 18_224;
const PEERS: u16 = 17_740;
const METRICS: u16 = 19_464;

/// What a site says of its machines.
pub struct Site {
    pub zones: &'static [&'static str],
    pub region: &'static str,
    /// `config-apply-ms` and `drain-ms`.
    pub apply_ms: u32,
    pub contact_ms: u32,
    pub retry_slack: u32,
    /// Share of a core and MB of the n-th machine.
    pub machine: fn(usize) -> (f64, u32),
}

pub struct Nodes {
    children: Vec<Child>,
    addresses: Vec<Ipv4Addr>,
    directory: PathBuf,
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns `count` loopback addresses at which all ports are free.
fn free_addresses(count: usize) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    for n in 0..200_u32 {
        let (b, c) = (20 + (process + n) % 200, (process / 200 + 7 * n) % 250);
        let address = |d: usize| Ipv4Addr::new(127, b as u8, c as u8, d as u8 + 1);
        let ports = [CALLERS, READY, DIRECTORY, CONTROL, PEERS, METRICS];
        let is_free = |ip| ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok());
        let all: Vec<Ipv4Addr> = (0..count).map(address).collect();
        if all.iter().all(|ip| is_free(*ip)) {
            return all;
        }
    }
    panic!("no free addresses");
}

/// Starts a node with the settings at `path`.
fn spawn(path: &Path) -> std::io::Result<Child> {
    let log = File::options().append(true).create(true).open(path.with_extension("log"))?;
    Command::new(PROGRAM)
        .args(["relay", "--settings"])
        .arg(path)
        .env("BALSAMGATE_NODE_FILE", path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Nodes {
    /// Starts `count` nodes of the site pccc-search and waits until they are ready.
    pub fn start(
        count: usize,
        zones: &'static [&'static str],
        store: &Store,
        record: &Record,
    ) -> Option<Nodes> {
        let site = Site {
            zones,
            region: "carolinas",
            apply_ms: 3_000,
            contact_ms: 4_000,
            retry_slack: 116,
            machine: |_| (0.17, 182),
        };
        Nodes::start_at(&site, count, store, record)
    }

    /// Starts `count` nodes of `site` and waits until they are ready.
    pub fn start_at(site: &Site, count: usize, store: &Store, record: &Record) -> Option<Nodes> {
        let Site { zones, region, apply_ms, contact_ms, retry_slack, machine } = site;
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a temporary folder");
        let addresses = free_addresses(count);
        let seeds: Vec<String> =
            addresses.iter().take(3).map(|ip| format!("{ip}:{CONTROL}")).collect();
        let mut nodes = Nodes { children: Vec::new(), addresses, directory };
        for (n, ip) in nodes.addresses.clone().into_iter().enumerate() {
            let zone = zones[n % zones.len()];
            let regions: String = zones.iter().map(|z| format!("{z} = {region}\n")).collect();
            let (cores, memory) = machine(n);
            let settings = format!(
                "; Settings of a node, filled in by the platform.\n\
                 [node]\ndeployment = main\nfailure_domain = {zone}\ncores = {cores}\nmemory = {memory}\n\
                 [listen]\ncallers = {ip}:{CALLERS}\nready = {ip}:{READY}\n\
                 directory = {ip}:{DIRECTORY}\npeers = {ip}:{PEERS}\nmetrics = {ip}:{METRICS}\n\
                 [fleet]\nseeds = {}\n[platform]\naddress = {}\nrenewal = 1200 ms\n\
                 [bounds]\napply = {apply_ms} ms\ndrain = {apply_ms} ms\ncontact = {contact_ms} ms\ngrace = 6 s\n\
                 [extra]\nratio = 0.2\nslack = {retry_slack}\nwindow = 10 s\n[regions]\n{regions}",
                seeds.join(","),
                store.address,
            );
            let path = nodes.directory.join(format!("settings-{n}.toml"));
            std::fs::write(&path, settings).expect("a settings file");
            match spawn(&path) {
                Ok(child) => nodes.children.push(child),
                Err(e) => {
                    record.say(&format!("{PROGRAM} does not start: {e}"));
                    return None;
                }
            }
        }
        let start = Instant::now();
        for n in 0..count {
            while !nodes.is_ready(n) {
                if start.elapsed() > Duration::from_secs(20) {
                    record.say(&format!("node {n} is not ready after 20 s"));
                    return None;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        record.line(&format!("{count} nodes are ready"));
        Some(nodes)
    }

    /// Process of node `n`.
    pub fn process(&self, n: usize) -> u32 {
        self.children[n].id()
    }

    /// Kills node `n`.
    pub fn kill(&mut self, n: usize) {
        let _ = self.children[n].kill();
        let _ = self.children[n].wait();
    }

    /// Starts node `n` again after it was killed.
    pub fn restart(&mut self, n: usize) -> bool {
        let path = self.directory.join(format!("settings-{n}.toml"));
        match spawn(&path) {
            Ok(child) => self.children[n] = child,
            Err(_) => return false,
        }
        true
    }

    /// Waits until node `n` is ready.
    pub fn wait_ready(&self, n: usize) -> bool {
        let start = Instant::now();
        while !self.is_ready(n) {
            if start.elapsed() > Duration::from_secs(10) {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    pub fn callers(&self, n: usize) -> SocketAddr {
        (self.addresses[n % self.addresses.len()], CALLERS).into()
    }

    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let address: SocketAddr = (self.addresses[n], READY).into();
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            return false;
        };
        let mut connection = Connection::new(stream);
        let sent = connection.write("GET /api/ready HTTP/1.1", &[("Host", "node")], b"");
        let deadline = Instant::now() + Duration::from_secs(1);
        sent.is_ok() && matches!(connection.read(Some(deadline)), Ok(Some(m)) if m.status() == 200)
    }
}
