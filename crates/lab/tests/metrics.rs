//! Counters, gauges and latencies as a statsd server sees them.

use std::time::Duration;

use cadence::{SpyMetricSink, StatsdClient};
use node::counter::{self, Counter, Counters, MAX_LATENCIES};

#[test]
fn what_was_added_is_sent_once() {
    let (received, sink) = SpyMetricSink::new();
    let client = StatsdClient::from_sink("balsamgate", sink);
    let (counters, mut sent) = (Counters::new(), Vec::new());
    counters.add(Counter::SearchComplete, 3);
    (0..2 * MAX_LATENCIES).for_each(|_| counters.record_latency(Duration::from_millis(7)));
    for _ in 0..2 {
        counters.send(&client, &mut sent);
        counters.send_latencies(&client);
        counter::send_gauges(&client, &[("ids", 5)]);
    }
    let lines: Vec<String> =
        received.try_iter().map(|l| String::from_utf8(l).expect("text")).collect();
    let count = |text: &str| lines.iter().filter(|l| *l == text).count();
    assert_eq!(count("balsamgate.search.complete:3|c"), 1);
    assert_eq!(count("balsamgate.search.ms:7|h"), MAX_LATENCIES);
    assert_eq!(count("balsamgate.ids:5|g"), 2);
}
