//! Messages between nodes of this program and of the one at commit 64966ca, which runs beside it while a
//! fleet is upgraded.
//!
//! The bytes were recorded from that program. Equal bytes are read by both; a message with further
//! fields is rejected by the earlier one as a whole, so that it needs a protocol of its own.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use base::{
    id,
    unit::{Era, Generation, Position, Revision},
};
use policy::{
    adoption::Stamp,
    departure,
    membership::{self, Record, Status},
    quarantine,
    relay::{
        crash_quarantine::CrashReport,
        demand::{self, Exchange, LimitReport},
        reachability::{self, Ages, Contact},
        registry::{Change, Entry, Event},
        restored::{Departure, Exception},
    },
};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_serde::{Deserializer, Serializer, formats::Bincode};
use wire::{
    datagram::Error,
    feed::{EraUpdate, FeedRequest, FeedResponse, PlatformUpdate, PublishedConfig},
    heartbeat,
    peer::{Hello, Refusal},
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("ASCII"));
    digits.map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits")).collect()
}

fn deployment() -> id::Deployment {
    "main".parse().expect("valid name")
}

fn node(number: u8) -> id::Node {
    id::Node(([10, 0, 0, number], 8224).into())
}

fn record(number: u8, status: Status) -> Record {
    Record {
        node: node(number),
        incarnation: id::Incarnation(1_764_950_000_000),
        counter: 3,
        status,
        serving: number.is_multiple_of(2),
        domain: "zone-a".parse().expect("valid name"),
        callers: ([10, 0, 0, number], 8226).into(),
        capacity: 170,
    }
}

fn crash_report() -> CrashReport {
    CrashReport { fingerprint: u64::MAX, arrival: 9, remaining_ms: 30_000 }
}

fn heartbeat_message(kind: membership::Kind) -> membership::Message {
    let upstream = id::Upstream(([10, 1, 0, 2], 80).into());
    membership::Message {
        kind,
        sender: record(1, Status::Alive),
        stamp: Stamp { generation: Generation(17), digest: 1 << 40 },
        digest: 123_456_789,
        records: vec![record(2, Status::Suspect), record(3, Status::Dead)],
        notices: vec![quarantine::Notice { fingerprint: 5, remaining_ms: 6 }],
        departures: vec![departure::Notice { upstream, remaining_ms: 7 }],
        revision: Revision(4_711),
        accusations: vec![crash_report()],
        word_age_ms: Some(250),
    }
}

fn entry() -> Entry {
    Entry {
        instance: id::Instance("i-1".into()),
        born_ms: 1_764_950_000_123,
        pool: "lotes".parse().expect("valid name"),
        address: id::Upstream(([10, 1, 0, 2], 80).into()),
        domain: "zone-a".into(),
        slots: 4,
        draining: true,
        cold: Duration::from_millis(1_500),
    }
}

fn update() -> PlatformUpdate {
    let event = |key: &str, change| Event { key: key.into(), revision: Revision(42), change };
    PlatformUpdate {
        config: Some(PublishedConfig { revision: Revision(3), bytes: b"{}".to_vec() }),
        events: vec![
            event("servers/i-1", Change::Put(entry())),
            event("servers/i-2", Change::Unusable),
            event("servers/i-3", Change::Removed),
            event("op/evacuate/zone-a", Change::Evacuated("zone-a".into())),
        ],
        whole: true,
        until: Revision(43),
    }
}

fn exceptions() -> Vec<Exception> {
    let (key, revision) = ("servers/i-1".into(), Revision(42));
    let remaining = Duration::from_millis(900);
    let departure = Departure { born_ms: 1, has_drained: true, is_carried: false };
    vec![
        Exception::Departed { key, revision, departure, remaining },
        Exception::Unlisted { key: "servers/i-2".into(), revision, entry: entry(), remaining },
        Exception::Evacuated { key: "op/evacuate/a".into(), domain: "a".into(), remaining },
    ]
}

fn hello() -> Hello {
    Hello { protocol: heartbeat::PROTOCOL_VERSION, deployment: deployment() }
}

fn to_bincode<T: Serialize>(item: &T) -> Vec<u8> {
    let format = pin!(Bincode::<T, T>::default());
    format.serialize(item).expect("it encodes").to_vec()
}

fn from_bincode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let format = pin!(Bincode::<T, T>::default());
    format.deserialize(&bytes.into()).expect("it decodes")
}

