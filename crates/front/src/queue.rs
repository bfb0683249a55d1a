//! Queues of requests that wait until a replica can prefill their prompts without stalling the
//! streams that run there.
//!
//! Timely requests go first, then late ones, then patient ones (see [`route::admission`]). Late and
//! patient ones are retried less often, at random intervals: they may wait for seconds, and all
//! hosts see room at the same time.

use crate::attempt::{Call, Reservation};
use crate::state::State;
use crate::table::{Choice, Unplaceable};
use parking_lot::Mutex;
use rand::RngExt;
use route::admission::{self, Standing};
use route::queue::{Queue, Ticket};
use route::surge::Surges;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use unit::{Name, Span, Time};

/// Most requests in one queue; more are refused.
const MAX_WAITING: usize = 512;

/// Interval at which queues are retried without a change of the table.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Most late and patient requests at one host.
const MAX_HELD: usize = 256;

/// Divisor of the process's memory that gives the share for bodies of late and patient requests.
const HELD_MEMORY_DIVISOR: usize = 16;

/// Range of the interval, in milliseconds, at which late and patient requests are retried.
const HELD_INTERVAL_MS: std::ops::Range<u64> = 40..120;

/// Ticket priority of the most urgent requests of a standing.
const MAX_PRIORITY: u8 = 9;

/// Distance between the ticket priorities of standings: more than aging adds within a deadline.
const STANDING_STEP: u8 = 20;

/// What the requests of one queue need.
#[derive(PartialEq, Eq, Hash)]
struct Key {
    service: Name,
    model: Option<Name>,
    adapter: Option<Name>,
    software: Option<Name>,
    /// Replicas that may not have them again.
    excluded: Vec<Name>,
}

/// Replica chosen for a queued request, and the reservation there.
pub type Placement = (Choice, Reservation);

/// Queued requests, by what they need.
#[derive(Default)]
pub struct Queues {
    queues: HashMap<Key, Line>,
    /// Requests of client accounts, by service.
    surges: HashMap<Name, Surges>,
}

/// Queue of one key.
struct Line {
    queue: Queue<Waiter>,
    /// When a late or patient request may be tried again.
    retry_at: Time,
}

/// Late and patient requests at one host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    pub late: usize,
    pub patient: usize,
    /// Size of their bodies, in bytes.
    pub bytes: usize,
}

impl Held {
    /// Whether one more may be held by a process with that much memory, in MB.
    pub fn has_room(&self, memory_mb: usize) -> bool {
        let max_bytes = memory_mb * 1_024 * 1_024 / HELD_MEMORY_DIVISOR;
        self.late + self.patient < MAX_HELD && self.bytes < max_bytes
    }
}

/// Queued request.
pub struct Waiter {
    call: Arc<Call>,
    sender: oneshot::Sender<Placement>,
}

fn key(call: &Call) -> Key {
    let metadata = &call.metadata;
    Key {
        service: call.service.clone(),
        model: metadata.model.clone(),
        adapter: metadata.adapter.clone(),
        software: call.software().cloned(),
        excluded: call.attempted_before.clone(),
    }
}

impl Queues {
    /// Requests to a service by their callers.
    pub fn surges(&mut self, service: &Name, now: Time) -> &mut Surges {
        let surges = self.surges.entry(service.clone());
        surges.or_insert_with(|| Surges::new(now))
    }

    /// Whether timely requests that need the same are queued.
    pub fn has_waiters(&self, call: &Call) -> bool {
        let mut queued = self.queued(call);
        queued.any(|c| *c.standing.lock() == Standing::Timely)
    }

    /// Prompt tokens of the late requests that need the same.
    pub fn late_tokens(&self, call: &Call) -> u64 {
        let late = self.queued(call);
        let late = late.filter(|c| *c.standing.lock() == Standing::Late);
        late.map(|c| c.metadata.prompt_tokens).sum()
    }

    /// Queued requests that need the same.
    fn queued(&self, call: &Call) -> impl Iterator<Item = &Arc<Call>> {
        let line = self.queues.get(&key(call));
        let tickets = line.into_iter().flat_map(|line| line.queue.tickets());
        tickets.map(|ticket| &ticket.payload.call)
    }

    /// Late and patient requests that wait.
    pub fn held(&self) -> Held {
        let mut held = Held::default();
        for ticket in self.queues.values().flat_map(|l| l.queue.tickets()) {
            let call = &ticket.payload.call;
            match *call.standing.lock() {
                Standing::Timely => continue,
                Standing::Late => held.late += 1,
                Standing::Patient => held.patient += 1,
            }
            held.bytes += call.body.len();
        }
        held
    }

