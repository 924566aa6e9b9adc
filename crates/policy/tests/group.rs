//! Group scheduler: concurrency limits, queueing by rank, hedges, retries and draining.

mod common;

use std::time::{Duration, Instant};

use base::{id, unit::Version};
use policy::{
    group::{Env, GroupScheduler, QUEUE_LIMIT},
    job::{Action, AttemptResult, Job, JobId, JobResult},
    outcome::{Fate, Reason},
    replica::{Replica, Window},
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const SLOTS: u32 = 3;

struct Bench {
    group: GroupScheduler,
    rng: ChaCha8Rng,
    now: Instant,
    quarantined: Option<u64>,
    sent: Vec<(JobId, id::Attempt, id::Upstream)>,
    cancelled: Vec<id::Attempt>,
    ended: Vec<(JobId, JobResult)>,
}

fn upstream(index: u16) -> id::Upstream {
    id::Upstream(([10, 0, 0, 1], 100 + index).into())
}

impl Bench {
    fn new() -> Bench {
        let replicas = (0..3).map(|i| Replica::new(upstream(i), SLOTS, false)).collect();
        Bench {
            group: GroupScheduler::new(replicas, SLOTS, 3, 0),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Instant::now(),
            quarantined: None,
            sent: Vec::new(),
            cancelled: Vec::new(),
            ended: Vec::new(),
        }
    }

    fn job(&self) -> Job {
        let deadline = self.now + Duration::from_millis(100);
        Job { rank: 0, deadline, idempotent: true, version: None, fingerprint: 1 }
    }

    fn step<T>(
        &mut self,
        f: impl FnOnce(&mut GroupScheduler, Instant, &mut Env<'_>, &mut Vec<Action>) -> T,
    ) -> T {
        let quarantined = self.quarantined;
        let is_quarantined = |f| quarantined == Some(f);
        let mut env = Env { rng: &mut self.rng, is_quarantined: &is_quarantined };
        let mut actions = Vec::new();
        let result = f(&mut self.group, self.now, &mut env, &mut actions);
        for action in actions {
            match action {
                Action::Send { job_id, attempt, upstream } => {
                    self.sent.push((job_id, attempt, upstream));
                }
                Action::Cancel { attempt } => self.cancelled.push(attempt),
                Action::Finish { job_id, end } => self.ended.push((job_id, end)),
            }
        }
        result
    }

    fn submit(&mut self, job: Job) -> JobId {
        self.step(|g, now, env, out| g.submit(now, job, env, out))
    }

    fn reply(&mut self, attempt: id::Attempt, reply: AttemptResult) {
        self.step(|g, now, env, out| g.on_reply(now, attempt, reply, env, out));
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(|g, now, env, out| g.poll(now, env, out));
    }

    /// Completes enough jobs for the scheduler to compute its hedge delay.
    fn warm_up(&mut self) {
        for _ in 0..200 {
            let job = self.job();
            self.submit(job);
            let (_, attempt, _) =
                *self.sent.last().expect("an idle replica is sent the job immediately");
            self.now += Duration::from_millis(5);
            self.reply(attempt, AttemptResult::Done);
        }
        self.sent.clear();
        self.ended.clear();
        self.cancelled.clear();
    }
}

#[test]
fn a_straggler_is_hedged_elsewhere_and_the_loser_is_cancelled() {
    let mut bench = Bench::new();
    bench.warm_up();
    let job = bench.job();
    let job_id = bench.submit(job);
    bench.advance(Duration::from_millis(8));
    let [(_, first, one), (_, second, other)] = bench.sent[..] else { panic!("{:?}", bench.sent) };
    assert_ne!(one, other);
    bench.reply(second, AttemptResult::Done);
    assert_eq!(bench.ended, [(job_id, JobResult::Done)]);
    assert_eq!(bench.cancelled, [first]);
    assert_eq!(bench.group.in_flight(), 0);
}

#[test]
fn non_idempotent_jobs_are_never_hedged_nor_retried_after_they_may_have_run() {
    for (reply, attempts, fate) in [
        (AttemptResult::Lost, 1, Fate::MayHaveRun),
        (AttemptResult::Bad, 1, Fate::MayHaveRun),
        (AttemptResult::Failed, 1, Fate::Ran),
    ] {
        let mut bench = Bench::new();
        bench.warm_up();
        let job = Job { idempotent: false, ..bench.job() };
        bench.submit(job);
        bench.advance(Duration::from_millis(50));
        bench.reply(bench.sent[0].1, reply);
        bench.advance(Duration::from_millis(20));
        assert_eq!(bench.sent.len(), attempts, "{reply:?}");
        assert!(
            matches!(bench.ended[0].1, JobResult::Failed { fate: f, .. } if f == fate),
            "{reply:?}"
        );
    }
}

#[test]
fn non_idempotent_jobs_are_retried_after_a_refusal_before_running() {
    for reply in [
        AttemptResult::Shed,
        AttemptResult::Draining,
        AttemptResult::NotSent,
        AttemptResult::VersionMissing,
    ] {
        let mut bench = Bench::new();
        let job = Job { idempotent: false, ..bench.job() };
        bench.submit(job);
        bench.reply(bench.sent[0].1, reply);
        bench.advance(Duration::from_millis(20));
        assert_eq!(bench.sent.len(), 2, "{reply:?}");
    }
}

/// After a suspension of the process, queued jobs are past their deadlines. They must end as not
/// run; those in flight may have run.
#[test]
fn jobs_that_expire_while_the_process_is_suspended_are_not_sent() {
    let mut bench = Bench::new();
    let slots = 3 * SLOTS as usize;
    for _ in 0..slots + 5 {
        let job = Job { idempotent: false, ..bench.job() };
        bench.submit(job);
    }
    assert_eq!((bench.sent.len(), bench.group.queued()), (slots, 5));
    bench.advance(Duration::from_secs(10));
    assert_eq!(bench.sent.len(), slots);
    let ends = |fate| {
        bench
            .ended
            .iter()
            .filter(|(_, e)| *e == JobResult::Failed { reason: Reason::Deadline, fate })
            .count()
    };
    assert_eq!((ends(Fate::NotRun), ends(Fate::MayHaveRun)), (5, slots));
}

#[test]
fn rank_0_is_sent_first() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        let job = Job { rank: 1, ..bench.job() };
        bench.submit(job);
    }
    let job = bench.job();
    let first = bench.submit(job);
    let before = bench.sent.len();
    bench.reply(bench.sent[0].1, AttemptResult::Done);
    assert_eq!(bench.sent[before].0, first);
}

