//! In-memory upstreams of a whole deployment.

use std::{sync::Arc, time::Duration};

use base::{hash::FastMap, id, unit::Version};
use config::deployment::Deployment;
use node::external::{self, BoxFuture, SubRequest, UpstreamError};
use policy::replica::Window;
use wire::upstream;

use crate::{
    event_log::EventLog,
    service_time::ServiceTime,
    upstream::{Behaviour, Failure, Upstream},
};

/// Index version that upstreams hold at the start.
pub const INITIAL_VERSION: Version = Version(1);

/// Simulated upstreams of a deployment, keyed by address.
#[derive(Debug, Clone)]
pub struct UpstreamSet {
    upstreams: Arc<FastMap<id::Upstream, Arc<Upstream>>>,
    /// One-way delay between a node and an upstream.
    delay: Duration,
}

impl UpstreamSet {
    /// Creates the upstreams of `deployment`, with a one-way network delay of `delay`.
    pub fn new(
        deployment: &Deployment,
        service_time: ServiceTime,
        delay: Duration,
        event_log: &EventLog,
        seed: u64,
    ) -> UpstreamSet {
        let mut upstreams = FastMap::default();
        for service in &deployment.services {
            let initial = Window { oldest: INITIAL_VERSION, newest: INITIAL_VERSION };
            let window = service.versioned.then_some(initial);
            for server in service.groups.iter().flat_map(|g| &g.servers) {
                let mut behaviour = Behaviour::healthy(window);
                behaviour.maps = vec![service.map];
                let slots = service.slots as usize;
                let address = server.upstream;
                let log = event_log.clone();
                let upstream = Upstream::new(address, slots, service_time, behaviour, log, seed);
                upstreams.insert(address, Arc::new(upstream));
            }
        }
        UpstreamSet { upstreams: Arc::new(upstreams), delay }
    }

    /// Returns the upstream at `address`.
    pub fn get(&self, address: id::Upstream) -> Option<&Arc<Upstream>> {
        self.upstreams.get(&address)
    }

    /// Returns all upstreams, sorted by address.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let mut all: Vec<_> = self.upstreams.values().cloned().collect();
        all.sort_by_key(|u| u.address());
        all
    }
}

impl external::Upstream for UpstreamSet {
    fn request(
        &self,
        sub: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>> {
        let upstream = self.upstreams.get(&sub.upstream).cloned();
        let delay = self.delay;
        Box::pin(async move {
            let upstream = upstream.ok_or(UpstreamError::NotSent)?;
            tokio::time::sleep(delay).await;
            let result = upstream.handle(sub.request).await;
            tokio::time::sleep(delay).await;
            result.map_err(|failure| match failure {
                Failure::Refused(refusal) => UpstreamError::Refused(refusal),
                Failure::Failed => UpstreamError::Failed,
                Failure::Lost => UpstreamError::Lost,
                Failure::Down => UpstreamError::NotSent,
            })
        })
    }

    fn status(
        &self,
        upstream: id::Upstream,
    ) -> BoxFuture<'static, Result<upstream::Status, UpstreamError>> {
        let upstream = self.upstreams.get(&upstream).cloned();
        let delay = self.delay;
        Box::pin(async move {
            tokio::time::sleep(delay * 2).await;
            upstream.and_then(|u| u.status()).ok_or(UpstreamError::NotSent)
        })
    }
}
