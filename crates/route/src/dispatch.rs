//! Places of the few replicas of one service, given out to all hosts by one of them.
//!
//! Answers the load of many hosts that send to few places: a host that chooses alone learns of the others' requests
//! too late, so that replicas turn requests away in a burst while others idle. [`Dispatcher`] knows all that runs and
//! all that waits. Its state is soft: two dispatchers at once, or lost and late messages, cost a worse choice, since a
//! replica still refuses what it cannot hold.
//!
//! `event` defines what it is told and what it decides; `replica` holds the places of one replica and its service time, `room` what a
//! brittle one takes,
//! `grants` the requests that hold places, `waiting` the order of the requests that wait,
//! `account` the shares of client accounts, and `forecast` when a request would start and when a refused one may
//! return.

mod account;
mod event;
mod forecast;
mod grants;
mod replica;
mod room;
mod waiting;

pub use event::{Ask, Decision, Notice, Outcome, ReplicaKey, Ticket};
pub use replica::{Policy, Status};

use account::Accounts;
use forecast::Forecast;
use grants::{Grant, Grants};
use replica::Replica;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use unit::{Span, Time};
use waiting::{Waiting, WaitingList};

/// Time without a repeated ask after which a waiting request counts as gone.
const WAIT_SILENCE: Span = Span::from_ms(400);

/// Time after which a host may ask again for a replica without a free place.
const FULL_FOR: Span = Span::from_ms(50);

/// Requests at the head of the waiting list that are considered for a place that the first of them avoids.
const MAX_SCANNED: usize = 16;

/// Places of one service's replicas, and the requests that hold them or wait for them.
#[derive(Debug, Default)]
pub struct Dispatcher {
    policy: Policy,
    replicas: BTreeMap<ReplicaKey, Replica>,
    grants: Grants,
    waiting: WaitingList,
    accounts: Accounts,
    forecast: Forecast,
}

impl Dispatcher {
    pub fn new(policy: Policy) -> Dispatcher {
        Dispatcher {
            policy,
            ..Dispatcher::default()
        }
    }

    /// Sets the replicas of the service with their slots and states.
    pub fn set_replicas(
        &mut self,
        replicas: &[(ReplicaKey, u32, Status)],
        now: Time,
    ) -> Vec<Notice> {
        let listed = |key: &ReplicaKey| replicas.iter().any(|(listed, ..)| listed == key);
        self.replicas.retain(|key, _| listed(key));
        for (key, slots, status) in replicas {
            let replica = self.replicas.entry(*key).or_default();
            replica.granted = self.grants.count_at(*key);
            replica.slots = *slots;
            replica.status = *status;
        }
        self.assign(now)
    }

