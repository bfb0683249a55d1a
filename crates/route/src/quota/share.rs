//! Fallback for a host that gets no answer from the limiter.

use super::{FALLBACK_DURATION, FALLBACK_FRACTION, Limit, SlidingSum, Tolerance, Usage};
use unit::{Span, Time};

/// Maximum time since the last answer that is credited when the fallback starts. Hosts with few requests of an account
/// accrue enough for one in this time.
const MAX_CREDIT: Span = Span::from_ms(1_500);

/// Burst of all hosts together at the start of the fallback, as a time at the full rate; limited to what the bucket
/// held. Needed because requests do not arrive evenly spaced.
const FALLBACK_BURST: Span = Span::from_ms(600);

/// Minimum time over which the usual rate of a host is averaged.
const MIN_AVERAGING: Span = Span::from_ms(2_000);

/// Maximum fallback rate of a host as a multiple of its usual rate, since a share from a few seconds is inaccurate.
const MAX_RATE_FACTOR: f64 = 2.0;

/// One host's share of one limit.
#[derive(Debug, Clone)]
pub struct Share {
    tolerance: Tolerance,
    /// Units granted to this host.
    granted: SlidingSum,
    /// Time of the first grant.
    first_grant: Option<Time>,
    /// State of the bucket at the last grant.
    usage: Usage,
    /// Send time of the last request that was answered.
    last_answered: Option<Time>,
    /// Time of the last fallback burst.
    last_burst: Option<Time>,
    /// Local bucket while the fallback is active.
    local: Option<LocalBucket>,
    /// Units used locally and not reported to the limiter yet.
    unreported: f64,
}

/// Token bucket of a host without an answer.
#[derive(Debug, Clone)]
struct LocalBucket {
    /// Limit from which the rate was computed.
    limit: Limit,
    /// Units per second.
    rate: f64,
    level: f64,
    at: Time,
}

impl LocalBucket {
    /// Refills the bucket; if the limit was lowered, rate and level are reduced in proportion.
    fn refilled(self, now: Time, limit: Limit) -> LocalBucket {
        let level = self.level + now.since(self.at).secs() * self.rate;
        let factor = (limit.rate / self.limit.rate).min(1.0);
        LocalBucket {
            limit,
            rate: self.rate * factor,
            level: level * factor,
            at: now,
        }
    }
}

impl Share {
    pub fn new(tolerance: Tolerance) -> Share {
        Share {
            tolerance,
            granted: SlidingSum::new(tolerance.window),
            first_grant: None,
            usage: Usage::default(),
            last_answered: None,
            last_burst: None,
            local: None,
            unreported: 0.0,
        }
    }

    /// Records units granted for a request sent at `sent_at`.
    pub fn record_grant(&mut self, units: f64, usage: Usage, sent_at: Time) {
        self.granted.add(units, sent_at);
        self.first_grant.get_or_insert(sent_at);
        self.usage = usage;
    }

    /// Records an answer to a request sent at `sent_at` that reported `reported` units of local use.
    pub fn record_answer(&mut self, sent_at: Time, reported: f64) {
        self.last_answered = self.last_answered.max(Some(sent_at));
        self.local = None;
        self.unreported = (self.unreported - reported).max(0.0);
    }

    /// Units used locally and not reported to the limiter yet.
    pub fn unreported(&self) -> f64 {
        self.unreported
    }

    /// Removes unused units that were granted for a request sent at `sent_at`.
    pub fn refund(&mut self, units: f64, sent_at: Time) {
        self.granted.remove(units, sent_at);
    }

    /// Uses units of the share without an answer from the limiter. Fails with the time after which enough are expected,
    /// if ever.
    pub fn acquire_local(
        &mut self,
        limit: Limit,
        units: f64,
        now: Time,
    ) -> Result<(), Option<Span>> {
        let is_recent = |sent_at: &Time| now.since(*sent_at) < FALLBACK_DURATION;
        let Some(sent_at) = self.last_answered.filter(is_recent) else {
            return Err(None);
        };
        let limit = self.tolerance.effective_limit(limit);
        let rate = self.rate(limit, now);
        let local = match self.local.take() {
            Some(local) => local.refilled(now, limit),
            None => {
                let credit = now.since(sent_at).min(MAX_CREDIT);
                LocalBucket {
                    limit,
                    rate,
                    level: rate * credit.secs() + self.take_burst(limit, now),
                    at: now,
                }
            }
        };
        let local = self.local.insert(local);
        if local.level < units {
            let missing = units - local.level;
            let wait = (local.rate > 0.0).then(|| Span::from_secs_f64(missing / local.rate));
            return Err(wait);
        }
        local.level -= units;
        self.unreported += units;
        Ok(())
    }

    /// Fallback rate of this host in units per second.
    fn rate(&self, limit: Limit, now: Time) -> f64 {
        let usual = self.granted.sum(now) / self.averaging_time(now).secs();
        let share = self.fraction(now) * limit.rate * FALLBACK_FRACTION;
        share.min(usual * MAX_RATE_FACTOR)
    }

    /// Time over which grants to this host are averaged.
    fn averaging_time(&self, now: Time) -> Span {
        let elapsed = self.first_grant.map_or(Span::ZERO, |at| now.since(at));
        elapsed.clamp(MIN_AVERAGING, self.tolerance.window)
    }

    /// Fraction of the units granted to all hosts that this host got.
    fn fraction(&self, now: Time) -> f64 {
        let own = self.granted.sum(now);
        if own > 0.0 {
            own / self.usage.granted.max(own)
        } else {
            0.0
        }
    }

    /// Burst of this host at the start of the fallback; at most one per window, since otherwise each lost answer would
    /// give another one.
    fn take_burst(&mut self, limit: Limit, now: Time) -> f64 {
        let window = self.tolerance.window;
        let is_recent = |at: Time| now.since(at) < window;
        if self.last_burst.is_some_and(is_recent) {
            return 0.0;
        }
        self.last_burst = Some(now);
        let max = limit.rate * FALLBACK_BURST.secs();
        self.fraction(now) * self.usage.available.clamp(0.0, max)
    }
}
