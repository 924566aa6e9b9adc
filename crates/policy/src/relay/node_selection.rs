//! Which nodes callers are told to use.
//!
//! Load answered: VMs of very different sizes, where a request costs one CPU the same time as
//! another but takes six times as long on a sixth of a core; failure domains without upstreams,
//! where every attempt would leave the domain.

use std::net::SocketAddr;

use base::{hash::FastMap, id};
use smol_str::SmolStr;

/// A node that serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where it serves callers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Processor time of its VM, in thousandths of a core.
    pub capacity: u32,
}

/// A node is strong if it has this share of the strongest one's capacity.
const STRONG: f64 = 0.5;
/// Strong nodes are enough if they have this share of all capacity. Measured on the grown
/// deployments, a request takes a few milliseconds of a core: a tenth of a fleet is far from
/// full.
const ENOUGH: f64 = 0.1;
/// Least number of nodes named, where there are as many.
const LEAST: usize = 2;
/// A failure domain serves its callers itself if it has at least this share of the pools that
/// the best one has.
const NEAR: f64 = 0.5;

/// Nodes that carry requests: the strong ones, if they are enough.
pub fn preferred_nodes(candidates: &[Candidate]) -> Vec<&Candidate> {
    let most = candidates.iter().map(|c| c.capacity).max().unwrap_or_default();
    let strong = |c: &&Candidate| f64::from(c.capacity) >= STRONG * f64::from(most);
    let sum = |nodes: &[&Candidate]| nodes.iter().map(|c| f64::from(c.capacity)).sum::<f64>();
    let all: Vec<&Candidate> = candidates.iter().collect();
    let strong: Vec<&Candidate> = candidates.iter().filter(strong).collect();
    if strong.len() >= LEAST && sum(&strong) >= ENOUGH * sum(&all) { strong } else { all }
}

/// Nodes named to a caller in `domain`. `coverage` is the number of pools that have an
/// upstream in each failure domain.
pub fn nodes_for_domain<'a>(
    domain: &str,
    candidates: &'a [Candidate],
    coverage: &FastMap<SmolStr, usize>,
) -> Vec<&'a Candidate> {
    let preferred_nodes = preferred_nodes(candidates);
    let covered = |d: &id::Domain| coverage.get(d.as_str()).copied().unwrap_or_default() as f64;
    let best = coverage.values().copied().max().unwrap_or_default() as f64;
    let is_covered = |d: &id::Domain| covered(d) >= NEAR * best;
    let near = |c: &&&Candidate| c.domain.as_str() == domain && is_covered(&c.domain);
    let own: Vec<&Candidate> = preferred_nodes.iter().filter(near).copied().collect();
    if own.len() >= LEAST {
        return own;
    }
    let others: Vec<&Candidate> =
        preferred_nodes.iter().filter(|c| is_covered(&c.domain)).copied().collect();
    if others.len() >= LEAST { others } else { preferred_nodes }
}
