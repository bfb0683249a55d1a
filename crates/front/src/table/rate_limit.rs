//! Limits that replicas name: how many requests a second they take from all hosts together.

use super::choose::priority_level;
use super::replica::State;
use super::{Criteria, Table};
use crate::message::ReplicaLimit;
use platform::replica::{Entry, Incarnation};
use route::quota::{Advertisement, Estimate, REPLICA_TOLERANCE, Refusal};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a host tells the leader again what it heard itself, so that the next leader hears it too.
const OWN_REPORT_DURATION: Span = Span::from_secs(5);

/// Time for which it is told that a limit is over: several whole rounds of a large fleet.
const WITHDRAWN_REPORT_DURATION: Span = Span::from_secs(10);

/// Time without an answer from a limited replica after which it goes before others, if there is room for a request: only an
/// answer can say that its need is over.
const PROBE_AFTER: Span = Span::from_ms(1_000);

/// Requests that each step of urgency leaves to those before it. All ranks together leave less than a full bucket holds, so
/// that the least urgent has all of a limit where nothing else comes.
const RESERVED_PER_LEVEL: f64 = 0.3;

/// Change of what is known of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It names one, and none was known.
    Advertised,
    /// It names another one than before.
    Changed(f64),
    /// It names none any more.
    Withdrawn,
}

/// What is known of the limit of a replica, beside its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitState {
    /// What it last said, to any host.
    advertisement: Advertisement,
    /// When it last answered this host.
    answered_at: Option<Time>,
    /// What there was when it was last asked for.
    estimate: Option<Estimate>,
    /// Requests of this host that wait for room there.
    waiters: u32,
    /// What all hosts were told last: the rate, and whether it is over.
    reported: Option<(f64, bool)>,
}

/// LimitState of a replica, as a request meets it.
#[derive(Debug, Clone, Copy)]
pub struct LimitTerms {
    /// What is told of it to whoever gives out.
    pub limit: ReplicaLimit,
    /// What the replica last said.
    pub advertisement: Advertisement,
    /// Units that are to be left for what is more urgent.
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

    /// Whether it is told to all hosts: while it holds, and for a while after.
    fn is_reportable(&self, now: Time) -> bool {
        let over = self.advertisement.withdrawn_at;
        over.is_none_or(|at| now.since(at) < WITHDRAWN_REPORT_DURATION)
    }

    /// What matters of it to other hosts.
    fn content(&self) -> (f64, bool) {
        (
            self.advertisement.rate,
            self.advertisement.withdrawn_at.is_some(),
        )
    }

    /// Time until there may be room for a request; zero when there may be some now.
    fn wait(&self, reserved: f64, now: Time) -> Span {
        let limit = self.advertisement.limit(1.0);
        let estimate = self.estimate;
        estimate.map_or(Span::ZERO, |o| {
            o.wait(1.0 + reserved, REPLICA_TOLERANCE, limit, now)
        })
    }

    /// Time until a request would have its turn that nothing else can take, behind those that wait already.
    fn queue_wait(&self, reserved: f64, now: Time) -> Span {
        let line = self.estimate.map_or(Span::ZERO, |o| o.queue_wait(now));
        let before =
            Span::from_secs_f64(f64::from(self.waiters) / self.advertisement.limit(1.0).rate);
        self.wait(reserved, now).max(line) + before
    }
}

impl State {
    /// What is known of its limit, while that holds.
    pub(super) fn active_limit(&self, now: Time) -> Option<&LimitState> {
        let limit = self.limit.as_ref();
        limit.filter(|limit| !limit.advertisement.is_expired(now))
    }

    /// Time until a request would have its turn there; none where there may be room for it now.
    pub(super) fn limit_wait(&self, criteria: &Criteria, now: Time) -> Option<Span> {
        let limit = self.active_limit(now)?;
        let reserved = reserved_units(criteria);
        (limit.wait(reserved, now) > Span::ZERO).then(|| limit.queue_wait(reserved, now))
    }
}

