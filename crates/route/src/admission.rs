//! Admission of requests to models by a forecast, while replicas are busy.
//!
//! Load answered here: short bursts and swings of demand, under which the expected time to first
//! token passes the target of a route for seconds, though its callers wait far longer.
//!
//! A request is in one of three standings. *Timely*: its target can be met; it goes first. *Late*:
//! its target is lost, but the whole answer fits into the time that its caller waits; it takes what
//! timely requests leave. *Patient*: its target leaves seconds; it waits for idle replicas until its
//! latest start, from which it is timely. What fits no standing is refused on arrival.

use unit::Span;

/// Expected time to first token, as a multiple of the target, up to which a request is timely:
/// forecasts are off by as much, and who might be in time does not give way.
const TIMELY_FACTOR: f64 = 1.2;

/// Fraction of the target that waiting and prefill of a timely request may take together; the rest
/// covers the error of the forecast.
const WAIT_FRACTION: f64 = 0.8;

/// Factor on the expected time to first token of a request that must start by a certain time.
const TTFT_MARGIN: f64 = 1.5;

/// Factor on the expected time from the first token to the last: answers differ in length.
const ANSWER_MARGIN: f64 = 1.25;

/// Fraction of the time limit for which a late request gives way; the rest is left for the forecast
/// to be wrong, and for another replica if one fails.
const LATE_WAIT_FRACTION: f64 = 0.5;

/// Fraction of the time limit kept for the ways between caller, host and replica.
const TRANSIT_FRACTION: f64 = 0.03;

/// Fraction of the target after which a request is no longer refused: its caller would have lost the
/// time for another try.
pub const REFUSAL_FRACTION: f64 = 0.125;

/// Time that the target must leave before the latest start for a request to be patient: several
/// times what replicas take to read the prompts that wait there.
const MIN_PATIENCE: Span = Span::from_ms(2_000);

/// Utilization of a model's replicas below which patient requests start, on arrival and at the
/// latest start; in between it rises evenly, so that hosts release them one after the other.
const IDLE_UTILIZATION: (f64, f64) = (0.35, 0.85);

/// Utilization of a model's replicas below which no request is refused.
const BUSY_UTILIZATION: f64 = 0.5;

/// Least fraction of the replicas' time that is taken to be left to late requests.
const MIN_LEFT: f64 = 0.33;

/// Fraction of a caller's remaining time up to which it honours `Retry-After`.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Range of return times, as a fraction of the wait for room, for each step of priority.
const RETURN_SPREAD: f64 = 0.5;

/// Least range of return times for each step of priority.
const MIN_RETURN_SPREAD: Span = Span::from_ms(250);

/// Ranges of return times; the least urgent priorities share the last one.
const RETURN_RANGES: f64 = 4.0;

/// Earliest return, as a fraction of the latest that callers honour: the rest is for spreading them.
const MAX_EARLIEST_FRACTION: f64 = 0.5;

/// Steps of priority by which patient requests come behind others at a replica.
const BEHIND: u8 = 5;

/// Least urgent priority.
const MIN_PRIORITY: u8 = 9;

/// Order in which requests take the room for a model, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    Timely,
    Late,
    Patient,
}

impl Standing {
    pub fn as_str(self) -> &'static str {
        match self {
            Standing::Timely => "timely",
            Standing::Late => "late",
            Standing::Patient => "patient",
        }
    }
}

/// Request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Time since its arrival.
    pub age: Span,
    /// Time from its arrival within which its first token is due.
    pub target: Span,
    /// Time from its arrival until its caller or its route gives it up.
    pub limit: Span,
    /// Time from its arrival after which its caller gives it up if there is no first token.
    pub first_token_limit: Span,
    /// Expected time from its first token to its last.
    pub answer: Span,
    /// Whether its caller has had more than its share of the busy replicas.
    pub exceeds_share: bool,
}

