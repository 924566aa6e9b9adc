//! Selection of the leaf node of a shard group.

use std::net::IpAddr;

use base::{hash, id};

/// Returns the nodes in descending order of preference as the group's leaf, by rendezvous hashing.
///
/// The weight of a node depends on the node and the group alone, so that a change of membership
/// moves only the groups of the nodes that joined or left.
pub fn ranked_leaves(service: &id::Service, group: id::Group, nodes: &[id::Node]) -> Vec<id::Node> {
    let mut ranked: Vec<(u64, id::Node)> = nodes
        .iter()
        .map(|node| {
            (rendezvous_weight(service.as_str().as_bytes(), &group.0.to_be_bytes(), *node), *node)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Returns the rendezvous weight of `node` for the key formed by `kind` and `name`.
pub fn rendezvous_weight(kind: &[u8], name: &[u8], node: id::Node) -> u64 {
    let port = node.0.port().to_be_bytes();
    match node.0.ip() {
        IpAddr::V4(ip) => hash::stable(&[kind, name, &ip.octets(), &port]),
        IpAddr::V6(ip) => hash::stable(&[kind, name, &ip.octets(), &port]),
    }
}
