//! Outcome of a request, derived from whether its attempts ran.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether an attempt, or a request with all its attempts, ran.
///
/// Ordered by the strength of the evidence that it ran; combining attempts takes the maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fate {
    /// It did not run and never will.
    NotRun,
    /// It may have run or may still run.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl Fate {
    /// Returns the fate of a request with attempts of both fates.
    pub fn combine(self, other: Fate) -> Fate {
        self.max(other)
    }

    /// Returns the fate of a request with these attempts; without attempts it did not run.
    pub fn combine_all(attempts: &[Fate]) -> Fate {
        attempts.iter().copied().fold(Fate::NotRun, Fate::combine)
    }
}

/// Why a request, or a part of one, was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The deadline passed.
    Deadline,
    /// The node or the upstreams have too many requests of this class.
    Overload,
    /// No upstream that holds the data could be reached.
    Unreachable,
    /// Every upstream that holds the data is leaving.
    Draining,
    /// No upstream holds the planned index version any more, or none holds the plan's shard map.
    Version,
    /// The upstream ran the request and failed.
    Failed,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// The reply was truncated or did not belong to the request.
    BadReply,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The node that may run this id is gone or cannot be reached.
    HomeUnreachable,
    /// The id has expired or was never valid.
    Expired,
    /// The coverage that the class requires was not reached.
    Coverage,
    /// The node has no configuration yet.
    NotReady,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Deadline => "deadline",
            Reason::Overload => "overload",
            Reason::Unreachable => "unreachable",
            Reason::Draining => "draining",
            Reason::Version => "version",
            Reason::Failed => "failed",
            Reason::Lost => "lost",
            Reason::BadReply => "bad_reply",
            Reason::Quarantined => "quarantined",
            Reason::HomeUnreachable => "home_unreachable",
            Reason::Expired => "expired",
            Reason::Coverage => "coverage",
            Reason::NotReady => "not_ready",
        })
    }
}

impl Reason {
    /// Returns the delay after which a retry is useful; `None` if the same request will never
    /// succeed.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::Deadline | Reason::Overload | Reason::Coverage => Some(OVERLOAD_RETRY_AFTER),
            Reason::Version | Reason::Failed | Reason::Lost | Reason::BadReply => {
                Some(FAULT_RETRY_AFTER)
            }
            Reason::Unreachable | Reason::Draining | Reason::NotReady => Some(OUTAGE_RETRY_AFTER),
            Reason::Quarantined => Some(crate::quarantine::QUARANTINE_TTL),
            Reason::HomeUnreachable | Reason::Expired => None,
        }
    }
}

/// Retry delay after overload, a missed deadline or too little coverage.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay after a failed attempt or a missing version.
const FAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry delay while no upstream is usable or the node has no configuration.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Outcome of a request as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// The answer lacks parts, which it names.
    Partial,
    /// There is no answer, and the request did not run.
    NotRun,
    /// There is no answer, and the request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome of a request that got no answer.
    pub fn unanswered(fate: Fate) -> Outcome {
        match fate {
            Fate::NotRun => Outcome::NotRun,
            Fate::MayHaveRun | Fate::Ran => Outcome::Unknown,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Complete => "complete",
            Outcome::Partial => "partial",
            Outcome::NotRun => "not run",
            Outcome::Unknown => "unknown",
        })
    }
}
