//! Status of the planner, for operators.

use parking_lot::Mutex;
use place::ledger::{Entry, Ledger, Move};
use place::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::Name;

/// Shared status of the planner, as of its last tick.
#[derive(Default)]
pub struct StatusCell {
    status: Mutex<Status>,
}

/// Status of the planner.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether this host holds its hall's planner lease.
    pub holds: bool,
    /// Term of the ledger.
    pub term: u64,
    /// Unresolved orders.
    pub open: Vec<Entry>,
    /// Newest moves, with their reasons.
    pub moves: Vec<Move>,
    /// Why a model could not be placed as specified, by model.
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

    pub fn get(&self) -> Status {
        self.status.lock().clone()
    }
}
