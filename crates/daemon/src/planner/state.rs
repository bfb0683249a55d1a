//! What the planner did last, for operators.

use parking_lot::Mutex;
use place::ledger::{Entry, Ledger, Move};
use place::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::Name;

/// Holder of the planner's state.
#[derive(Default)]
pub struct Planned {
    state: Mutex<State>,
}

/// State of the planner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whether this host plans for its hall.
    pub holds: bool,
    /// Its term.
    pub term: u64,
    /// Unresolved orders.
    pub open: Vec<Entry>,
    /// Newest moves with their reasons.
    pub moves: Vec<Move>,
    /// What could not be done, by model.
    pub notes: BTreeMap<Name, String>,
}

impl Planned {
    pub(super) fn planned(&self, ledger: &Ledger, plan: &Plan) {
        *self.state.lock() = State {
            holds: true,
            term: ledger.term,
            open: ledger.open.clone(),
            moves: ledger.moves.clone(),
            notes: plan.notes.clone(),
        };
    }

    pub(super) fn step_down(&self) {
        self.state.lock().holds = false;
    }

    /// Copy of the state.
    pub fn state(&self) -> State {
        self.state.lock().clone()
    }
}
