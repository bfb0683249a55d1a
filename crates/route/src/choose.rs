//! Selection of an upstream for one request.
//!
//! Cost = expected wait + prefill not covered by the prefix cache + network distance. Only a few random candidates are
//! compared, so that daemons with the same outdated reports do not all choose the same upstream.

use crate::breaker::State;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use unit::{Name, Span, Time, rendezvous};

/// Random candidates compared, in addition to the one with prefix affinity.
const SAMPLES: usize = 3;

/// Additional candidates that have the prefix cached according to cache events.
const CACHED_SAMPLES: usize = 2;

/// Time constant of the decay of a report's weight with age.
const REPORT_DECAY: Span = Span::from_secs(5);

/// Percentage of candidates that must be healthy; below it, open breakers are ignored.
const MIN_HEALTHY_PERCENT: usize = 50;

/// Load in percent of the mean above which prefix affinity is ignored (consistent hashing with bounded loads).
const AFFINITY_LOAD_PERCENT: f64 = 150.0;

/// Assumed service time of an upstream without measurements.
const DEFAULT_SERVICE_TIME: Span = Span::from_ms(500);

/// Upstream that could serve the request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    pub upstream: &'a Name,
    /// One-way network delay.
    pub distance: Span,
    /// Requests running or queued there, from its last report.
    pub reported: u32,
    /// Age of that report, including its delay before it was received.
    pub age: Span,
    /// Requests of this daemon sent since that report and still in flight.
    pub sent_since: u32,
    /// Maximum batch size.
    pub batch: u32,
    /// Smoothed service time of one request; zero if unknown.
    pub service_time: Span,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Concurrency limit of this daemon for the upstream.
    pub limit: u32,
    pub breaker: State,
    /// Whether cache events say that the prefix is cached there.
    pub cached: bool,
}

/// Request to be routed.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Hash of the prompt prefix; `None` for no affinity.
    pub prefix: Option<u64>,
    /// Prefill time of the prompt without a cache.
    pub prefill: Span,
    /// Hash of the upstream that failed the last attempt.
    pub avoid: Option<u64>,
}

/// Reason for which a candidate was not chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exclusion {
    /// Another candidate had a lower cost.
    #[serde(rename = "Dearer")]
    Costlier,
    /// It was not sampled.
    NotSampled,
    /// Its circuit breaker is open.
    Ejected,
    /// This daemon's concurrency limit for it is reached.
    Full,
    /// It failed an earlier attempt of this request.
    Failed,
}

/// Evaluation of one candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evaluation {
    pub upstream: Name,
    pub wait: Span,
    /// Prefill time not covered by the cache.
    pub prefill: Span,
    /// One-way network delay.
    pub distance: Span,
    /// `None` for the chosen candidate.
    #[serde(rename = "passed")]
    pub exclusion: Option<Exclusion>,
}

impl Evaluation {
    /// Total cost.
    pub fn cost(&self) -> Span {
        self.wait + self.prefill + self.distance
    }
}

/// Result of a selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    /// Index of the chosen candidate.
    Take(usize),
    /// No candidate is eligible at the moment; the request should be queued.
    Full,
    /// There are no candidates.
    NoCandidate,
}

/// Selects the cheapest of the sampled candidates.
pub fn choose(request: &Request, candidates: &[Candidate], rng: &mut impl Rng) -> Selection {
    if candidates.is_empty() {
        return Selection::NoCandidate;
    }
    let eligible = eligible(request, candidates);
    if eligible.is_empty() {
        return Selection::Full;
    }
    let mean = mean_reported(candidates);
    let preferred = preferred(request, candidates, &eligible);
    let cached = eligible.iter().copied().filter(|i| candidates[*i].cached);
    let sampled = sample(&eligible, preferred, cached, rng);
    let best = sampled
        .into_iter()
        .min_by_key(|i| cost(request, &candidates[*i], mean, preferred == Some(*i)));
    best.map_or(Selection::Full, Selection::Take)
}

/// Explains a selection: the cost of every candidate and why it was not chosen.
pub fn evaluate(request: &Request, candidates: &[Candidate], selected: usize) -> Vec<Evaluation> {
    let eligible = eligible(request, candidates);
    let mean = mean_reported(candidates);
    let preferred = preferred(request, candidates, &eligible);
    let chosen = cost(
        request,
        &candidates[selected],
        mean,
        preferred == Some(selected),
    );
    let evaluation = |(i, c): (usize, &Candidate)| {
        let is_preferred = preferred == Some(i);
        let costlier = cost(request, c, mean, is_preferred) >= chosen;
        let exclusion = match () {
            _ if i == selected => None,
            _ if eligible.contains(&i) && costlier => Some(Exclusion::Costlier),
            _ if eligible.contains(&i) => Some(Exclusion::NotSampled),
            _ if c.in_flight >= c.limit => Some(Exclusion::Full),
            _ if failed_before(request, c) => Some(Exclusion::Failed),
            _ => Some(Exclusion::Ejected),
        };
        Evaluation {
            upstream: c.upstream.clone(),
            wait: wait(c, mean),
            prefill: prefill(request, c, is_preferred),
            distance: c.distance,
            exclusion,
        }
    };
    candidates.iter().enumerate().map(evaluation).collect()
}

