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
        (self.may_have_run.len() as u32) < call.route.attempt_limit
    }
}

fn add(replicas: &mut Vec<Name>, replica: &Name) {
    if !replicas.contains(replica) {
        replicas.push(replica.clone());
    }
}