#[test]
fn heartbeats_of_the_earlier_program_are_read_and_it_reads_ours() {
    let origin = node(9);
    let kinds = [
        membership::Kind::Ping,
        membership::Kind::Ack,
        membership::Kind::PingRequest { target: origin },
        membership::Kind::PingFor { origin },
        membership::Kind::AckFor,
        membership::Kind::News,
    ];
    for (kind, recorded) in kinds.into_iter().zip(recorded("heartbeat", 6)) {
        let message = heartbeat_message(kind);
        assert_eq!(heartbeat::decode(&deployment(), &bytes(&recorded)), Ok(message.clone()));
        let ours = heartbeat::encode(&deployment(), &message).expect("it encodes");
        assert_eq!(hex(&ours), recorded);
        // What the earlier program would make of a further field.
        let longer = [bytes(&recorded), vec![0]].concat();
        assert_eq!(heartbeat::decode(&deployment(), &longer), Err(Error::Syntax));
    }
}

#[test]
fn messages_that_divide_limits_are_read_both_ways() {
    let report = LimitReport { process: 7, per_second: Some(12.5), age_ms: 40 };
    let kinds = [demand::Kind::Request, demand::Kind::Reply];
    for (kind, recorded) in kinds.into_iter().zip(recorded("demand", 2)) {
        let message = Exchange {
            from: node(1),
            kind,
            epoch: 5,
            nodes: 18,
            demand: vec![(1, 2.5), (2, 0.25)],
            limits: vec![report, LimitReport { per_second: None, ..report }],
        };
        let read = wire::demand::decode(&deployment(), &bytes(&recorded));
        assert_eq!(read, Ok(message.clone()));
        let ours = wire::demand::encode(&deployment(), &message).expect("it encodes");
        assert_eq!(hex(&ours), recorded);
    }
}

#[test]
fn messages_on_who_reaches_upstreams_are_read_both_ways() {
    let now = Instant::now();
    let at = now.checked_sub(Duration::from_millis(700));
    let ages = Ages::new(now, Contact { replied: at, accepted: None });
    let kinds = [reachability::Kind::Question { within_ms: 900 }, reachability::Kind::Answer];
    for (kind, recorded) in kinds.into_iter().zip(recorded("reachability", 2)) {
        let others = vec![(node(2), ages)];
        let message = reachability::Message { from: node(1), kind, own: Some(ages), others };
        let read = wire::reachability::decode(&deployment(), &bytes(&recorded));
        assert_eq!(read, Ok(message.clone()));
        let ours = wire::reachability::encode(&deployment(), &message).expect("it encodes");
        assert_eq!(hex(&ours), recorded);
    }
}

#[test]
fn calls_of_the_earlier_program_are_read_and_it_reads_ours() {
    let after = Revision(41);
    let position = Position { era: Era(2), revision: after };
    let have = Generation(16);
    let requests = [
        FeedRequest::News { hello: hello(), have, after },
        FeedRequest::Members { hello: hello() },
        FeedRequest::CrashReports { hello: hello() },
        FeedRequest::EraNews { hello: hello(), have, after: position },
    ];
    for (request, recorded) in requests.into_iter().zip(recorded("request", 4)) {
        assert_eq!(hex(&to_bincode(&request)), recorded);
        let read: FeedRequest = from_bincode(&bytes(&recorded));
        assert_eq!(format!("{read:?}"), format!("{request:?}"));
    }
}

#[test]
fn answers_of_the_earlier_program_are_read_and_it_reads_ours() {
    let era_update = EraUpdate { era: Era(2), update: update(), exceptions: exceptions() };
    let answers = [
        FeedResponse::News(Ok(update())),
        FeedResponse::Members(Ok(vec![record(1, Status::Alive), record(2, Status::Dead)])),
        FeedResponse::CrashReports(Ok(vec![crash_report()])),
        FeedResponse::EraNews(Ok(era_update)),
        FeedResponse::EraNews(Err(Refusal::Protocol)),
    ];
    for (answer, recorded) in answers.into_iter().zip(recorded("answer", 5)) {
        assert_eq!(hex(&to_bincode(&answer)), recorded);
        let read: FeedResponse = from_bincode(&bytes(&recorded));
        assert_eq!(format!("{read:?}"), format!("{answer:?}"));
    }
}

/// Returns the `count` recorded messages of `kind`, in hexadecimal digits.
fn recorded(kind: &str, count: usize) -> Vec<String> {
    let lines = include_str!("earlier_program.txt").lines();
    let all: Vec<String> = lines
        .filter_map(|line| line.split_once(' '))
        .filter(|(name, _)| *name == kind)
        .map(|(_, digits)| digits.to_owned())
        .collect();
    assert_eq!(all.len(), count, "{kind}");
    all
}
