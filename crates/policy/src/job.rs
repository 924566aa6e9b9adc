//! Types of a group scheduler's interface: jobs, results of attempts, and actions to perform.

use std::time::Instant;

use base::{id, unit::Version};

use crate::outcome::{Fate, Reason};

/// Identifier of a job, unique within its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A sub-request to be run by one replica of the group.
#[derive(Debug, Clone)]
pub struct Job {
    /// Priority rank; 0 is scheduled first.
    pub rank: u8,
    /// Time by which the reply must have arrived at the leaf.
    pub deadline: Instant,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Index version that the plan requires, if any.
    pub version: Option<Version>,
    /// Hash of the request's content, under which it can be quarantined.
    pub fingerprint: u64,
}

/// Result of an attempt at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request ran and its reply arrived completely.
    Done,
    /// The request ran and failed.
    Failed,
    /// The upstream refused the request before running it, because of load.
    Shed,
    /// The upstream refused the request before running it, because it is draining.
    Draining,
    /// The upstream refused the request before running it: it lacks the index version or the
    /// shard map.
    VersionMissing,
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after bytes of the request may have been sent.
    Lost,
    /// The reply was truncated or did not belong to the request.
    Bad,
}

impl AttemptResult {
    /// Returns whether the attempt ran, as far as the result tells.
    pub fn fate(self) -> Fate {
        match self {
            AttemptResult::Done | AttemptResult::Failed => Fate::Ran,
            AttemptResult::Shed
            | AttemptResult::Draining
            | AttemptResult::VersionMissing
            | AttemptResult::NotSent => Fate::NotRun,
            AttemptResult::Lost | AttemptResult::Bad => Fate::MayHaveRun,
        }
    }

    /// Returns the failure reason of a job whose last attempt had this result.
    pub fn reason(self) -> Reason {
        match self {
            AttemptResult::Done | AttemptResult::Failed => Reason::Failed,
            AttemptResult::Shed => Reason::Overload,
            AttemptResult::Draining => Reason::Draining,
            AttemptResult::VersionMissing => Reason::Version,
            AttemptResult::NotSent => Reason::Unreachable,
            AttemptResult::Lost => Reason::Lost,
            AttemptResult::Bad => Reason::BadReply,
        }
    }
}

/// Result of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResult {
    /// The job succeeded with the reply that was just passed in.
    Done,
    /// The job failed.
    Failed {
        /// The failure reason.
        reason: Reason,
        /// Whether any attempt may have run.
        fate: Fate,
    },
}

/// An action that the caller of the scheduler must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The job.
        job_id: JobId,
        /// The attempt.
        attempt: id::Attempt,
        /// The destination.
        upstream: id::Upstream,
    },
    /// Cancel an attempt; a reply that still arrives must not be passed to the scheduler.
    Cancel {
        /// The attempt.
        attempt: id::Attempt,
    },
    /// Report the result of a job.
    Finish {
        /// The job.
        job_id: JobId,
        /// Its result.
        end: JobResult,
    },
}

/// Event counts of a scheduler since its creation.
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
    /// Attempts that upstreams refused because of load.
    pub sheds: u64,
    /// Jobs that failed without any attempt, or were evicted from a full queue.
    pub refusals: u64,
    /// Results passed in for attempts that were not in flight.
    pub stray_replies: u64,
}
