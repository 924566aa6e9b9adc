//! A deployment on loopback in one process: real sockets, stand-ins for upstreams and platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{id, unit::Version};
use config::{
    deployment::Deployment,
    settings::{Routing, Settings},
};
use node::server::{Error, Server};
use policy::replica::Window;
use standin::{
    event_log::EventLog,
    http::{TraceHeaders, serve_platform, serve_upstream},
    platform::Platform,
    service_time::ServiceTime,
    upstream_set::UpstreamSet,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::platform::{State, Vm};

/// Addresses of one node.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The stand-ins of a deployment, over HTTP.
#[derive(Debug)]
pub struct StandIns {
    /// The configuration, with the addresses that the upstreams were given.
    pub deployment: Deployment,
    /// The upstreams.
    pub upstreams: UpstreamSet,
    /// What they saw.
    pub event_log: EventLog,
    /// Trace headers that they were sent.
    pub trace_headers: TraceHeaders,
    /// The platform's service.
    pub platform: Platform,
    /// Its address.
    pub platform_address: SocketAddr,
}

impl StandIns {
    /// Starts the upstreams of `deployment` and the platform's service. With `ephemeral`, each
    /// upstream gets a free port, and the deployment is changed to say so.
    pub async fn start(
        mut deployment: Deployment,
        ephemeral: bool,
        shape: ServiceTime,
        seed: u64,
    ) -> std::io::Result<StandIns> {
        let mut listeners = Vec::new();
        for service in &mut deployment.services {
            let setup = Duration::from_millis(service.connection_setup_ms);
            for server in service.groups.iter_mut().flat_map(|g| &mut g.servers) {
                let mut address = server.upstream.0;
                if ephemeral {
                    address.set_port(0);
                }
                let listener = TcpListener::bind(address).await?;
                server.upstream = id::Upstream(listener.local_addr()?);
                listeners.push((server.upstream, listener, setup));
            }
        }
        let event_log = EventLog::new();
        let upstreams = UpstreamSet::new(&deployment, shape, Duration::ZERO, &event_log, seed);
        let trace_headers = TraceHeaders::default();
        for (address, listener, setup) in listeners {
            if let Some(upstream) = upstreams.get(address) {
                tokio::spawn(serve_upstream(
                    upstream.clone(),
                    listener,
                    setup,
                    trace_headers.clone(),
                ));
            }
        }
        let platform = Platform::new();
        platform.publish(deployment.generation, deployment.to_bytes());
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_address = listener.local_addr()?;
        tokio::spawn(serve_platform(platform.clone(), listener));
        Ok(StandIns { deployment, upstreams, event_log, trace_headers, platform, platform_address })
    }

    /// Settings of node `index`, which listens at `place`.
    pub fn settings(&self, index: usize, place: NodeAddresses) -> Settings {
        let domains = &self.deployment.domains;
        Settings {
            deployment: self.deployment.name.clone(),
            domain: domains[index % domains.len()].clone(),
            caller_addr: place.callers,
            peer_addr: place.peers,
            operator_addr: place.operators,
            platform_addr: self.platform_address,
            routing: Routing::ViaLeaf,
            address_validity: Duration::from_secs(1),
            id_validity: Duration::from_secs(3),
            stop_limit: Duration::from_secs(20),
            max_requests: 1_000,
            max_body_bytes: 1 << 20,
            io_timeout: Duration::from_secs(5),
            worker_threads: 0,
            log_level: "info".to_owned(),
            statsd_addr: None,
            otlp_url: None,
        }
    }

    /// Starts a node for each of `places` and lists them at the platform.
    pub async fn start_nodes(&self, places: &[NodeAddresses]) -> Result<Vec<Arc<Server>>, Error> {
        let live = |p: &NodeAddresses| Vm { address: p.peers, state: State::Live };
        let vms: Vec<Vm> = places.iter().map(live).collect();
        self.platform.change(|state| state.vms = vms);
        let mut servers = Vec::new();
        for (index, place) in places.iter().enumerate() {
            let settings = self.settings(index, *place);
            let stop = CancellationToken::new();
            servers.push(Arc::new(Server::start(settings, None, index as u64, &stop).await?));
        }
        Ok(servers)
    }

    /// Moves all versioned upstreams on so that they hold `oldest` to `newest`.
    pub fn set_version_window(&self, oldest: Version, newest: Version) {
        for upstream in self.upstreams.all() {
            upstream.update_behaviour(|b| b.window = b.window.map(|_| Window { oldest, newest }));
        }
    }
}

/// Free loopback addresses for `count` nodes.
///
/// The ports are free when this returns; a process that takes one before the node does makes
/// the node's start fail.
pub fn free_node_addresses(count: usize) -> std::io::Result<Vec<NodeAddresses>> {
    let free = || -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    // The listeners are held until all ports are known, so that none comes twice.
    let mut held = Vec::new();
    let mut places = Vec::new();
    for _ in 0..count {
        let (a, callers) = free()?;
        let (b, peers) = free()?;
        let (c, operators) = free()?;
        held.extend([a, b, c]);
        places.push(NodeAddresses { callers, peers, operators });
    }
    Ok(places)
}

/// The text of a settings file for node `index`, as a process reads it.
pub fn settings_text(settings: &Settings) -> String {
    let Settings {
        deployment, domain, caller_addr, peer_addr, operator_addr, platform_addr, ..
    } = settings;
    let span = |d: Duration| base::unit::TimeSpan(d);
    format!(
        "[node]\ndeployment = {deployment}\nfailure_domain = {domain}\nthreads = {}\n\
         [listen]\ncallers = {caller_addr}\npeers = {peer_addr}\noperators = {operator_addr}\n\
         [platform]\naddress = {platform_addr}\n\
         [addresses]\nvalidity = {}\nid_validity = {}\n\
         [stop]\nlimit = {}\n[log]\nlevel = {}\n",
        settings.worker_threads,
        span(settings.address_validity),
        span(settings.id_validity),
        span(settings.stop_limit),
        settings.log_level,
    )
}
