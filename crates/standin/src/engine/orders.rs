//! Orders to a stand-in engine.

use super::state::{Inner, State};
use conn::Cut;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use unit::Bytes;
use unit::engine::{Action, Order, OrderStatus, Resident, State as WeightState, Weights};

/// Time between two looks at whether requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Takes an order, perhaps late; a lost one cuts the connection.
pub(super) async fn take(state: &Arc<State>, order: Order) -> Result<OrderStatus, Cut> {
    let delay = state.inner.lock().order_delay;
    match delay {
        None => return Err(Cut),
        Some(delay) if delay > Duration::ZERO => {
            let state = state.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                obey(&state, &order);
            });
            return Err(Cut);
        }
        Some(_) => {}
    }
    Ok(obey(state, &order))
}

fn obey(state: &Arc<State>, order: &Order) -> OrderStatus {
    let mut inner = state.inner.lock();
    if inner.incarnation != order.incarnation {
        return OrderStatus::WrongIncarnation;
    }
    if inner.fencing {
        if order.fence <= inner.fence {
            return OrderStatus::Stale;
        }
        inner.fence = order.fence;
    }
    let obeyed = match &order.action {
        Action::Load { weights, bytes } => load(state, &mut inner, weights, *bytes),
        Action::Unload { weights } => unload(state, &mut inner, weights),
        Action::SetRole { role } => {
            inner.role = *role;
            OrderStatus::Accepted
        }
    };
    inner.changed();
    obeyed
}

fn load(state: &Arc<State>, inner: &mut Inner, weights: &Weights, bytes: Bytes) -> OrderStatus {
    if inner.resident.iter().any(|r| r.weights == *weights) {
        return OrderStatus::Accepted;
    }
    if inner.taken() + bytes > inner.memory {
        inner.overcommitted += 1;
        return OrderStatus::Infeasible;
    }
    inner.resident.push(Resident {
        weights: weights.clone(),
        bytes,
        state: WeightState::Loading,
    });
    let (state, weights, incarnation) = (state.clone(), weights.clone(), inner.incarnation);
    tokio::spawn(async move {
        sleep(state.load).await;
        let mut inner = state.inner.lock();
        if inner.incarnation != incarnation {
            return;
        }
        let found = inner.resident.iter_mut().find(|r| r.weights == weights);
        if let Some(resident) = found {
            resident.state = WeightState::Ready;
        }
        inner.changed();
    });
    OrderStatus::Accepted
}

/// Unloads weights once the requests on them have ended.
fn unload(state: &Arc<State>, inner: &mut Inner, weights: &Weights) -> OrderStatus {
    let found = inner.resident.iter_mut().find(|r| r.weights == *weights);
    let Some(resident) = found else {
        return OrderStatus::Infeasible;
    };
    resident.state = WeightState::Unloading;
    let (state, weights, incarnation) = (state.clone(), weights.clone(), inner.incarnation);
    tokio::spawn(async move {
        loop {
            {
                let mut inner = state.inner.lock();
                if inner.incarnation != incarnation {
                    return;
                }
                if !inner.is_busy(&weights.model) {
                    inner.resident.retain(|r| r.weights != weights);
                    inner.changed();
                    return;
                }
            }
            sleep(LOOK_EVERY).await;
        }
    });
    OrderStatus::Accepted
}
