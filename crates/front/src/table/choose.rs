//! Choice of a replica for a request.

use super::adapters::holds_adapter;
use super::pace::Pace;
use super::replica::State;
use super::{Criteria, STEP, Table};
use crate::message::PRIORITY_LEVELS;
use crate::view::Replica;
use platform::config::Engine;
use platform::ingress::Ask;
use platform::replica::Entry;
use route::batch::{self, Candidate};
use std::net::SocketAddr;
use unit::{Name, Span, Time};

/// Steps of an event that may be expected to read as much as is allowed: the prompts of a burst are
/// mostly read in one or two of them. At 2, prompts waited at hosts that replicas could have read.
const FULL_STEPS: f64 = 1.2;

/// Width of the random part of a choice while hosts tell each other within some 10 ms.
const DIRECT_BLUR: Span = Span::from_ms(2);

/// The same while they tell by way of the leader, within some 50 ms: half the time to read a prompt.
const TOLD_BLUR: Span = Span::from_ms(40);

/// Replica chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its identity.
    pub replica: Name,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Expected time to its first token.
    pub first_token: Span,
    /// Whether its prompt can be read there now without a long pause for those that run.
    pub paced: bool,
    /// Whether what is to be read there already holds up those that run for as long as it may.
    pub held_up: bool,
    /// Whether a place was free there.
    pub free: bool,
    /// Whether its adapter is only on replicas with too much to do, and others hold the model.
    pub crowded: bool,
    /// Replicas that could have taken it.
    pub candidates: usize,
    /// Revision of the replica's entry.
    pub revision: u64,
    /// For how long its entry has been missing, if it is: it may be gone.
    pub missing: Option<Span>,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unplaceable {
    /// No replica of the service is there.
    NoReplica,
    /// All replicas of the service that it may go to leave.
    Leaving,
    /// No replica holds the model; it comes in this time, if that is known.
    NoModel(Option<Span>),
    /// The model is there, its adapter is not.
    NoAdapter,
    /// The replicas that could take it cannot be reached at the moment.
    Unreachable,
    /// The replicas that could take it have no room now by their own word: the one where its turn comes first.
    Saturated(Saturated),
}

/// Replica that takes nothing now by its own word.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Saturated {
    /// Time until a request has its turn there.
    pub turn: Span,
    /// The replica.
    pub replica: Name,
    /// Whether it rests, or else names a limit.
    pub rests: bool,
}

/// How far a replica fits a request; the better one is the greater.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    /// It may not have it at all.
    Out,
    /// It is of the service, and leaves.
    Leaving,
    /// It does not hold its model.
    NoModel,
    /// It holds the model without the adapter.
    NoAdapter,
    /// It could take it, and is left alone, since it could not be reached.
    Absent,
    /// It could take it, and has no room now by its own word.
    Full,
    /// It can take it.
    Whole,
}

/// What is the same for all candidates of a request.
struct Terms<'a> {
    want: &'a Criteria<'a>,
    /// Model that the request needs, where the service runs models.
    model: Option<&'a Name>,
    pace: Pace,
    /// Tokens that a replica's memory holds; 0 when it is not limited.
    memory: f64,
    /// Whether other hosts tell their sums directly.
    direct: bool,
    now: Time,
}

impl Table {
    /// Chooses a replica for a request.
    pub fn choose(&mut self, want: &Criteria, now: Time) -> Result<Choice, Unplaceable> {
        let service = self.service(want.service);
        let engine = service.as_ref().and_then(|s| s.engine.as_ref());
        let model = want.ask.model.as_ref().filter(|_| engine.is_some());
        let (mut found, mut beside) = (Vec::new(), Vec::new());
        let mut nearest = Fit::Out;
        let mut first_turn: Option<Saturated> = None;
        for seen in self.view.all() {
            let fit = self.fit(&seen.entry, want, model, now);
            nearest = nearest.max(fit);
            match fit {
                Fit::Whole => found.push(seen),
                Fit::NoAdapter => beside.push(seen),
                Fit::Full => {
                    let full = self.full(&seen.entry, want, now);
                    first_turn = first_turn.into_iter().chain(full).min();
                }
                _ => {}
            }
        }
        if found.is_empty() {
            return Err(match first_turn {
                Some(full) if nearest == Fit::Full => Unplaceable::Saturated(full),
                _ => self.nowhere(nearest, model, now),
            });
        }
        let terms = self.terms(want, model, engine, now);
        let candidates = found.iter().map(|seen| self.candidate(&seen.entry, &terms));
        let candidates: Vec<Candidate> = candidates.collect();
        let ask = batch_ask(want, engine, self.blur(now));
        let is_unheard = |at: &usize| {
            let id = &found[*at].entry.id;
            candidates[*at].is_available(&ask) && self.is_unheard(id, now)
        };
        let unheard = (0..found.len()).find(is_unheard);
        let (at, first_token) = match unheard {
            Some(at) => (at, candidates[at].ttft(&ask)),
            None => {
                batch::choose(&ask, &candidates, &mut self.rng).ok_or(Unplaceable::NoReplica)?
            }
        };
        let takes = |seen: &&Replica| self.candidate(&seen.entry, &terms).is_available(&ask);
        let crowded = !candidates[at].is_available(&ask) && beside.iter().any(takes);
        Ok(Choice {
            replica: found[at].entry.id.clone(),
            addr: found[at].entry.addr,
            first_token,
            paced: candidates[at].fits_prefill_limit(&ask),
            held_up: candidates[at].exceeds_prefill_limit(&ask),
            free: candidates.iter().any(Candidate::has_free_slot),
            crowded,
            candidates: candidates.len(),
            revision: found[at].revision,
            missing: found[at].missing.map(|since| now.since(since)),
        })
    }

