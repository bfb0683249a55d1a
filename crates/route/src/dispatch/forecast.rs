//! When a waiting request would start, and when a refused one may return.

use super::Ticket;
use super::replica::Replica;
use super::waiting::{Waiting, WaitingList};
use unit::{Span, Time};

/// Time constant of the arrival rate.
const ARRIVAL_WINDOW: Span = Span::from_ms(500);

/// Minimum part of the rate that late requests are expected to get.
const MIN_SPARE: f64 = 0.25;

/// Part of the rate that is left to refused requests that return.
const RETURN_SHARE: f64 = 0.5;

/// Longest time after which a refused request is asked to return.
const MAX_RETURN: Span = Span::from_secs(3);

/// Deviations beyond the mean service time that are allowed for in answers on time.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Pace of the replicas that serve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Pace {
    /// Requests per second with all slots in use.
    pub(super) rate: f64,
    /// Mean service time.
    pub(super) service: Span,
    /// Mean distance from it.
    deviation: Span,
}

impl Pace {
    pub(super) fn of<'a>(replicas: impl Iterator<Item = &'a Replica>) -> Pace {
        let (mut rate, mut slots, mut deviation) = (0.0, 0.0, 0.0);
        for replica in replicas {
            let own = f64::from(replica.slots) / replica.service_time().secs().max(1e-6);
            rate += own;
            slots += f64::from(replica.slots);
            deviation += replica.deviation().secs() * own;
        }
        let per_request = |sum: f64| Span::from_secs_f64(if rate > 0.0 { sum / rate } else { 0.0 });
        Pace {
            rate,
            service: per_request(slots),
            deviation: per_request(deviation),
        }
    }

    /// Time before its target at which a request must start to be answered in time.
    pub(super) fn margin(&self) -> Span {
        self.service + self.deviation * MARGIN_DEVIATIONS
    }
}

/// Rate of arrivals, and the times given to refused requests.
#[derive(Debug, Default)]
pub(super) struct Forecast {
    /// Requests per second, as of `arrived_at`.
    arrivals: f64,
    arrived_at: Time,
    /// When the last refused request was asked to return.
    last_return: Time,
}

impl Forecast {
    pub(super) fn record_arrival(&mut self, now: Time) {
        self.arrivals = self.arrival_rate(now) + 1.0 / ARRIVAL_WINDOW.secs();
        self.arrived_at = now;
    }

    fn arrival_rate(&self, now: Time) -> f64 {
        let elapsed = now.since(self.arrived_at).secs() / ARRIVAL_WINDOW.secs();
        self.arrivals * (-elapsed).exp()
    }

    /// Rate at which late requests are served while new ones arrive.
    fn spare(&self, pace: &Pace, now: Time) -> f64 {
        (pace.rate - self.arrival_rate(now)).max(pace.rate * MIN_SPARE)
    }

    /// When a new request would start.
    pub(super) fn start(
        &self,
        waiting: &Waiting,
        list: &WaitingList,
        pace: &Pace,
        now: Time,
    ) -> Time {
        let (in_time, late) = list.ahead(waiting.rank(false, u64::MAX));
        let start = self.start_behind(in_time, late, pace, now);
        if !waiting.is_late(pace.margin(), start) {
            return start;
        }
        let (in_time, late) = list.ahead(waiting.rank(true, u64::MAX));
        self.start_behind(in_time, late + 1, pace, now)
    }

    fn start_behind(&self, in_time: usize, late: usize, pace: &Pace, now: Time) -> Time {
        let wait = in_time as f64 / pace.rate + late as f64 / self.spare(pace, now);
        now + Span::from_secs_f64(wait.min(MAX_RETURN.secs() * 10.0))
    }

    /// Waiting requests that cannot be served before their deadlines.
    pub(super) fn unservable(&self, list: &WaitingList, pace: &Pace, now: Time) -> Vec<Ticket> {
        let margin = pace.margin();
        let (mut in_time, mut late) = (0, 0);
        let mut unservable = Vec::new();
        for (rank, waiting) in list.ranked() {
            let start = self.start_behind(in_time, late, pace, now);
            let is_late = rank.1 || waiting.is_late(margin, start);
            let start = match is_late {
                true => self.start_behind(in_time, late + 1, pace, now),
                false => start,
            };
            if start + margin > waiting.ask.deadline {
                unservable.push(waiting.ask.ticket);
                continue;
            }
            match is_late {
                true => late += 1,
                false => in_time += 1,
            }
        }
        unservable
    }

    /// Time after which a refused request finds room: the requests that wait are served by then, and refused ones
    /// return one after the other.
    pub(super) fn next_return(&mut self, waiting: usize, pace: &Pace, now: Time) -> Span {
        if pace.rate <= 0.0 {
            return MAX_RETURN;
        }
        let share = (pace.rate * RETURN_SHARE).min(self.spare(pace, now).max(pace.rate * 0.25));
        let room = now + Span::from_secs_f64(waiting as f64 / share);
        let next = self.last_return + Span::from_secs_f64(1.0 / share);
        let at = room.max(next);
        if at.since(now) > MAX_RETURN {
            // Later than that nothing is known: spread over the second half of the time.
            self.last_return = now + MAX_RETURN * 0.5;
            return MAX_RETURN * 0.5;
        }
        self.last_return = at;
        at.since(now)
    }
}
