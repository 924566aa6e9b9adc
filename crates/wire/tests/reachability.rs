//! Codec of the messages on who reaches upstreams: the largest fits into a datagram, and what is not
//! such a message is rejected.

use std::time::{Duration, Instant};

use base::id;
use policy::relay::reachability::{Ages, Contact, Kind, MAX_OTHERS, Message};
use quickcheck::{Gen, QuickCheck};
use wire::{
    datagram::{Error, MAX_DATAGRAM_BYTES},
    heartbeat, reachability,
};

fn deployment(name: &str) -> id::Deployment {
    name.parse().expect("valid name")
}

const LARGEST: &str = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535";

fn message(others: usize) -> Message {
    message_of(LARGEST, others)
}

/// Returns a message about nodes with the address `node`.
fn message_of(node: &str, others: usize) -> Message {
    let now = Instant::now();
    let at = now.checked_sub(Duration::from_millis(4_999));
    let ages = Ages::new(now, Contact { replied: at, accepted: at });
    let node = id::Node(node.parse().expect("address"));
    Message {
        from: node,
        kind: Kind::Question { within_ms: u16::MAX },
        own: Some(ages),
        others: vec![(node, ages); others],
    }
}

#[test]
fn the_largest_message_fits_into_a_datagram() {
    let name = deployment(&"d".repeat(63));
    for others in [0, 1, MAX_OTHERS] {
        let bytes = reachability::encode(&name, &message(others)).expect("it fits");
        println!("{others} other nodes: {} bytes", bytes.len());
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(reachability::decode(&name, &bytes), Ok(message(others)));
        let usual = message_of("10.200.10.200:8224", others);
        let bytes = reachability::encode(&deployment("main"), &usual).expect("it fits");
        println!("with usual names and addresses: {} bytes", bytes.len());
    }
}

#[test]
fn other_protocols_and_deployments_are_rejected() {
    let (name, other) = (deployment("a"), deployment("b"));
    let bytes = reachability::encode(&name, &message(1)).expect("it fits");
    assert_eq!(reachability::decode(&other, &bytes), Err(Error::Foreign(name.clone())));
    let version = reachability::PROTOCOL_VERSION;
    assert_eq!(heartbeat::decode(&name, &bytes), Err(Error::Protocol(version)));
}

#[test]
fn malformed_datagrams_are_rejected_without_a_panic() {
    fn holds(cut: usize, flipped: usize, noise: Vec<u8>) -> bool {
        let name = deployment("a");
        let mut bytes = reachability::encode(&name, &message(3)).expect("it fits");
        let (flipped, cut) = (flipped % bytes.len(), cut % bytes.len());
        bytes[flipped] ^= 0x55;
        // A flipped bit may give another valid message.
        let _ = reachability::decode(&name, &bytes);
        let decode = |bytes: &[u8]| reachability::decode(&name, bytes);
        decode(&bytes[..cut]).is_err() && decode(&noise).is_err()
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(100, 20_261_205)).tests(2_000);
    check.quickcheck(holds as fn(usize, usize, Vec<u8>) -> bool);
}
