//! Choice of a replica for a request.

use super::loads::LoadSource;
use super::pace::Pace;
use super::pauses::Terms;
use super::replica::State;
use super::{Criteria, Table};
use crate::message::PRIORITY_LEVELS;
use crate::view::Replica;
use platform::config::Engine;
use platform::ingress::Metadata;
use platform::replica::Entry;
use route::batch::{self, Candidate};
use route::pause::Forecast;
use std::net::SocketAddr;
use unit::{Name, Span, Time};

/// Steps of one event over which the prefill allowed between two events may be spread: the prompts of a burst are mostly
/// prefilled in one or two steps. With more, prompts wait at hosts although replicas could prefill them.
const MAX_PREFILL_STEPS: f64 = 1.2;

/// Width of the random part of a candidate's cost while hosts exchange loads directly, some 10 ms
/// old.
const DIRECT_JITTER: Span = Span::from_ms(2);

/// Width of the random part of a candidate's cost while loads come by way of the leader, some 50 ms
/// old.
const RELAYED_JITTER: Span = Span::from_ms(40);

/// Replica chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Identity of the replica.
    pub replica: Name,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Version of its software.
    pub software: Name,
    /// Expected time to first token.
    pub ttft: Span,
    /// Whether the prompt can be prefilled now without stalling the streams that run there.
    pub fits_prefill_limit: bool,
    /// Whether the prompts that wait there already stall the running streams for as long as is
    /// allowed.
    pub exceeds_prefill_limit: bool,
    /// Whether any candidate has a free slot.
    pub has_free_slot: bool,
    /// Whether the replicas with the adapter are busy while one that holds only the model is not.
    pub adapter_replicas_busy: bool,
    /// What the prompt is expected to cost the streams that run there, if pauses are expected by replica.
    pub pause: Option<Forecast>,
    /// Replicas that were eligible.
    pub candidate_count: usize,
    /// Revision of the replica's entry.
    pub revision: u64,
    /// How long the replica's entry has been missing from the store, if it is.
    pub missing_for: Option<Span>,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unplaceable {
    /// The service has no replica.
    NoReplica,
    /// No replica runs the software that the stream needs.
    OtherSoftware,
    /// All replicas of the service are leaving.
    Leaving,
    /// No replica holds the model; the time until one is expected to, if known.
    NoModel(Option<Span>),
    /// A replica holds the model, but none holds the adapter.
    NoAdapter,
    /// The replicas that hold what is needed cannot be reached.
    Unreachable(Witnesses),
    /// The replicas that hold what is needed take no requests now; the one with the shortest wait.
    Saturated(Saturation),
}

/// Who could not reach the replicas that hold what a request needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Witnesses {
    /// Replicas that only this host failed to reach.
    pub own: usize,
    /// Replicas that other hosts failed to reach too.
    pub confirmed: usize,
}

/// Replica that takes no request now: it asked for a backoff, or its rate limit is used up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Saturation {
    /// Time until it takes one.
    pub wait: Span,
    /// Identity of the replica.
    pub replica: Name,
    /// Whether a backoff is the reason, or else the rate limit.
    pub is_backing_off: bool,
}

/// How well a replica fits a request, worst first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    /// Of another service, or excluded.
    Excluded,
    /// Runs other software than the stream needs.
    OtherSoftware,
    /// Leaving.
    Leaving,
    /// Does not hold the model.
    NoModel,
    /// Holds the model, but not the adapter.
    NoAdapter,
    /// Holds what is needed, but cannot be reached.
    Unreachable,
    /// Holds what is needed, but takes no request now.
    Saturated,
    /// Can take the request.
    Eligible,
}

/// Inputs of the choice that are the same for all candidates.
pub(super) struct Inputs<'a> {
    pub(super) criteria: &'a Criteria<'a>,
    /// Model that the request needs, if the service runs models.
    pub(super) model: Option<&'a Name>,
    pace: Pace,
    /// Terms of the service's streams, if pauses are expected by replica.
    pub(super) pause_terms: Option<Terms>,
    /// Tokens that a replica's KV cache holds; 0 when it is not limited.
    token_capacity: f64,
    /// What the loads of other hosts are taken from.
    load_source: LoadSource,
    now: Time,
}