fn failed_before(request: &Request, candidate: &Candidate) -> bool {
    request.avoid == Some(rendezvous::hash(candidate.upstream.as_bytes()))
}

/// Indices of the candidates below their limit whose breaker is not open and that did not fail the last attempt.
///
/// If too few are healthy, breakers are ignored; if only the upstream that failed before is left, it is eligible again.
fn eligible(request: &Request, candidates: &[Candidate]) -> Vec<usize> {
    let is_healthy = |c: &Candidate| !matches!(c.breaker, State::Open(_));
    let healthy_count = candidates.iter().filter(|c| is_healthy(c)).count();
    let enough = healthy_count * 100 >= candidates.len() * MIN_HEALTHY_PERCENT;
    let is_eligible = |avoid: bool, i: &usize| {
        let c = &candidates[*i];
        c.in_flight < c.limit && (!enough || is_healthy(c)) && !(avoid && failed_before(request, c))
    };
    let all = 0..candidates.len();
    let eligible: Vec<usize> = all.clone().filter(|i| is_eligible(true, i)).collect();
    if eligible.is_empty() && request.avoid.is_some() {
        return all.filter(|i| is_eligible(false, i)).collect();
    }
    eligible
}

fn mean_reported(candidates: &[Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| f64::from(c.reported)).sum();
    sum / candidates.len() as f64
}

/// Estimated requests at an upstream: the reported number, weighted towards the mean as the report ages, plus this
/// daemon's requests since the report.
fn occupancy(candidate: &Candidate, mean: f64) -> f64 {
    let weight = (-candidate.age.secs() / REPORT_DECAY.secs()).exp();
    let reported = f64::from(candidate.reported) * weight + mean * (1.0 - weight);
    reported + f64::from(candidate.sent_since)
}

/// Expected wait: requests within the batch slow each other down, those beyond it are queued.
fn wait(candidate: &Candidate, mean: f64) -> Span {
    let service = match candidate.service_time {
        Span::ZERO => DEFAULT_SERVICE_TIME,
        known => known,
    };
    let batch = f64::from(candidate.batch.max(1));
    let filled = occupancy(candidate, mean) / batch;
    let excess = (filled - 1.0).max(0.0);
    service * (filled.min(1.0) * 0.5 + excess)
}

fn prefill(request: &Request, candidate: &Candidate, is_preferred: bool) -> Span {
    if is_preferred || candidate.cached {
        return Span::ZERO;
    }
    request.prefill
}

fn cost(request: &Request, candidate: &Candidate, mean: f64, is_preferred: bool) -> Span {
    wait(candidate, mean) + prefill(request, candidate, is_preferred) + candidate.distance
}

/// Candidate with affinity to the prefix by rendezvous hashing, among those with acceptable load.
fn preferred(request: &Request, candidates: &[Candidate], eligible: &[usize]) -> Option<usize> {
    let prefix = request.prefix?;
    let load = |c: &Candidate| f64::from(c.reported + c.sent_since + 1);
    let mean = eligible.iter().map(|i| load(&candidates[*i])).sum::<f64>() / eligible.len() as f64;
    let within = |i: &&usize| load(&candidates[**i]) * 100.0 <= mean * AFFINITY_LOAD_PERCENT;
    let rank = |i: &&usize| rendezvous::weight(prefix, candidates[**i].upstream);
    eligible.iter().filter(within).max_by_key(rank).copied()
}

fn sample(
    eligible: &[usize],
    preferred: Option<usize>,
    cached: impl Iterator<Item = usize>,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let mut sampled: Vec<usize> = eligible.to_vec();
    let count = SAMPLES.min(sampled.len());
    for i in 0..count {
        let j = rng.random_range(i..sampled.len());
        sampled.swap(i, j);
    }
    sampled.truncate(count);
    sampled.extend(preferred);
    sampled.extend(cached.take(CACHED_SAMPLES));
    sampled
}

/// Age at `now` of a report that arrived at `received` with an age of `lag`.
pub fn report_age(now: Time, received: Time, lag: Span) -> Span {
    now.since(received) + lag
}
