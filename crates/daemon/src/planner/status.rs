//! What the planner did last, for operators.

use parking_lot::Mutex;
use place::ledger::{Entry, Ledger, Move};
use place::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::Name;

/// Holder of the planner's state.
#[derive(Default)]
pub struct StatusCell {
    status: Mutex<Status>,
}

/// Status of the planner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
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

impl StatusCell {
    pub(super) fn record_plan(&self, ledger: &Ledger, plan: &Plan) {
        *self.status.lock() = Status {
            holds: true,
            term: ledger.term,
            open: ledger.open.clone(),
            moves: ledger.moves.clone(),
            notes: plan.notes.clone(),
        };
    }

    pub(super) fn record_step_down(&self) {
        self.status.lock().holds = false;
    }

    /// Copy of the state.
    pub fn get(&self) -> Status {
        self.status.lock().clone()
    }
}
