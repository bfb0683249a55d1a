//! Rate limits that replicas advertise: the requests per second that they take from all hosts
//! together.

use super::choose::priority_level;
use super::replica::State;
use super::{Criteria, Table};
use crate::message::ReplicaLimit;
use platform::replica::{Entry, Incarnation};
use route::quota::{Advertisement, Estimate, REPLICA_TOLERANCE, Refusal};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a host keeps reporting a limit that it heard itself, so that a new leader learns
/// of it.
const OWN_REPORT_DURATION: Span = Span::from_secs(5);

/// Time for which the withdrawal of a limit is reported: several report rounds of a large fleet.
const WITHDRAWN_REPORT_DURATION: Span = Span::from_secs(10);

/// Time without an answer from a limited replica after which it is preferred, if it has a unit
/// left: only an answer can withdraw the limit.
const PROBE_AFTER: Span = Span::from_ms(1_000);

/// Units that each priority level leaves to the more urgent ones. The sum over all levels is less
/// than a full bucket, so that the least urgent level can use the whole limit where nothing else
/// comes.
const RESERVED_PER_LEVEL: f64 = 0.3;

/// LimitChange of a replica's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// A limit where none was known.
    Advertised,
    /// Another rate; the previous one.
    Changed(f64),
    /// No limit any more.
    Withdrawn,
}

/// Limit of a replica, as this host knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitState {
    /// What the replica last said, to any host.
    advertisement: Advertisement,
    /// Time of its last answer to this host.
    answered_at: Option<Time>,
    /// Units left, by the limiter's last answer to this host.
    estimate: Option<Estimate>,
    /// Requests of this host that wait for a unit.
    waiters: u32,
    /// What was last reported: the rate, and whether it was withdrawn.
    reported: Option<(f64, bool)>,
}

/// Limit of a replica, as it applies to one request.
#[derive(Debug, Clone, Copy)]
pub struct LimitTerms {
    /// The limit as sent to the limiter.
    pub limit: ReplicaLimit,
    /// What the replica last said.
    pub advertisement: Advertisement,
    /// Units that must be left for more urgent requests.
    pub reserved: f64,
}

impl LimitState {
    fn new(advertisement: Advertisement) -> LimitState {
        LimitState {
            advertisement,
            answered_at: None,
            estimate: None,
            waiters: 0,
            reported: None,
        }
    }

    /// Whether it is sent to all hosts: while it is in force, and for some time after.
    fn is_reportable(&self, now: Time) -> bool {
        let withdrawn_at = self.advertisement.withdrawn_at;
        withdrawn_at.is_none_or(|at| now.since(at) < WITHDRAWN_REPORT_DURATION)
    }

    /// The part that other hosts need: the rate, and whether it was withdrawn.
    fn content(&self) -> (f64, bool) {
        (
            self.advertisement.rate,
            self.advertisement.withdrawn_at.is_some(),
        )
    }

    /// Time until a unit may be available; zero if one may be now.
    fn wait(&self, reserved: f64, now: Time) -> Span {
        let limit = self.advertisement.limit(1.0);
        let estimate = self.estimate;
        estimate.map_or(Span::ZERO, |e| {
            e.wait(1.0 + reserved, REPLICA_TOLERANCE, limit, now)
        })
    }

    /// Time until a unit is available to one more request of this host, behind those that wait
    /// already.
    fn queue_wait(&self, reserved: f64, now: Time) -> Span {
        let queue_wait = self.estimate.map_or(Span::ZERO, |e| e.queue_wait(now));
        let ahead =
            Span::from_secs_f64(f64::from(self.waiters) / self.advertisement.limit(1.0).rate);
        self.wait(reserved, now).max(queue_wait) + ahead
    }
}

impl State {
    /// Its limit, if one is in force.
    pub(super) fn active_limit(&self, now: Time) -> Option<&LimitState> {
        let limit = self.limit.as_ref();
        limit.filter(|limit| !limit.advertisement.is_expired(now))
    }

    /// Time until a request would get a unit; `None` if it may get one now.
    pub(super) fn limit_wait(&self, criteria: &Criteria, now: Time) -> Option<Span> {
        let limit = self.active_limit(now)?;
        let reserved = reserved_units(criteria);
        (limit.wait(reserved, now) > Span::ZERO).then(|| limit.queue_wait(reserved, now))
    }
}

