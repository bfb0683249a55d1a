//! Choice of a replica for a request.

use super::adapters::holds_adapter;
use super::pace::Pace;
use super::replica::State;
use super::{Criteria, DECODE_STEP, Table};
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
const MAX_PREFILL_STEPS: f64 = 1.2;

/// Width of the random part of a choice while hosts tell each other within some 10 ms.
const DIRECT_JITTER: Span = Span::from_ms(2);

/// The same while they tell by way of the leader, within some 50 ms: half the time to read a prompt.
const RELAYED_JITTER: Span = Span::from_ms(40);

/// Replica chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its identity.
    pub replica: Name,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Expected time to its first token.
    pub ttft: Span,
    /// Whether its prompt can be read there now without a long pause for those that run.
    pub fits_prefill_limit: bool,
    /// Whether what is to be read there already holds up those that run for as long as it may.
    pub exceeds_prefill_limit: bool,
    /// Whether a place was free there.
    pub has_free_slot: bool,
    /// Whether its adapter is only on replicas with too much to do, and others hold the model.
    pub adapter_replicas_busy: bool,
    /// Replicas that could have taken it.
    pub candidate_count: usize,
    /// Revision of the replica's entry.
    pub revision: u64,
    /// For how long its entry has been missing, if it is: it may be gone.
    pub missing_for: Option<Span>,
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
    Saturated(Saturation),
}

/// Replica that takes nothing now by its own word.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Saturation {
    /// Time until a request has its turn there.
    pub wait: Span,
    /// The replica.
    pub replica: Name,
    /// Whether it rests, or else names a limit.
    pub is_backing_off: bool,
}

/// How far a replica fits a request; the better one is the greater.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    /// It may not have it at all.
    Excluded,
    /// It is of the service, and leaves.
    Leaving,
    /// It does not hold its model.
    NoModel,
    /// It holds the model without the adapter.
    NoAdapter,
    /// It could take it, and is left alone, since it could not be reached.
    Unreachable,
    /// It could take it, and has no room now by its own word.
    Saturated,
    /// It can take it.
    Eligible,
}

/// What is the same for all candidates of a request.
struct Terms<'a> {
    criteria: &'a Criteria<'a>,
    /// Model that the request needs, where the service runs models.
    model: Option<&'a Name>,
    pace: Pace,
    /// Tokens that a replica's memory holds; 0 when it is not limited.
    token_capacity: f64,
    /// Whether other hosts tell their sums directly.
    uses_direct_loads: bool,
    now: Time,
}

impl Table {
    /// Chooses a replica for a request.
    pub fn choose(&mut self, criteria: &Criteria, now: Time) -> Result<Choice, Unplaceable> {
        let service = self.service(criteria.service);
        let engine = service.as_ref().and_then(|s| s.engine.as_ref());
        let model = criteria.ask.model.as_ref().filter(|_| engine.is_some());
        let (mut eligible, mut without_adapter) = (Vec::new(), Vec::new());
        let mut best_fit = Fit::Excluded;
        let mut shortest_wait: Option<Saturation> = None;
        for seen in self.view.all() {
            let fit = self.fit(&seen.entry, criteria, model, now);
            best_fit = best_fit.max(fit);
            match fit {
                Fit::Eligible => eligible.push(seen),
                Fit::NoAdapter => without_adapter.push(seen),
                Fit::Saturated => {
                    let saturation = self.saturation(&seen.entry, criteria, now);
                    shortest_wait = shortest_wait.into_iter().chain(saturation).min();
                }
                _ => {}
            }
        }
        if eligible.is_empty() {
            return Err(match shortest_wait {
                Some(saturation) if best_fit == Fit::Saturated => {
                    Unplaceable::Saturated(saturation)
                }
                _ => self.unplaceable(best_fit, model, now),
            });
        }
        let terms = self.terms(criteria, model, engine, now);
        let candidates = eligible
            .iter()
            .map(|seen| self.candidate(&seen.entry, &terms));
        let candidates: Vec<Candidate> = candidates.collect();
        let ask = batch_request(criteria, engine, self.jitter(now));
        let needs_probe = |at: &usize| {
            let id = &eligible[*at].entry.id;
            candidates[*at].is_available(&ask) && self.needs_probe(id, now)
        };
        let probe = (0..eligible.len()).find(needs_probe);
        let (at, ttft) = match probe {
            Some(at) => (at, candidates[at].ttft(&ask)),
            None => {
                batch::choose(&ask, &candidates, &mut self.rng).ok_or(Unplaceable::NoReplica)?
            }
        };
        let takes = |seen: &&Replica| self.candidate(&seen.entry, &terms).is_available(&ask);
        let adapter_replicas_busy =
            !candidates[at].is_available(&ask) && without_adapter.iter().any(takes);
        Ok(Choice {
            replica: eligible[at].entry.id.clone(),
            addr: eligible[at].entry.addr,
            ttft,
            fits_prefill_limit: candidates[at].fits_prefill_limit(&ask),
            exceeds_prefill_limit: candidates[at].exceeds_prefill_limit(&ask),
            has_free_slot: candidates.iter().any(Candidate::has_free_slot),
            adapter_replicas_busy,
            candidate_count: candidates.len(),
            revision: eligible[at].revision,
            missing_for: eligible[at].missing_since.map(|since| now.since(since)),
        })
    }

