//! Which nodes call the platform, and how soon others stand in.

use std::time::Duration;

use policy::relay::watch::{
    SMALL_FLEET_NODES, WATCHERS_PER_DOMAIN, WatchState, is_watcher, relies_on_peers, watch_timeout,
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
        word_age: Some(ms(500)),
        is_watcher: false,
        apply_deadline: APPLY,
    }
}

#[test]
fn nodes_rely_on_others_while_the_platforms_word_is_fresh() {
    let check = |name: &str, known: WatchState, expected: bool| {
        for chance in [0.0, 0.5, 1.0] {
            assert_eq!(relies_on_peers(known, chance), expected, "{name}, chance {chance}");
        }
    };
    check("settled", settled(), true);
    check("watcher", WatchState { is_watcher: true, ..settled() }, false);
    check("no word", WatchState { word_age: None, ..settled() }, false);
    check("old word", WatchState { word_age: Some(ms(3_800)), ..settled() }, false);
    check("uninformed", WatchState { has_registry: false, uptime: ms(10), ..settled() }, false);
    let new = WatchState { uptime: ms(300), word_age: None, is_watcher: true, ..settled() };
    check("just started", new, true);
    check("just started, a seed", WatchState { is_seed: true, ..new }, false);
    let told = WatchState { uptime: ms(2_000), is_watcher: true, ..settled() };
    check("newcomer that peers tell", told, true);
    check("newcomer that nobody tells", WatchState { word_age: None, ..told }, false);
}

#[test]
fn a_node_looks_for_itself_well_before_a_configuration_must_be_in_force() {
    // A call, and its answer's way into the routes, take well under a second.
    for apply in [ms(3_000), ms(5_000), ms(15_000)] {
        let known =
            WatchState { word_age: Some(apply * 3 / 4), apply_deadline: apply, ..settled() };
        assert!(!relies_on_peers(known, 0.0) && !relies_on_peers(known, 1.0), "{apply:?}");
    }
}

#[test]
fn watchers_of_a_large_fleet_notice_silence_before_the_others_stand_in() {
    // A word that was fresh when the watch began is younger than what others tolerate.
    assert!(watch_timeout(100, APPLY) < APPLY.mul_f64(0.75 * 0.8));
    assert!(
        watch_timeout(SMALL_FLEET_NODES - 1, APPLY) > APPLY,
        "where each node watches, calls are saved"
    );
}

#[test]
fn small_fleets_watch_all_large_ones_by_a_few_in_each_domain() {
    assert!((0..SMALL_FLEET_NODES).all(|before| is_watcher(SMALL_FLEET_NODES - 1, before)));
    assert_eq!((0..30).filter(|before| is_watcher(118, *before)).count(), WATCHERS_PER_DOMAIN);
}
