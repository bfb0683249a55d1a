//! Fleet of hosts before the few replicas of one service, in virtual time.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::dispatch::{Ask, Decision, Dispatcher, Notice, Outcome, Policy, Status, Ticket};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use unit::{Span, Time};

const HOSTS: u64 = 70;
const REPLICAS: usize = 4;
const SLOTS: usize = 6;
const REPLICA_QUEUE: usize = 24;
const SERVICE_MS: f64 = 60.0;
const TARGET: Span = Span::from_ms(300);
const DEADLINE: Span = Span::from_ms(1_500);
const LENGTH_MS: u64 = 8_000;
/// Requests per second in the mean, and the time and factor of the burst.
const RATE: f64 = 208.0;
const BURST_MS: std::ops::Range<u64> = 2_000..5_000;
const BURST: f64 = 2.5;
/// Time-out of a question, interval of reports, and age of the sums by which a host chooses alone.
const ASK_AGAIN: Span = Span::from_ms(40);
/// Time after which an end is told again.
const REPEATED: Span = Span::from_ms(22);
const REPORTS: Span = Span::from_ms(200);
const SUMS_MS: u64 = 65;
/// Time before its target at which a request must start to be in time nearly always.
const PERFECT_MARGIN: Span = Span::from_ms(85);
const LOSS: f64 = 0.1;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// Hosts ask one dispatcher.
    Dispatcher(Policy),
    /// Hosts choose alone, by old sums.
    Alone,
    /// One queue before all slots, without messages; serves in time first.
    Perfect,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// One message in ten is lost and one in ten doubled.
    Lossy,
    /// Another dispatcher, which knows nothing, takes over in the burst.
    Replaced,
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub fault: Fault,
    /// Slow replica, and by how much.
    pub slow: Option<(usize, f64)>,
}

impl Setup {
    pub fn burst(seed: u64) -> Setup {
        Setup {
            seed,
            fault: Fault::None,
            slow: None,
        }
    }
}

/// How a play ended.
#[derive(Debug, Clone, Default)]
pub struct Result {
    pub in_time: usize,
    pub late: usize,
    /// Requests that their host refused at last.
    pub refused: usize,
    /// Requests at replicas, and those turned away there.
    pub arrivals: usize,
    pub turned_away: usize,
    /// Requests that were sent twice.
    pub twice: usize,
    pub by_replica: Vec<usize>,
    /// Places that are taken at the end.
    pub left_over: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AskHost(u32),
    Asked(u32),
    Told(u32, Told),
    Reach(u32, usize),
    Finish(u32, usize),
    Ended(u32, u64),
    EndedAgain(u32, u64),
    Report(u64),
    Sums,
    Tick,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Grant(usize),
    Refuse,
    Other,
}

#[derive(Debug, Default)]
struct Replica {
    running: usize,
    queue: VecDeque<u32>,
}

pub struct Fleet {
    choice: Choice,
    setup: Setup,
    rng: SmallRng,
    /// Gaps between arrivals: the same for all choices.
    gaps: SmallRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    dispatcher: Dispatcher,
    replicas: Vec<Replica>,
    arrived: HashMap<u32, Time>,
    sent: HashSet<u32>,
    /// Requests at replicas, by number.
    held: BTreeMap<u32, (usize, Time)>,
    closed: HashSet<u32>,
    sums: Vec<VecDeque<usize>>,
    perfect: Vec<u32>,
    result: Result,
}

fn start() -> Time {
    Time(0) + Span::from_secs(100)
}

fn ticket(number: u32) -> Ticket {
    let host = ([10, 0, 0, (u64::from(number) % HOSTS) as u8], 1).into();
    Ticket { host, number }
}

fn new_dispatcher(choice: Choice, now: Time) -> Dispatcher {
    let policy = match choice {
        Choice::Dispatcher(policy) => policy,
        _ => Policy::default(),
    };
    let mut dispatcher = Dispatcher::new(policy);
    let rows = (0..REPLICAS as u32).map(|key| (key, SLOTS as u32, Status::Serving));
    dispatcher.set_replicas(&rows.collect::<Vec<_>>(), now);
    dispatcher
}