/// Units that a request leaves to more urgent ones; a resumed stream leaves none.
fn reserved_units(criteria: &Criteria) -> f64 {
    match criteria.is_resumption {
        true => 0.0,
        false => RESERVED_PER_LEVEL * (priority_level(criteria.priority) + 1) as f64,
    }
}

impl Table {
    /// Limit of a replica, if one was advertised.
    fn limit_mut(&mut self, id: &str) -> Option<&mut LimitState> {
        self.replicas.get_mut(id)?.limit.as_mut()
    }

    /// Records the rate that an answer advertises, or that it advertises none; returns what that
    /// changes. Ignored if the answer is from another incarnation than the one in the view.
    pub fn record_limit(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        rate: Option<f64>,
        now: Time,
    ) -> Option<LimitChange> {
        if self.view.get(id)?.entry.incarnation != incarnation {
            return None;
        }
        if rate.is_none() && self.replicas.get(id)?.limit.is_none() {
            return None;
        }
        let slot = &mut self.replica_mut(id).limit;
        let previous = slot.map(|limit| limit.advertisement);
        let advertisement = match (rate, previous) {
            (Some(rate), _) => Advertisement::new(rate, now),
            (None, Some(mut advertisement)) => {
                advertisement.withdraw(now);
                advertisement
            }
            (None, None) => return None,
        };
        let limit = slot.get_or_insert_with(|| LimitState::new(advertisement));
        limit.advertisement = advertisement;
        limit.answered_at = Some(now);
        change(previous, &advertisement, now)
    }

    /// Merges limits that other hosts reported; returns the replicas whose limit changed, with the
    /// rate and the change.
    pub fn merge_limits(
        &mut self,
        reports: &[ReplicaLimit],
        now: Time,
    ) -> Vec<(Name, f64, LimitChange)> {
        let reports = reports
            .iter()
            .filter_map(|r| Some((r.replica, r.advertisement(now)?)));
        let reports: HashMap<u32, Advertisement> = reports.collect();
        if reports.is_empty() {
            return Vec::new();
        }
        let entries = self.view.all().map(|replica| &replica.entry);
        let known = entries.filter_map(|e| {
            Some((
                e.id.clone(),
                *reports.get(&ReplicaLimit::incarnation_hash(e))?,
            ))
        });
        let known: Vec<(Name, Advertisement)> = known.collect();
        let mut changes = Vec::new();
        for (id, reported) in known {
            let slot = &mut self.replica_mut(&id).limit;
            let previous = slot.map(|limit| limit.advertisement);
            let limit = slot.get_or_insert_with(|| LimitState::new(reported));
            limit.advertisement.merge(&reported);
            let advertisement = limit.advertisement;
            if let Some(change) = change(previous, &advertisement, now) {
                changes.push((id, advertisement.rate, change));
            }
        }
        changes
    }

    /// Limit of a replica in requests per second, if one is in force.
    pub fn limit_of(&self, id: &str, now: Time) -> Option<f64> {
        Some(self.replicas.get(id)?.active_limit(now)?.advertisement.rate)
    }

    /// Replicas that have advertised a limit, with the rate if it is in force.
    pub fn limits_by_replica(&self, now: Time) -> Vec<(Name, Option<f64>)> {
        let known = self.replicas.iter().filter(|(_, s)| s.limit.is_some());
        let known = known.map(|(id, s)| {
            (
                id.clone(),
                s.active_limit(now).map(|l| l.advertisement.rate),
            )
        });
        known.collect()
    }

    /// What the incarnation with this hash last advertised.
    pub fn advertisement(&self, replica: u32) -> Option<Advertisement> {
        let mut entries = self.view.all().map(|replica| &replica.entry);
        let entry = entries.find(|entry| ReplicaLimit::incarnation_hash(entry) == replica)?;
        Some(self.replicas.get(&entry.id)?.limit?.advertisement)
    }

    /// Limits that this host recently heard itself.
    pub fn own_limits(&self, now: Time) -> Vec<ReplicaLimit> {
        let is_own = |limit: &LimitState| {
            limit
                .answered_at
                .is_some_and(|at| now.since(at) < OWN_REPORT_DURATION)
        };
        self.rows(is_own, now)
    }

    /// Limits that are in force or were withdrawn recently.
    pub fn limits(&self, now: Time) -> Vec<ReplicaLimit> {
        self.rows(|limit| limit.is_reportable(now), now)
    }

