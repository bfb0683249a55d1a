//! Limits that replicas name: how many requests a second they take from all hosts together.

use super::choose::rank;
use super::replica::State;
use super::{Criteria, Table};
use crate::message::ReplicaLimit;
use platform::replica::{Entry, Incarnation};
use route::quota::{Advertisement, Estimate, REPLICA_TOLERANCE, Refusal};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a host tells the leader again what it heard itself, so that the next leader hears it too.
const TOLD_AGAIN: Span = Span::from_secs(5);

/// Time for which it is told that a limit is over: several whole rounds of a large fleet.
const TOLD_OVER: Span = Span::from_secs(10);

/// Time without an answer from a limited replica after which it goes before others, if there is room for a request: only an
/// answer can say that its need is over.
const UNHEARD: Span = Span::from_ms(1_000);

/// Requests that each step of urgency leaves to those before it. All ranks together leave less than a full bucket holds, so
/// that the least urgent has all of a limit where nothing else comes.
const KEPT_A_RANK: f64 = 0.3;

/// Change of what is known of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It names one, and none was known.
    First,
    /// It names another one than before.
    Other(f64),
    /// It names none any more.
    Over,
}

/// What is known of the limit of a replica, beside its entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Need {
    /// What it last said, to any host.
    notice: Advertisement,
    /// When it last answered this host.
    heard: Option<Time>,
    /// What there was when it was last asked for.
    outlook: Option<Estimate>,
    /// Requests of this host that wait for room there.
    held: u32,
    /// What all hosts were told last: the rate, and whether it is over.
    told: Option<(f64, bool)>,
}

/// Limit of a replica, as a request meets it.
#[derive(Debug, Clone, Copy)]
pub struct LimitTerms {
    /// What is told of it to whoever gives out.
    pub limited: ReplicaLimit,
    /// What the replica last said.
    pub notice: Advertisement,
    /// Units that are to be left for what is more urgent.
    pub kept: f64,
}

impl Need {
    fn new(notice: Advertisement) -> Need {
        Need {
            notice,
            heard: None,
            outlook: None,
            held: 0,
            told: None,
        }
    }

    /// Whether it is told to all hosts: while it holds, and for a while after.
    fn is_told(&self, now: Time) -> bool {
        let over = self.notice.withdrawn_at;
        over.is_none_or(|at| now.since(at) < TOLD_OVER)
    }

    /// What matters of it to other hosts.
    fn says(&self) -> (f64, bool) {
        (self.notice.rate, self.notice.withdrawn_at.is_some())
    }

    /// Time until there may be room for a request; zero when there may be some now.
    fn wait(&self, kept: f64, now: Time) -> Span {
        let limit = self.notice.limit(1.0);
        let outlook = self.outlook;
        outlook.map_or(Span::ZERO, |o| {
            o.wait(1.0 + kept, REPLICA_TOLERANCE, limit, now)
        })
    }

    /// Time until a request would have its turn that nothing else can take, behind those that wait already.
    fn turn(&self, kept: f64, now: Time) -> Span {
        let line = self.outlook.map_or(Span::ZERO, |o| o.queue_wait(now));
        let before = Span::from_secs_f64(f64::from(self.held) / self.notice.limit(1.0).rate);
        self.wait(kept, now).max(line) + before
    }
}

impl State {
    /// What is known of its limit, while that holds.
    pub(super) fn limit(&self, now: Time) -> Option<&Need> {
        let need = self.need.as_ref();
        need.filter(|need| !need.notice.is_expired(now))
    }

    /// Time until a request would have its turn there; none where there may be room for it now.
    pub(super) fn turn(&self, want: &Criteria, now: Time) -> Option<Span> {
        let need = self.limit(now)?;
        let kept = kept(want);
        (need.wait(kept, now) > Span::ZERO).then(|| need.turn(kept, now))
    }
}

/// Requests that a request leaves to those that are more urgent: a stream that is taken up again leaves none.
fn kept(want: &Criteria) -> f64 {
    match want.is_resumption {
        true => 0.0,
        false => KEPT_A_RANK * (rank(want.priority) + 1) as f64,
    }
}

impl Table {
    /// What is known of a replica's limit, to be changed.
    fn need(&mut self, id: &str) -> Option<&mut Need> {
        self.replicas.get_mut(id)?.need.as_mut()
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
        if rate.is_none() && self.replicas.get(id)?.need.is_none() {
            return None;
        }
        let known = &mut self.replica(id).need;
        let before = known.map(|need| need.notice);
        let notice = match (rate, before) {
            (Some(rate), _) => Advertisement::new(rate, now),
            (None, Some(mut notice)) => {
                notice.withdraw(now);
                notice
            }
            (None, None) => return None,
        };
        let need = known.get_or_insert_with(|| Need::new(notice));
        need.notice = notice;
        need.heard = Some(now);
        change(before, &notice, now)
    }

    /// Takes in what other hosts heard; tells replicas, what they name, and what that changes.
    pub fn merge_limits(&mut self, told: &[ReplicaLimit], now: Time) -> Vec<(Name, f64, Change)> {
        let told = told
            .iter()
            .filter_map(|t| Some((t.replica, t.advertisement(now)?)));
        let told: HashMap<u32, Advertisement> = told.collect();
        if told.is_empty() {
            return Vec::new();
        }
        let entries = self.view.all().map(|seen| &seen.entry);
        let named = entries
            .filter_map(|e| Some((e.id.clone(), *told.get(&ReplicaLimit::incarnation_hash(e))?)));
        let named: Vec<(Name, Advertisement)> = named.collect();
        let mut changes = Vec::new();
        for (id, told) in named {
            let known = &mut self.replica(&id).need;
            let before = known.map(|need| need.notice);
            let need = known.get_or_insert_with(|| Need::new(told));
            need.notice.merge(&told);
            let notice = need.notice;
            if let Some(change) = change(before, &notice, now) {
                changes.push((id, notice.rate, change));
            }
        }
        changes
    }

