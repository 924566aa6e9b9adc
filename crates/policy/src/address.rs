//! Selection of the node addresses that are returned to a caller.

use base::{hash, id};

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 3;

/// A node that may be returned to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: id::Node,
    /// Its failure domain.
    pub domain: id::Domain,
}

/// Chooses up to [`MAX_ADDRESSES`] of `candidates` for the caller named `caller`.
///
/// One node of each failure domain precedes the second node of any. The order is a rendezvous
/// hash of the caller's name, so that callers spread evenly without coordination and keep their
/// nodes when others come or go.
pub fn choose(caller: &str, candidates: &[Candidate]) -> Vec<Candidate> {
    let weight = |c: &Candidate| hash::stable(&[caller.as_bytes(), c.node.to_string().as_bytes()]);
    let mut ranked: Vec<(u64, &Candidate)> = candidates.iter().map(|c| (weight(c), c)).collect();
    ranked.sort_by_key(|(w, c)| (*w, c.node));
    let mut chosen: Vec<&Candidate> = Vec::new();
    let mut rest = Vec::new();
    for (_, candidate) in ranked {
        match chosen.iter().any(|c| c.domain == candidate.domain) {
            true => rest.push(candidate),
            false => chosen.push(candidate),
        }
    }
    chosen.into_iter().chain(rest).take(MAX_ADDRESSES).cloned().collect()
}