    /// What is the same for all candidates of a request.
    fn terms<'a>(
        &self,
        want: &'a Criteria<'a>,
        model: Option<&'a Name>,
        engine: Option<&Engine>,
        now: Time,
    ) -> Terms<'a> {
        Terms {
            want,
            model,
            pace: self.paces.of(want.service, model),
            memory: engine.map_or(0.0, |e| e.tokens as f64),
            direct: self.is_direct(now),
            now,
        }
    }

    /// Width of the random part of a choice, by the age of what other hosts told.
    fn blur(&self, now: Time) -> Span {
        match self.is_direct(now) || self.host_count == 1 {
            true => DIRECT_BLUR,
            false => TOLD_BLUR,
        }
    }

    /// How far a replica fits a request.
    fn fit(&self, entry: &Entry, want: &Criteria, model: Option<&Name>, now: Time) -> Fit {
        if entry.service != *want.service || want.excluded.contains(&entry.id) {
            return Fit::Out;
        }
        if entry.leaving {
            return Fit::Leaving;
        }
        let state = self.replicas.get(&entry.id);
        let reached = state.is_some_and(|s| s.absence.was_reached(now));
        let absent = state.is_some_and(|s| s.absence.holds(now))
            || !reached && self.told.is_absent(&entry.id, now);
        let whole = match absent {
            true => Fit::Absent,
            false if self.full(entry, want, now).is_some() => Fit::Full,
            false => Fit::Whole,
        };
        let Some(model) = model else {
            return whole;
        };
        if !self.holds(entry, model, now) || self.told.closing.has(&entry.id, model, now) {
            return Fit::NoModel;
        }
        let holds = |adapter| holds_adapter(entry, state, model, adapter, now);
        match want.ask.adapter.as_ref().is_none_or(holds) {
            true => whole,
            false => Fit::NoAdapter,
        }
    }

    /// Why a replica has no room now by its own word, if it has none: its rest, or else its limit.
    fn full(&self, entry: &Entry, want: &Criteria, now: Time) -> Option<Saturated> {
        let full = |turn, rests| Saturated {
            turn,
            replica: entry.id.clone(),
            rests,
        };
        let rest = self.rest(&entry.id, entry.incarnation, now);
        if let Some(turn) = rest.and_then(|rest| rest.wait(now)) {
            return Some(full(turn, true));
        }
        let state = self.replicas.get(&entry.id)?;
        Some(full(state.turn(want, now)?, false))
    }

    /// Why no replica can take a request, by the one that fits it best.
    fn nowhere(&self, nearest: Fit, model: Option<&Name>, now: Time) -> Unplaceable {
        match nearest {
            Fit::Out => Unplaceable::NoReplica,
            Fit::Leaving => Unplaceable::Leaving,
            Fit::NoModel => Unplaceable::NoModel(model.and_then(|m| self.told.coming(m, now))),
            Fit::NoAdapter => Unplaceable::NoAdapter,
            Fit::Absent | Fit::Full | Fit::Whole => Unplaceable::Unreachable,
        }
    }

    /// A replica as the choice sees it.
    fn candidate(&self, entry: &Entry, terms: &Terms) -> Candidate {
        let nothing = State::default();
        let state = self.replicas.get(&entry.id).unwrap_or(&nothing);
        let load = state.load(terms.now, terms.direct);
        let (model, ask) = (terms.model, terms.want.ask);
        let kept = model.map_or(0, |m| state.kept(m, ask));
        let rank = rank(terms.want.priority);
        Candidate {
            slots: entry.slots,
            in_flight: f64::from(load.requests),
            prefill_ahead: ms(load.prefill_ms[..=rank].iter().sum()),
            prefill_backlog: ms(load.prefill_ms.iter().sum()),
            prefill: terms.pace.reading(model, ask, kept),
            reserved_tokens: f64::from(load.reserved_tokens),
            token_capacity: terms.memory,
            decode: terms.pace.run,
            same_hall: entry.hall == self.hall,
            failure_rate: state.failing.at(terms.now),
            stall_rate: state.lagging.at(terms.now),
        }
    }
}

/// What a request asks of a batch.
fn batch_ask(want: &Criteria, engine: Option<&Engine>, blur: Span) -> batch::Request {
    let stride = engine.map_or(1, |e| e.stride);
    batch::Request {
        tokens: tokens(want.ask) as f64,
        prefill_limit: want.max_gap.map(|gap| step_pace(gap, stride)),
        jitter: blur,
    }
}

/// Tokens that a request needs of a replica's memory.
pub(super) fn tokens(ask: &Ask) -> u64 {
    ask.prompt + ask.hinted_output.unwrap_or(ask.most_output)
}

/// Time of reading that may stand before the streams of a replica in one step.
///
/// An event holds `stride` tokens, which take a step each; some of these steps read prompts.
fn step_pace(gap: Span, stride: u32) -> Span {
    let steps = f64::from(stride.max(1));
    gap.saturating_sub(STEP * steps) * (1.0 / steps.min(FULL_STEPS))
}

/// Span of so many milliseconds.
fn ms(ms: f32) -> Span {
    Span((f64::from(ms) * 1e3) as u64)
}

/// Rank of urgency that a priority belongs to.
pub(super) fn rank(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
