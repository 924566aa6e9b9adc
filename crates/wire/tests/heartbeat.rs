//! Codec of heartbeats: datagrams of other deployments or protocol versions and malformed ones are
//! rejected.

use base::id;
use policy::{
    adoption::Stamp,
    departure,
    membership::{Kind, MAX_CRASH_REPORTS, Message, Record, Status},
    quarantine,
    relay::crash_quarantine,
};
use quickcheck::{Gen, QuickCheck};
use wire::heartbeat::{self, Error, MAX_DATAGRAM_BYTES};

const SEED: u64 = 20_261_204;

fn record(port: u16) -> Record {
    Record {
        node: id::Node(([10, 0, 0, 1], port).into()),
        incarnation: id::Incarnation(u64::MAX),
        counter: u32::MAX,
        status: Status::Suspect,
        serving: true,
        domain: "a-failure-domain-with-a-long-name".parse().expect("valid name"),
        callers: ([10, 0, 0, 1], port).into(),
        capacity: u32::MAX,
    }
}

fn message(records: u16) -> Message {
    let fingerprint = u64::MAX;
    let upstream = id::Upstream(([10, 0, 0, 2], 80).into());
    Message {
        kind: Kind::PingRequest { target: record(1).node },
        sender: record(1),
        stamp: Stamp::default(),
        digest: u64::MAX,
        records: (0..records).map(record).collect(),
        notices: vec![quarantine::Notice { fingerprint, remaining_ms: 1 }; 8],
        departures: vec![departure::Notice { upstream, remaining_ms: 1 }; 8],
        revision: base::unit::Revision(u64::MAX),
        accusations: vec![
            crash_quarantine::CrashReport {
                fingerprint,
                arrival: u32::MAX,
                remaining_ms: crash_quarantine::REPORT_TTL.as_millis() as u32,
            };
            MAX_CRASH_REPORTS
        ],
        word_age_ms: Some(u32::MAX),
    }
}

fn deployment(name: &str) -> id::Deployment {
    name.parse().expect("valid name")
}

#[test]
fn decoded_message_equals_the_encoded_one() {
    let bytes = heartbeat::encode(&deployment("d"), &message(2)).expect("message encodes");
    assert_eq!(heartbeat::decode(&deployment("d"), &bytes), Ok(message(2)));
}

#[test]
fn records_beyond_the_datagram_size_are_dropped() {
    let bytes = heartbeat::encode(&deployment("d"), &message(100)).expect("message encodes");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
    let decoded = heartbeat::decode(&deployment("d"), &bytes).expect("decodes");
    assert!(
        !decoded.records.is_empty()
            && decoded.records[..] == message(100).records[..decoded.records.len()]
    );
}

#[test]
fn foreign_truncated_and_padded_datagrams_are_rejected() {
    let bytes = heartbeat::encode(&deployment("d"), &message(2)).expect("message encodes");
    let check = |bytes: &[u8], expected: Error| {
        assert_eq!(heartbeat::decode(&deployment("d"), bytes), Err(expected));
    };
    let foreign = heartbeat::encode(&deployment("e"), &message(2)).expect("message encodes");
    check(&foreign, Error::Foreign(deployment("e")));
    let mut newer = bytes.clone();
    newer[0] += 1;
    check(&newer, Error::Protocol(heartbeat::PROTOCOL_VERSION + 1));
    check(&vec![1; MAX_DATAGRAM_BYTES + 1], Error::Size(MAX_DATAGRAM_BYTES + 1));
    for length in 0..bytes.len() {
        assert!(
            heartbeat::decode(&deployment("d"), &bytes[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
    let padded = [bytes.as_slice(), &[0]].concat();
    check(&padded, Error::Syntax);
}

#[test]
fn decoding_noise_does_not_panic() {
    fn property(noise: Vec<u8>, at: usize) -> bool {
        let own = deployment("d");
        let mut bytes = heartbeat::encode(&own, &message(3)).expect("message encodes");
        let at = at % bytes.len();
        for (target, byte) in bytes[at..].iter_mut().zip(&noise) {
            *target = *byte;
        }
        // Corrupted bytes may still decode, but must not panic or give more records than fit.
        let decoded = heartbeat::decode(&own, &bytes);
        heartbeat::decode(&own, &noise).is_err()
            && decoded.map_or(true, |m| m.records.len() <= MAX_DATAGRAM_BYTES)
    }
    let property: fn(Vec<u8>, usize) -> bool = property;
    QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(200, SEED)).quickcheck(property);
}
