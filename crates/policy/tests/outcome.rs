//! Combination of fates into outcomes, and exact coverage.

mod common;

use base::{
    id,
    keyspace::{self, KeyRange, KeySet},
    unit::Share,
};
use config::deployment::CoverageRule;
use policy::{
    coverage::{self, Part},
    outcome::{Fate, Outcome, Reason},
};
use quickcheck::{Arbitrary, Gen};

#[derive(Debug, Clone, Copy)]
struct AnyFate(Fate);

impl Arbitrary for AnyFate {
    fn arbitrary(g: &mut Gen) -> AnyFate {
        AnyFate(*g.choose(&[Fate::NotRun, Fate::MayHaveRun, Fate::Ran]).unwrap_or(&Fate::Ran))
    }
}

seeded! {
    fn not_run_is_reported_only_if_no_attempt_may_have_run(attempts: Vec<AnyFate>) -> bool {
        let fates: Vec<Fate> = attempts.iter().map(|a| a.0).collect();
        let outcome = Outcome::unanswered(Fate::combine_all(&fates));
        let none_ran = fates.iter().all(|f| *f == Fate::NotRun);
        (outcome == Outcome::NotRun) == none_ran
    }

    fn combining_fates_per_hop_first_gives_the_same_result(hops: Vec<Vec<AnyFate>>) -> bool {
        let per_hop: Vec<Fate> = hops
            .iter()
            .map(|hop| Fate::combine_all(&hop.iter().map(|a| a.0).collect::<Vec<_>>()))
            .collect();
        let flat: Vec<Fate> = hops.iter().flatten().map(|a| a.0).collect();
        Fate::combine_all(&per_hop) == Fate::combine_all(&flat)
    }

    fn covered_and_missing_keys_partition_the_range(ranges: Vec<(u16, u16)>) -> bool {
        let ranges: Vec<KeyRange> =
            ranges.iter().map(|(a, b)| KeyRange::new(u32::from(*a), u32::from(*b))).collect();
        let set = KeySet::from_ranges(&ranges);
        let missing = set.gaps_in(KeyRange::ALL);
        let key_by_key = (0..keyspace::SIZE).step_by(251).all(|key| {
            let covered = ranges.iter().any(|r| r.contains(key));
            let is_missing = missing.ranges().iter().any(|r| r.contains(key));
            covered != is_missing
        });
        key_by_key && set.len() + missing.len() == keyspace::SIZE
    }

    fn a_share_is_one_only_if_the_part_is_the_whole(part: u32, whole: u32) -> bool {
        let (part, whole) = (u64::from(part), u64::from(whole).max(1));
        (Share::new(part, whole) == Share::ONE) == (part >= whole)
    }
}

fn part(group: u16, range: KeyRange, covered: KeyRange, fate: Fate) -> Part {
    Part {
        service: "maps".parse().expect("valid service name"),
        group: id::Group(group),
        range,
        covered: KeySet::from_ranges(&[covered]),
        reason: Some(Reason::Failed),
        fate,
    }
}

#[test]
fn the_outcome_follows_the_coverage_rule_of_the_class() {
    let check = |rule: &str, covered: u32, fate: Fate, expected: Outcome| {
        let rule: CoverageRule = rule.parse().expect("valid coverage rule");
        let parts = [part(0, KeyRange::ALL, KeyRange::new(0, covered), fate)];
        let (outcome, reason) = coverage::decide_outcome(rule, &coverage::summarize(&parts));
        assert_eq!(outcome, expected, "{rule} with {covered} keys");
        let answered = matches!(outcome, Outcome::Complete | Outcome::Partial);
        assert_eq!(reason.is_none(), answered);
    };
    let half = keyspace::SIZE / 2;
    check("complete", keyspace::SIZE, Fate::Ran, Outcome::Complete);
    check("complete", keyspace::SIZE - 1, Fate::Ran, Outcome::Unknown);
    check("complete", 0, Fate::NotRun, Outcome::NotRun);
    check("partial from 50%", half, Fate::Ran, Outcome::Partial);
    check("partial from 50%", half - 1, Fate::Ran, Outcome::Unknown);
    check("best at deadline", 1, Fate::Ran, Outcome::Partial);
    check("best at deadline", 0, Fate::MayHaveRun, Outcome::Unknown);
}

#[test]
fn keys_outside_of_a_part_do_not_count() {
    let range = KeyRange::new(0, 100);
    let parts = [part(0, range, KeyRange::new(50, 200), Fate::Ran)];
    let summary = coverage::summarize(&parts);
    assert_eq!(summary.share, Share::new(50, 100));
    assert_eq!(summary.gaps[0].keys.ranges(), [KeyRange::new(0, 50)]);
}
