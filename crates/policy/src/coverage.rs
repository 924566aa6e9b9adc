//! Exact coverage of an answer over the key space of its plan.

use std::collections::BTreeMap;

use base::{
    id,
    keyspace::{KeyRange, KeySet},
    unit::Share,
};
use config::deployment::CoverageRule;
use serde::{Deserialize, Serialize};

use crate::outcome::{Fate, Outcome, Reason};

/// What one group contributed to an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// The group.
    pub group: id::Group,
    /// Its part of the key space in the plan.
    pub range: KeyRange,
    /// The keys that its data in the answer covers.
    pub covered: KeySet,
    /// Why keys lack, if any do.
    pub reason: Option<Reason>,
    /// Whether it ran.
    pub fate: Fate,
}

/// Keys that an answer lacks, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The service.
    pub service: id::Service,
    /// The group that should have contributed them.
    pub group: id::Group,
    /// The keys.
    pub keys: KeySet,
    /// Why they lack.
    pub reason: Reason,
}

/// Coverage of one answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Share of the planned keys that the answer covers.
    pub share: Share,
    /// The keys that lack.
    pub gaps: Vec<Gap>,
    /// What the parts together say of whether the request ran.
    pub fate: Fate,
}

/// Sums `parts` up. Keys covered outside a part's own range do not count.
pub fn summarize(parts: &[Part]) -> Summary {
    let mut covered: BTreeMap<&id::Service, KeySet> = BTreeMap::new();
    let mut gaps = Vec::new();
    let mut all = 0;
    for part in parts {
        all += u64::from(part.range.len());
        let counted = part.covered.intersection(part.range);
        covered.entry(&part.service).or_default().extend(&counted);
        let keys = part.covered.gaps_in(part.range);
        if !keys.is_empty() {
            let reason = part.reason.unwrap_or(Reason::BadReply);
            gaps.push(Gap { service: part.service.clone(), group: part.group, keys, reason });
        }
    }
    let fates: Vec<Fate> = parts.iter().map(|p| p.fate).collect();
    let covered = covered.values().map(|set| u64::from(set.len())).sum();
    let share = Share::new(covered, all);
    Summary { share, gaps, fate: Fate::combine_all(&fates) }
}

/// The outcome to tell under a class's rule, and the reason if there is no answer.
pub fn decide_outcome(rule: CoverageRule, summary: &Summary) -> (Outcome, Option<Reason>) {
    if summary.gaps.is_empty() && summary.share == Share::ONE {
        return (Outcome::Complete, None);
    }
    if summary.share > Share::ZERO && summary.share >= rule.min_share() {
        return (Outcome::Partial, None);
    }
    // The most frequent cause explains the failure better than the rule that it broke.
    let reason = match summary.share {
        Share::ZERO => frequent(&summary.gaps).unwrap_or(Reason::Coverage),
        _ => Reason::Coverage,
    };
    (Outcome::unanswered(summary.fate), Some(reason))
}

fn frequent(gaps: &[Gap]) -> Option<Reason> {
    let count = |reason: Reason| gaps.iter().filter(|g| g.reason == reason).count();
    // Parts that were only given up with the rest are no cause.
    let causes = gaps.iter().map(|g| g.reason).filter(|r| *r != Reason::Coverage);
    causes.max_by_key(|r| (count(*r), *r))
}
