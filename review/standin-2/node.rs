//! Processes of the project's program, started with the command of the deploy file.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::client;

/// Settings of a deployment that its nodes share, as the platform fills them into the template.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub store: SocketAddr,
    pub seeds: Vec<String>,
    /// Ports of the callers', readiness, directory and peers' listeners, the same on all machines.
    pub ports: [u16; 4],
    pub drain_ms: u64,
    pub contact_ms: u64,
    pub grace_s: String,
    pub cores: f64,
    pub memory_mb: u64,
}

impl Deployment {
    /// Bounds and limits of the site file `bz-ostion`, for machines at `ips`.
    pub fn new(store: SocketAddr, ips: &[String]) -> std::io::Result<Deployment> {
        let mut ports = [0; 4];
        let mut held = Vec::new();
        for port in &mut ports {
            *port = free_port(ips, &mut held)?;
        }
        let seeds = ips.iter().take(3).map(|ip| format!("{ip}:{}", ports[3])).collect();
        Ok(Deployment {
            store,
            seeds,
            ports,
            drain_ms: 3000,
            contact_ms: 4000,
            grace_s: "6".to_owned(),
            cores: 0.17,
            memory_mb: 182,
        })
    }

    fn settings(&self, ip: &str, zone: &str) -> String {
        let [callers, ready, directory, peers] = self.ports;
        let Deployment { store, drain_ms, contact_ms, grace_s, cores, memory_mb, .. } = self;
        let seeds = self.seeds.join(",");
        format!(
            "[node]\ndeployment = main\nfailure_domain = {zone}\ncores = {cores}\n\
             memory = {memory_mb}\n[listen]\ncallers = {ip}:{callers}\nready = {ip}:{ready}\n\
             directory = {ip}:{directory}\npeers = {ip}:{peers}\nmetrics = {ip}:9464\n[fleet]\nseeds = {seeds}\n\
             [platform]\naddress = {store}\nrenewal = 1200 ms\n[bounds]\napply = 3000 ms\n\
             drain = {drain_ms} ms\ncontact = {contact_ms} ms\ngrace = {grace_s} s\n[extra]\n\
             ratio = 0.2\nslack = 126\nwindow = 10 s\n[regions]\nkino = golfo-norte\n\
             tastiota = golfo-norte\nguaymas = golfo-norte\n"
        )
    }
}

/// Returns a port that is free at all of `ips`. It is kept from other programs while `held` lasts.
fn free_port(ips: &[String], held: &mut Vec<TcpListener>) -> std::io::Result<u16> {
    const TRIES: usize = 100;
    let mut failure = std::io::ErrorKind::AddrNotAvailable.into();
    for _ in 0..TRIES {
        let first = TcpListener::bind(("127.0.0.1", 0))?;
        let port = first.local_addr()?.port();
        let others = ips.iter().map(|ip| TcpListener::bind((ip.as_str(), port)));
        match others.collect::<std::io::Result<Vec<_>>>() {
            Ok(others) => {
                held.push(first);
                held.extend(others);
                return Ok(port);
            }
            Err(e) => failure = e,
        }
    }
    Err(failure)
}

#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub ip: String,
    ports: [u16; 4],
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(
        folder: &Path,
        deployment: &Deployment,
        name: &str,
        ip: &str,
        zone: &str,
    ) -> std::io::Result<Node> {
        let settings = folder.join(format!("{name}.ini"));
        let log = folder.join(format!("{name}.log"));
        let (name, ip, zone) = (name.to_owned(), ip.to_owned(), zone.to_owned());
        let ports = deployment.ports;
        let mut node = Node { name, ip, ports, zone, settings, log, child: None };
        node.write_settings(deployment)?;
        node.run()?;
        Ok(node)
    }

    /// Writes the settings file anew.
    pub fn write_settings(&self, deployment: &Deployment) -> std::io::Result<()> {
        let temporary = self.settings.with_extension("new");
        std::fs::write(&temporary, deployment.settings(&self.ip, &self.zone))?;
        std::fs::rename(&temporary, &self.settings)
    }

    /// Starts the process.
    pub fn run(&mut self) -> std::io::Result<()> {
        let log = File::options().append(true).create(true).open(&self.log)?;
        let child = Command::new("target/release/balsamgate")
            .args(["relay", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn callers(&self) -> String {
        format!("{}:{}", self.ip, self.ports[0])
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        let address = format!("{}:{}", self.ip, self.ports[1]);
        while start.elapsed() < limit {
            let answer =
                client::send(&address, "GET", "/api/ready", &[], b"", Duration::from_secs(1));
            if answer.is_ok_and(|a| a.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([name, &child.id().to_string()]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
