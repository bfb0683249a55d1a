//! Replicas that a request was sent to.

use super::{Call, Failure};
use unit::Name;

/// Replicas that a request was sent to. A route's attempts are counted by those at which it may have run: one that turned it
/// away has done no work, and all sendings but the first are paid for by the retry budget.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// All of them.
    pub replicas: Vec<Name>,
    /// Those at which it may have run.
    pub may_have_run: Vec<Name>,
}

impl History {
    /// Notes what came of a sending.
    pub fn note<T>(&mut self, replica: &Name, sent: &Result<T, Failure>) {
        let failed = sent.as_ref().err();
        if failed.is_some_and(Failure::proves_unsent) {
            return;
        }
        add(&mut self.replicas, replica);
        if !failed.is_some_and(Failure::proves_not_run) {
            add(&mut self.may_have_run, replica);
        }
    }

    /// Whether it may run at one more replica.
    pub fn may_run(&self, call: &Call) -> bool {
        (self.may_have_run.len() as u32) < call.route.attempts
    }
}

fn add(replicas: &mut Vec<Name>, replica: &Name) {
    if !replicas.contains(replica) {
        replicas.push(replica.clone());
    }
}
