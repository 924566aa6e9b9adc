//! Regions: sets of failure domains. Requests of a route with home regions stay within these.

use base::{hash::FastMap, id};
use smol_str::SmolStr;

/// Region of each failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Regions {
    by_domain: FastMap<SmolStr, id::Region>,
}

impl Regions {
    /// Creates regions from the region of each failure domain.
    pub fn new(by_domain: impl IntoIterator<Item = (SmolStr, id::Region)>) -> Regions {
        Regions { by_domain: by_domain.into_iter().collect() }
    }

    /// Returns whether the region of no failure domain is known.
    pub fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
    }

    /// Returns the region of `domain` if it is known.
    pub fn region(&self, domain: &str) -> Option<&id::Region> {
        self.by_domain.get(domain)
    }

    /// Returns whether requests with the home regions `homes` may reach upstreams in `domain`. Without
    /// home regions they may; with some, they do not reach a failure domain of an unknown region.
    pub fn is_home(&self, homes: &[id::Region], domain: &str) -> bool {
        homes.is_empty() || self.region(domain).is_some_and(|region| homes.contains(region))
    }

    /// Returns whether a failure domain is known to be in `region`.
    pub fn has(&self, region: &id::Region) -> bool {
        self.by_domain.values().any(|r| r == region)
    }
}
