//! The dispatcher's side: the state of each service that this host gives out.

use super::Gauges;
use super::summary::Summary;
use crate::message::dispatch::{Ask, Report};
use crate::table::{Places, Table};
use parking_lot::Mutex;
use route::dispatch::{self, Dispatcher, Notice, Policy, Status, Ticket};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time};

/// Requests that a replica holds beyond its slots: one keeps it busy until the next grant arrives.
const POLICY: Policy = Policy { queue: 1 };

/// Age from which the states of replicas are read again.
const MAX_AGE: Span = Span::from_ms(10);

/// Time without a message after which the state of a service is dropped: another host dispatches it.
const IDLE_AFTER: Span = Span::from_secs(5);

#[derive(Default)]
pub(super) struct Server {
    services: Mutex<HashMap<Name, Service>>,
    /// Notified when there is something to watch over.
    pub(super) is_active: Notify,
}

struct Service {
    dispatcher: Dispatcher,
    /// Number of the last report of each host.
    sequences: HashMap<SocketAddr, u32>,
    refreshed_at: Time,
    used_at: Time,
    summary: Summary,
}

impl Server {
    /// Handles a question of a host.
    pub(super) fn ask(
        &self,
        table: &Mutex<Table>,
        ask: Ask,
        host: SocketAddr,
        now: Time,
    ) -> Vec<Notice> {
        let after = |ms: u32| now + Span::from_ms(u64::from(ms));
        self.with(table, &ask.service.clone(), now, |service| {
            let ticket = Ticket {
                host,
                number: ask.number,
            };
            let ask = dispatch::Ask {
                ticket,
                priority: ask.priority,
                target: after(ask.target_ms),
                deadline: after(ask.deadline_ms),
                account: ask.account,
                avoid: ask.avoid,
                only: ask.only,
            };
            service.summary.record_ask();
            service.dispatcher.ask(ask, now)
        })
    }

    /// Handles a report of a host.
    pub(super) fn report(
        &self,
        table: &Mutex<Table>,
        report: Report,
        host: SocketAddr,
        now: Time,
    ) -> Vec<Notice> {
        self.with(table, &report.service.clone(), now, |service| {
            let mut notices = Vec::new();
            for ended in &report.ended {
                let ticket = Ticket {
                    host,
                    number: ended.0,
                };
                notices.extend(service.dispatcher.end(ticket, ended.outcome(), now));
            }
            if service.is_next(host, report.sequence) && report.is_complete {
                notices.extend(service.dispatcher.report(host, &report.held, now));
            }
            notices
        })
    }

    /// Lets time pass for all services; returns their decisions, or nothing if there is nothing to watch over.
    pub(super) fn advance(&self, table: &Mutex<Table>, now: Time) -> Option<Vec<Notice>> {
        let mut services = self.services.lock();
        services.retain(|_, service| now.since(service.used_at) < IDLE_AFTER);
        if services.is_empty() {
            return None;
        }
        let mut notices = Vec::new();
        for (name, service) in services.iter_mut() {
            service.summary.log(name, &service.dispatcher, now);
            if service.dispatcher.is_idle() {
                continue;
            }
            let mut decided = service.refresh(table, name, now);
            decided.extend(service.dispatcher.advance(now));
            service.summary.record(&decided);
            notices.extend(decided);
        }
        Some(notices)
    }

    pub(super) fn gauges(&self) -> Vec<Gauges> {
        let services = self.services.lock();
        let gauges = services.iter().map(|(name, service)| Gauges {
            service: name.clone(),
            waiting: service.dispatcher.waiting_count(),
            granted: service.dispatcher.granted_count(),
        });
        gauges.collect()
    }

    /// Calls `handle` with the state of a service, which is created if missing.
    fn with(
        &self,
        table: &Mutex<Table>,
        name: &Name,
        now: Time,
        handle: impl FnOnce(&mut Service) -> Vec<Notice>,
    ) -> Vec<Notice> {
        let mut services = self.services.lock();
        let service = services
            .entry(name.clone())
            .or_insert_with(|| Service::open(table, name, now));
        service.used_at = now;
        let mut notices = service.refresh(table, name, now);
        notices.extend(handle(service));
        service.summary.record(&notices);
        self.is_active.notify_one();
        notices
    }
}

impl Service {
    /// State of a service that this host begins to dispatch, with the requests that it knows to be in flight.
    fn open(table: &Mutex<Table>, name: &Name, now: Time) -> Service {
        let mut dispatcher = Dispatcher::new(POLICY);
        let places = table.lock().places(name, now);
        // Without a waiting request there is no decision to tell.
        let _ = dispatcher.set_replicas(&rows(&places), now);
        for replica in &places {
            dispatcher.assume(replica.key, replica.in_flight, now);
        }
        dispatcher.set_tolerances(&tolerances(&places));
        tracing::info!(target: "dispatch", event = "begins", service = &**name, replicas = places.len(), "this host gives out the places of a service");
        Service {
            dispatcher,
            sequences: HashMap::new(),
            refreshed_at: now,
            used_at: now,
            summary: Summary::default(),
        }
    }

    /// Reads the replicas' states again if they are old.
    fn refresh(&mut self, table: &Mutex<Table>, name: &Name, now: Time) -> Vec<Notice> {
        if now.since(self.refreshed_at) < MAX_AGE {
            return Vec::new();
        }
        self.refreshed_at = now;
        let places = table.lock().places(name, now);
        let notices = self.dispatcher.set_replicas(&rows(&places), now);
        self.dispatcher.set_tolerances(&tolerances(&places));
        notices
    }

    /// Whether a report of a host is later than those before, or the first after its machine was booted.
    fn is_next(&mut self, host: SocketAddr, sequence: u32) -> bool {
        let last = self.sequences.get(&host).copied();
        let is_next = last.is_none_or(|last| sequence > last || last - sequence > RESTART_GAP);
        if is_next {
            self.sequences.insert(host, sequence);
        }
        is_next
    }
}

/// Step back of a host's numbers that means that they began anew.
const RESTART_GAP: u32 = 64;

fn tolerances(places: &[Places]) -> Vec<(u32, Option<u32>)> {
    places.iter().map(|p| (p.key, p.tolerance)).collect()
}

fn rows(places: &[Places]) -> Vec<(u32, u32, Status)> {
    let status = |is_serving| match is_serving {
        true => Status::Serving,
        false => Status::Away,
    };
    let row = |p: &Places| (p.key, p.slots, status(p.is_serving));
    places.iter().map(row).collect()
}
