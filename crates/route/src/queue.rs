//! Queue of requests waiting for capacity at an upstream.
//!
//! Order: priority with aging, then weighted fair sharing between callers, then the earliest deadline. A full queue
//! sheds the request with the lowest priority, and among equals one of the caller with the most queued requests
//! relative to its weight.

use crate::demand::Demand;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Waiting time that raises a request by one priority level, to prevent starvation.
const AGING_INTERVAL: Span = Span::from_secs(5);

/// Dequeue rate per second below which no wait is estimated.
const MIN_DEQUEUE_RATE: f64 = 1.0;

/// Queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket<T> {
    pub caller: Name,
    /// Weight of the caller in fair sharing.
    pub weight: u32,
    /// Higher is more urgent.
    pub priority: u8,
    pub arrived: Time,
    /// Time after which the request is dropped.
    pub deadline: Time,
    /// Data of the queue's owner.
    pub payload: T,
}

/// Reason for which a request was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full of requests that come first.
    Full,
    /// The deadline has passed.
    Expired,
}

/// Bounded priority queue with weighted fair sharing between callers.
#[derive(Debug)]
pub struct Queue<T> {
    capacity: usize,
    tickets: Vec<Ticket<T>>,
    /// Virtual time of each caller: dequeued requests divided by weight.
    served: HashMap<Name, f64>,
    /// Virtual time at which new callers start.
    floor: f64,
    /// Rate of dequeued requests.
    dequeued: Demand,
}

/// Rank of the first request, for comparison between queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Priority with aging.
    pub rank: u64,
    pub deadline: Time,
}

impl<T> Queue<T> {
    pub fn new(capacity: usize) -> Queue<T> {
        Queue {
            capacity,
            tickets: Vec::new(),
            served: HashMap::new(),
            floor: 0.0,
            dequeued: Demand::new(Time(0)),
        }
    }

    /// The request that would be dequeued next.
    pub fn peek(&self, now: Time) -> Option<&Ticket<T>> {
        self.first(now).map(|first| &self.tickets[first])
    }

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

    /// Expected wait of a new request with that priority, from the recent dequeue rate; `None` if the rate is too low
    /// for an estimate.
    pub fn expected_wait(&mut self, now: Time, priority: u8) -> Option<Span> {
        let rate = self.dequeued.rate(now);
        if rate < MIN_DEQUEUE_RATE {
            return None;
        }
        let ahead = self
            .tickets
            .iter()
            .filter(|t| rank(t, now) >= u64::from(priority))
            .count();
        Some(Span((ahead as f64 / rate * 1e6) as u64))
    }

