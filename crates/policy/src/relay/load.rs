//! Load that an upstream reports in its replies, and how far it is believed.
//!
//! A report predicts the time to the next reply as the time of a request at an idle upstream, times
//! the pace, times one and the requests ahead for each slot. The time at an idle upstream is learned
//! from replies. A report is weighted by its age, and by how much better reports have predicted replies
//! than earlier replies alone did: their median with this node's own requests, or their mean. A report
//! that never changes predicts no better than the mean and gets no weight.

use std::time::{Duration, Instant};

/// Age at which a report weighs half: pace and queue change many times a second. In the queue model of
/// docs/design/told-load.md, 300 ms gave less.
const HALF_LIFE: Duration = Duration::from_millis(150);
/// Age from which a report is forgotten: it weighs less than a hundredth.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Weight of the newest reply in the time of a request at an idle upstream, and in the mean.
const NEWEST_REPLY_WEIGHT: f64 = 0.1;
/// Weight of the newest reply in the mean errors of predictions. With a greater one, chance gives false
/// reports weight for some time.
const NEWEST_ERROR_WEIGHT: f64 = 0.03;
/// Trust for each part by which reports lower the error. Most of the error is the spread of service
/// times, which no report can predict, so that a twelfth is a good prediction.
const TRUST_GAIN: f64 = 12.0;
/// Trust from which reports count as believed, and below which they no longer do.
const BELIEVED_FROM: f64 = 0.6;
const BELIEVED_UNTIL: f64 = 0.2;
/// Sum of the weights of replies from which the errors of predictions are known well enough.
const MIN_EVIDENCE: f64 = 3.0;
/// Largest error of one prediction that counts, as a logarithm: a factor of about 50.
const MAX_ERROR: f64 = 4.0;
/// Largest number in a report that is read. Upstreams have a few slots and short queues.
const MAX_COUNT: u32 = 100_000;
/// Largest pace that is read, in hundredths of the usual time. It cannot be 0.
const MAX_PACE: u32 = 100_000;
/// Pace of an upstream that does not state it, in hundredths of the usual time.
const USUAL_PACE: u32 = 100;

/// Load that a reply reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    running: u32,
    waiting: u32,
    slots: u32,
    pace: u32,
}

impl Report {
    /// Creates a report of requests that run and wait at an upstream with `slots`. `pace` is the time
    /// that work takes there, in hundredths of the usual time. Returns `None` if a number is absurd.
    pub fn new(running: u32, waiting: u32, slots: u32, pace: Option<u32>) -> Option<Report> {
        let pace = pace.unwrap_or(USUAL_PACE);
        let is_plausible = running.max(waiting).max(slots) <= MAX_COUNT && slots > 0;
        let report = Report { running, waiting, slots, pace };
        (is_plausible && (1..=MAX_PACE).contains(&pace)).then_some(report)
    }

    /// Returns the expected time to a reply as a multiple of that at an idle upstream, if `sent`
    /// requests have been sent since the report, and `own` ones of this node are in flight.
    fn factor(&self, sent: usize, own: usize) -> f64 {
        let present = f64::from(self.running) + f64::from(self.waiting) + sent as f64;
        let present = present.max(own as f64);
        let slots = f64::from(self.slots);
        let ahead = (present + 1.0 - slots).max(0.0);
        f64::from(self.pace) / f64::from(USUAL_PACE) * (1.0 + ahead / slots)
    }
}

/// What was predicted when an attempt was sent.
#[derive(Debug, Clone, Copy)]
struct Prediction {
    sent: Instant,
    /// Expected time as a multiple of that at an idle upstream.
    factor: f64,
    /// Expected time by the report; `None` if that at an idle upstream was not known.
    reported: Option<Duration>,
    /// Expected time by earlier replies.
    observed: Duration,
    /// Weight of the report by its age.
    weight: f64,
}

/// Estimate of an upstream's delay from its reports, and the trust in them.
#[derive(Debug, Default)]
pub struct Estimate {
    newest: Option<(Instant, Report)>,
    predictions: Vec<Prediction>,
    /// Logarithm of the time of a request at an idle upstream, in seconds.
    idle_log: Option<f64>,
    /// Mean logarithm of the time to a reply.
    mean_log: Option<f64>,
    /// Mean square errors of the predictions by reports, by earlier replies and by the mean.
    reported_error: f64,
    observed_error: f64,
    mean_error: f64,
    /// Sum of the weights of the replies in the errors.
    evidence: f64,
    is_believed: bool,
}

