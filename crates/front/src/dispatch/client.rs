//! This host's side: who dispatches each service, which requests wait for an answer, and which are in flight.

use super::round_trip::RoundTrip;
use crate::message::dispatch::{Answer, Assignment, Ended, Report};
use parking_lot::Mutex;
use route::dispatch::{Outcome, ReplicaKey};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use unit::{Name, Span, Time, rendezvous};

/// Time for which a dispatcher that did not answer is not asked; doubled each further time.
const MIN_SILENCE: Span = Span::from_ms(400);

/// Longest such time.
const MAX_SILENCE: Span = Span::from_ms(1_600);

/// Time without an answer after which a dispatcher counts as lost: it gives out no places any more.
const LOST_AFTER: Span = Span::from_ms(1_000);

/// Interval of reports while requests are in flight.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which what has ended is told again, since the report may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(20);

/// Dispatcher of a service, as this host knows it.
#[derive(Debug, Clone, Copy)]
struct Dispatcher {
    addr: SocketAddr,
    round_trip: RoundTrip,
    /// Consecutive times that it did not answer.
    failures: u32,
    /// Time until which it is not asked.
    silent_until: Time,
    /// When it last answered, or was named.
    heard_at: Time,
}

pub(super) struct Client {
    dispatchers: Mutex<BTreeMap<Name, Dispatcher>>,
    /// Requests that wait for answers.
    waiting: Mutex<HashMap<u32, UnboundedSender<Answer>>>,
    in_flight: Mutex<InFlight>,
    next_number: AtomicU32,
    next_sequence: AtomicU32,
}

#[derive(Default)]
struct InFlight {
    /// Requests at replicas, by service and number.
    held: BTreeMap<(Name, u32), ReplicaKey>,
    /// Requests that ended since the last report, by service.
    ended: HashMap<Name, Vec<Ended>>,
    /// Those of the report before, which are sent again since it may be lost.
    repeated: HashMap<Name, Vec<Ended>>,
}

impl Client {
    /// Opens the client of a daemon that starts at this time since the boot of its host: numbers differ from those of
    /// the process before, and reports count on.
    pub(super) fn open(since_boot: Span) -> Client {
        Client {
            dispatchers: Mutex::default(),
            waiting: Mutex::default(),
            in_flight: Mutex::default(),
            next_number: AtomicU32::new(rendezvous::hash(&since_boot.0.to_le_bytes()) as u32),
            next_sequence: AtomicU32::new(since_boot.ms() as u32),
        }
    }

    /// Replaces the assignment; returns what is new in it.
    pub(super) fn assign(&self, assigned: Vec<Assignment>, now: Time) -> Vec<Assignment> {
        let mut dispatchers = self.dispatchers.lock();
        dispatchers.retain(|service, _| assigned.iter().any(|a| a.service == *service));
        let mut changes = assigned;
        changes.retain(|a| dispatchers.get(&a.service).is_none_or(|d| d.addr != a.addr));
        for change in &changes {
            let dispatcher = Dispatcher {
                addr: change.addr,
                round_trip: RoundTrip::default(),
                failures: 0,
                silent_until: Time(0),
                heard_at: now,
            };
            dispatchers.insert(change.service.clone(), dispatcher);
        }
        changes
    }

    pub(super) fn assigned(&self) -> Vec<Assignment> {
        let dispatchers = self.dispatchers.lock();
        let assigned = dispatchers.iter().map(|(service, d)| Assignment {
            service: service.clone(),
            addr: d.addr,
        });
        assigned.collect()
    }

    /// Dispatcher that may be asked, and the time within which it answers.
    pub(super) fn dispatcher(&self, service: &Name, now: Time) -> Option<(SocketAddr, Span)> {
        let dispatchers = self.dispatchers.lock();
        let dispatcher = dispatchers.get(service)?;
        (now >= dispatcher.silent_until).then(|| (dispatcher.addr, dispatcher.round_trip.limit()))
    }

    /// Whether no dispatcher is known to give out places of a service now.
    pub(super) fn is_lost(&self, service: &Name, now: Time) -> bool {
        let dispatchers = self.dispatchers.lock();
        let dispatcher = dispatchers.get(service);
        dispatcher.is_none_or(|d| now.since(d.heard_at) >= LOST_AFTER)
    }

