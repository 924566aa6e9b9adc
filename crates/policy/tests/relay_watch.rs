//! Which nodes watch the platform, and how soon others call it instead.
//!
//! Guards against too many calls to the platform, and against nodes that keep an old configuration
//! because the nodes that they rely on get no answers.

use std::time::Duration;

use policy::relay::watch::{
    SMALL_FLEET_NODES, SMALL_FLEET_WATCHERS_PER_DOMAIN, WATCHERS_PER_DOMAIN, WatchState,
    batch_pause, first_read_timeout, is_watcher, relies_on_peers, retry_delay, stale_age,
    watch_timeout,
};

const APPLY: Duration = Duration::from_secs(5);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settled() -> WatchState {
    WatchState {
        has_registry: true,
        is_seed: false,
        uptime: ms(60_000),
        platform_data_age: Some(ms(500)),
        is_watcher: false,
        update_deadline: APPLY,
    }
}

#[test]
fn nodes_rely_on_peers_while_the_platform_data_is_fresh() {
    let check = |name: &str, state: WatchState, expected: bool| {
        for chance in [0.0, 0.5, 1.0] {
            assert_eq!(relies_on_peers(state, chance), expected, "{name}, chance {chance}");
        }
    };
    check("settled", settled(), true);
    check("watcher", WatchState { is_watcher: true, ..settled() }, false);
    check("no platform data", WatchState { platform_data_age: None, ..settled() }, false);
    check(
        "old platform data",
        WatchState { platform_data_age: Some(ms(3_800)), ..settled() },
        false,
    );
    check(
        "registry unknown",
        WatchState { has_registry: false, uptime: ms(10), ..settled() },
        false,
    );
    let new =
        WatchState { uptime: ms(300), platform_data_age: None, is_watcher: true, ..settled() };
    check("just started", new, true);
    check("just started, a seed", WatchState { is_seed: true, ..new }, false);
    let joining = WatchState { uptime: ms(2_000), is_watcher: true, ..settled() };
    check("joining, fresh data from peers", joining, true);
    check("joining, no platform data", WatchState { platform_data_age: None, ..joining }, false);
}

#[test]
fn a_node_calls_the_platform_well_before_a_configuration_must_be_in_force() {
    // A call takes well under a second, including the update of the routes.
    for apply in [ms(3_000), ms(5_000), ms(15_000)] {
        let state = WatchState {
            platform_data_age: Some(apply * 3 / 4),
            update_deadline: apply,
            ..settled()
        };
        assert!(!relies_on_peers(state, 0.0) && !relies_on_peers(state, 1.0), "{apply:?}");
    }
}

#[test]
fn watchers_notice_a_silent_watch_before_other_nodes_call_the_platform() {
    // Platform data that was fresh when the watch began is not yet stale for the other nodes.
    let small = [0, SMALL_FLEET_NODES - 1].map(|n| (n, SMALL_FLEET_WATCHERS_PER_DOMAIN));
    let large = [SMALL_FLEET_NODES, 100, 300].map(|n| (n, WATCHERS_PER_DOMAIN));
    for (others, watchers) in small.into_iter().chain(large) {
        for before in 0..watchers {
            assert!(watch_timeout(others, before, APPLY) < stale_age(APPLY, 1.0), "{others}");
        }
    }
    assert!(
        watch_timeout(SMALL_FLEET_NODES - 1, SMALL_FLEET_WATCHERS_PER_DOMAIN, APPLY) > APPLY,
        "where each node watches, long waits of the others save calls"
    );
}

/// Nodes of any fleet must have an answer in time, even if the platform went silent just after
/// a node's last call, and one call at the end of the outage was lost, too.
#[test]
fn the_time_without_an_answer_is_bounded_in_fleets_of_each_size() {
    /// Time after which a call that is not answered fails.
    const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
    for update in [ms(3_000), ms(5_000), ms(6_000)] {
        for chance in [0.0, 0.5, 1.0] {
            assert!(stale_age(update, chance) + ms(500) < update, "silence, {update:?}");
            for failures in 1..20 {
                let recovery = ANSWER_TIMEOUT + retry_delay(failures, update, chance);
                assert!(recovery + ms(500) < update, "{failures} failures, {update:?}");
            }
        }
    }
}

#[test]
fn calls_after_failures_are_spaced_and_spread() {
    let delays: Vec<Duration> = (1..8).map(|n| retry_delay(n, APPLY, 0.5)).collect();
    assert_eq!(delays[..4], [ms(200), ms(400), ms(800), ms(1_000)]);
    assert!(delays.is_sorted() && delays[6] == ms(1_000), "{delays:?}");
    assert_eq!((retry_delay(9, APPLY, 0.0), retry_delay(9, APPLY, 1.0)), (ms(750), ms(1_250)));
}

#[test]
fn all_nodes_of_small_fleets_watch_and_a_few_per_domain_in_large_fleets() {
    assert!((0..SMALL_FLEET_NODES).all(|before| is_watcher(SMALL_FLEET_NODES - 1, before)));
    assert_eq!((0..30).filter(|before| is_watcher(118, *before)).count(), WATCHERS_PER_DOMAIN);
}

#[test]
fn a_node_that_knows_nothing_asks_again_before_its_callers_give_up() {
    assert!(first_read_timeout(0) <= ms(500), "half of the shortest deadlines");
    assert!(first_read_timeout(4) >= ms(2_000), "a slow platform must be able to answer");
    assert_eq!(first_read_timeout(1_000), first_read_timeout(100));
}

#[test]
fn changes_are_batched_for_less_time_while_a_pool_has_no_upstream() {
    assert!(batch_pause(false) * 4 < batch_pause(true));
    // With six watchers, well under a hundredth of the calls that the platform allows.
    assert!(batch_pause(false) >= ms(100));
}
