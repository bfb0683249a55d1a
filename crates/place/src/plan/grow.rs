//! Growth: another replica where demand overloads those there are, if it is worth the moves.

use super::floor;
use super::tick::{Need, Tick, Want};
use crate::share::{self, Flow};
use std::collections::BTreeMap;
use unit::Name;

/// Work of an upstream, in shares of its capacity, above which requests miss their targets.
const FULL: f64 = 0.75;

/// Time over which a move must earn what it costs, in seconds.
const HORIZON: f64 = 60.0;

/// Requests that must be saved to be worth one move, at equal weights.
const MOVE_COST: f64 = 5.0;

/// Replicas added in one tick at the most.
const MOST_PER_TICK: usize = 4;

/// Weight of one rank of priority in the worth of a request.
const PER_PRIORITY: f64 = 0.2;

/// Replica that could be added.
struct Offer<'a> {
    want: &'a Want,
    at: usize,
    evictions: usize,
    worth: f64,
    relief: f64,
    level: f64,
}

/// Adds the replicas that are worth most.
pub(super) fn grow(tick: &mut Tick) {
    for _ in 0..MOST_PER_TICK {
        if !tick.may_start() {
            return;
        }
        let work = work(tick);
        let Some(offer) = best(tick, &work) else {
            return;
        };
        if !take(tick, &offer) {
            return;
        }
    }
}

fn need(tick: &Tick, model: &Name) -> Need {
    tick.s.needs.get(model).copied().unwrap_or_default()
}

/// Upstreams that hold or are getting a model.
fn places(tick: &Tick, model: &Name) -> Vec<usize> {
    let ready = tick.ready(model).into_iter().map(|(at, _)| at);
    let mut places: Vec<usize> = ready
        .chain(tick.coming(model).iter().map(|(at, _)| *at))
        .collect();
    places.sort_unstable();
    places.dedup();
    places
}

/// Work of each upstream when demand spreads over what is there or on its way.
fn work(tick: &Tick) -> Vec<f64> {
    let flows: Vec<Flow> = tick
        .s
        .wants
        .iter()
        .map(|want| {
            let need = need(tick, &want.model);
            Flow {
                work: need.rate * need.work,
                at: places(tick, &want.model),
            }
        })
        .collect();
    share::spread(&flows, tick.s.fleet.upstreams.len())
}

/// The offer that earns most beyond its cost.
fn best<'a>(tick: &Tick<'a>, work: &[f64]) -> Option<Offer<'a>> {
    let usable = tick.usable();
    let mut evictions: BTreeMap<(usize, u64), Option<usize>> = BTreeMap::new();
    let mut best: Option<Offer> = None;
    for want in tick.s.wants {
        let need = need(tick, &want.model);
        let at = places(tick, &want.model);
        let level = at.iter().map(|u| work[*u]).fold(f64::INFINITY, f64::min);
        if need.rate <= 0.0 || at.is_empty() || level <= FULL {
            continue;
        }
        for u in &usable {
            if at.contains(u) || work[*u] >= level {
                continue;
            }
            let offer = weigh(tick, want, need, &at, level, *u, work[*u], &mut evictions);
            if let Some(offer) = offer
                && best.as_ref().is_none_or(|b| offer.worth > b.worth)
            {
                best = Some(offer);
            }
        }
    }
    best
}

#[expect(clippy::too_many_arguments, reason = "one row of a table, used once")]
fn weigh<'a>(
    tick: &Tick<'a>,
    want: &'a Want,
    need: Need,
    at: &[usize],
    level: f64,
    u: usize,
    there: f64,
    evictions: &mut BTreeMap<(usize, u64), Option<usize>>,
) -> Option<Offer<'a>> {
    let replicas = at.len() as f64;
    let after = (level * replicas + there) / (replicas + 1.0);
    let over = |l: f64| (l - FULL).max(0.0);
    let relief =
        (over(level) * replicas - over(after) * (replicas + 1.0)).min(need.rate * need.work);
    let relief = relief / need.work.max(1e-9);
    let evictions = *evictions
        .entry((u, want.whole().0))
        .or_insert_with(|| evicted(tick, u, want));
    let moves = 1 + evictions?;
    let rank = 1.0 + f64::from(want.priority) * PER_PRIORITY;
    let earned = tick.s.attainment * rank * relief * HORIZON;
    let cost = tick.s.moves * MOVE_COST * moves as f64;
    (earned > cost).then_some(Offer {
        want,
        at: u,
        evictions: moves - 1,
        worth: earned - cost,
        relief,
        level,
    })
}

/// Replicas that must go for a load at an upstream; none when it cannot have room.
fn evicted(tick: &Tick, at: usize, want: &Want) -> Option<usize> {
    if tick.free(at) >= want.whole() {
        return Some(0);
    }
    floor::enough(tick, at, want.whole()).map(|chosen| chosen.len())
}

fn take(tick: &mut Tick, offer: &Offer) -> bool {
    let want = offer.want;
    if offer.evictions > 0 {
        // The load follows in a later tick, when a report shows the room.
        floor::make_room(tick, want);
        return false;
    }
    let reason = format!(
        "Replicas of {} are filled to {:.0} in 100; another relieves {:.1} requests a second.",
        want.model,
        offer.level * 100.0,
        offer.relief
    );
    tick.load(offer.at, want.weights(), want.memory, reason)
}
