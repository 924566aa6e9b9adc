//! All upstreams of a deployment in memory.

use std::{sync::Arc, time::Duration};

use base::{hash::FastMap, id, unit::Version};
use config::deployment::Deployment;
use node::external::{self, BoxFuture, SubRequest, UpstreamError};
use policy::replica::Window;
use wire::upstream;

use crate::{
    history::Log,
    service_time::Shape,
    upstream::{Behaviour, Failure, Upstream},
};

/// Version that upstreams hold at first.
pub const FIRST_VERSION: Version = Version(1);

/// Upstreams by address.
#[derive(Debug, Clone)]
pub struct Farm {
    upstreams: Arc<FastMap<id::Upstream, Arc<Upstream>>>,
    /// One-way delay between a node and an upstream.
    delay: Duration,
}

impl Farm {
    /// The upstreams of `deployment`.
    pub fn new(
        deployment: &Deployment,
        shape: Shape,
        delay: Duration,
        log: &Log,
        seed: u64,
    ) -> Farm {
        let mut upstreams = FastMap::default();
        for service in &deployment.services {
            let first = Window { oldest: FIRST_VERSION, newest: FIRST_VERSION };
            let window = service.versioned.then_some(first);
            for server in service.groups.iter().flat_map(|g| &g.servers) {
                let mut behaviour = Behaviour::new(window);
                behaviour.maps = vec![service.map];
                let slots = service.slots as usize;
                let address = server.upstream;
                let upstream = Upstream::new(address, slots, shape, behaviour, log.clone(), seed);
                upstreams.insert(address, Arc::new(upstream));
            }
        }
        Farm { upstreams: Arc::new(upstreams), delay }
    }

    /// The upstream at `address`.
    pub fn upstream(&self, address: id::Upstream) -> Option<&Arc<Upstream>> {
        self.upstreams.get(&address)
    }

    /// All upstreams, by address.
    pub fn all(&self) -> Vec<Arc<Upstream>> {
        let mut all: Vec<_> = self.upstreams.values().cloned().collect();
        all.sort_by_key(|u| u.address());
        all
    }
}

impl external::Upstream for Farm {
    fn request(
        &self,
        sub: SubRequest,
    ) -> BoxFuture<'static, Result<upstream::Reply, UpstreamError>> {
        let upstream = self.upstreams.get(&sub.upstream).cloned();
        let delay = self.delay;
        Box::pin(async move {
            let upstream = upstream.ok_or(UpstreamError::Unreached)?;
            tokio::time::sleep(delay).await;
            let result = upstream.handle(sub.request).await;
            tokio::time::sleep(delay).await;
            result.map_err(|failure| match failure {
                Failure::Refused(refusal) => UpstreamError::Refused(refusal),
                Failure::Failed => UpstreamError::Failed,
                Failure::Lost => UpstreamError::Lost,
                Failure::Down => UpstreamError::Unreached,
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
            upstream.and_then(|u| u.status()).ok_or(UpstreamError::Unreached)
        })
    }
}