    /// Queues a request in its standing until `until`, among those of `caller`. Its placement comes
    /// over the channel, which closes if the request is shed.
    pub fn push(
        &mut self,
        call: &Arc<Call>,
        caller: Name,
        until: Time,
        now: Time,
    ) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        let line = self.queues.entry(key(call)).or_insert_with(|| Line {
            queue: Queue::new(MAX_WAITING),
            retry_at: now,
        });
        // A shed ticket is dropped, which closes its channel.
        let _ = line.queue.push(
            now,
            Ticket {
                caller,
                weight: 1,
                priority: ticket_priority(call),
                arrived: call.arrived,
                deadline: until,
                payload: Waiter {
                    call: call.clone(),
                    sender,
                },
            },
        );
        receiver
    }

    fn is_empty(&self) -> bool {
        self.queues.values().all(|line| line.queue.is_empty())
    }

    /// Places queued requests while replicas can take them.
    fn dispatch(&mut self, state: &Arc<State>) {
        let now = state.now();
        for line in self.queues.values_mut() {
            line.dispatch(state, now);
        }
        self.queues.retain(|_, line| !line.queue.is_empty());
    }
}

impl Line {
    /// Places queued requests while replicas can take them.
    fn dispatch(&mut self, state: &Arc<State>, now: Time) {
        drop(self.queue.expire(now, |waiter| waiter.sender.is_closed()));
        while let Some(ticket) = self.queue.peek(now) {
            let call = ticket.payload.call.clone();
            let is_held = *call.standing.lock() != Standing::Timely;
            if is_held && now < self.retry_at {
                break;
            }
            let choice = match place(state, &call, ticket.deadline, now) {
                Outlook::Ready(choice) => Some(choice),
                Outlook::Gone if is_held || call.software().is_some() => None,
                Outlook::Gone | Outlook::Busy => {
                    let pause = rand::rng().random_range(HELD_INTERVAL_MS);
                    self.retry_at = now + Span::from_ms(pause);
                    break;
                }
            };
            let Some(ticket) = self.queue.pop(now) else {
                break;
            };
            // Dropping the ticket ends the wait without a placement.
            let Some(choice) = choice else { continue };
            let reservation = Reservation::open(state, &call, &choice);
            // If the client has left, dropping the placement releases the reservation.
            drop(ticket.payload.sender.send((choice, reservation)));
        }
    }
}

/// Ticket priority of a request, by its standing and its own priority.
fn ticket_priority(call: &Call) -> u8 {
    let step = match *call.standing.lock() {
        Standing::Timely => 2,
        Standing::Late => 1,
        Standing::Patient => 0,
    };
    MAX_PRIORITY.saturating_sub(call.priority) + step * STANDING_STEP
}

/// What a queued request can expect.
enum Outlook {
    /// A replica can take it now.
    Ready(Choice),
    /// Replicas hold what it needs, and are busy.
    Busy,
    /// No replica can be used that holds what it needs.
    Gone,
}

/// Outlook of a queued request. A patient one, which waits until `until` at the latest, takes only
/// idle replicas.
fn place(state: &State, call: &Call, until: Time, now: Time) -> Outlook {
    let criteria = call.first_criteria();
    let mut table = state.table.lock();
    let choice = match table.choose(&criteria, now) {
        Ok(choice) => choice,
        Err(Unplaceable::Saturated(_) | Unplaceable::NoAdapter) => return Outlook::Busy,
        Err(_) => return Outlook::Gone,
    };
    let is_patient = *call.standing.lock() == Standing::Patient;
    let is_idle = || {
        let (age, latest) = (now.since(call.arrived), until.since(call.arrived));
        table.utilization(&criteria, now) < admission::idle_utilization(age, latest)
    };
    match choice.fits_prefill_limit && (!is_patient || is_idle()) {
        true => Outlook::Ready(choice),
        false => Outlook::Busy,
    }
}

/// Dispatches queued requests on every change of the table, until the daemon ends.
pub async fn run(state: Arc<State>, queues: Arc<Mutex<Queues>>) {
    loop {
        let idle = queues.lock().is_empty();
        match idle {
            true => state.changed.notified().await,
            false => {
                let _ = tokio::time::timeout(POLL_INTERVAL, state.changed.notified()).await;
            }
        }
        queues.lock().dispatch(&state);
    }
}