/// Requests that a request leaves to those that are more urgent: a stream that is taken up again leaves none.
fn reserved_units(criteria: &Criteria) -> f64 {
    match criteria.is_resumption {
        true => 0.0,
        false => RESERVED_PER_LEVEL * (priority_level(criteria.priority) + 1) as f64,
    }
}

impl Table {
    /// What is known of a replica's limit, to be changed.
    fn limit_mut(&mut self, id: &str) -> Option<&mut LimitState> {
        self.replicas.get_mut(id)?.limit.as_mut()
    }

    /// Takes in what an answer says: the rate that it names, if it does. Tells what that changes; nothing where another
    /// incarnation of the replica is known by now.
    pub fn record_limit(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        rate: Option<f64>,
        now: Time,
    ) -> Option<Change> {
        if self.view.get(id)?.entry.incarnation != incarnation {
            return None;
        }
        if rate.is_none() && self.replicas.get(id)?.limit.is_none() {
            return None;
        }
        let state_limit = &mut self.replica_mut(id).limit;
        let before = state_limit.map(|limit| limit.advertisement);
        let advertisement = match (rate, before) {
            (Some(rate), _) => Advertisement::new(rate, now),
            (None, Some(mut advertisement)) => {
                advertisement.withdraw(now);
                advertisement
            }
            (None, None) => return None,
        };
        let limit = state_limit.get_or_insert_with(|| LimitState::new(advertisement));
        limit.advertisement = advertisement;
        limit.answered_at = Some(now);
        change(before, &advertisement, now)
    }

    /// Takes in what other hosts heard; tells replicas, what they name, and what that changes.
    pub fn merge_limits(&mut self, told: &[ReplicaLimit], now: Time) -> Vec<(Name, f64, Change)> {
        let told = told
            .iter()
            .filter_map(|t| Some((t.replica, t.notice(now)?)));
        let told: HashMap<u32, Advertisement> = told.collect();
        if told.is_empty() {
            return Vec::new();
        }
        let entries = self.view.all().map(|seen| &seen.entry);
        let named =
            entries.filter_map(|e| Some((e.id.clone(), *told.get(&ReplicaLimit::name(e))?)));
        let named: Vec<(Name, Advertisement)> = named.collect();
        let mut changes = Vec::new();
        for (id, told) in named {
            let state_limit = &mut self.replica_mut(&id).limit;
            let before = state_limit.map(|limit| limit.advertisement);
            let limit = state_limit.get_or_insert_with(|| LimitState::new(told));
            limit.advertisement.merge(&told);
            let advertisement = limit.advertisement;
            if let Some(change) = change(before, &advertisement, now) {
                changes.push((id, advertisement.rate, change));
            }
        }
        changes
    }

    /// LimitState that a replica has named and that still holds, in requests a second.
    pub fn limit_of(&self, id: &str, now: Time) -> Option<f64> {
        Some(self.replicas.get(id)?.active_limit(now)?.advertisement.rate)
    }

    /// Replicas that have named a limit, with that, or none where it is over.
    pub fn limits_by_replica(&self, now: Time) -> Vec<(Name, Option<f64>)> {
        let named = self.replicas.iter().filter(|(_, s)| s.limit.is_some());
        let named = named.map(|(id, s)| {
            (
                id.clone(),
                s.active_limit(now).map(|l| l.advertisement.rate),
            )
        });
        named.collect()
    }

    /// What is known of the limit of an incarnation, by its short name.
    pub fn advertisement(&self, replica: u32) -> Option<Advertisement> {
        let mut entries = self.view.all().map(|seen| &seen.entry);
        let entry = entries.find(|entry| ReplicaLimit::name(entry) == replica)?;
        Some(self.replicas.get(&entry.id)?.limit?.advertisement)
    }

    /// Limits that this host has heard itself lately, to be told.
    pub fn own_limits(&self, now: Time) -> Vec<ReplicaLimit> {
        let is_own = |limit: &LimitState| {
            limit
                .answered_at
                .is_some_and(|at| now.since(at) < OWN_REPORT_DURATION)
        };
        self.rows(is_own, now)
    }

    /// Limits that hold, or are over since a while ago, to be told.
    pub fn limits(&self, now: Time) -> Vec<ReplicaLimit> {
        self.rows(|limit| limit.is_reportable(now), now)
    }