#[test]
fn a_full_queue_refuses_the_lowest_rank() {
    let mut bench = Bench::new();
    // A deadline so late that no job is refused for the time it would wait in the full queue.
    let deadline = bench.now + Duration::from_secs(3_600);
    for _ in 0..QUEUE_LIMIT + 9 {
        let job = Job { rank: 1, deadline, ..bench.job() };
        bench.submit(job);
    }
    assert!(bench.ended.is_empty());
    let job = bench.job();
    let first = bench.submit(job);
    let refused = JobResult::Failed { reason: Reason::Overload, fate: Fate::NotRun };
    assert_eq!(bench.ended.len(), 1);
    assert!(bench.ended[0].0 != first && bench.ended[0].1 == refused);
}

#[test]
fn a_job_that_would_wait_past_its_deadline_is_refused_on_submission() {
    let mut bench = Bench::new();
    for _ in 0..100 {
        let job = Job { rank: 1, ..bench.job() };
        bench.submit(job);
    }
    let refused = JobResult::Failed { reason: Reason::Overload, fate: Fate::NotRun };
    assert!(!bench.ended.is_empty() && bench.ended.iter().all(|(_, end)| *end == refused));
}

/// Without the limit, lower ranks of all nodes fill the upstreams' slots and rank 0 jobs queue
/// inside the upstreams.
#[test]
fn lower_ranks_are_limited_to_an_even_share_while_rank_0_jobs_are_present() {
    let mut bench = Bench::new();
    let job = bench.job();
    bench.submit(job);
    for _ in 0..20 {
        let job = Job { rank: 1, ..bench.job() };
        bench.submit(job);
    }
    // The rank 0 job, and a third of the nine slots for rank 1.
    assert_eq!(bench.sent.len(), 1 + 3);
}

