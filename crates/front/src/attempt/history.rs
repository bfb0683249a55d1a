//! Replicas that a request was sent to.

use super::{Call, Failure};
use unit::Name;

/// Replicas that a request was sent to. Only those at which it may have run count against the
/// attempts of its route. A replica that refused it has done no work; all sends but the first are
/// paid for by the retry budget.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All that received the request.
    pub attempted: Vec<Name>,
    /// Those that may have run it.
    pub may_have_run: Vec<Name>,
    /// Runs at replicas that are not known by name: another host sent it there, and its answer is lost.
    pub unnamed_runs: u32,
    /// Runs that are left to the host that passed the request on.
    pub reserved_runs: u32,
}

impl History {
    /// Records the result of a send.
    pub fn record<T>(&mut self, replica: &Name, result: &Result<T, Failure>) {
        let failure = result.as_ref().err();
        if failure.is_some_and(Failure::proves_unsent) {
            return;
        }
        add(&mut self.attempted, replica);
        if !failure.is_some_and(Failure::proves_not_run) {
            add(&mut self.may_have_run, replica);
        }
    }

    /// Whether the route allows one more replica to run the request.
    pub fn may_run_again(&self, call: &Call) -> bool {
        self.remaining_runs(call.route.attempt_limit) > 0
    }

    /// Whether a replica may have run the request.
    pub fn has_run(&self) -> bool {
        !self.may_have_run.is_empty() || self.unnamed_runs > 0
    }

    /// Runs that are left of `limit`.
    fn remaining_runs(&self, limit: u32) -> u32 {
        let used = self.may_have_run.len() as u32 + self.unnamed_runs + self.reserved_runs;
        limit.saturating_sub(used)
    }

    /// Runs that another host may use for the request: all but one, which is kept for the case that its answer is lost.
    pub fn runs_for_detour(&self, limit: u32) -> u32 {
        let remaining = self.remaining_runs(limit);
        remaining.saturating_sub(1).max(remaining.min(1))
    }

    /// Adds the replicas that another host sent the request to.
    pub fn merge(&mut self, attempted: &[Name], may_have_run: &[Name]) {
        attempted.iter().for_each(|id| add(&mut self.attempted, id));
        let runs = &mut self.may_have_run;
        may_have_run.iter().for_each(|id| add(runs, id));
    }
}

fn add(replicas: &mut Vec<Name>, replica: &Name) {
    if !replicas.contains(replica) {
        replicas.push(replica.clone());
    }
}
