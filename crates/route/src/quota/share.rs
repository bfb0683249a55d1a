//! What one host may use of one account while it gets no answer.

use super::{FALLBACK_DURATION, FALLBACK_FRACTION, Limit, SlidingSum, Tolerance, Usage};
use unit::{Span, Time};

/// Longest time since the last answer for which a share is gathered when a host begins to go on by it: a
/// host that sees few requests of an account needs as long for one.
const GATHERED: Span = Span::from_ms(1_500);

/// Time of the rate that all hosts have at once, by their shares, when they begin to go on alone, as far as
/// the bucket held that: half of the requests come sooner after the one before than a pace would allow.
const AT_ONCE: Span = Span::from_ms(600);

/// Least time over which what a host was given tells its pace.
const LEAST_KNOWN: Span = Span::from_ms(2_000);

/// Pace of a host alone, at the most, as a multiple of what it was given: what it was given in some
/// seconds tells its share only roughly.
const MOST_PACE: f64 = 2.0;

/// One host's share of one account.
#[derive(Debug, Clone)]
pub struct Share {
    tolerance: Tolerance,
    /// What the host was given.
    given: SlidingSum,
    /// When it was given something first.
    first: Option<Time>,
    /// What the limiter told last.
    told: Usage,
    /// When the last question was asked that was answered.
    asked: Option<Time>,
    /// When it was last given something at once for going on alone.
    began: Option<Time>,
    /// What the host uses alone since it gets no answer.
    alone: Option<LocalBucket>,
    /// Units used alone that the limiter has not been told of.
    unreported: f64,
}

/// Bucket of a host that goes on alone.
#[derive(Debug, Clone)]
struct LocalBucket {
    /// Limit of the account that it rests on.
    limit: Limit,
    /// Units a second.
    pace: f64,
    level: f64,
    at: Time,
}

impl LocalBucket {
    /// The bucket with what it has gathered until now; a lower limit lowers its pace and what it holds.
    fn gathered(self, now: Time, limit: Limit) -> LocalBucket {
        let level = self.level + now.since(self.at).secs() * self.pace;
        let factor = (limit.rate / self.limit.rate).min(1.0);
        LocalBucket {
            limit,
            pace: self.pace * factor,
            level: level * factor,
            at: now,
        }
    }
}

impl Share {
    /// Share of a host that was given nothing yet.
    pub fn new(tolerance: Tolerance) -> Share {
        Share {
            tolerance,
            given: SlidingSum::new(tolerance.window),
            first: None,
            told: Usage::default(),
            asked: None,
            began: None,
            alone: None,
            unreported: 0.0,
        }
    }

    /// Notes that the limiter gave units to a question of `asked`.
    pub fn record_grant(&mut self, units: f64, told: Usage, asked: Time) {
        self.given.add(units, asked);
        self.first.get_or_insert(asked);
        self.told = told;
    }

    /// Notes that the limiter answered a question of `asked`, in which it was told of `told` units used
    /// alone.
    pub fn record_answer(&mut self, asked: Time, told: f64) {
        self.asked = self.asked.max(Some(asked));
        self.alone = None;
        self.unreported = (self.unreported - told).max(0.0);
    }

    /// Units used alone that the limiter has not been told of.
    pub fn unreported(&self) -> f64 {
        self.unreported
    }

    /// Takes units out that were given for a question of `asked` and not used.
    pub fn refund(&mut self, units: f64, asked: Time) {
        self.given.remove(units, asked);
    }

    /// Uses units without an answer; otherwise the time after which there will be enough, if ever.
    pub fn acquire_local(
        &mut self,
        limit: Limit,
        units: f64,
        now: Time,
    ) -> Result<(), Option<Span>> {
        let is_young = |asked: &Time| now.since(*asked) < FALLBACK_DURATION;
        let Some(asked) = self.asked.filter(is_young) else {
            return Err(None);
        };
        let limit = self.tolerance.effective_limit(limit);
        let pace = self.pace(limit, now);
        let alone = match self.alone.take() {
            Some(alone) => alone.gathered(now, limit),
            None => {
                let since = now.since(asked).min(GATHERED);
                LocalBucket {
                    limit,
                    pace,
                    level: pace * since.secs() + self.take_left(limit, now),
                    at: now,
                }
            }
        };
        let alone = self.alone.insert(alone);
        if alone.level < units {
            let missing = units - alone.level;
            let wait = (alone.pace > 0.0).then(|| Span::from_secs_f64(missing / alone.pace));
            return Err(wait);
        }
        alone.level -= units;
        self.unreported += units;
        Ok(())
    }

    /// Units a second that this host uses alone: its part in what all were given, of a part of the rate.
    fn pace(&self, limit: Limit, now: Time) -> f64 {
        let usual = self.given.sum(now) / self.known_for(now).secs();
        let part = self.part(now) * limit.rate * FALLBACK_FRACTION;
        part.min(usual * MOST_PACE)
    }

    /// Time over which it is known what this host was given.
    fn known_for(&self, now: Time) -> Span {
        let known = self.first.map_or(Span::ZERO, |first| now.since(first));
        known.clamp(LEAST_KNOWN, self.tolerance.window)
    }

    /// This host's part in what all were given.
    fn part(&self, now: Time) -> f64 {
        let own = self.given.sum(now);
        if own > 0.0 {
            own / self.told.granted.max(own)
        } else {
            0.0
        }
    }

    /// Units that this host has at once when it begins to go on alone; none again within a window, or
    /// answers that are lost now and then would give them each time.
    fn take_left(&mut self, limit: Limit, now: Time) -> f64 {
        let window = self.tolerance.window;
        let is_recent = |at: Time| now.since(at) < window;
        if self.began.is_some_and(is_recent) {
            return 0.0;
        }
        self.began = Some(now);
        let most = limit.rate * AT_ONCE.secs();
        self.part(now) * self.told.available.clamp(0.0, most)
    }
}