    /// Limit that a replica has named and that still holds, in requests a second.
    pub fn limit_of(&self, id: &str, now: Time) -> Option<f64> {
        Some(self.replicas.get(id)?.limit(now)?.notice.rate)
    }

    /// Replicas that have named a limit, with that, or none where it is over.
    pub fn limits_by_replica(&self, now: Time) -> Vec<(Name, Option<f64>)> {
        let named = self.replicas.iter().filter(|(_, s)| s.need.is_some());
        let named = named.map(|(id, s)| (id.clone(), s.limit(now).map(|l| l.notice.rate)));
        named.collect()
    }

    /// What is known of the limit of an incarnation, by its short name.
    pub fn notice_of(&self, replica: u32) -> Option<Advertisement> {
        let mut entries = self.view.all().map(|seen| &seen.entry);
        let entry = entries.find(|entry| ReplicaLimit::incarnation_hash(entry) == replica)?;
        Some(self.replicas.get(&entry.id)?.need?.notice)
    }

    /// Limits that this host has heard itself lately, to be told.
    pub fn own_limits(&self, now: Time) -> Vec<ReplicaLimit> {
        let is_own = |need: &Need| need.heard.is_some_and(|at| now.since(at) < TOLD_AGAIN);
        self.rows(is_own, now)
    }

    /// Limits that hold, or are over since a while ago, to be told.
    pub fn limits(&self, now: Time) -> Vec<ReplicaLimit> {
        self.rows(|need| need.is_told(now), now)
    }

    /// Those of them that say something else than was told last, which they now are.
    pub fn take_changed_limits(&mut self, now: Time) -> Vec<ReplicaLimit> {
        let is_news = |need: &Need| need.is_told(now) && need.told != Some(need.says());
        let changed = self.rows(is_news, now);
        let needs = self.replicas.values_mut().filter_map(|s| s.need.as_mut());
        for need in needs {
            need.told = Some(need.says());
        }
        changed
    }

    fn rows(&self, is_told: impl Fn(&Need) -> bool, now: Time) -> Vec<ReplicaLimit> {
        let row = |entry: &Entry| {
            let need = self.replicas.get(&entry.id)?.need.as_ref()?;
            is_told(need).then(|| ReplicaLimit::new(entry, &need.notice, now))
        };
        self.view
            .all()
            .filter_map(|seen| row(&seen.entry))
            .collect()
    }

    /// Limit that a request meets at a replica, if that has named one.
    pub fn limit_for(&self, id: &str, want: &Criteria, now: Time) -> Option<LimitTerms> {
        let notice = self.replicas.get(id)?.limit(now)?.notice;
        let entry = &self.view.get(id)?.entry;
        Some(LimitTerms {
            limited: ReplicaLimit::new(entry, &notice, now),
            notice,
            kept: kept(want),
        })
    }

    /// Notes that a request is being asked for, so that others here do not ask for the same one.
    pub fn record_claim(&mut self, id: &str, now: Time) {
        let Some(need) = self.need(id) else { return };
        let limit = need.notice.limit(1.0);
        if let Some(outlook) = &mut need.outlook {
            outlook.deduct(1.0, limit, now);
        }
    }

    /// Notes how many requests there were when one was asked for: given, refused, or without an answer.
    pub fn record_limiter_answer(
        &mut self,
        id: &str,
        told: Option<Result<f64, Refusal>>,
        now: Time,
    ) {
        if let Some(need) = self.need(id) {
            need.outlook = Some(match told {
                Some(Ok(left)) => Estimate::new(left, now),
                Some(Err(over)) => Estimate::after_refusal(over, now),
                None => Estimate::without_answer(REPLICA_TOLERANCE, now),
            });
        }
    }

    /// Notes that the leader knows of no limit of a replica.
    pub fn clear_limit(&mut self, id: &str) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.need = None;
        }
    }

    /// Counts a request of this host in that waits for room at a replica, or out.
    pub fn count_waiter(&mut self, id: &str, waits: bool) {
        if let Some((_, rest)) = self.rests.get_mut(id) {
            rest.count_waiting(waits);
        }
        if let Some(need) = self.need(id) {
            need.held = match waits {
                true => need.held + 1,
                false => need.held.saturating_sub(1),
            };
        }
    }

    /// Whether a replica is limited, and nothing was heard of it here for so long that it goes before others.
    pub(super) fn is_unheard(&self, id: &str, now: Time) -> bool {
        let need = self.replicas.get(id).and_then(|s| s.limit(now));
        let is_long = |at: Time| now.since(at) >= UNHEARD;
        need.is_some_and(|need| need.heard.is_none_or(is_long))
    }
}

/// What has changed from one notice to the next.
fn change(before: Option<Advertisement>, notice: &Advertisement, now: Time) -> Option<Change> {
    let holds = |notice: &Advertisement| notice.withdrawn_at.is_none();
    match before.filter(|before| !before.is_expired(now)) {
        None => holds(notice).then_some(Change::First),
        Some(before) if holds(&before) && !holds(notice) => Some(Change::Over),
        Some(before) if !holds(&before) && holds(notice) => Some(Change::First),
        Some(before) => (before.rate != notice.rate).then_some(Change::Other(before.rate)),
    }
}
