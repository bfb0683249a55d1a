//! Requests that wait at a daemon for room at an upstream.
//!
//! Order: priority raised by age, then the caller that is furthest below its
//! fair share, then the earliest deadline. A full queue sheds the lowest,
//! and of equals that of the caller which holds most of the queue for its weight.

use crate::demand::Demand;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Waiting time that raises a request by one priority, so that nothing starves.
const AGE_STEP: Span = Span::from_secs(5);

/// Requests a second below which a queue's speed says nothing of the wait to come.
const LEAST_RATE: f64 = 1.0;

/// Request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket<T> {
    /// Who sent it.
    pub caller: Name,
    /// Weight of the caller's share.
    pub weight: u32,
    /// Rank of its class.
    pub priority: u8,
    /// When it came.
    pub arrived: Time,
    /// When nobody needs it any more.
    pub deadline: Time,
    /// What the owner needs to go on with it.
    pub payload: T,
}

/// Why a request was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full of requests that go before it.
    Full,
    /// Its deadline has passed.
    Expired,
}

/// Bounded queue.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    tickets: Vec<Ticket<T>>,
    served: HashMap<Name, f64>,
    floor: f64,
    drained: Demand,
}

/// Rank of the request that goes first, for comparing queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Priority raised by age.
    pub rank: u64,
    /// Its deadline.
    pub deadline: Time,
}

impl<T> Queue<T> {
    /// Makes a queue for `most` requests.
    pub fn new(most: usize) -> Queue<T> {
        Queue {
            capacity: most,
            tickets: Vec::new(),
            served: HashMap::new(),
            floor: 0.0,
            drained: Demand::new(Time(0)),
        }
    }

    /// The request that goes first.
    pub fn peek(&self, now: Time) -> Option<&Ticket<T>> {
        self.first(now).map(|first| &self.tickets[first])
    }

    /// Rank of the request that goes first.
    pub fn head(&self, now: Time) -> Option<Head> {
        let first = self.peek(now)?;
        Some(Head {
            rank: rank(first, now),
            deadline: first.deadline,
        })
    }

    fn first(&self, now: Time) -> Option<usize> {
        (0..self.tickets.len()).min_by(|a, b| self.order(now, *a, *b))
    }