#[test]
fn quarantined_jobs_are_not_sent() {
    let mut bench = Bench::new();
    bench.quarantined = Some(1);
    let job = bench.job();
    bench.submit(job);
    assert!(bench.sent.is_empty());
    let refused = JobResult::Failed { reason: Reason::Quarantined, fate: Fate::NotRun };
    assert_eq!(bench.ended[0].1, refused);
}

/// An upstream that announced its departure must not get jobs again when the same incarnation is
/// observed once more, but must when a new process has started at its address.
#[test]
fn a_leaving_upstream_gets_no_new_jobs_until_its_incarnation_changes() {
    let mut bench = Bench::new();
    let one = upstream(0);
    let with_replica = |bench: &mut Bench, f: &dyn Fn(&mut Replica)| {
        f(bench.group.replica_mut(one).expect("the replica exists"));
    };
    with_replica(&mut bench, &|r| {
        r.record_incarnation(id::Incarnation(1));
        r.record_leaving(Some(id::Incarnation(1)));
    });
    let used = |bench: &mut Bench| {
        bench.sent.clear();
        for _ in 0..6 {
            let job = bench.job();
            bench.submit(job);
        }
        let used = bench.sent.iter().any(|(_, _, u)| *u == one);
        let attempts: Vec<_> = bench.sent.iter().map(|(_, a, _)| *a).collect();
        attempts.into_iter().for_each(|a| bench.reply(a, AttemptResult::Done));
        used
    };
    assert!(!used(&mut bench));
    with_replica(&mut bench, &|r| r.record_incarnation(id::Incarnation(1)));
    assert!(!used(&mut bench), "draining holds until the incarnation changes");
    with_replica(&mut bench, &|r| r.record_incarnation(id::Incarnation(2)));
    assert!(used(&mut bench));
}

#[test]
fn a_version_that_no_replica_holds_ends_the_job_without_running() {
    let mut bench = Bench::new();
    for i in 0..3 {
        let window = Window { oldest: Version(2), newest: Version(3) };
        bench.group.replica_mut(upstream(i)).expect("the replica exists").window = Some(window);
    }
    let job = Job { version: Some(Version(1)), ..bench.job() };
    bench.submit(job);
    assert_eq!(bench.ended[0].1, JobResult::Failed { reason: Reason::Version, fate: Fate::NotRun });
}

seeded! {
    /// Every slot is released whatever the sequence of submissions and results: once all deadlines
    /// have passed, nothing is in flight and each job has ended exactly once.
    fn no_slot_leaks(steps: Vec<(u8, u8)>) -> bool {
        let replies = [
            AttemptResult::Done,
            AttemptResult::Failed,
            AttemptResult::Shed,
            AttemptResult::Draining,
            AttemptResult::NotSent,
            AttemptResult::Lost,
            AttemptResult::Bad,
            AttemptResult::VersionMissing,
        ];
        let mut bench = Bench::new();
        for (step, choice) in steps {
            match step % 4 {
                0 | 1 => {
                    let job = Job { rank: choice % 2, idempotent: choice % 3 > 0, ..bench.job() };
                    bench.submit(job);
                }
                2 if !bench.sent.is_empty() => {
                    let (_, attempt, _) = bench.sent[usize::from(choice) % bench.sent.len()];
                    let reply = replies[usize::from(choice) % replies.len()];
                    bench.reply(attempt, reply);
                }
                _ => bench.advance(Duration::from_millis(u64::from(choice))),
            }
        }
        bench.advance(Duration::from_secs(1));
        bench.advance(Duration::from_secs(1));
        let idle = bench.group.replicas().iter().all(|r| r.in_flight() == 0);
        let ended: std::collections::HashSet<_> = bench.ended.iter().map(|(t, _)| *t).collect();
        let once = ended.len() == bench.ended.len();
        let all = bench.ended.len() as u64 == bench.group.counts().jobs;
        idle && bench.group.in_flight() == 0 && once && all
    }
}
