//! Selects the nodes whose addresses a caller gets.
//!
//! VMs differ widely in size: a request that takes a given time on a whole core takes six times
//! as long on a sixth of a core. Some failure domains have no upstreams, so that every attempt
//! from there would leave the domain.

use std::net::SocketAddr;

use base::{hash::FastMap, id};
use smol_str::SmolStr;

use super::region::Regions;

/// A node that serves callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: id::Node,
    /// Address on which it serves callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Processor time of its VM, in thousandths of a core.
    pub capacity: u32,
}

/// A node is strong if it has at least this share of the strongest node's capacity.
const STRONG_NODE_SHARE: f64 = 0.5;
/// Strong nodes carry all requests if they have at least this share of the whole fleet's
/// capacity. Measured on the grown deployments: a request takes a few milliseconds of a core, so
/// a tenth of a fleet is far from full.
const STRONG_CAPACITY_SHARE: f64 = 0.1;
/// Least number of nodes named to a caller, if the fleet has as many.
const MIN_NODES: usize = 2;
/// A failure domain serves its own callers if upstreams in it cover at least this share of the
/// pools that the best covered domain has.
const LOCAL_COVERAGE_SHARE: f64 = 0.5;

/// Returns the nodes that should carry requests: the strong nodes if their capacity suffices,
/// otherwise all.
pub fn preferred_nodes(candidates: &[Candidate]) -> Vec<&Candidate> {
    let max = candidates.iter().map(|c| c.capacity).max().unwrap_or_default();
    let is_strong = |c: &&Candidate| f64::from(c.capacity) >= STRONG_NODE_SHARE * f64::from(max);
    let capacity = |nodes: &[&Candidate]| nodes.iter().map(|c| f64::from(c.capacity)).sum::<f64>();
    let all: Vec<&Candidate> = candidates.iter().collect();
    let strong: Vec<&Candidate> = candidates.iter().filter(is_strong).collect();
    let suffices =
        strong.len() >= MIN_NODES && capacity(&strong) >= STRONG_CAPACITY_SHARE * capacity(&all);
    if suffices { strong } else { all }
}

/// Returns the nodes that may get the requests of a caller in the region `caller` to routes with the
/// home regions `homes`, one list for each route: those in its region, and those in a home region of each
/// of the routes. All nodes if no route has home regions, or if no regions are known.
///
/// A node in another region would get the bodies of requests that must not leave their regions, so that
/// none is named even if no other node serves.
pub fn nodes_in_home_regions(
    candidates: &[Candidate],
    regions: &Regions,
    homes: &[&[id::Region]],
    caller: Option<&str>,
) -> Vec<Candidate> {
    let is_allowed = |c: &&Candidate| {
        let Some(region) = regions.region(c.domain.as_str()) else { return false };
        caller == Some(region.as_str()) || homes.iter().all(|homes| homes.contains(region))
    };
    let is_unrestricted = homes.is_empty() || regions.is_empty();
    candidates.iter().filter(|c| is_unrestricted || is_allowed(c)).cloned().collect()
}

/// Returns the nodes to name to a caller in `domain`. `coverage` is the number of pools with an
/// upstream in each failure domain.
///
/// Prefers nodes of the caller's own domain, then nodes of domains with enough upstreams.
pub fn nodes_for_domain<'a>(
    domain: &str,
    candidates: &'a [Candidate],
    coverage: &FastMap<SmolStr, usize>,
) -> Vec<&'a Candidate> {
    let preferred = preferred_nodes(candidates);
    let covered = |d: &id::Domain| coverage.get(d.as_str()).copied().unwrap_or_default() as f64;
    let max = coverage.values().copied().max().unwrap_or_default() as f64;
    let is_covered = |d: &id::Domain| covered(d) >= LOCAL_COVERAGE_SHARE * max;
    let is_local = |c: &&&Candidate| c.domain.as_str() == domain && is_covered(&c.domain);
    let local: Vec<&Candidate> = preferred.iter().filter(is_local).copied().collect();
    if local.len() >= MIN_NODES {
        return local;
    }
    let in_covered_domains: Vec<&Candidate> =
        preferred.iter().filter(|c| is_covered(&c.domain)).copied().collect();
    if in_covered_domains.len() >= MIN_NODES { in_covered_domains } else { preferred }
}
