//! One relayed request: when to send which attempt, and when to answer with what.
//!
//! Load answered: upstreams that pause or fall silent under a goal shorter than their pause.
//! A second attempt leaves while the goal can still be met, and an answer that lacks a few
//! pools leaves at the goal rather than whole and late, where the route allows it.

use std::time::{Duration, Instant};

use base::id;
use rand::RngCore;

use super::{
    admission::Sample,
    pool::{Choice, Pools, UpstreamHandle},
    upstream::AttemptEnd,
};
use crate::outcome::{Fate, Reason};

/// Share of the goal after which a second attempt leaves. Flat between 0.3 and 0.6 in the
/// queue model of docs/design/platform.md.
const SECOND: f64 = 0.3;
/// The same once the budget for second attempts is spent, so that it goes to the slowest.
const SECOND_SPENT: f64 = 0.6;
/// The same if the first upstream was known to be stuck when it was chosen.
const SECOND_STUCK: f64 = 0.1;
/// Share kept of the goal for the way to and from the caller and this node's own work.
const MARGIN: f64 = 0.08;
/// Least time kept of the goal for the same: the way there and back takes up to 6 ms in the
/// deployments known, and an answer a few more on a tenth of a core.
const MARGIN_LEAST: Duration = Duration::from_millis(10);
/// Kept of the time to the deadline, so that the last answer still arrives.
const LAST: Duration = Duration::from_millis(8);
/// Time after which a reply that was to leave its upstream by the goal no longer comes: the
/// longest way in the deployments known, several times over.
const TRAVEL: Duration = Duration::from_millis(25);
/// Time between two looks for an upstream with room.
const POLL: Duration = Duration::from_millis(10);

/// What is to be done for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Pools that one upstream each is asked of.
    pub pools: Vec<id::Pool>,
    /// Connections that each upstream of the pool accepts from all nodes.
    pub connection_limits: Vec<usize>,
    /// Least number of pools whose replies make an answer.
    pub min_replies: usize,
    /// Upstreams of one pool that the request may be sent to.
    pub max_attempts: usize,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time after arrival within which an answer is worth most.
    pub goal: Duration,
    /// When the request arrived here.
    pub arrived: Instant,
    /// No answer is of use from then on.
    pub deadline: Instant,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It is the first to its pool.
    First,
    /// The first has not been answered in time.
    Slow,
    /// The one before has ended without a reply that can be used.
    Ended(AttemptEnd),
}

/// An attempt to send.
#[derive(Debug, Clone)]
pub struct PlannedAttempt {
    /// Index of the pool in the plan.
    pub pool_index: usize,
    /// Where to.
    pub choice: Choice,
    /// Why it is sent.
    pub cause: Cause,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// All pools have replied.
    Complete,
    /// Enough pools have replied; the others are left out.
    Partial,
    /// There is no answer.
    Failed {
        /// What is known of whether it ran.
        fate: Fate,
        /// Why.
        reason: Reason,
    },
}

#[derive(Debug, Default)]
struct Part {
    tried: Vec<UpstreamHandle>,
    /// The upstreams at `tried`.
    asked: Vec<id::Instance>,
    open: usize,
    replied: bool,
    fate: Option<Fate>,
    last_end: Option<AttemptEnd>,
    second_at: Option<Instant>,
    /// Nothing more can be done for it.
    lost: bool,
    /// Its pool cannot be expected to serve this request.
    short: bool,
}

/// State of one request.
#[derive(Debug)]
pub struct RequestState {
    plan: Plan,
    parts: Vec<Part>,
    replied: usize,
    lost: usize,
    denied: usize,
    refused: bool,
}

impl RequestState {
    /// A request of which nothing was sent yet.
    pub fn new(plan: Plan) -> RequestState {
        let parts = plan.pools.iter().map(|_| Part::default()).collect();
        RequestState { plan, parts, replied: 0, lost: 0, denied: 0, refused: false }
    }

    /// Whether enough pools can be expected to serve a request with the number `draw`, from 0
    /// to 1. If not, nothing is to be sent: the request is refused.
    pub fn admit(&mut self, now: Instant, pools: &mut Pools, draw: f64) -> bool {
        if self.parts.len() < 2 {
            return true;
        }
        for (part, pool) in self.parts.iter_mut().zip(&self.plan.pools) {
            part.short = !pools.admits(now, pool, draw);
        }
        let short = self.parts.iter().filter(|p| p.short).count();
        let admitted = self.parts.len() - short >= self.plan.min_replies;
        self.refused = !admitted;
        admitted
    }

