//! Choice of the host that a request is passed on to, by a host without paths to the replicas.
//!
//! The leader lists hosts with paths and the requests that each still takes. Many hosts choose by the same list, so
//! the choice is random, weighted by room, and what a host sent since is taken off.

use rand::RngExt;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use unit::{Name, Span, Time};

/// Time for which a list is used: a leader that dies is replaced within it.
const LIST_VALID_FOR: Span = Span::from_ms(10_000);

/// Time for which a host is passed over after it could not be reached; doubled after each further failure.
const MIN_AVOIDANCE: Span = Span::from_ms(300);
const MAX_AVOIDANCE: Span = Span::from_ms(2_400);

/// Time for which a host is passed over after it had no room.
const FULL_AVOIDANCE: Span = Span::from_ms(250);

/// Host that takes requests of other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Address where it answers other hosts.
    pub addr: SocketAddr,
    pub hall: Name,
    /// Requests that it takes beyond those that it has.
    pub room: u16,
}

/// What this host experienced with another one.
#[derive(Debug, Clone, Copy, Default)]
struct Experience {
    /// Consecutive failures.
    failures: u32,
    /// Time until which it is passed over.
    avoid_until: Time,
    /// Requests passed on to it since the last list.
    sent: u32,
}

/// Hosts that requests can be passed on to.
#[derive(Debug, Default)]
pub struct Hosts {
    listed: Vec<Candidate>,
    listed_at: Time,
    experience: HashMap<SocketAddr, Experience>,
}

impl Hosts {
    /// Replaces the list.
    pub fn assign(&mut self, listed: Vec<Candidate>, now: Time) {
        self.experience
            .retain(|addr, e| e.avoid_until > now || listed.iter().any(|c| c.addr == *addr));
        for experience in self.experience.values_mut() {
            experience.sent = 0;
        }
        self.listed = listed;
        self.listed_at = now;
    }

    /// Chooses a host for a request, in `hall` if one there has room, and counts the request there.
    pub fn choose(
        &mut self,
        hall: &str,
        excluded: &[SocketAddr],
        rng: &mut SmallRng,
        now: Time,
    ) -> Option<SocketAddr> {
        let own: Vec<_> = self
            .weights(excluded, now)
            .filter(|(c, _)| *c.hall == *hall)
            .collect();
        let all = || self.weights(excluded, now).collect();
        let addr = draw(own, rng).or_else(|| draw(all(), rng))?;
        self.experience.entry(addr).or_default().sent += 1;
        Some(addr)
    }

    /// Whether any host takes a request now.
    pub fn has_room(&self, now: Time) -> bool {
        self.weights(&[], now).next().is_some()
    }

    /// Whether the current list names a host.
    pub fn is_listed(&self, addr: SocketAddr, now: Time) -> bool {
        self.is_valid(now) && self.listed.iter().any(|c| c.addr == addr)
    }

    /// Records that a host could not be reached, or that its connection broke.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Time) {
        let experience = self.experience.entry(addr).or_default();
        let pause = MIN_AVOIDANCE * f64::from(1u32 << experience.failures.min(8));
        experience.avoid_until = now + pause.min(MAX_AVOIDANCE);
        experience.failures += 1;
    }

    /// Records that a host took no request.
    pub fn record_full(&mut self, addr: SocketAddr, now: Time) {
        let experience = self.experience.entry(addr).or_default();
        experience.avoid_until = experience.avoid_until.max(now + FULL_AVOIDANCE);
    }

    /// Records that a host answered.
    pub fn record_answer(&mut self, addr: SocketAddr) {
        if let Some(experience) = self.experience.get_mut(&addr) {
            experience.failures = 0;
        }
    }

    fn is_valid(&self, now: Time) -> bool {
        now.since(self.listed_at) < LIST_VALID_FOR
    }

    /// Hosts that take a request now, with the room that is left.
    fn weights<'a>(
        &'a self,
        excluded: &'a [SocketAddr],
        now: Time,
    ) -> impl Iterator<Item = (&'a Candidate, u32)> {
        let is_valid = self.is_valid(now);
        let weight = move |candidate: &'a Candidate| {
            let experience = self.experience.get(&candidate.addr);
            let experience = experience.copied().unwrap_or_default();
            let is_usable =
                is_valid && now >= experience.avoid_until && !excluded.contains(&candidate.addr);
            let room = u32::from(candidate.room).saturating_sub(experience.sent);
            (is_usable && room > 0).then_some((candidate, room))
        };
        self.listed.iter().filter_map(weight)
    }
}

/// Draws a host at random by weight.
fn draw(weights: Vec<(&Candidate, u32)>, rng: &mut SmallRng) -> Option<SocketAddr> {
    let total: u32 = weights.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut left = rng.random_range(0..total);
    let drawn = weights.into_iter().find(|(_, weight)| {
        let is_drawn = left < *weight;
        left = left.saturating_sub(*weight);
        is_drawn
    });
    drawn.map(|(candidate, _)| candidate.addr)
}