    /// What is the same for all candidates of a request.
    fn terms<'a>(
        &self,
        criteria: &'a Criteria<'a>,
        model: Option<&'a Name>,
        engine: Option<&Engine>,
        now: Time,
    ) -> Terms<'a> {
        Terms {
            criteria,
            model,
            pace: self.paces.get(criteria.service, model),
            token_capacity: engine.map_or(0.0, |e| e.tokens as f64),
            uses_direct_loads: self.is_direct(now),
            now,
        }
    }

    /// Width of the random part of a choice, by the age of what other hosts told.
    fn jitter(&self, now: Time) -> Span {
        match self.is_direct(now) || self.host_count == 1 {
            true => DIRECT_JITTER,
            false => RELAYED_JITTER,
        }
    }

    /// How far a replica fits a request.
    fn fit(&self, entry: &Entry, criteria: &Criteria, model: Option<&Name>, now: Time) -> Fit {
        if entry.service != *criteria.service || criteria.excluded.contains(&entry.id) {
            return Fit::Excluded;
        }
        if entry.leaving {
            return Fit::Leaving;
        }
        let state = self.replicas.get(&entry.id);
        let reached = state.is_some_and(|s| s.reachability.was_reached(now));
        let absent = state.is_some_and(|s| s.reachability.is_avoided(now))
            || !reached && self.plans.is_unreachable(&entry.id, now);
        let whole = match absent {
            true => Fit::Unreachable,
            false if self.saturation(entry, criteria, now).is_some() => Fit::Saturated,
            false => Fit::Eligible,
        };
        let Some(model) = model else {
            return whole;
        };
        if !self.holds_model(entry, model, now)
            || self.plans.unloading.contains(&entry.id, model, now)
        {
            return Fit::NoModel;
        }
        let holds = |adapter| holds_adapter(entry, state, model, adapter, now);
        match criteria.ask.adapter.as_ref().is_none_or(holds) {
            true => whole,
            false => Fit::NoAdapter,
        }
    }

    /// Why a replica has no room now by its own word, if it has none: its rest, or else its limit.
    fn saturation(&self, entry: &Entry, criteria: &Criteria, now: Time) -> Option<Saturation> {
        let saturation = |wait, is_backing_off| Saturation {
            wait,
            replica: entry.id.clone(),
            is_backing_off,
        };
        let backoff = self.backoff(&entry.id, entry.incarnation, now);
        if let Some(wait) = backoff.and_then(|backoff| backoff.wait(now)) {
            return Some(saturation(wait, true));
        }
        let state = self.replicas.get(&entry.id)?;
        Some(saturation(state.limit_wait(criteria, now)?, false))
    }

    /// Why no replica can take a request, by the one that fits it best.
    fn unplaceable(&self, best_fit: Fit, model: Option<&Name>, now: Time) -> Unplaceable {
        match best_fit {
            Fit::Excluded => Unplaceable::NoReplica,
            Fit::Leaving => Unplaceable::Leaving,
            Fit::NoModel => Unplaceable::NoModel(model.and_then(|m| self.plans.model_eta(m, now))),
            Fit::NoAdapter => Unplaceable::NoAdapter,
            Fit::Unreachable | Fit::Saturated | Fit::Eligible => Unplaceable::Unreachable,
        }
    }

    /// A replica as the choice sees it.
    fn candidate(&self, entry: &Entry, terms: &Terms) -> Candidate {
        let nothing = State::default();
        let state = self.replicas.get(&entry.id).unwrap_or(&nothing);
        let load = state.total_load(terms.now, terms.uses_direct_loads);
        let (model, ask) = (terms.model, terms.criteria.ask);
        let kept = model.map_or(0, |m| state.cached_tokens(m, ask));
        let level = priority_level(terms.criteria.priority);
        Candidate {
            slots: entry.slots,
            in_flight: f64::from(load.requests),
            prefill_ahead: ms(load.prefill_ms[..=level].iter().sum()),
            prefill_backlog: ms(load.prefill_ms.iter().sum()),
            prefill: terms.pace.prefill(model, ask, kept),
            reserved_tokens: f64::from(load.reserved_tokens),
            token_capacity: terms.token_capacity,
            decode: terms.pace.decode,
            same_hall: entry.hall == self.hall,
            failure_rate: state.failure_rate.current(terms.now),
            stall_rate: state.stall_rate.current(terms.now),
        }
    }
}

/// What a request asks of a batch.
fn batch_request(criteria: &Criteria, engine: Option<&Engine>, jitter: Span) -> batch::Request {
    let stride = engine.map_or(1, |e| e.stride);
    batch::Request {
        tokens: max_tokens(criteria.ask) as f64,
        prefill_limit: criteria.max_gap.map(|gap| prefill_limit(gap, stride)),
        jitter: jitter,
    }
}

/// Tokens that a request needs of a replica's memory.
pub(super) fn max_tokens(ask: &Ask) -> u64 {
    ask.prompt + ask.hinted_output.unwrap_or(ask.most_output)
}

/// Time of reading that may stand before the streams of a replica in one step.
///
/// An event holds `stride` tokens, which take a step each; some of these steps read prompts.
fn prefill_limit(gap: Span, stride: u32) -> Span {
    let steps = f64::from(stride.max(1));
    gap.saturating_sub(DECODE_STEP * steps) * (1.0 / steps.min(MAX_PREFILL_STEPS))
}

/// Span of so many milliseconds.
fn ms(ms: f32) -> Span {
    Span((f64::from(ms) * 1e3) as u64)
}

/// Rank of urgency that a priority belongs to.
pub(super) fn priority_level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
