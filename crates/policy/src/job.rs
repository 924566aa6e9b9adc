//! Vocabulary of a group's scheduler: jobs, what happens to their attempts, what is to be done.

use std::time::Instant;

use base::{id, unit::Version};

use crate::outcome::{Fate, Reason};

/// Names a job within its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A sub-request to be run by the group.
#[derive(Debug, Clone)]
pub struct Job {
    /// Place in the order of service; 0 goes first.
    pub rank: u8,
    /// When the answer must be back at the leaf.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Index version of the plan.
    pub version: Option<Version>,
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
}

/// How an attempt ended at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It ran and its whole reply is here.
    Done,
    /// It ran and failed.
    Failed,
    /// It was refused before running, for load.
    Shed,
    /// It was refused before running: the upstream leaves.
    Draining,
    /// It was refused before running: the version or map is not held.
    VersionMissing,
    /// Nothing of it left this node.
    Unreached,
    /// The connection was lost after something may have left.
    Lost,
    /// The reply was truncated or belonged to something else.
    Bad,
}

impl AttemptResult {
    /// What the reply says of whether the attempt ran.
    pub fn fate(self) -> Fate {
        match self {
            AttemptResult::Done | AttemptResult::Failed => Fate::Ran,
            AttemptResult::Shed
            | AttemptResult::Draining
            | AttemptResult::VersionMissing
            | AttemptResult::Unreached => Fate::NotRun,
            AttemptResult::Lost | AttemptResult::Bad => Fate::MayHaveRun,
        }
    }

    /// Why a job ends whose last attempt ended so.
    pub fn reason(self) -> Reason {
        match self {
            AttemptResult::Done | AttemptResult::Failed => Reason::Failed,
            AttemptResult::Shed => Reason::Overload,
            AttemptResult::Draining => Reason::Draining,
            AttemptResult::VersionMissing => Reason::Version,
            AttemptResult::Unreached => Reason::Unreachable,
            AttemptResult::Lost => Reason::Lost,
            AttemptResult::Bad => Reason::BadReply,
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResult {
    /// With the reply just handed in.
    Done,
    /// Without an answer.
    Failed {
        /// Why.
        reason: Reason,
        /// Whether any attempt may have run.
        fate: Fate,
    },
}

/// What the caller of the scheduler must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The job.
        ticket: JobId,
        /// The attempt.
        attempt: id::Attempt,
        /// Where to.
        upstream: id::Upstream,
    },
    /// Cancel an attempt; its reply, if it still comes, must not be handed in.
    Cancel {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Tell the end of a job.
    Finish {
        /// The job.
        ticket: JobId,
        /// How it ended.
        end: JobResult,
    },
}

/// Counts of a scheduler since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs submitted.
    pub jobs: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts sent as hedges.
    pub hedges: u64,
    /// Attempts sent as retries.
    pub retries: u64,
    /// Attempts refused by upstreams before running.
    pub sheds: u64,
    /// Jobs refused here without being sent.
    pub refusals: u64,
    /// Replies of no attempt in flight.
    pub stray_replies: u64,
}
