//! Deployment on loopback: nodes on real sockets, with simulated upstreams and platform over HTTP.

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

/// Listen addresses of one node.
#[derive(Debug, Clone, Copy)]
pub struct NodeAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// Simulated upstreams and platform of a deployment, served over HTTP.
#[derive(Debug)]
pub struct StandIns {
    /// Configuration, with the addresses at which the upstreams listen.
    pub deployment: Deployment,
    /// Simulated upstreams.
    pub upstreams: UpstreamSet,
    /// Events at upstreams.
    pub event_log: EventLog,
    /// Trace headers that upstreams received.
    pub trace_headers: TraceHeaders,
    /// Simulated platform service.
    pub platform: Platform,
    /// Address of the platform service.
    pub platform_address: SocketAddr,
}

impl StandIns {
    /// Starts the upstreams of `deployment` and the platform service. With `ephemeral`, each
    /// upstream listens on a free port, which replaces the port in `deployment`.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound.
    pub async fn start(
        mut deployment: Deployment,
        ephemeral: bool,
        service_time: ServiceTime,
        seed: u64,
    ) -> std::io::Result<StandIns> {
        let mut listeners = Vec::new();
        for service in &mut deployment.services {
            let connection_setup = Duration::from_millis(service.connection_setup_ms);
            for server in service.groups.iter_mut().flat_map(|g| &mut g.servers) {
                let mut address = server.upstream.0;
                if ephemeral {
                    address.set_port(0);
                }
                let listener = TcpListener::bind(address).await?;
                server.upstream = id::Upstream(listener.local_addr()?);
                listeners.push((server.upstream, listener, connection_setup));
            }
        }
        let event_log = EventLog::new();
        let upstreams =
            UpstreamSet::new(&deployment, service_time, Duration::ZERO, &event_log, seed);
        let trace_headers = TraceHeaders::default();
        for (address, listener, connection_setup) in listeners {
            if let Some(upstream) = upstreams.get(address) {
                tokio::spawn(serve_upstream(
                    upstream.clone(),
                    listener,
                    connection_setup,
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

    /// Returns the settings of node `index`, which listens at `addresses`.
    pub fn settings(&self, index: usize, addresses: NodeAddresses) -> Settings {
        let domains = &self.deployment.domains;
        Settings {
            deployment: self.deployment.name.clone(),
            domain: domains[index % domains.len()].clone(),
            caller_addr: addresses.callers,
            peer_addr: addresses.peers,
            operator_addr: addresses.operators,
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

    /// Lists a VM for each of `nodes` at the platform and starts a node at each.
    ///
    /// # Errors
    ///
    /// Returns the first error of a node that fails to start.
    pub async fn start_nodes(&self, nodes: &[NodeAddresses]) -> Result<Vec<Arc<Server>>, Error> {
        let live = |n: &NodeAddresses| Vm { address: n.peers, state: State::Live };
        let vms: Vec<Vm> = nodes.iter().map(live).collect();
        self.platform.change(|state| state.vms = vms);
        let mut servers = Vec::new();
        for (index, addresses) in nodes.iter().enumerate() {
            let settings = self.settings(index, *addresses);
            let stop = CancellationToken::new();
            servers.push(Arc::new(Server::start(settings, None, index as u64, &stop).await?));
        }
        Ok(servers)
    }

    /// Makes all versioned upstreams hold the index versions from `oldest` to `newest`.
    pub fn set_version_window(&self, oldest: Version, newest: Version) {
        for upstream in self.upstreams.all() {
            upstream.update_behaviour(|b| b.window = b.window.map(|_| Window { oldest, newest }));
        }
    }
}

/// Returns loopback addresses with free ports for `count` nodes.
///
/// Another process may bind one of the ports before the node does; the node then fails to start.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn free_node_addresses(count: usize) -> std::io::Result<Vec<NodeAddresses>> {
    let bind = || -> std::io::Result<(std::net::TcpListener, SocketAddr)> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    // Listeners stay open until all ports are allocated, so that no port is returned twice.
    let mut listeners = Vec::new();
    let mut nodes = Vec::new();
    for _ in 0..count {
        let (caller_listener, callers) = bind()?;
        let (peer_listener, peers) = bind()?;
        let (operator_listener, operators) = bind()?;
        listeners.extend([caller_listener, peer_listener, operator_listener]);
        nodes.push(NodeAddresses { callers, peers, operators });
    }
    Ok(nodes)
}

/// Returns the text of a settings file with the main values of `settings`: addresses, failure
/// domain, threads, validities, stop limit and log level. Other settings take their defaults.
pub fn settings_text(settings: &Settings) -> String {
    let Settings {
        deployment, domain, caller_addr, peer_addr, operator_addr, platform_addr, ..
    } = settings;
    let time_span = |d: Duration| base::unit::TimeSpan(d);
    format!(
        "[node]\ndeployment = {deployment}\nfailure_domain = {domain}\nthreads = {}\n\
         [listen]\ncallers = {caller_addr}\npeers = {peer_addr}\noperators = {operator_addr}\n\
         [platform]\naddress = {platform_addr}\n\
         [addresses]\nvalidity = {}\nid_validity = {}\n\
         [stop]\nlimit = {}\n[log]\nlevel = {}\n",
        settings.worker_threads,
        time_span(settings.address_validity),
        time_span(settings.id_validity),
        time_span(settings.stop_limit),
        settings.log_level,
    )
}
