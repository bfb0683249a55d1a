//! Queues of requests that wait until a replica can prefill their prompts without stalling the
//! streams that run there.

use crate::attempt::{Call, Reservation};
use crate::state::State;
use crate::table::Choice;
use parking_lot::Mutex;
use route::queue::{Queue, Ticket};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use unit::{Name, Time};

/// Most requests in one queue; more are refused.
const MAX_WAITING: usize = 512;

/// Interval at which queues are retried without a change of the table.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Ticket priority of the most urgent requests.
const MAX_PRIORITY: u8 = 9;

/// Service, model and adapter that the requests of one queue need.
type Key = (Name, Option<Name>, Option<Name>);

/// Replica chosen for a queued request, and the reservation there.
pub type Placement = (Choice, Reservation);

/// Queued requests, by what they need.
#[derive(Default)]
pub struct Queues {
    queues: HashMap<Key, Queue<Waiter>>,
}

/// Queued request.
pub struct Waiter {
    call: Arc<Call>,
    sender: oneshot::Sender<Placement>,
}

fn key(call: &Call) -> Key {
    let metadata = &call.metadata;
    (
        call.service.clone(),
        metadata.model.clone(),
        metadata.adapter.clone(),
    )
}

impl Queues {
    /// Whether requests that need the same are queued.
    pub fn has_waiters(&self, call: &Call) -> bool {
        let queue = self.queues.get(&key(call));
        queue.is_some_and(|q| !q.is_empty())
    }

    /// Queues a request until `until`. Its placement comes over the channel, which closes if the
    /// request is shed.
    pub fn push(
        &mut self,
        call: &Arc<Call>,
        until: Time,
        now: Time,
    ) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        let queue = self
            .queues
            .entry(key(call))
            .or_insert_with(|| Queue::new(MAX_WAITING));
        // A shed ticket is dropped, which closes its channel.
        let _ = queue.push(
            now,
            Ticket {
                caller: call.route.name.clone(),
                weight: 1,
                priority: MAX_PRIORITY.saturating_sub(call.priority),
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
        self.queues.values().all(Queue::is_empty)
    }

    /// Places queued requests while replicas can take them.
    fn dispatch(&mut self, state: &Arc<State>) {
        let now = state.now();
        for queue in self.queues.values_mut() {
            drop(queue.expire(now, |waiter| waiter.sender.is_closed()));
            while let Some(ticket) = queue.peek(now) {
                let call = ticket.payload.call.clone();
                let chosen = state.table.lock().choose(&call.criteria(&[]), now);
                let Some(choice) = chosen.ok().filter(|c| c.fits_prefill_limit) else {
                    break;
                };
                let Some(ticket) = queue.pop(now) else { break };
                let reservation = Reservation::open(state, &call, &choice);
                // If the client has left, dropping the placement releases the reservation.
                drop(ticket.payload.sender.send((choice, reservation)));
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
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
