//! What may be said of a request after its attempts.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// What is known of whether an attempt, or a request with all its attempts, ran.
///
/// The order is that of evidence: combining attempts takes the greatest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fate {
    /// It did not run and never will.
    NotRun,
    /// It may have run, or may still.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl Fate {
    /// Fate of a request with attempts of both fates.
    pub fn combine(self, other: Fate) -> Fate {
        self.max(other)
    }

    /// Fate of a request over all its attempts; without attempts it did not run.
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
    /// Too much work of this class, here or at the upstreams.
    Overload,
    /// No upstream that holds the data could be reached.
    Unreachable,
    /// Every upstream that holds the data is leaving.
    Draining,
    /// No upstream holds the planned index version any more, or the plan's shard map.
    Version,
    /// The upstream ran the request and failed.
    Failed,
    /// The connection was lost after the request may have left.
    Lost,
    /// The reply was truncated or did not belong to the request.
    BadReply,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The node that may run this id is gone or cannot be reached.
    HomeUnreachable,
    /// The id has expired or was never valid.
    Expired,
    /// The coverage that the class asks for was not reached.
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
    /// When the caller may usefully come back; `None` if the same request will never succeed.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::Deadline | Reason::Overload | Reason::Coverage => Some(OVERLOAD_RETRY),
            Reason::Version | Reason::Failed | Reason::Lost | Reason::BadReply => Some(FAULT_RETRY),
            Reason::Unreachable | Reason::Draining | Reason::NotReady => Some(OUTAGE_RETRY),
            Reason::Quarantined => Some(crate::quarantine::QUARANTINE_TTL),
            Reason::HomeUnreachable | Reason::Expired => None,
        }
    }
}

const OVERLOAD_RETRY: Duration = Duration::from_millis(500);
const FAULT_RETRY: Duration = Duration::from_millis(200);
const OUTAGE_RETRY: Duration = Duration::from_secs(2);

/// What a caller is told of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer.
    Complete,
    /// An answer that lacks stated parts.
    Partial,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// The outcome that may be told of a request that got no answer.
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
