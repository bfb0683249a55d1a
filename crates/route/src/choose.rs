//! Choice of an upstream for one request.
//!
//! Cost = expected wait + prefill that the prefix cache does not cover +
//! distance. A few candidates are sampled, so that many daemons acting on the
//! same stale report do not all choose the same one.

use crate::breaker::State;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use unit::{Name, Span, Time, rendezvous};

/// Candidates sampled besides the one the prefix points to.
const SAMPLES: usize = 3;

/// Candidates sampled because a cache event says that they hold the prefix.
const SAMPLED_CACHED: usize = 2;

/// Age at which a report's figure has lost about two thirds of its weight.
const TRUST: Span = Span::from_secs(5);

/// Least share of candidates that ejection leaves, in percent.
const FLOOR_PERCENT: usize = 50;

/// Load over the mean, in percent, at which the prefix's own candidate is passed over.
const BOUND_PERCENT: f64 = 150.0;

/// Expected time of one request when nothing is known of an upstream.
const UNKNOWN_SERVICE: Span = Span::from_ms(500);

/// Replica that could take the request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// The upstream.
    pub upstream: &'a Name,
    /// Delay to it, one way.
    pub distance: Span,
    /// Requests running or waiting there, by its last report.
    pub reported: u32,
    /// Age of that report, with the report's own lag.
    pub age: Span,
    /// Requests this daemon sent there since that report and that have not ended.
    pub sent_since: u32,
    /// Requests it runs at once.
    pub batch: u32,
    /// Smoothed time of one request there; zero when not known.
    pub service_time: Span,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Requests of this daemon that may be in flight there.
    pub limit: u32,
    /// Whether it takes requests.
    pub breaker: State,
    /// Whether a cache event says that it holds the prefix.
    pub cached: bool,
}

/// Request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Hash of its prefix, if it has one worth keeping together.
    pub prefix: Option<u64>,
    /// Time its prompt takes when nothing is cached.
    pub prefill: Span,
    /// Upstream that failed it before.
    pub avoid: Option<u64>,
}

/// Why a candidate was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exclusion {
    /// Another had a lower cost.
    #[serde(rename = "Dearer")]
    Costlier,
    /// It was not among the sampled.
    NotSampled,
    /// It has failed too often.
    Ejected,
    /// This daemon has as many requests there as it may.
    Full,
    /// It failed this very request before.
    Failed,
}

/// Candidate as it was weighed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evaluation {
    /// The upstream.
    pub upstream: Name,
    /// Expected wait.
    pub wait: Span,
    /// Prefill not covered by its cache.
    pub prefill: Span,
    /// Distance.
    pub distance: Span,
    /// Why it was not taken; none for the chosen.
    #[serde(rename = "passed")]
    pub exclusion: Option<Exclusion>,
}

