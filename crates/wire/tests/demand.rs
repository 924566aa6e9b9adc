//! Codec of the messages by which nodes divide limits: the largest fits into a datagram, and what
//! is not such a message is rejected.

use base::id;
use policy::relay::demand::{Exchange, Kind, LimitReport, MAX_ITEMS};
use quickcheck::{Gen, QuickCheck};
use wire::{
    datagram::{Error, MAX_DATAGRAM_BYTES},
    demand, heartbeat,
};

fn deployment(name: &str) -> id::Deployment {
    name.parse().expect("valid name")
}

fn message(items: usize) -> Exchange {
    let report = LimitReport { process: u32::MAX, per_second: Some(1e300), age_ms: u32::MAX };
    Exchange {
        from: id::Node("[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().expect("address")),
        kind: Kind::Reply,
        epoch: u64::MAX,
        nodes: u32::MAX,
        demand: vec![(u32::MAX, f32::MAX); items],
        limits: vec![report; items],
    }
}

#[test]
fn the_largest_message_fits_into_a_datagram() {
    let name = deployment(&"d".repeat(63));
    for items in [0, 1, MAX_ITEMS] {
        let bytes = demand::encode(&name, &message(items)).expect("it fits");
        println!("{items} pools and limits: {} bytes", bytes.len());
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(demand::decode(&name, &bytes), Ok(message(items)));
    }
}

#[test]
fn other_protocols_and_deployments_are_rejected() {
    let name = deployment("mine");
    let bytes = demand::encode(&name, &message(1)).expect("it fits");
    let foreign = demand::decode(&deployment("other"), &bytes);
    assert_eq!(foreign, Err(Error::Foreign(deployment("mine"))));
    // As an earlier program does.
    let rejected = heartbeat::decode(&name, &bytes);
    assert_eq!(rejected, Err(Error::Protocol(demand::PROTOCOL_VERSION)));
}

#[test]
fn malformed_datagrams_are_rejected_without_a_panic() {
    fn holds(cut: usize, flipped: usize, noise: Vec<u8>) -> bool {
        let name = deployment("mine");
        let mut bytes = demand::encode(&name, &message(3)).expect("it fits");
        let (flipped, cut) = (flipped % bytes.len(), cut % bytes.len());
        bytes[flipped] ^= 0x55;
        // A flipped bit may give another valid message.
        let _ = demand::decode(&name, &bytes);
        demand::decode(&name, &bytes[..cut]).is_err() && demand::decode(&name, &noise).is_err()
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(100, 20_261_204)).tests(2_000);
    check.quickcheck(holds as fn(usize, usize, Vec<u8>) -> bool);
}