    /// Those of them that say something else than was told last, which they now are.
    pub fn take_changed_limits(&mut self, now: Time) -> Vec<ReplicaLimit> {
        let is_news = |limit: &LimitState| {
            limit.is_reportable(now) && limit.reported != Some(limit.content())
        };
        let changed = self.rows(is_news, now);
        let needs = self.replicas.values_mut().filter_map(|s| s.limit.as_mut());
        for limit in needs {
            limit.reported = Some(limit.content());
        }
        changed
    }

    fn rows(&self, is_told: impl Fn(&LimitState) -> bool, now: Time) -> Vec<ReplicaLimit> {
        let row = |entry: &Entry| {
            let limit = self.replicas.get(&entry.id)?.limit.as_ref()?;
            is_told(limit).then(|| ReplicaLimit::new(entry, &limit.advertisement, now))
        };
        self.view
            .all()
            .filter_map(|seen| row(&seen.entry))
            .collect()
    }

    /// LimitState that a request meets at a replica, if that has named one.
    pub fn limit_for(&self, id: &str, criteria: &Criteria, now: Time) -> Option<LimitTerms> {
        let advertisement = self.replicas.get(id)?.active_limit(now)?.advertisement;
        let entry = &self.view.get(id)?.entry;
        Some(LimitTerms {
            limit: ReplicaLimit::new(entry, &advertisement, now),
            advertisement,
            reserved: reserved_units(criteria),
        })
    }

    /// Notes that a request is being asked for, so that others here do not ask for the same one.
    pub fn record_claim(&mut self, id: &str, now: Time) {
        let Some(limit) = self.limit_mut(id) else {
            return;
        };
        let bucket = limit.advertisement.limit(1.0);
        if let Some(estimate) = &mut limit.estimate {
            estimate.deduct(1.0, bucket, now);
        }
    }

    /// Notes how many requests there were when one was asked for: given, refused, or without an answer.
    pub fn record_limiter_answer(
        &mut self,
        id: &str,
        told: Option<Result<f64, Refusal>>,
        now: Time,
    ) {
        if let Some(limit) = self.limit_mut(id) {
            limit.estimate = Some(match told {
                Some(Ok(left)) => Estimate::new(left, now),
                Some(Err(over)) => Estimate::after_refusal(over, now),
                None => Estimate::without_answer(REPLICA_TOLERANCE, now),
            });
        }
    }

    /// Notes that the leader knows of no limit of a replica.
    pub fn clear_limit(&mut self, id: &str) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.limit = None;
        }
    }

    /// Counts a request of this host in that waits for room at a replica, or out.
    pub fn count_waiter(&mut self, id: &str, waits: bool) {
        if let Some((_, rest)) = self.backoffs.get_mut(id) {
            rest.count_waiting(waits);
        }
        if let Some(limit) = self.limit_mut(id) {
            limit.waiters = match waits {
                true => limit.waiters + 1,
                false => limit.waiters.saturating_sub(1),
            };
        }
    }

    /// Whether a replica is limited, and nothing was heard of it here for so long that it goes before others.
    pub(super) fn needs_probe(&self, id: &str, now: Time) -> bool {
        let limit = self.replicas.get(id).and_then(|s| s.active_limit(now));
        let is_long = |at: Time| now.since(at) >= PROBE_AFTER;
        limit.is_some_and(|limit| limit.answered_at.is_none_or(is_long))
    }
}

/// What has changed from one notice to the next.
fn change(
    before: Option<Advertisement>,
    advertisement: &Advertisement,
    now: Time,
) -> Option<Change> {
    let holds = |advertisement: &Advertisement| advertisement.withdrawn_at.is_none();
    match before.filter(|before| !before.is_expired(now)) {
        None => holds(advertisement).then_some(Change::Advertised),
        Some(before) if holds(&before) && !holds(advertisement) => Some(Change::Withdrawn),
        Some(before) if !holds(&before) && holds(advertisement) => Some(Change::Advertised),
        Some(before) => (before.rate != advertisement.rate).then_some(Change::Changed(before.rate)),
    }
}
