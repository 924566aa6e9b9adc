//! Selection of the nodes named to callers.
//!
//! Guards against callers that are sent to nodes too weak for their requests, or to nodes in
//! failure domains without upstreams, and against answers that name no node.

use base::{hash::FastMap, id};
use policy::relay::node_selection::{Candidate, nodes_for_domain, preferred_nodes};
use smol_str::SmolStr;

fn node(n: u8, domain: &str, capacity: u32) -> Candidate {
    let address = ([10, 0, 0, n], 80).into();
    Candidate { node: id::Node(address), address, domain: domain.parse().expect("name"), capacity }
}

fn coverage(of: &[(&str, usize)]) -> FastMap<SmolStr, usize> {
    of.iter().map(|(domain, pools)| (SmolStr::new(domain), *pools)).collect()
}

fn check(domain: &str, nodes: &[Candidate], covered: &[(&str, usize)], expected: &[u8]) {
    let chosen = nodes_for_domain(domain, nodes, &coverage(covered));
    let mut numbers: Vec<u8> = chosen.iter().map(|c| last_octet(c)).collect();
    numbers.sort_unstable();
    assert_eq!(numbers, expected, "caller in {domain}");
}

fn last_octet(candidate: &Candidate) -> u8 {
    match candidate.address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    }
}

const BOTH_COVERED: &[(&str, usize)] = &[("a", 10), ("b", 10)];

#[test]
fn equal_nodes_of_the_callers_domain_are_named() {
    let nodes = [node(1, "a", 170), node(2, "a", 170), node(3, "b", 170), node(4, "b", 170)];
    check("a", &nodes, BOTH_COVERED, &[1, 2]);
    check("b", &nodes, BOTH_COVERED, &[3, 4]);
    check("elsewhere", &nodes, BOTH_COVERED, &[1, 2, 3, 4]);
}

#[test]
fn a_domain_with_one_node_left_gets_the_others_too() {
    let nodes = [node(1, "a", 170), node(3, "b", 170), node(4, "b", 170)];
    check("a", &nodes, BOTH_COVERED, &[1, 3, 4]);
}

#[test]
fn strong_nodes_carry_the_callers_of_a_fleet_of_weak_ones() {
    let mut nodes: Vec<Candidate> = (10..40).map(|n| node(n, "a", 84)).collect();
    nodes.extend([node(1, "a", 500), node(2, "a", 500), node(3, "b", 500), node(4, "b", 500)]);
    check("a", &nodes, BOTH_COVERED, &[1, 2]);
    assert_eq!(preferred_nodes(&nodes).len(), 4);
}

#[test]
fn one_strong_node_does_not_carry_all_requests() {
    let mut nodes: Vec<Candidate> = (10..14).map(|n| node(n, "a", 84)).collect();
    nodes.push(node(1, "a", 500));
    check("a", &nodes, BOTH_COVERED, &[1, 10, 11, 12, 13]);
}

#[test]
fn strong_nodes_with_too_little_capacity_do_not_carry_the_fleet() {
    let mut nodes: Vec<Candidate> = (10..250).map(|n| node(n, "a", 84)).collect();
    nodes.extend([node(1, "a", 500), node(2, "a", 500)]);
    assert_eq!(preferred_nodes(&nodes).len(), nodes.len());
}

#[test]
fn callers_in_a_domain_without_upstreams_use_nodes_near_upstreams() {
    let nodes = [node(1, "a", 500), node(2, "a", 500), node(5, "c", 500), node(6, "c", 500)];
    check("c", &nodes, &[("a", 36), ("c", 1)], &[1, 2]);
    check("c", &nodes, &[("a", 36), ("c", 30)], &[5, 6]);
    check("c", &nodes, &[], &[5, 6]);
}

#[test]
fn a_node_is_named_if_any_node_serves() {
    check("a", &[node(9, "c", 84)], &[("a", 36)], &[9]);
    check("a", &[], &[("a", 36)], &[]);
}