/// Room for a request at the best replica, as this host expects it.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    /// Time to first token at the priority of the request.
    pub ttft: Span,
    /// Time to first token behind all work that waits at the replica.
    pub ttft_behind: Span,
    /// Prefill time of the late requests that wait at hosts, for each replica of the model.
    pub deferred: Span,
    /// Whether the prompt can be read now without stalling the streams at the replica.
    pub fits: bool,
    /// Whether timely requests wait at this host for the same model.
    pub has_waiters: bool,
    /// Whether no prompt waits at the replica.
    pub has_no_backlog: bool,
    /// Whether any replica has a free batch slot.
    pub has_free_slot: bool,
    /// Fraction of the batch slots of the model's replicas that are in use.
    pub utilization: f64,
    /// Time until a further copy of the model is expected, if one is being loaded.
    pub copy_in: Option<Span>,
    /// Whether this host may hold one more late or patient request.
    pub may_hold: bool,
}

/// What is done with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it, in that standing.
    Send(Standing),
    /// Hold it in that standing until room is found or it has that age; then decide again.
    Wait(Standing, Span),
    /// Refuse it; room for it is expected after that time.
    Refuse(Span),
}

/// Decides on a request that has arrived or whose wait has ended.
pub fn decide(request: &Request, forecast: &Forecast) -> Decision {
    let start = latest_start(request, forecast);
    if start >= MIN_PATIENCE && request.age < start {
        return decide_patient(request, forecast, start);
    }
    let is_timely = request.age + forecast.ttft <= request.target * TIMELY_FACTOR;
    let yields = request.exceeds_share && !(forecast.fits && forecast.has_free_slot);
    match is_timely && !yields {
        true => decide_timely(request, forecast),
        false => decide_late(request, forecast),
    }
}

/// Standing in which a request may give way to the rest, if the forecast `ttft` allows or forces it.
pub fn yielding_standing(request: &Request, ttft: Span) -> Option<Standing> {
    let is_patient = request.target * WAIT_FRACTION >= MIN_PATIENCE;
    let is_timely = request.age + ttft <= request.target * TIMELY_FACTOR;
    match () {
        () if is_patient && is_timely => Some(Standing::Patient),
        () if !is_timely || request.exceeds_share => Some(Standing::Late),
        () => None,
    }
}

/// Age at which a request must be sent for its first token to come within the target.
fn latest_start(request: &Request, forecast: &Forecast) -> Span {
    let target = request.target * WAIT_FRACTION;
    target.saturating_sub(forecast.ttft * TTFT_MARGIN)
}

fn decide_patient(request: &Request, forecast: &Forecast, start: Span) -> Decision {
    let is_idle = forecast.has_no_backlog
        && !forecast.has_waiters
        && forecast.utilization < idle_utilization(request.age, start);
    match () {
        () if is_idle => Decision::Send(Standing::Patient),
        () if !forecast.may_hold => Decision::Send(Standing::Timely),
        () => Decision::Wait(Standing::Patient, start),
    }
}

/// Utilization below which a patient request of that age starts.
pub fn idle_utilization(age: Span, latest_start: Span) -> f64 {
    let progress = (age.ms() / latest_start.ms().max(1.0)).min(1.0);
    IDLE_UTILIZATION.0 + (IDLE_UTILIZATION.1 - IDLE_UTILIZATION.0) * progress
}

fn decide_timely(request: &Request, forecast: &Forecast) -> Decision {
    if forecast.fits && !forecast.has_waiters {
        return Decision::Send(Standing::Timely);
    }
    let until = (request.target * WAIT_FRACTION).saturating_sub(forecast.ttft);
    match request.age < until {
        true => Decision::Wait(Standing::Timely, until),
        false => Decision::Send(Standing::Timely),
    }
}

