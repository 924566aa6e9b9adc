//! Which nodes call the platform, and how soon others stand in.

use std::time::Duration;

use policy::relay::watch::{Knowledge, SMALL, WATCHERS, is_watcher, relies, wait};

const APPLY: Duration = Duration::from_secs(5);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settled() -> Knowledge {
    Knowledge {
        informed: true,
        seed: false,
        age: ms(60_000),
        word_age: Some(ms(500)),
        watcher: false,
        apply: APPLY,
    }
}

#[test]
fn nodes_rely_on_others_while_the_platforms_word_is_fresh() {
    let check = |name: &str, known: Knowledge, expected: bool| {
        for chance in [0.0, 0.5, 1.0] {
            assert_eq!(relies(known, chance), expected, "{name}, chance {chance}");
        }
    };
    check("settled", settled(), true);
    check("watcher", Knowledge { watcher: true, ..settled() }, false);
    check("no word", Knowledge { word_age: None, ..settled() }, false);
    check("old word", Knowledge { word_age: Some(ms(3_800)), ..settled() }, false);
    check("uninformed", Knowledge { informed: false, age: ms(10), ..settled() }, false);
    let new = Knowledge { age: ms(300), word_age: None, watcher: true, ..settled() };
    check("just started", new, true);
    check("just started, a seed", Knowledge { seed: true, ..new }, false);
    let told = Knowledge { age: ms(2_000), watcher: true, ..settled() };
    check("newcomer that peers tell", told, true);
    check("newcomer that nobody tells", Knowledge { word_age: None, ..told }, false);
}

#[test]
fn a_node_looks_for_itself_well_before_a_configuration_must_be_in_force() {
    // A call, and its answer's way into the routes, take well under a second.
    for apply in [ms(3_000), ms(5_000), ms(15_000)] {
        let known = Knowledge { word_age: Some(apply * 3 / 4), apply, ..settled() };
        assert!(!relies(known, 0.0) && !relies(known, 1.0), "{apply:?}");
    }
}

#[test]
fn watchers_of_a_large_fleet_notice_silence_before_the_others_stand_in() {
    // A word that was fresh when the watch began is younger than what others tolerate.
    assert!(wait(100, APPLY) < APPLY.mul_f64(0.75 * 0.8));
    assert!(wait(SMALL - 1, APPLY) > APPLY, "where each node watches, calls are saved");
}

#[test]
fn small_fleets_watch_all_large_ones_by_a_few_in_each_domain() {
    assert!((0..SMALL).all(|before| is_watcher(SMALL - 1, before)));
    assert_eq!((0..30).filter(|before| is_watcher(118, *before)).count(), WATCHERS);
}