    /// Limits that changed since they were last reported; marks them as reported.
    pub fn take_changed_limits(&mut self, now: Time) -> Vec<ReplicaLimit> {
        let is_changed = |limit: &LimitState| {
            limit.is_reportable(now) && limit.reported != Some(limit.content())
        };
        let changed = self.rows(is_changed, now);
        let limits = self.replicas.values_mut().filter_map(|s| s.limit.as_mut());
        for limit in limits {
            limit.reported = Some(limit.content());
        }
        changed
    }

    fn rows(&self, include: impl Fn(&LimitState) -> bool, now: Time) -> Vec<ReplicaLimit> {
        let row = |entry: &Entry| {
            let limit = self.replicas.get(&entry.id)?.limit.as_ref()?;
            include(limit).then(|| ReplicaLimit::new(entry, &limit.advertisement, now))
        };
        self.view
            .all()
            .filter_map(|replica| row(&replica.entry))
            .collect()
    }

    /// Limit of a replica as it applies to a request, if one is in force.
    pub fn limit_for(&self, id: &str, criteria: &Criteria, now: Time) -> Option<LimitTerms> {
        let advertisement = self.replicas.get(id)?.active_limit(now)?.advertisement;
        let entry = &self.view.get(id)?.entry;
        Some(LimitTerms {
            limit: ReplicaLimit::new(entry, &advertisement, now),
            advertisement,
            reserved: reserved_units(criteria),
        })
    }

    /// Deducts a unit that is about to be claimed, so that concurrent requests do not count on it
    /// as well.
    pub fn record_claim(&mut self, id: &str, now: Time) {
        let Some(limit) = self.limit_mut(id) else {
            return;
        };
        let bucket = limit.advertisement.limit(1.0);
        if let Some(estimate) = &mut limit.estimate {
            estimate.deduct(1.0, bucket, now);
        }
    }

    /// Records the limiter's answer to a claim: the units left, its refusal, or none.
    pub fn record_limiter_answer(
        &mut self,
        id: &str,
        answer: Option<Result<f64, Refusal>>,
        now: Time,
    ) {
        if let Some(limit) = self.limit_mut(id) {
            limit.estimate = Some(match answer {
                Some(Ok(available)) => Estimate::new(available, now),
                Some(Err(refusal)) => Estimate::after_refusal(refusal, now),
                None => Estimate::without_answer(REPLICA_TOLERANCE, now),
            });
        }
    }

    /// Drops the limit of a replica, since the leader knows of none.
    pub fn clear_limit(&mut self, id: &str) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.limit = None;
        }
    }

    /// Counts one more request that waits for a replica, or one less.
    pub fn count_waiter(&mut self, id: &str, is_added: bool) {
        if let Some((_, backoff)) = self.backoffs.get_mut(id) {
            backoff.count_waiting(is_added);
        }
        if let Some(limit) = self.limit_mut(id) {
            limit.waiters = match is_added {
                true => limit.waiters + 1,
                false => limit.waiters.saturating_sub(1),
            };
        }
    }

    /// Whether a limited replica has not answered this host for so long that it should be
    /// preferred.
    pub(super) fn needs_probe(&self, id: &str, now: Time) -> bool {
        let limit = self.replicas.get(id).and_then(|s| s.active_limit(now));
        let is_overdue = |at: Time| now.since(at) >= PROBE_AFTER;
        limit.is_some_and(|limit| limit.answered_at.is_none_or(is_overdue))
    }
}

/// Change from one advertisement to the next.
fn change(
    previous: Option<Advertisement>,
    advertisement: &Advertisement,
    now: Time,
) -> Option<LimitChange> {
    let in_force = |advertisement: &Advertisement| advertisement.withdrawn_at.is_none();
    match previous.filter(|previous| !previous.is_expired(now)) {
        None => in_force(advertisement).then_some(LimitChange::Advertised),
        Some(previous) if in_force(&previous) && !in_force(advertisement) => {
            Some(LimitChange::Withdrawn)
        }
        Some(previous) if !in_force(&previous) && in_force(advertisement) => {
            Some(LimitChange::Advertised)
        }
        Some(previous) => {
            (previous.rate != advertisement.rate).then_some(LimitChange::Changed(previous.rate))
        }
    }
}
