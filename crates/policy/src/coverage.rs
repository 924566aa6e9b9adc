//! Coverage of an answer, computed exactly over the key space of its plan.

use std::collections::BTreeMap;

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::Share,
};
use config::deployment::CoverageRule;
use serde::{Deserialize, Serialize};

use crate::outcome::{Fate, Outcome, Reason};

/// Contribution of one group to an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// The group.
    pub group: id::Group,
    /// The key range that the plan assigns to the group.
    pub range: KeyRange,
    /// The keys that the group's data in the answer covers.
    pub covered: KeySet,
    /// Why keys are missing, if any are.
    pub reason: Option<Reason>,
    /// Whether the group's sub-request ran.
    pub fate: Fate,
}

/// Keys that are missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The service.
    pub service: id::Service,
    /// The group that should have contributed them.
    pub group: id::Group,
    /// The missing keys.
    pub keys: KeySet,
    /// Why they are missing.
    pub reason: Reason,
}

/// Coverage of one answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Share of the planned keys that the answer covers.
    pub share: Share,
    /// The missing keys, by group.
    pub gaps: Vec<Gap>,
    /// Whether the request ran, combined over all parts.
    pub fate: Fate,
}

/// Computes the coverage of `parts`. Keys covered outside a part's own range do not count.
pub fn summarize(parts: &[Part]) -> Summary {
    let mut covered: BTreeMap<&id::Service, KeySet> = BTreeMap::new();
    let mut gaps = Vec::new();
    let mut planned = 0;
    for part in parts {
        planned += u64::from(part.range.len());
        let in_range = part.covered.intersection(part.range);
        covered.entry(&part.service).or_default().extend(&in_range);
        let keys = part.covered.gaps_in(part.range);
        if !keys.is_empty() {
            let reason = part.reason.unwrap_or(Reason::BadReply);
            gaps.push(Gap { service: part.service.clone(), group: part.group, keys, reason });
        }
    }
    let fates: Vec<Fate> = parts.iter().map(|p| p.fate).collect();
    let covered = covered.values().map(|set| u64::from(set.len())).sum();
    let share = Share::new(covered, planned);
    Summary { share, gaps, fate: Fate::combine_all(&fates) }
}

/// Returns the outcome under a class's coverage rule, and the reason if there is no answer.
pub fn decide_outcome(rule: CoverageRule, summary: &Summary) -> (Outcome, Option<Reason>) {
    if summary.gaps.is_empty() && summary.share == Share::ONE {
        return (Outcome::Complete, None);
    }
    if summary.share > Share::ZERO && summary.share >= rule.min_share() {
        return (Outcome::Partial, None);
    }
    // Without any coverage, the most frequent cause says more than the violated coverage rule.
    let reason = match summary.share {
        Share::ZERO => most_frequent_reason(&summary.gaps).unwrap_or(Reason::Coverage),
        _ => Reason::Coverage,
    };
    (Outcome::unanswered(summary.fate), Some(reason))
}

fn most_frequent_reason(gaps: &[Gap]) -> Option<Reason> {
    let count = |reason: Reason| gaps.iter().filter(|g| g.reason == reason).count();
    // Parts cancelled because of the other parts' failure are not a cause.
    let causes = gaps.iter().map(|g| g.reason).filter(|r| *r != Reason::Coverage);
    causes.max_by_key(|r| (count(*r), *r))
}