impl Table {
    /// Chooses a replica for a request: one that is due to be probed, or else the cheapest.
    pub fn choose(&mut self, criteria: &Criteria, now: Time) -> Result<Choice, Unplaceable> {
        self.seen_at = now;
        let service = self.service(criteria.service);
        let engine = service.as_ref().and_then(|s| s.engine.as_ref());
        let model = criteria.ask.model.as_ref().filter(|_| engine.is_some());
        let (mut eligible, mut without_adapter) = (Vec::new(), Vec::new());
        let mut reported = Vec::new();
        let mut best_fit = Fit::Excluded;
        let mut shortest_wait: Option<Saturation> = None;
        let mut witnesses = Witnesses::default();
        for replica in self.view.all() {
            let fit = self.fit(&replica.entry, criteria, model, now);
            best_fit = best_fit.max(fit);
            match fit {
                Fit::Eligible => eligible.push(replica),
                Fit::NoAdapter => without_adapter.push(replica),
                Fit::Saturated => {
                    let saturation = self.saturation(&replica.entry, criteria, now);
                    shortest_wait = shortest_wait.into_iter().chain(saturation).min();
                }
                Fit::Unreachable if !self.is_avoided(&replica.entry.id, now) => {
                    reported.push(replica);
                }
                Fit::Unreachable if self.is_reported_unreachable(&replica.entry.id, now) => {
                    witnesses.confirmed += 1;
                }
                Fit::Unreachable => witnesses.own += 1,
                _ => {}
            }
        }
        if eligible.is_empty() {
            // Reports of others are no reason to refuse a request.
            eligible = reported;
        }
        if eligible.is_empty() {
            return Err(match shortest_wait {
                Some(saturation) if best_fit == Fit::Saturated => {
                    Unplaceable::Saturated(saturation)
                }
                _ => self.unplaceable(best_fit, witnesses, model, now),
            });
        }
        let inputs = self.inputs(criteria, model, engine, now);
        let candidates = eligible
            .iter()
            .map(|replica| self.candidate(&replica.entry, &inputs));
        let mut candidates: Vec<Candidate> = candidates.collect();
        let entries: Vec<&Entry> = eligible.iter().map(|r| &r.entry).collect();
        self.divide(&entries, &mut candidates, &inputs);
        let step = self.model_step(criteria.service, model, now);
        let request = batch_request(criteria, engine, step, self.jitter(now));
        let is_probe_due = |index: &usize| {
            let id = &eligible[*index].entry.id;
            candidates[*index].is_available(&request) && self.needs_probe(id, now)
        };
        let probe = (0..eligible.len()).find(is_probe_due);
        let (index, ttft) = match probe {
            Some(index) => (index, candidates[index].ttft(&request)),
            None => {
                batch::choose(&request, &candidates, &mut self.rng).ok_or(Unplaceable::NoReplica)?
            }
        };
        let is_available = |replica: &&Replica| {
            self.candidate(&replica.entry, &inputs)
                .is_available(&request)
        };
        let adapter_replicas_busy =
            !candidates[index].is_available(&request) && without_adapter.iter().any(is_available);
        Ok(Choice {
            replica: eligible[index].entry.id.clone(),
            addr: eligible[index].entry.addr,
            software: eligible[index].entry.software.clone(),
            ttft,
            fits_prefill_limit: candidates[index].fits_prefill_limit(&request),
            exceeds_prefill_limit: candidates[index].exceeds_prefill_limit(&request),
            has_free_slot: candidates.iter().any(Candidate::has_free_slot),
            adapter_replicas_busy,
            pause: candidates[index].pause_forecast(),
            candidate_count: candidates.len(),
            revision: eligible[index].revision,
            missing_for: eligible[index].missing_since.map(|since| now.since(since)),
        })
    }

