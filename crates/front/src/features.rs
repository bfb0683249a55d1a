//! Optional parts of scheduling that a service's configuration calls for.
//!
//! The settings can switch each part on or off for all services; by default the configuration decides.

use crate::settings::{Mode, Scheduling};
use platform::config::{Engine, Service};
use unit::Span;

/// Tokens of a replica's KV cache per batch slot from which prompts count as long: one takes a third of a second to
/// prefill.
const LONG_PROMPT_TOKENS: f64 = 5_000.0;

/// Prefill speed, in tokens per millisecond, that a service is judged by before any is measured. Typical of one
/// accelerator with a model of 70 GB.
const ASSUMED_SPEED: f64 = 15.0;

/// Hosts per place of a plain service from which its places are few: a host that chooses alone then knows of hardly
/// any of the requests that compete for them.
const HOSTS_PER_PLACE: f64 = 2.0;

/// Optional parts of scheduling in use for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Features {
    pub replica_speeds: bool,
    pub pause_limits: bool,
    pub waiting_room: bool,
    pub dispatch: bool,
    pub early_copies: bool,
    pub evict_idle_models: bool,
}

/// Size of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Size {
    /// Batch slots over all its replicas.
    pub places: u32,
    /// Hosts that send to it.
    pub hosts: usize,
}

/// Parts in use for a service whose routes allow streams to pause for `max_pause`, if they bound it.
pub fn of(
    service: &Service,
    max_pause: Option<Span>,
    size: Size,
    scheduling: &Scheduling,
) -> Features {
    let engine = service.engine.as_ref();
    let has_long_prompts = engine.is_some_and(|e| has_long_prompts(e, max_pause));
    let has_few_places = service.engine.is_none() && has_few_places(size);
    Features {
        replica_speeds: in_use(scheduling.replica_speeds, has_long_prompts),
        // Steady streams cost long prompts their first token, which only the operator can weigh.
        pause_limits: in_use(scheduling.pause_limits, false),
        // Late service still costs requests that could be in time: the operator weighs it.
        waiting_room: in_use(scheduling.waiting_room, false),
        dispatch: in_use(scheduling.dispatch, has_few_places),
        early_copies: in_use(scheduling.early_copies, has_long_prompts),
        // Every model stays resident unless an operator lets idle ones go.
        evict_idle_models: in_use(scheduling.evict_idle_models, false),
    }
}

fn in_use(mode: Mode, is_called_for: bool) -> bool {
    match mode {
        Mode::Auto => is_called_for,
        Mode::On => true,
        Mode::Off => false,
    }
}

/// Whether prompts are long, and one still fits into the pause of the streams beside it. Where none fits, prompts have to be
/// held back whatever the speed of a replica.
fn has_long_prompts(engine: &Engine, max_pause: Option<Span>) -> bool {
    let prompt_tokens = engine.token_capacity as f64 / f64::from(engine.slots.max(1));
    let prefill = Span::from_secs_f64(prompt_tokens / ASSUMED_SPEED / 1e3);
    prompt_tokens >= LONG_PROMPT_TOKENS && max_pause.is_none_or(|pause| prefill <= pause)
}

fn has_few_places(size: Size) -> bool {
    size.places > 0 && size.hosts as f64 >= HOSTS_PER_PLACE * f64::from(size.places)
}