impl Evaluation {
    /// Whole cost.
    pub fn cost(&self) -> Span {
        self.wait + self.prefill + self.distance
    }
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Selection {
    /// That candidate, by index.
    Take(usize),
    /// Each candidate has as many requests as it may; wait.
    Full,
    /// There is no candidate at all.
    NoCandidate,
}

/// Chooses a candidate.
pub fn choose(ask: &Request, candidates: &[Candidate], rng: &mut impl Rng) -> Selection {
    if candidates.is_empty() {
        return Selection::NoCandidate;
    }
    let open = eligible(ask, candidates);
    if open.is_empty() {
        return Selection::Full;
    }
    let mean = mean_reported(candidates);
    let holder = holder(ask, candidates, &open);
    let cached = open.iter().copied().filter(|i| candidates[*i].cached);
    let sampled = sample(&open, holder, cached, rng);
    let best = sampled
        .into_iter()
        .min_by_key(|i| cost(ask, &candidates[*i], mean, holder == Some(*i)));
    best.map_or(Selection::Full, Selection::Take)
}

/// Explains a choice: every candidate with its cost and why it was passed over.
pub fn evaluate(ask: &Request, candidates: &[Candidate], taken: usize) -> Vec<Evaluation> {
    let open = eligible(ask, candidates);
    let mean = mean_reported(candidates);
    let holder = holder(ask, candidates, &open);
    let chosen = cost(ask, &candidates[taken], mean, holder == Some(taken));
    let weigh = |(i, c): (usize, &Candidate)| {
        let holds = holder == Some(i);
        let dearer = cost(ask, c, mean, holds) >= chosen;
        let passed = match () {
            _ if i == taken => None,
            _ if open.contains(&i) && dearer => Some(Exclusion::Costlier),
            _ if open.contains(&i) => Some(Exclusion::NotSampled),
            _ if c.in_flight >= c.limit => Some(Exclusion::Full),
            _ if failed_before(ask, c) => Some(Exclusion::Failed),
            _ => Some(Exclusion::Ejected),
        };
        Evaluation {
            upstream: c.upstream.clone(),
            wait: wait(c, mean),
            prefill: prefill(ask, c, holds),
            distance: c.distance,
            exclusion: passed,
        }
    };
    candidates.iter().enumerate().map(weigh).collect()
}

fn failed_before(ask: &Request, candidate: &Candidate) -> bool {
    ask.avoid == Some(rendezvous::hash(candidate.upstream.as_bytes()))
}

/// Candidates that may be taken: with room, healthy, not the one that just failed.
///
/// When ejection would leave too few, the ejected serve too: better a doubtful
/// upstream than none.
fn eligible(ask: &Request, candidates: &[Candidate]) -> Vec<usize> {
    let healthy = |c: &Candidate| !matches!(c.breaker, State::Open(_));
    let alive = candidates.iter().filter(|c| healthy(c)).count();
    let enough = alive * 100 >= candidates.len() * FLOOR_PERCENT;
    let fit = |avoid: bool, i: &usize| {
        let c = &candidates[*i];
        c.in_flight < c.limit && (!enough || healthy(c)) && !(avoid && failed_before(ask, c))
    };
    let all = 0..candidates.len();
    let open: Vec<usize> = all.clone().filter(|i| fit(true, i)).collect();
    if open.is_empty() && ask.avoid.is_some() {
        return all.filter(|i| fit(false, i)).collect();
    }
    open
}

fn mean_reported(candidates: &[Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| f64::from(c.reported)).sum();
    sum / candidates.len() as f64
}

/// Requests at an upstream now: the report, less sure with age, and our own since.
fn occupancy(candidate: &Candidate, mean: f64) -> f64 {
    let trust = (-candidate.age.secs() / TRUST.secs()).exp();
    let reported = f64::from(candidate.reported) * trust + mean * (1.0 - trust);
    reported + f64::from(candidate.sent_since)
}

/// Expected wait: a share of the batch slows all of it, what is beyond it queues.
fn wait(candidate: &Candidate, mean: f64) -> Span {
    let service = match candidate.service_time {
        Span::ZERO => UNKNOWN_SERVICE,
        known => known,
    };
    let batch = f64::from(candidate.batch.max(1));
    let filled = occupancy(candidate, mean) / batch;
    let beyond = (filled - 1.0).max(0.0);
    service * (filled.min(1.0) * 0.5 + beyond)
}

fn prefill(ask: &Request, candidate: &Candidate, holds: bool) -> Span {
    if holds || candidate.cached {
        return Span::ZERO;
    }
    ask.prefill
}

fn cost(ask: &Request, candidate: &Candidate, mean: f64, holds: bool) -> Span {
    wait(candidate, mean) + prefill(ask, candidate, holds) + candidate.distance
}

/// Candidate that the prefix points to, unless it is loaded beyond the bound.
fn holder(ask: &Request, candidates: &[Candidate], open: &[usize]) -> Option<usize> {
    let prefix = ask.prefix?;
    let load = |c: &Candidate| f64::from(c.reported + c.sent_since + 1);
    let mean = open.iter().map(|i| load(&candidates[*i])).sum::<f64>() / open.len() as f64;
    let within = |i: &&usize| load(&candidates[**i]) * 100.0 <= mean * BOUND_PERCENT;
    let rank = |i: &&usize| rendezvous::weight(prefix, candidates[**i].upstream);
    open.iter().filter(within).max_by_key(rank).copied()
}

fn sample(
    open: &[usize],
    holder: Option<usize>,
    cached: impl Iterator<Item = usize>,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let mut sampled: Vec<usize> = open.to_vec();
    let most = SAMPLES.min(sampled.len());
    for i in 0..most {
        let j = rng.random_range(i..sampled.len());
        sampled.swap(i, j);
    }
    sampled.truncate(most);
    sampled.extend(holder);
    sampled.extend(cached.take(SAMPLED_CACHED));
    sampled
}

/// Age of a report that came `received`, was `lag` old then, at `now`.
pub fn report_age(now: Time, received: Time, lag: Span) -> Span {
    now.since(received) + lag
}
