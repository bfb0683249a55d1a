//! Orders to a stand-in engine.

use super::state::{Inner, State};
use conn::Cut;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use unit::Bytes;
use unit::engine::{Action, Obeyed, Order, Resident, State as WeightState, Weights};

/// Time between two looks at whether requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Takes an order, perhaps late; a lost one cuts the connection.
pub(super) async fn take(state: &Arc<State>, order: Order) -> Result<Obeyed, Cut> {
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

fn obey(state: &Arc<State>, order: &Order) -> Obeyed {
    let mut inner = state.inner.lock();
    if inner.incarnation != order.incarnation {
        return Obeyed::Other;
    }
    if inner.fencing {
        if order.fence <= inner.fence {
            return Obeyed::Stale;
        }
        inner.fence = order.fence;
    }
    let obeyed = match &order.action {
        Action::Load { weights, bytes } => load(state, &mut inner, weights, *bytes),
        Action::Unload { weights } => unload(state, &mut inner, weights),
        Action::Turn { role } => {
            inner.role = *role;
            Obeyed::Taken
        }
    };
    inner.changed();
    obeyed
}

fn load(state: &Arc<State>, inner: &mut Inner, weights: &Weights, bytes: Bytes) -> Obeyed {
    if inner.resident.iter().any(|r| r.weights == *weights) {
        return Obeyed::Taken;
    }
    if inner.taken() + bytes > inner.memory {
        inner.overcommitted += 1;
        return Obeyed::Unable;
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
    Obeyed::Taken
}

/// Unloads weights once the requests on them have ended.
fn unload(state: &Arc<State>, inner: &mut Inner, weights: &Weights) -> Obeyed {
    let found = inner.resident.iter_mut().find(|r| r.weights == *weights);
    let Some(resident) = found else {
        return Obeyed::Unable;
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
    Obeyed::Taken
}