impl Estimate {
    /// Records the report of a reply. Returns whether reports are believed if that has changed.
    pub fn record_report(&mut self, now: Instant, report: Report) -> Option<bool> {
        self.newest = Some((now, report));
        let was_believed = self.is_believed;
        let threshold = if was_believed { BELIEVED_UNTIL } else { BELIEVED_FROM };
        self.is_believed = self.trust() >= threshold;
        (self.is_believed != was_believed).then_some(self.is_believed)
    }

    /// Records that an attempt was sent, for which earlier replies predict the delay `observed`.
    pub fn record_sent(&mut self, now: Instant, observed: Duration) {
        let Some((weight, factor)) = self.current(now) else { return };
        let reported = self.reported(factor);
        let sent = now;
        self.predictions.push(Prediction { sent, factor, reported, observed, weight });
    }

    /// Records the end of the attempt that was sent at `sent`, with a reply or, if not `replied`,
    /// without one that was waited for until now.
    pub fn record_end(&mut self, now: Instant, sent: Instant, replied: bool) {
        let Some(prediction) = self.take(sent) else { return };
        let latency = now.saturating_duration_since(sent);
        // The end of the wait says nothing before the time that was predicted.
        if !replied && prediction.reported.is_none_or(|reported| latency < reported) {
            return;
        }
        let Prediction { factor, reported, observed, weight, .. } = prediction;
        let log = seconds_log(latency);
        let mean = self.mean_log.unwrap_or(log);
        if let Some(reported) = reported {
            // The first replies count alike, so that the averages do not depend on their start.
            let rate = weight * NEWEST_ERROR_WEIGHT.max(1.0 / (self.evidence + 1.0));
            let update = |average: &mut f64, predicted: f64| {
                let error = (log - predicted).abs().min(MAX_ERROR);
                *average += rate * (error * error - *average);
            };
            update(&mut self.reported_error, seconds_log(reported));
            update(&mut self.observed_error, seconds_log(observed));
            update(&mut self.mean_error, mean);
            self.evidence += weight;
        }
        let rate = NEWEST_REPLY_WEIGHT * weight;
        let idle = log - factor.ln();
        let known = self.idle_log.unwrap_or(idle);
        self.idle_log = Some(known + rate * (idle - known));
        self.mean_log = Some(mean + rate * (log - mean));
    }

    /// Forgets the attempt that was sent at `sent`, of which the end says nothing of the load.
    pub fn forget(&mut self, sent: Instant) {
        self.take(sent);
    }

    fn take(&mut self, sent: Instant) -> Option<Prediction> {
        let index = self.predictions.iter().position(|p| p.sent == sent)?;
        Some(self.predictions.swap_remove(index))
    }

    /// Returns the trust in the reports of the upstream, from 0 to 1.
    pub fn trust(&self) -> f64 {
        let other = self.observed_error.min(self.mean_error);
        if self.evidence < MIN_EVIDENCE || other <= 0.0 {
            return 0.0;
        }
        ((1.0 - self.reported_error / other) * TRUST_GAIN).clamp(0.0, 1.0)
    }

    /// Returns the expected time to a reply, where earlier replies predict `observed`: this value
    /// itself without a recent report that is believed.
    pub fn delay(&self, now: Instant, observed: Duration) -> Duration {
        let Some((weight, factor)) = self.current(now) else { return observed };
        let Some(reported) = self.reported(factor) else { return observed };
        let weight = weight * self.trust();
        observed.mul_f64(1.0 - weight) + reported.mul_f64(weight)
    }

    /// Returns the weight of the newest report by its age, and the factor that it says.
    fn current(&self, now: Instant) -> Option<(f64, f64)> {
        let (heard_at, report) = self.newest?;
        let age = now.saturating_duration_since(heard_at);
        if age >= MAX_AGE {
            return None;
        }
        let weight = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let sent = self.predictions.iter().filter(|p| p.sent >= heard_at).count();
        Some((weight, report.factor(sent, self.predictions.len())))
    }

    fn reported(&self, factor: f64) -> Option<Duration> {
        let seconds = self.idle_log?.exp() * factor;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

fn seconds_log(time: Duration) -> f64 {
    time.max(Duration::from_micros(1)).as_secs_f64().ln()
}
