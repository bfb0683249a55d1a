//! Requests that wait at this host until a replica can read their prompts without a long pause for
//! the streams that run there.

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

/// Requests that may wait for one model; more are refused.
const MOST_WAITING: usize = 512;

/// Pause after which is tried again although nothing was heard of the replicas.
const LOOK: Duration = Duration::from_millis(25);

/// Highest priority of a ticket, which the most urgent rank gets.
const HIGHEST: u8 = 9;

/// What waits together: the same service, model and adapter.
type Key = (Name, Option<Name>, Option<Name>);

/// Request's turn: its replica, and its place there.
pub type Placement = (Choice, Reservation);

/// Requests that wait, by what they need.
#[derive(Default)]
pub struct Queues {
    queues: HashMap<Key, Queue<Waiter>>,
}

/// Request that waits.
pub struct Waiter {
    call: Arc<Call>,
    turn: oneshot::Sender<Placement>,
}

fn key(call: &Call) -> Key {
    let ask = &call.ask;
    (call.service.clone(), ask.model.clone(), ask.adapter.clone())
}

impl Queues {
    /// Whether requests like this one wait already.
    pub fn is_waited_for(&self, call: &Call) -> bool {
        let queue = self.queues.get(&key(call));
        queue.is_some_and(|q| !q.is_empty())
    }

    /// Lets a request wait until `until`; its turn comes over the channel, which closes when it was
    /// shed.
    pub fn push(
        &mut self,
        call: &Arc<Call>,
        until: Time,
        now: Time,
    ) -> oneshot::Receiver<Placement> {
        let (turn, receiver) = oneshot::channel();
        let queue = self
            .queues
            .entry(key(call))
            .or_insert_with(|| Queue::new(MOST_WAITING));
        // A ticket that the queue sheds closes its channel by being dropped.
        let _ = queue.push(
            now,
            Ticket {
                caller: call.route.name.clone(),
                weight: 1,
                priority: HIGHEST.saturating_sub(call.priority),
                arrived: call.arrived,
                deadline: until,
                payload: Waiter {
                    call: call.clone(),
                    turn,
                },
            },
        );
        receiver
    }

    fn is_empty(&self) -> bool {
        self.queues.values().all(Queue::is_empty)
    }

    /// Gives turns to all that can be placed now.
    fn dispatch(&mut self, state: &Arc<State>) {
        let now = state.now();
        for queue in self.queues.values_mut() {
            drop(queue.expire(now, |waiter| waiter.turn.is_closed()));
            while let Some(ticket) = queue.peek(now) {
                let call = ticket.payload.call.clone();
                let chosen = state.table.lock().choose(&call.criteria(&[]), now);
                let Some(choice) = chosen.ok().filter(|c| c.paced) else {
                    break;
                };
                let Some(ticket) = queue.pop(now) else { break };
                let place = Reservation::take(state, &call, &choice);
                // A client that has left meanwhile gives its place back by dropping it.
                drop(ticket.payload.turn.send((choice, place)));
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
    }
}

/// Gives turns whenever something changed, until the daemon ends.
pub async fn run(state: Arc<State>, waiting: Arc<Mutex<Queues>>) {
    loop {
        let idle = waiting.lock().is_empty();
        match idle {
            true => state.changed.notified().await,
            false => {
                let _ = tokio::time::timeout(LOOK, state.changed.notified()).await;
            }
        }
        waiting.lock().dispatch(&state);
    }
}