    /// Time that a newcomer of that priority would wait, from how fast the queue drained lately.
    ///
    /// None while too little has drained to tell.
    pub fn expected_wait(&mut self, now: Time, priority: u8) -> Option<Span> {
        let rate = self.drained.rate(now);
        if rate < LEAST_RATE {
            return None;
        }
        let before = self
            .tickets
            .iter()
            .filter(|t| rank(t, now) >= u64::from(priority))
            .count();
        Some(Span((before as f64 / rate * 1e6) as u64))
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Changes the bound; requests that wait already stay.
    pub fn set_capacity(&mut self, most: usize) {
        self.capacity = most;
    }

    /// Takes a request in; gives back the one that had to go, which may be itself.
    pub fn push(&mut self, now: Time, ticket: Ticket<T>) -> Option<Ticket<T>> {
        self.tickets.push(ticket);
        if self.tickets.len() <= self.capacity {
            return None;
        }
        let held = self.held();
        let lowest = (0..self.tickets.len()).min_by(|a, b| {
            let (a, b) = (&self.tickets[*a], &self.tickets[*b]);
            let (held_a, held_b) = (held[&a.caller], held[&b.caller]);
            rank(a, now)
                .cmp(&rank(b, now))
                .then(held_b.total_cmp(&held_a))
                .then(b.arrived.cmp(&a.arrived))
        })?;
        Some(self.tickets.swap_remove(lowest))
    }

    /// Room that each caller holds here, over its weight.
    fn held(&self) -> HashMap<Name, f64> {
        let mut held = HashMap::new();
        for ticket in &self.tickets {
            let share = 1.0 / f64::from(ticket.weight.max(1));
            *held.entry(ticket.caller.clone()).or_insert(0.0) += share;
        }
        held
    }

    /// Takes out the request that goes first.
    pub fn pop(&mut self, now: Time) -> Option<Ticket<T>> {
        let first = self.first(now)?;
        let ticket = self.tickets.swap_remove(first);
        self.charge(&ticket);
        self.drained.record_arrival(now);
        Some(ticket)
    }

    fn order(&self, now: Time, a: usize, b: usize) -> std::cmp::Ordering {
        let (a, b) = (&self.tickets[a], &self.tickets[b]);
        rank(b, now)
            .cmp(&rank(a, now))
            .then(self.share(&a.caller).total_cmp(&self.share(&b.caller)))
            .then(a.deadline.cmp(&b.deadline))
            .then(a.arrived.cmp(&b.arrived))
    }

    /// Service a caller has had over its weight; a newcomer starts at the floor.
    fn share(&self, caller: &Name) -> f64 {
        self.served
            .get(caller)
            .copied()
            .unwrap_or(0.0)
            .max(self.floor)
    }

    fn charge(&mut self, ticket: &Ticket<T>) {
        let share = self.share(&ticket.caller);
        self.floor = self.floor.max(share.min(self.least_waiting_share()));
        let after = share + 1.0 / f64::from(ticket.weight.max(1));
        self.served.insert(ticket.caller.clone(), after);
    }

    fn least_waiting_share(&self) -> f64 {
        self.tickets
            .iter()
            .map(|t| self.share(&t.caller))
            .fold(f64::INFINITY, f64::min)
    }

    /// Takes out every request whose deadline has passed, or that `gone` names.
    pub fn expire(&mut self, now: Time, gone: impl Fn(&T) -> bool) -> Vec<Ticket<T>> {
        self.tickets
            .extract_if(.., |t| now >= t.deadline || gone(&t.payload))
            .collect()
    }

    /// Earliest deadline of those that wait.
    pub fn next_deadline(&self) -> Option<Time> {
        self.tickets.iter().map(|t| t.deadline).min()
    }
}

/// Priority raised by waiting time.
fn rank<T>(ticket: &Ticket<T>, now: Time) -> u64 {
    let aged = now.since(ticket.arrived).0 / AGE_STEP.0;
    u64::from(ticket.priority) + aged
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(caller: &str, priority: u8, arrived: u64) -> Ticket<u32> {
        Ticket {
            caller: caller.into(),
            weight: 1,
            priority,
            arrived: Time(arrived),
            deadline: Time(arrived) + Span::from_secs(60),
            payload: 0,
        }
    }

    #[test]
    fn priority_goes_first_but_age_raises() {
        let mut queue = Queue::new(10);
        queue.push(Time(0), ticket("a", 1, 0));
        let now = Time(0) + Span::from_secs(21);
        queue.push(now, ticket("b", 4, now.0));
        assert_eq!(
            &*queue.pop(now).unwrap().caller,
            "a",
            "four steps of age pass three ranks"
        );
        queue.push(now, ticket("a", 1, now.0));
        assert_eq!(&*queue.pop(now).unwrap().caller, "b");
    }

    #[test]
    fn a_full_queue_sheds_the_lowest_newest() {
        let mut queue = Queue::new(2);
        assert_eq!(queue.push(Time(0), ticket("a", 5, 0)), None);
        assert_eq!(queue.push(Time(1), ticket("b", 1, 1)), None);
        let shed = queue.push(Time(2), ticket("c", 3, 2)).unwrap();
        assert_eq!(&*shed.caller, "b");
        let shed = queue.push(Time(3), ticket("d", 3, 3)).unwrap();
        assert_eq!(&*shed.caller, "d", "of equals the newest goes");
    }

    #[test]
    fn of_equals_the_caller_that_holds_most_is_shed() {
        let mut queue = Queue::new(6);
        for i in 0..6 {
            queue.push(Time(i), ticket("early", 3, i));
        }
        for i in 6..9 {
            let shed = queue.push(Time(i), ticket("late", 3, i)).unwrap();
            assert_eq!(&*shed.caller, "early", "until both hold the same");
        }
        let mut light = ticket("late", 3, 9);
        light.weight = 1;
        assert_eq!(&*queue.push(Time(9), light).unwrap().caller, "late");
    }

    #[test]
    fn shares_follow_weights() {
        let mut queue = Queue::new(1_000);
        for i in 0..400 {
            let mut heavy = ticket("heavy", 5, i);
            heavy.weight = 3;
            queue.push(Time(i), heavy);
            queue.push(Time(i), ticket("light", 5, i));
        }
        let first: Vec<_> = (0..200).filter_map(|_| queue.pop(Time(400))).collect();
        let heavy = first.iter().filter(|t| &*t.caller == "heavy").count();
        assert!((145..=155).contains(&heavy), "{heavy}");
    }

    #[test]
    fn a_newcomer_does_not_catch_up_on_the_past() {
        let mut queue = Queue::new(1_000);
        for i in 0..300 {
            queue.push(Time(i), ticket("old", 5, i));
        }
        for _ in 0..100 {
            queue.pop(Time(300));
        }
        for i in 0..100 {
            queue.push(Time(300), ticket("new", 5, 300 + i));
        }
        let next: Vec<_> = (0..20).filter_map(|_| queue.pop(Time(400))).collect();
        let old = next.iter().filter(|t| &*t.caller == "old").count();
        assert!((9..=11).contains(&old), "{old}");
    }
}