    /// Tells `pools` what became of the request, once it has been answered or refused.
    pub fn record_samples(&self, now: Instant, pools: &mut Pools) {
        if self.parts.len() < 2 {
            return;
        }
        let late = now >= self.cut();
        for (part, pool) in self.parts.iter().zip(&self.plan.pools) {
            let sample = match part {
                Part { short: true, .. } if self.refused => Sample::Refused,
                Part { replied: true, .. } => Sample::Served,
                Part { lost: true, .. } => Sample::Failed,
                Part { tried, .. } if late && !tried.is_empty() => Sample::Failed,
                // It might have been served, had the request gone on.
                _ => continue,
            };
            pools.record_sample(now, pool, sample);
        }
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Pools that have replied.
    pub fn replied(&self) -> usize {
        self.replied
    }

    /// Second attempts that the budget did not allow.
    pub fn denied(&self) -> usize {
        self.denied
    }

    /// Attempts that were sent.
    pub fn attempts_sent(&self) -> usize {
        self.parts.iter().map(|p| p.tried.len()).sum()
    }

    /// Pools that have not replied, with the upstreams that were asked.
    pub fn missing(&self) -> impl Iterator<Item = (&id::Pool, &[id::Instance])> {
        let without = self.parts.iter().zip(&self.plan.pools).filter(|(p, _)| !p.replied);
        without.map(|(part, pool)| (pool, part.asked.as_slice()))
    }

    /// Pools that cannot be expected to serve this request.
    pub fn short_pools(&self) -> impl Iterator<Item = &id::Pool> {
        let parts = self.parts.iter().zip(&self.plan.pools);
        parts.filter(|(part, _)| part.short).map(|(_, pool)| pool)
    }

    /// Whether the pool at index `part` still needs a reply.
    pub fn needs_reply(&self, part: usize) -> bool {
        !self.parts[part].replied
    }

    /// Attempts to send now. Each is counted as sent.
    pub fn due_attempts(
        &mut self,
        now: Instant,
        pools: &mut Pools,
        rng: &mut dyn RngCore,
    ) -> Vec<PlannedAttempt> {
        let mut out = Vec::new();
        for index in 0..self.parts.len() {
            if let Some(send) = self.due_part(now, index, pools, rng) {
                out.push(send);
            }
        }
        out
    }

    fn due_part(
        &mut self,
        now: Instant,
        index: usize,
        pools: &mut Pools,
        rng: &mut dyn RngCore,
    ) -> Option<PlannedAttempt> {
        let Plan { max_attempts, repeatable, goal, .. } = self.plan;
        let past = self.parts.len() > 1 && now >= self.cut();
        let pool = &self.plan.pools[index];
        let part = &mut self.parts[index];
        if part.replied || part.lost {
            return None;
        }
        if past {
            if part.open == 0 {
                self.lose(index);
            }
            return None;
        }
        let first = part.tried.is_empty();
        let again = part.open == 0;
        if !again {
            let due = part.second_at.is_some_and(|at| at <= now);
            if !due || !repeatable || part.tried.len() >= max_attempts {
                return None;
            }
        }
        let may_run_twice = repeatable || part.fate.is_none_or(|f| f == Fate::NotRun);
        if again && (part.tried.len() >= max_attempts || !may_run_twice) {
            self.lose(index);
            return None;
        }
        if !first && !pools.has_untried(pool, &part.tried) {
            if again {
                self.lose(index);
            } else {
                part.second_at = None;
            }
            return None;
        }
        let connections = self.plan.connection_limits[index];
        let Some(choice) = pools.choose(now, pool, &part.tried, connections, rng) else {
            self.lose(index);
            return None;
        };
        if first {
            pools.record_request(now, pool);
        } else if !pools.try_spend_retry(now, pool) {
            self.denied += 1;
            if again {
                self.lose(index);
            } else {
                part.second_at = Some(now + POLL);
            }
            return None;
        }
        pools.record_sent(now, choice.handle);
        part.tried.push(choice.handle);
        part.asked.push(choice.entry.instance.clone());
        part.open += 1;
        let share = if choice.stuck { SECOND_STUCK } else { SECOND };
        let spent = 1.0 - pools.remaining_retry_share(now, pool);
        let share = share + (SECOND_SPENT - share) * spent;
        part.second_at = first.then(|| now + goal.mul_f64(share));
        let cause = match (first, part.last_end.filter(|_| again)) {
            (true, _) => Cause::First,
            (false, Some(end)) => Cause::Ended(end),
            (false, None) => Cause::Slow,
        };
        Some(PlannedAttempt { pool_index: index, choice, cause })
    }

    fn lose(&mut self, index: usize) {
        self.parts[index].lost = true;
        self.lost += 1;
    }

    /// Records how an attempt for the pool at index `part` ended. Returns whether its reply is
    /// to be used in the answer.
    pub fn record_end(&mut self, part: usize, end: AttemptEnd) -> bool {
        let part = &mut self.parts[part];
        part.open -= 1;
        let fate = end.fate();
        part.fate = Some(part.fate.map_or(fate, |f| f.combine(fate)));
        part.last_end = Some(end);
        let used = end == AttemptEnd::Reply { success: true } && !part.replied;
        if used {
            part.replied = true;
            self.replied += 1;
        }
        used
    }

    /// Whether the request is to be answered now, and how.
    pub fn completion(&self, now: Instant) -> Option<Completion> {
        let total = self.parts.len();
        let enough = self.replied >= self.plan.min_replies;
        if self.replied == total {
            return Some(Completion::Complete);
        }
        if total - self.lost < self.plan.min_replies {
            return Some(self.failed());
        }
        if self.replied + self.lost == total {
            return Some(Completion::Partial);
        }
        if enough && now >= self.cut() {
            return Some(Completion::Partial);
        }
        if now >= self.end() {
            return Some(if enough { Completion::Partial } else { self.failed() });
        }
        None
    }

    fn failed(&self) -> Completion {
        let fate = self.fate();
        let ends = || self.parts.iter().filter_map(|p| p.last_end);
        let reason = if self.lost == 0 {
            Reason::Deadline
        } else if self.parts.iter().any(|p| p.lost && p.tried.is_empty()) {
            Reason::Unreachable
        } else if ends().any(|e| matches!(e, AttemptEnd::Reply { success: false })) {
            Reason::Failed
        } else if ends().any(|e| e == AttemptEnd::ConnectionLost) {
            Reason::Lost
        } else if ends().any(|e| e == AttemptEnd::BadReply) {
            Reason::BadReply
        } else if ends().any(|e| e == AttemptEnd::Refused) {
            Reason::Overload
        } else {
            Reason::Unreachable
        };
        Completion::Failed { fate, reason }
    }

    /// What is known of whether any attempt ran.
    pub fn fate(&self) -> Fate {
        let of = |p: &Part| {
            let open = if p.open > 0 { Fate::MayHaveRun } else { Fate::NotRun };
            open.combine(p.fate.unwrap_or(Fate::NotRun))
        };
        self.parts.iter().map(of).fold(Fate::NotRun, Fate::combine)
    }

    /// When an answer that lacks pools is better than waiting on.
    fn cut(&self) -> Instant {
        let margin = self.plan.goal.mul_f64(MARGIN).max(MARGIN_LEAST);
        self.plan.arrived + self.plan.goal.saturating_sub(margin)
    }

    /// Until when an attempt is of use.
    ///
    /// An upstream with too much work drops what cannot be answered by the goal. What waits
    /// there in order of arrival would otherwise all be late, and nothing in time.
    pub fn attempt_deadline(&self) -> Instant {
        match self.parts.len() > 1 {
            true => self.plan.deadline.min(self.cut() + LAST),
            false => self.plan.deadline,
        }
    }

    /// When the request ends, whatever is still out.
    fn end(&self) -> Instant {
        let deadline = self.plan.deadline.checked_sub(LAST).unwrap_or(self.plan.arrived);
        match self.parts.len() > 1 {
            true => deadline.min(self.cut() + LAST + TRAVEL),
            false => deadline,
        }
    }

    /// When to look again at the latest, if no attempt ends before.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let mut wake = self.end();
        let cut = self.cut();
        if cut > now {
            wake = wake.min(cut);
        } else if self.parts.len() > 1 {
            // No attempt leaves any more.
            return wake;
        }
        for part in self.parts.iter().filter(|p| !p.replied && !p.lost) {
            let may = self.plan.repeatable && part.tried.len() < self.plan.max_attempts;
            if let Some(at) = part.second_at.filter(|_| may) {
                wake = wake.min(at);
            }
        }
        wake
    }
}
