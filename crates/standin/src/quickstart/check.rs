//! The promises that a run of the quick start can show.

use crate::caller::Got;
use crate::fleet::Fleet;
use std::collections::HashMap;

/// Request with what the caller was told.
pub struct Sent {
    /// Its own whole answer.
    pub expected: String,
    /// Whether it may run at most once.
    pub at_most_once: bool,
    /// Text by which upstreams know it: its prompt or body.
    pub mark: String,
    /// Its class.
    pub class: &'static str,
    /// What the caller was told.
    pub got: Got,
}

/// Promises that were broken, as sentences.
pub fn check(fleet: &Fleet, sent: &[Sent]) -> Vec<String> {
    let runs = runs(fleet);
    let mut broken = Vec::new();
    for sent in sent {
        let ran = runs.get(&sent.mark).copied().unwrap_or(0);
        let got = &sent.got;
        if got.outcome == "complete" && got.text != sent.expected {
            broken.push(format!(
                "Request {} was given another answer than its own whole one.",
                got.request
            ));
        }
        if got.outcome == "complete" && !got.whole {
            broken.push(format!(
                "Request {} was called complete but is not whole.",
                got.request
            ));
        }
        if got.outcome == "not-run" && ran > 0 {
            broken.push(format!(
                "Request {} was called not-run but ran.",
                got.request
            ));
        }
        if sent.at_most_once && ran > 1 {
            broken.push(format!(
                "Request {} may run once and ran {ran} times.",
                got.request
            ));
        }
        if got.outcome != "complete" {
            broken.push(format!(
                "Request {} had no answer: {}",
                got.request, got.message
            ));
        }
    }
    for (name, engine) in &fleet.engines {
        if engine.overcommitted() > 0 {
            broken.push(format!(
                "Engine {name} was ordered to hold more than its memory."
            ));
        }
    }
    broken
}

/// How often each request ran, by its mark.
fn runs(fleet: &Fleet) -> HashMap<String, usize> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, engine) in &fleet.engines {
        for started in engine.started() {
            *runs.entry(started.prompt.to_string()).or_default() += 1;
        }
    }
    for (_, service) in &fleet.services {
        for ran in service.ran() {
            *runs.entry(ran.body).or_default() += 1;
        }
    }
    runs
}