impl Fleet {
    pub fn new(choice: Choice, setup: Setup) -> Fleet {
        Fleet {
            choice,
            rng: SmallRng::seed_from_u64(setup.seed),
            gaps: SmallRng::seed_from_u64(setup.seed + 1_000),
            setup,
            now: start(),
            events: BinaryHeap::new(),
            count: 0,
            dispatcher: new_dispatcher(choice, start()),
            replicas: (0..REPLICAS).map(|_| Replica::default()).collect(),
            arrived: HashMap::new(),
            sent: HashSet::new(),
            held: BTreeMap::new(),
            closed: HashSet::new(),
            sums: vec![VecDeque::from(vec![0; 4]); REPLICAS],
            perfect: Vec::new(),
            result: Result {
                by_replica: vec![0; REPLICAS],
                ..Result::default()
            },
        }
    }

    pub fn play(mut self) -> Result {
        for event in [Event::Arrive, Event::Tick, Event::Sums] {
            self.after(Span::ZERO, event);
        }
        (0..HOSTS).for_each(|host| self.after(REPORTS, Event::Report(host)));
        let replaced_at = start() + Span::from_ms(3_500);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if self.setup.fault == Fault::Replaced && self.now < replaced_at && at >= replaced_at {
                self.dispatcher = new_dispatcher(self.choice, at);
                (0..HOSTS).for_each(|host| self.report(host));
            }
            self.now = at;
            self.handle(event);
        }
        self.result.left_over = self.dispatcher.granted_count();
        self.result
    }

    fn ms(&self) -> u64 {
        self.now.since(start()).ms() as u64
    }

    fn after(&mut self, span: Span, event: Event) {
        self.count += 1;
        let row = (self.now + span, self.count, event);
        self.events.push(Reverse(row));
    }

    /// Sends a message between hosts.
    fn send(&mut self, event: Event) {
        let is_lossy = self.setup.fault == Fault::Lossy;
        let copies = match self.rng.random::<f64>() {
            x if is_lossy && x < LOSS => 0,
            x if is_lossy && x < 2.0 * LOSS => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = Span(self.rng.random_range(300..2_500));
            self.after(delay, event.clone());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AskHost(number) => self.ask(number),
            Event::Asked(number) => {
                let arrived = self.arrived[&number];
                let ask = Ask {
                    ticket: ticket(number),
                    priority: 2,
                    target: arrived + TARGET,
                    deadline: arrived + DEADLINE,
                    account: 0,
                    avoid: Vec::new(),
                    only: None,
                };
                let notices = self.dispatcher.ask(ask, self.now);
                self.tell(notices);
            }
            Event::Told(number, Told::Grant(replica)) => self.granted(number, replica),
            Event::Told(number, Told::Refuse) if !self.sent.contains(&number) => {
                if self.closed.insert(number) {
                    self.result.refused += 1;
                }
            }
            Event::Told(..) => {}
            Event::Reach(number, replica) => self.reach(number, replica),
            Event::Finish(number, replica) => self.finish(number, replica),
            Event::Ended(number, took) => {
                let outcome = match took {
                    0 => Outcome::TurnedAway,
                    _ => Outcome::Served(Span(took)),
                };
                let notices = self.dispatcher.end(ticket(number), outcome, self.now);
                self.tell(notices);
            }
            Event::EndedAgain(number, took) => self.send(Event::Ended(number, took)),
            Event::Report(host) => {
                self.report(host);
                if self.ms() < LENGTH_MS + 3_000 {
                    self.after(REPORTS, Event::Report(host));
                }
            }
            Event::Sums => {
                for (sums, replica) in self.sums.iter_mut().zip(&self.replicas) {
                    sums.pop_front();
                    sums.push_back(replica.running + replica.queue.len());
                }
                if self.ms() < LENGTH_MS {
                    self.after(Span::from_ms(SUMS_MS / 4), Event::Sums);
                }
            }
            Event::Tick => {
                let notices = self.dispatcher.advance(self.now);
                self.tell(notices);
                if self.ms() < LENGTH_MS + 4_000 {
                    self.after(Span::from_ms(10), Event::Tick);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let factor = if BURST_MS.contains(&self.ms()) {
            BURST
        } else {
            1.0
        };
        let gap = -self.gaps.random::<f64>().max(1e-9).ln() / (RATE * factor);
        if self.ms() < LENGTH_MS {
            self.after(Span::from_secs_f64(gap), Event::Arrive);
        }
        let number = self.arrived.len() as u32;
        self.arrived.insert(number, self.now);
        match self.choice {
            Choice::Dispatcher(_) => self.ask(number),
            Choice::Alone => {
                // Each host sees few of the requests: those of others that are not in the sums count for nothing.
                let first = self.rng.random_range(0..REPLICAS);
                let old = |r: &usize| (self.sums[*r][0], (r + first) % REPLICAS);
                let replica = (0..REPLICAS).min_by_key(old).unwrap();
                self.granted(number, replica);
            }
            Choice::Perfect => {
                self.perfect.push(number);
                self.start_perfect();
            }
        }
    }

    fn ask(&mut self, number: u32) {
        if self.sent.contains(&number) || self.closed.contains(&number) {
            return;
        }
        if self.now >= self.arrived[&number] + DEADLINE {
            self.closed.insert(number);
            self.result.refused += 1;
            return;
        }
        self.send(Event::Asked(number));
        self.after(ASK_AGAIN, Event::AskHost(number));
    }

    fn tell(&mut self, notices: Vec<Notice>) {
        for Notice { ticket, decision } in notices {
            let told = match decision {
                Decision::Grant(replica) => Told::Grant(replica as usize),
                Decision::Refuse(_) => Told::Refuse,
                _ => Told::Other,
            };
            self.send(Event::Told(ticket.number, told));
        }
    }

    fn granted(&mut self, number: u32, replica: usize) {
        if self.closed.contains(&number) || !self.sent.insert(number) {
            return;
        }
        self.held.insert(number, (replica, self.now));
        let delay = Span(self.rng.random_range(300..2_500));
        self.after(delay, Event::Reach(number, replica));
    }

    fn reach(&mut self, number: u32, replica: usize) {
        self.result.arrivals += 1;
        self.result.by_replica[replica] += 1;
        let state = &mut self.replicas[replica];
        if state.running < SLOTS {
            self.run(number, replica);
        } else if state.queue.len() < REPLICA_QUEUE {
            state.queue.push_back(number);
        } else {
            self.result.turned_away += 1;
            self.result.refused += 1;
            self.end(number, true);
        }
    }

    fn run(&mut self, number: u32, replica: usize) {
        self.replicas[replica].running += 1;
        let factor = match self.setup.slow {
            Some((slow, factor)) if slow == replica => factor,
            _ => 1.0,
        };
        // Half of the mean in each case, the rest by an exponential distribution.
        let random = -self.rng.random::<f64>().max(1e-9).ln();
        let took = SERVICE_MS * factor * (0.5 + 0.5 * random);
        self.after(
            Span::from_secs_f64(took / 1e3),
            Event::Finish(number, replica),
        );
    }

    fn finish(&mut self, number: u32, replica: usize) {
        self.replicas[replica].running -= 1;
        let took = self.now.since(self.arrived[&number]);
        match took {
            took if took <= TARGET => self.result.in_time += 1,
            took if took <= DEADLINE => self.result.late += 1,
            _ => self.result.refused += 1,
        }
        self.result.twice += usize::from(!self.closed.insert(number));
        if let Some(next) = self.replicas[replica].queue.pop_front() {
            self.run(next, replica);
        }
        self.end(number, false);
        self.start_perfect();
    }

    /// Ends a request at its host, which tells the dispatcher within a few milliseconds.
    fn end(&mut self, number: u32, turned_away: bool) {
        let Some((_, since)) = self.held.remove(&number) else {
            return;
        };
        let took = match turned_away {
            true => 0,
            false => self.now.since(since).0.max(1),
        };
        self.send(Event::Ended(number, took));
        self.after(REPEATED, Event::EndedAgain(number, took));
    }

    /// Reports what a host has in flight.
    fn report(&mut self, host: u64) {
        let own = self
            .held
            .iter()
            .filter(|(n, _)| u64::from(**n) % HOSTS == host);
        let held: Vec<(u32, u32)> = own.map(|(n, (replica, _))| (*n, *replica as u32)).collect();
        let address = ticket(host as u32).host;
        let notices = self.dispatcher.report(address, &held, self.now);
        self.tell(notices);
    }

    /// Gives idle slots to the requests of the perfect queue: the oldest that can be in time, then the oldest.
    fn start_perfect(&mut self) {
        while let Some(replica) = (0..REPLICAS).find(|r| self.replicas[*r].running < SLOTS) {
            let margin = PERFECT_MARGIN;
            let in_time = |n: &u32| self.now + margin <= self.arrived[n] + TARGET;
            let alive = |n: &u32| self.now + margin <= self.arrived[n] + DEADLINE;
            let first = self.perfect.iter().position(in_time);
            let Some(index) = first.or(self.perfect.iter().position(alive)) else {
                return;
            };
            let number = self.perfect.remove(index);
            self.result.arrivals += 1;
            self.run(number, replica);
        }
    }
}