    /// Collects the inputs that are the same for all candidates.
    fn inputs<'a>(
        &self,
        criteria: &'a Criteria<'a>,
        model: Option<&'a Name>,
        engine: Option<&Engine>,
        now: Time,
    ) -> Inputs<'a> {
        Inputs {
            criteria,
            model,
            pace: self.model_pace(criteria.service, model),
            pause_terms: self.pause_terms(criteria.service),
            token_capacity: engine.map_or(0.0, |e| e.token_capacity as f64),
            load_source: self.load_source(now),
            now,
        }
    }

    /// Width of the random part of a candidate's cost, by the age of the loads known from other
    /// hosts.
    fn jitter(&self, now: Time) -> Span {
        match self.has_direct_loads(now) || self.host_count == 1 {
            true => DIRECT_JITTER,
            false => RELAYED_JITTER,
        }
    }

    /// How well a replica fits a request.
    fn fit(&self, entry: &Entry, criteria: &Criteria, model: Option<&Name>, now: Time) -> Fit {
        if entry.service != *criteria.service || criteria.excluded.contains(&entry.id) {
            return Fit::Excluded;
        }
        if !criteria.allows_software(entry) {
            return Fit::OtherSoftware;
        }
        if entry.leaving {
            return Fit::Leaving;
        }
        let fit = match self.is_unreachable(&entry.id, now) {
            true => Fit::Unreachable,
            false if self.saturation(entry, criteria, now).is_some() => Fit::Saturated,
            false => Fit::Eligible,
        };
        let Some(model) = model else {
            return fit;
        };
        if !self.holds_model(entry, model, now) || self.is_unloading(&entry.id, model, now) {
            return Fit::NoModel;
        }
        let holds = |adapter| self.holds_adapter(entry, model, adapter, now);
        match criteria.ask.adapter.as_ref().is_none_or(holds) {
            true => fit,
            false => Fit::NoAdapter,
        }
    }

    /// Whether requests avoid a replica because this host, or several others, could not reach it.
    pub(super) fn is_unreachable(&self, id: &str, now: Time) -> bool {
        let state = self.replicas.get(id);
        let was_reached = state.is_some_and(|s| s.reachability.was_reached(now));
        self.is_avoided(id, now) || !was_reached && self.is_reported_unreachable(id, now)
    }

    /// Whether requests avoid a replica because this host could not reach it.
    fn is_avoided(&self, id: &str, now: Time) -> bool {
        let state = self.replicas.get(id);
        state.is_some_and(|s| s.reachability.is_avoided(now))
    }

    /// Why a replica takes no request now, if it does not: its backoff, or else its rate limit.
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
        if let Some(wait) = self.full_wait(&entry.id, now) {
            return Some(saturation(wait, false));
        }
        let state = self.replicas.get(&entry.id)?;
        Some(saturation(state.limit_wait(criteria, now)?, false))
    }

    /// Reason why no replica is eligible, by the one that fits best.
    fn unplaceable(
        &self,
        best_fit: Fit,
        witnesses: Witnesses,
        model: Option<&Name>,
        now: Time,
    ) -> Unplaceable {
        match best_fit {
            Fit::Excluded => Unplaceable::NoReplica,
            Fit::OtherSoftware => Unplaceable::OtherSoftware,
            Fit::Leaving => Unplaceable::Leaving,
            Fit::NoModel => {
                Unplaceable::NoModel(model.and_then(|m| self.planner_status.model_eta(m, now)))
            }
            Fit::NoAdapter => Unplaceable::NoAdapter,
            Fit::Unreachable | Fit::Saturated | Fit::Eligible => {
                Unplaceable::Unreachable(witnesses)
            }
        }
    }

    /// Candidate for the choice, from a replica's entry and state.
    fn candidate(&self, entry: &Entry, inputs: &Inputs) -> Candidate {
        let default = State::default();
        let state = self.replicas.get(&entry.id).unwrap_or(&default);
        let load = state.total_load(inputs.now, inputs.load_source);
        let (model, metadata) = (inputs.model, inputs.criteria.ask);
        let cached = model.map_or(0, |m| state.cached_tokens(m, metadata));
        let level = priority_level(inputs.criteria.priority);
        let factor = self.replica_factor(&entry.id, inputs.now);
        let left = |prefill_ms| self.prefill_left(&entry.id, state, prefill_ms, inputs.now);
        let in_flight = f64::from(load.requests);
        let backlog = left(load.prefill_ms.iter().sum());
        Candidate {
            slots: entry.slots,
            in_flight,
            prefill_ahead: left(load.prefill_ms[..=level].iter().sum()),
            prefill_backlog: backlog,
            prefill: inputs.pace.prefill(model, metadata, cached) * (1.0 / factor),
            reserved_tokens: f64::from(load.reserved_tokens),
            token_capacity: inputs.token_capacity,
            decode: inputs.pace.decode * (1.0 / factor),
            same_hall: entry.hall == self.hall,
            failure_rate: state.failure_rate.current(inputs.now),
            stall_rate: state.stall_rate.current(inputs.now),
            beside: self.batch_at(&entry.id, inputs, in_flight, backlog),
            division: Span::ZERO,
        }
    }
}

/// What a request needs of a batch.
fn batch_request(
    criteria: &Criteria,
    engine: Option<&Engine>,
    step: Span,
    jitter: Span,
) -> batch::Request {
    let stride = engine.map_or(1, |e| e.tokens_per_event);
    batch::Request {
        tokens: max_tokens(criteria.ask) as f64,
        prefill_limit: criteria.max_gap.map(|gap| prefill_limit(gap, stride, step)),
        jitter,
    }
}

/// Most tokens of the KV cache that a request needs.
pub(super) fn max_tokens(metadata: &Metadata) -> u64 {
    metadata.prompt_tokens + metadata.output_hint.unwrap_or(metadata.max_output_tokens)
}

/// Time that a replica may spend on prefill in one step without delaying events by more than `gap`.
///
/// An event holds `stride` tokens, one a decode step; prefill is spread over some of these steps.
fn prefill_limit(gap: Span, stride: u32, step: Span) -> Span {
    let steps = f64::from(stride.max(1));
    gap.saturating_sub(step * steps) * (1.0 / steps.min(MAX_PREFILL_STEPS))
}

/// Priority level under which a priority is counted; the last level takes all that are less urgent.
pub(super) fn priority_level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}