    /// Queued requests, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket<T>> {
        self.tickets.iter()
    }

    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Changes the capacity; requests already queued stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Adds a request; returns the one that was shed if the queue was full, which may be the new one.
    pub fn push(&mut self, now: Time, ticket: Ticket<T>) -> Option<Ticket<T>> {
        self.tickets.push(ticket);
        if self.tickets.len() <= self.capacity {
            return None;
        }
        let usage = self.usage();
        let lowest = (0..self.tickets.len()).min_by(|a, b| {
            let (a, b) = (&self.tickets[*a], &self.tickets[*b]);
            let (usage_a, usage_b) = (usage[&a.caller], usage[&b.caller]);
            rank(a, now)
                .cmp(&rank(b, now))
                .then(usage_b.total_cmp(&usage_a))
                .then(b.arrived.cmp(&a.arrived))
        })?;
        Some(self.tickets.swap_remove(lowest))
    }

    /// Queued requests of each caller divided by its weight.
    fn usage(&self) -> HashMap<Name, f64> {
        let mut usage = HashMap::new();
        for ticket in &self.tickets {
            let share = 1.0 / f64::from(ticket.weight.max(1));
            *usage.entry(ticket.caller.clone()).or_insert(0.0) += share;
        }
        usage
    }

    /// Removes the first request.
    pub fn pop(&mut self, now: Time) -> Option<Ticket<T>> {
        let first = self.first(now)?;
        let ticket = self.tickets.swap_remove(first);
        self.charge(&ticket);
        self.dequeued.record_arrival(now);
        Some(ticket)
    }

    fn order(&self, now: Time, a: usize, b: usize) -> std::cmp::Ordering {
        let (a, b) = (&self.tickets[a], &self.tickets[b]);
        rank(b, now)
            .cmp(&rank(a, now))
            .then(
                self.virtual_time(&a.caller)
                    .total_cmp(&self.virtual_time(&b.caller)),
            )
            .then(a.deadline.cmp(&b.deadline))
            .then(a.arrived.cmp(&b.arrived))
    }

    /// Virtual time of a caller, at least the floor.
    fn virtual_time(&self, caller: &Name) -> f64 {
        self.served
            .get(caller)
            .copied()
            .unwrap_or(0.0)
            .max(self.floor)
    }

    /// Advances the virtual time of the request's caller.
    fn charge(&mut self, ticket: &Ticket<T>) {
        let before = self.virtual_time(&ticket.caller);
        self.floor = self.floor.max(before.min(self.min_virtual_time()));
        let after = before + 1.0 / f64::from(ticket.weight.max(1));
        self.served.insert(ticket.caller.clone(), after);
    }

    fn min_virtual_time(&self) -> f64 {
        self.tickets
            .iter()
            .map(|t| self.virtual_time(&t.caller))
            .fold(f64::INFINITY, f64::min)
    }

    /// Removes and returns the requests whose deadline has passed or that `is_gone` selects.
    pub fn expire(&mut self, now: Time, is_gone: impl Fn(&T) -> bool) -> Vec<Ticket<T>> {
        self.tickets
            .extract_if(.., |t| now >= t.deadline || is_gone(&t.payload))
            .collect()
    }

    /// Earliest deadline in the queue.
    pub fn next_deadline(&self) -> Option<Time> {
        self.tickets.iter().map(|t| t.deadline).min()
    }
}

/// Priority with aging.
fn rank<T>(ticket: &Ticket<T>, now: Time) -> u64 {
    let age = now.since(ticket.arrived).0 / AGING_INTERVAL.0;
    u64::from(ticket.priority) + age
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
    fn higher_priority_comes_first_unless_aging_outweighs_it() {
        let mut queue = Queue::new(10);
        queue.push(Time(0), ticket("a", 1, 0));
        let now = Time(0) + Span::from_secs(21);
        queue.push(now, ticket("b", 4, now.0));
        assert_eq!(
            &*queue.pop(now).unwrap().caller,
            "a",
            "four aging intervals outweigh three priority levels"
        );
        queue.push(now, ticket("a", 1, now.0));
        assert_eq!(&*queue.pop(now).unwrap().caller, "b");
    }

    #[test]
    fn a_full_queue_sheds_the_newest_of_the_lowest_priority() {
        let mut queue = Queue::new(2);
        assert_eq!(queue.push(Time(0), ticket("a", 5, 0)), None);
        assert_eq!(queue.push(Time(1), ticket("b", 1, 1)), None);
        let shed = queue.push(Time(2), ticket("c", 3, 2)).unwrap();
        assert_eq!(&*shed.caller, "b");
        let shed = queue.push(Time(3), ticket("d", 3, 3)).unwrap();
        assert_eq!(&*shed.caller, "d", "among equals the newest is shed");
    }

    #[test]
    fn among_equals_the_caller_with_most_requests_is_shed() {
        let mut queue = Queue::new(6);
        for i in 0..6 {
            queue.push(Time(i), ticket("early", 3, i));
        }
        for i in 6..9 {
            let shed = queue.push(Time(i), ticket("late", 3, i)).unwrap();
            assert_eq!(&*shed.caller, "early", "until both have as many");
        }
        let mut light = ticket("late", 3, 9);
        light.weight = 1;
        assert_eq!(&*queue.push(Time(9), light).unwrap().caller, "late");
    }

    #[test]
    fn callers_are_served_by_weight() {
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
    fn a_new_caller_gets_no_credit_for_the_past() {
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