    /// Records an answer, and the round trip if it is known which question it answers.
    pub(super) fn record_answer(
        &self,
        service: &Name,
        addr: SocketAddr,
        took: Option<Span>,
        now: Time,
    ) {
        self.update(service, addr, |dispatcher| {
            dispatcher.heard_at = now;
            dispatcher.failures = 0;
            if let Some(took) = took {
                dispatcher.round_trip.record(took);
            }
        });
    }

    /// Records that a dispatcher did not answer.
    pub(super) fn record_silence(&self, service: &Name, addr: SocketAddr, now: Time) {
        self.update(service, addr, |dispatcher| {
            // Requests that wait together count once.
            if now >= dispatcher.silent_until {
                let silence = MIN_SILENCE * f64::from(1u32 << dispatcher.failures.min(8));
                dispatcher.silent_until = now + silence.min(MAX_SILENCE);
                dispatcher.failures += 1;
            }
        });
    }

    fn update(&self, service: &Name, addr: SocketAddr, update: impl FnOnce(&mut Dispatcher)) {
        let mut dispatchers = self.dispatchers.lock();
        let dispatcher = dispatchers.get_mut(service);
        if let Some(dispatcher) = dispatcher.filter(|d| d.addr == addr) {
            update(dispatcher);
        }
    }

    /// Number for a new request.
    pub(super) fn number(&self) -> u32 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a request that waits for answers.
    pub(super) fn register(&self, number: u32) -> UnboundedReceiver<Answer> {
        let (sender, receiver) = unbounded_channel();
        self.waiting.lock().insert(number, sender);
        receiver
    }

    pub(super) fn unregister(&self, number: u32) {
        self.waiting.lock().remove(&number);
    }

    /// Passes an answer to the request that waits for it. One that has been given up was reported as ended.
    pub(super) fn answer(&self, number: u32, answer: Answer) {
        if let Some(waiting) = self.waiting.lock().get(&number) {
            // The request may just have been given up.
            let _ = waiting.send(answer);
        }
    }

    /// Adds a request in flight.
    pub(super) fn begin(&self, service: &Name, number: u32, replica: ReplicaKey) {
        let mut in_flight = self.in_flight.lock();
        in_flight.held.insert((service.clone(), number), replica);
    }

    /// Removes a request that ended or was given up.
    pub(super) fn end(&self, service: &Name, number: u32, outcome: Outcome) {
        let in_flight = &mut *self.in_flight.lock();
        in_flight.held.remove(&(service.clone(), number));
        let ended = in_flight.ended.entry(service.clone()).or_default();
        ended.push(Ended::new(number, outcome));
    }

    /// Reports for the dispatchers: what has ended, and all that is in flight.
    pub(super) fn take_reports(&self) -> Vec<(SocketAddr, Report)> {
        let dispatchers = self.dispatchers.lock();
        let addrs: HashMap<&Name, SocketAddr> =
            dispatchers.iter().map(|(s, d)| (s, d.addr)).collect();
        let in_flight = &mut *self.in_flight.lock();
        let ended = std::mem::take(&mut in_flight.ended);
        let repeated = std::mem::replace(&mut in_flight.repeated, ended.clone());
        let busy = in_flight.held.keys().map(|(service, _)| service);
        let services: BTreeSet<&Name> = busy.chain(ended.keys()).chain(repeated.keys()).collect();
        let mut reports = Vec::new();
        for service in services {
            let Some(addr) = addrs.get(service) else {
                continue;
            };
            let held = in_flight.held.iter().filter(|((s, _), _)| s == service);
            let held = held.map(|((_, number), replica)| (*number, *replica));
            let rows = [ended.get(service), repeated.get(service)];
            let rows = rows.into_iter().flatten().flatten().copied();
            let mut report = Report::new(service.clone(), held.collect(), rows.collect());
            report.sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
            reports.push((*addr, report));
        }
        reports
    }

    /// Time until the next report, if there is anything to tell.
    pub(super) fn next_report(&self) -> Option<Duration> {
        let in_flight = self.in_flight.lock();
        if !in_flight.repeated.is_empty() || !in_flight.ended.is_empty() {
            return Some(REPEAT_DELAY);
        }
        (!in_flight.held.is_empty()).then_some(REPORT_INTERVAL)
    }
}