    /// Assumes that requests run at a replica that no host has told of yet: those that a host knows of when it becomes
    /// the dispatcher.
    pub fn assume(&mut self, replica: ReplicaKey, requests: u32, now: Time) {
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.assume(requests, now);
        }
    }

    /// Handles a request for a place. A repeated one gets the same decision.
    pub fn ask(&mut self, ask: Ask, now: Time) -> Vec<Notice> {
        let ticket = ask.ticket;
        let notice = |decision| vec![Notice { ticket, decision }];
        if let Some(replica) = self.grants.touch(&ticket, now) {
            return notice(Decision::Grant(replica));
        }
        if self.grants.has_ended(&ticket) {
            return Vec::new();
        }
        if self.waiting.touch(&ticket, now) {
            return notice(Decision::Wait);
        }
        if let Some(key) = ask.only {
            return notice(self.ask_for(key, &ask, now));
        }
        if !self.can_serve(&ask.avoid) {
            return notice(Decision::Unable);
        }
        self.forecast.record_arrival(now);
        let pace = self.pace(now);
        let lag = self.accounts.record(ask.account, pace.rate, now);
        let waiting = Waiting::new(ask, lag, now);
        if !self.has_free_place(now) {
            let start = self.forecast.start(&waiting, &self.waiting, &pace, now);
            if start + pace.margin() > waiting.ask.deadline {
                return notice(self.refusal(now));
            }
        }
        self.waiting.push(waiting);
        let mut notices = self.assign(now);
        if self.waiting.contains(&ticket) {
            notices.extend(notice(Decision::Wait));
        }
        notices
    }

    /// Decides on a request that only one replica is to take: it gets a place now or is refused, and never waits, since
    /// its host may choose another replica.
    fn ask_for(&mut self, key: ReplicaKey, ask: &Ask, now: Time) -> Decision {
        match self.replicas.get(&key) {
            None => Decision::Unable,
            Some(replica) if !self.is_free(replica, now) => Decision::Refuse(FULL_FOR),
            Some(_) => {
                self.grant(ask, key, now);
                Decision::Grant(key)
            }
        }
    }

    /// Sets which replicas are brittle, each with the requests that it may turn away within a second.
    pub fn set_tolerances(&mut self, tolerances: &[(ReplicaKey, Option<u32>)]) {
        for (key, tolerance) in tolerances {
            if let Some(replica) = self.replicas.get_mut(key) {
                let held = replica.granted;
                replica.room.set_tolerance(*tolerance, held);
            }
        }
    }

    /// Records that a request has ended, or that its host gave it up or hands its grant back.
    pub fn end(&mut self, ticket: Ticket, outcome: Outcome, now: Time) -> Vec<Notice> {
        self.waiting.remove(&ticket);
        if let Some(grant) = self.grants.end(ticket, now) {
            self.release(&grant, outcome, now);
        }
        self.assign(now)
    }

    /// Takes over all that a host has in flight, by number and replica: what it placed alone or by an earlier
    /// dispatcher is added, and what it no longer lists has ended.
    pub fn report(
        &mut self,
        host: SocketAddr,
        held: &[(u32, ReplicaKey)],
        now: Time,
    ) -> Vec<Notice> {
        for (number, replica) in held {
            let ticket = Ticket {
                host,
                number: *number,
            };
            self.confirm(ticket, *replica, now);
        }
        let over = self.grants.end_unlisted(host, held, now);
        self.release_unused(over, now);
        self.assign(now)
    }

    /// Lets time pass: ends grants and waits whose hosts are silent, and refuses what can no longer be served.
    pub fn advance(&mut self, now: Time) -> Vec<Notice> {
        let over = self.grants.expire(now);
        self.release_unused(over, now);
        self.waiting
            .retain(|w| now.since(w.heard_at) < WAIT_SILENCE);
        let mut notices = self.assign(now);
        notices.extend(self.refuse_unservable(now));
        notices
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that hold a place.
    pub fn granted_count(&self) -> usize {
        self.grants.len()
    }

    /// Requests that hold a place at a replica.
    pub fn granted_at(&self, replica: ReplicaKey) -> u32 {
        self.replicas.get(&replica).map_or(0, |r| r.granted)
    }

    /// Places of a replica.
    pub fn places(&self, replica: ReplicaKey, now: Time) -> u32 {
        let replica = self.replicas.get(&replica);
        replica.map_or(0, |r| r.places(self.policy, now))
    }

    /// Mean service time of the replicas that serve.
    pub fn service_time(&self, now: Time) -> Span {
        self.pace(now).service
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.len() == 0 && self.grants.len() == 0
    }

    /// Records that a host lists a request as sent to a replica.
    fn confirm(&mut self, ticket: Ticket, replica: ReplicaKey, now: Time) {
        if self.grants.has_ended(&ticket) || self.grants.touch(&ticket, now).is_some() {
            return;
        }
        self.waiting.remove(&ticket);
        self.grants.add(ticket, replica, None, now);
        if let Some(replica) = self.replicas.get_mut(&replica) {
            replica.granted += 1;
        }
    }

    fn release_unused(&mut self, grants: Vec<Grant>, now: Time) {
        for grant in grants {
            self.release(&grant, Outcome::Unused, now);
        }
    }

    fn release(&mut self, grant: &Grant, outcome: Outcome, now: Time) {
        if let Some(replica) = self.replicas.get_mut(&grant.replica) {
            replica.release(grant.granted_at, outcome, now);
        }
    }

    /// Gives free places to waiting requests in their order.
    fn assign(&mut self, now: Time) -> Vec<Notice> {
        let mut notices = self.release_unable();
        if self.waiting.len() == 0 {
            return notices;
        }
        let margin = self.pace(now).margin();
        while self.has_free_place(now) {
            self.waiting.settle(margin, now);
            let head = self.waiting.in_order().take(MAX_SCANNED);
            let fitting = head.filter_map(|w| Some((w.ask.ticket, self.choose(w, now)?)));
            let Some((ticket, key)) = fitting.into_iter().next() else {
                break;
            };
            let Some(waiting) = self.waiting.remove(&ticket) else {
                break;
            };
            self.grant(&waiting.ask, key, now);
            let decision = Decision::Grant(key);
            notices.push(Notice { ticket, decision });
        }
        notices
    }

    fn grant(&mut self, ask: &Ask, key: ReplicaKey, now: Time) {
        self.grants.add(ask.ticket, key, Some(ask.deadline), now);
        if let Some(replica) = self.replicas.get_mut(&key) {
            replica.granted += 1;
            replica.granted_at = now;
            replica.room.record_grant(replica.granted, now);
        }
    }

    /// Replica with a free place for a request: the one that is expected to be done first.
    ///
    /// A request that only a faster replica can serve in time leaves a slow one to others.
    fn choose(&self, waiting: &Waiting, now: Time) -> Option<ReplicaKey> {
        let means = self.replicas.values().filter(|r| r.is_serving());
        let fastest = means.map(Replica::service_time).min()?;
        let free = self.replicas.iter().filter(|(key, replica)| {
            self.is_free(replica, now) && !waiting.ask.avoid.contains(key)
        });
        let in_time = |service: Span| now + service <= waiting.ask.target;
        let fitting = free.filter(|(_, replica)| {
            let service = replica.service_time();
            in_time(service) || !in_time(fastest) || service <= fastest * 2.0
        });
        let best = fitting.min_by(|(_, a), (_, b)| a.compare(b, now));
        best.map(|(key, _)| *key)
    }

    /// Hands requests back that no replica can take.
    fn release_unable(&mut self) -> Vec<Notice> {
        let serving: Vec<ReplicaKey> = self.serving().collect();
        let unable = self
            .waiting
            .extract(|w| serving.iter().all(|key| w.ask.avoid.contains(key)));
        let notice = |w: Waiting| Notice {
            ticket: w.ask.ticket,
            decision: Decision::Unable,
        };
        unable.into_iter().map(notice).collect()
    }

    /// Refuses waiting requests that can no longer be served before their deadlines.
    fn refuse_unservable(&mut self, now: Time) -> Vec<Notice> {
        let pace = self.pace(now);
        let unservable = self.forecast.unservable(&self.waiting, &pace, now);
        let mut notices = Vec::new();
        for ticket in unservable {
            self.waiting.remove(&ticket);
            let decision = self.refusal(now);
            notices.push(Notice { ticket, decision });
        }
        notices
    }

    fn refusal(&mut self, now: Time) -> Decision {
        let pace = self.pace(now);
        Decision::Refuse(self.forecast.next_return(self.waiting.len(), &pace, now))
    }

    fn serving(&self) -> impl Iterator<Item = ReplicaKey> {
        let serving = self.replicas.iter().filter(|(_, r)| r.is_serving());
        serving.map(|(key, _)| *key)
    }

    fn can_serve(&self, avoid: &[ReplicaKey]) -> bool {
        self.serving().any(|key| !avoid.contains(&key))
    }

    fn has_free_place(&self, now: Time) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|r| self.is_free(r, now))
    }

    fn is_free(&self, replica: &Replica, now: Time) -> bool {
        let places = match replica.is_failing(now) && self.has_sound_replica(now) {
            true => 1,
            false => replica.places(self.policy, now),
        };
        replica.has_free_place(places, now)
    }

    fn has_sound_replica(&self, now: Time) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|r| r.is_serving() && !r.is_failing(now))
    }

    /// Pace of all replicas that serve.
    fn pace(&self, now: Time) -> forecast::Pace {
        let has_sound = self.has_sound_replica(now);
        let counts = |r: &&Replica| r.is_serving() && !(has_sound && r.is_failing(now));
        forecast::Pace::of(self.replicas.values().filter(counts))
    }
}