fn decide_late(request: &Request, forecast: &Forecast) -> Decision {
    let until = latest_late_start(request, forecast);
    let is_feasible = request.age + late_wait(forecast) <= until;
    let may_refuse = request.age <= request.target * REFUSAL_FRACTION;
    let is_busy = forecast.utilization >= BUSY_UTILIZATION || !forecast.has_free_slot;
    match () {
        // It is late for the length of its own prompt: a wait would not help.
        () if !is_busy => Decision::Send(Standing::Timely),
        () if is_feasible && forecast.may_hold && request.age < until => {
            Decision::Wait(Standing::Late, until)
        }
        () if may_refuse => Decision::Refuse(room_in(request, forecast)),
        // It has given way for as long as it can.
        () => Decision::Send(Standing::Timely),
    }
}

/// Expected time to first token of a late request, which comes behind those before it, in the time that
/// timely ones leave.
fn late_wait(forecast: &Forecast) -> Span {
    let left = (1.0 - forecast.utilization).max(MIN_LEFT);
    forecast.ttft_behind + forecast.deferred * (1.0 / left)
}

/// Age until which a late request gives way, so that its whole answer comes within the limit.
fn latest_late_start(request: &Request, forecast: &Forecast) -> Span {
    let until = latest_ready(request, forecast.ttft_behind);
    until.min(request.limit * LATE_WAIT_FRACTION)
}

/// Time until a request that returns is expected to be served.
fn room_in(request: &Request, forecast: &Forecast) -> Span {
    let spare = request.target * (1.0 - WAIT_FRACTION);
    let room = late_wait(forecast).saturating_sub(spare);
    forecast.copy_in.map_or(room, |eta| room.min(eta))
}

/// `Retry-After` of a request for which room is expected after `room`: at most what its caller
/// honours in the `remaining` time, and spread by `fraction`, a number from 0 to 1 of the request's
/// own. The ranges of two priorities follow each other, the more urgent first.
pub fn return_after(room: Span, remaining: Span, priority: u8, fraction: f64) -> Span {
    let latest = remaining * MAX_RETURN_FRACTION;
    let earliest = room.min(latest * MAX_EARLIEST_FRACTION);
    let widest = latest.saturating_sub(earliest) * (1.0 / RETURN_RANGES);
    let range = (room * RETURN_SPREAD).max(MIN_RETURN_SPREAD).min(widest);
    let position = f64::from(priority).min(RETURN_RANGES - 1.0) + fraction;
    earliest + range * position
}

/// Priority of a request at a replica, by its standing. A late one gives way at its host only: behind
/// all others at a replica, it may be preempted until its caller has left.
pub fn priority(standing: Standing, priority: u8) -> u8 {
    match standing {
        Standing::Timely | Standing::Late => priority,
        Standing::Patient => priority.saturating_add(BEHIND).min(MIN_PRIORITY),
    }
}

/// Fraction of the pause allowed to streams that the prompts of a standing may use, so that requests
/// of all hosts take room in the order of their standings.
pub fn pause_fraction(standing: Standing) -> f64 {
    match standing {
        Standing::Timely => 1.0,
        Standing::Late => 0.5,
        Standing::Patient => 0.0,
    }
}

/// Age until which a request that nothing can run now is held for a copy of its model: as long as it
/// can meet its target, or its whole answer comes within its limit.
pub fn hold_limit(request: &Request, prefill: Span) -> Span {
    let timely = request.target * WAIT_FRACTION;
    timely.max(latest_ready(request, prefill))
}

/// Age until which a replica must be ready for a request, so that its first token and its whole answer come
/// within their limits.
fn latest_ready(request: &Request, prefill: Span) -> Span {
    let prefill = prefill * TTFT_MARGIN;
    let whole = latest_start_of(prefill + request.answer * ANSWER_MARGIN, request.limit);
    whole.min(latest_start_of(prefill, request.first_token_limit))
}

/// Latest start of something that takes a while and is due within a limit at its caller.
fn latest_start_of(duration: Span, limit: Span) -> Span {
    limit.saturating_sub(duration + limit * TRANSIT_FRACTION)
}
