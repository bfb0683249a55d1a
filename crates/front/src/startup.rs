//! What a host waits for from its start until it is ready, for logs and metrics.

use crate::state::State;
use parking_lot::Mutex;
use std::fmt;
use tracing::info;
use unit::{Span, Time};

/// Step of the first read of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Step {
    /// The first page is awaited from the store.
    #[default]
    FirstPage,
    /// Readers are awaited, or the time to read the rest from the store.
    Readers,
    /// Further pages are awaited from the store.
    FurtherPages,
    /// Everything was read, and there is no configuration that can be used.
    Configuration,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::FirstPage => "first_page",
            Step::Readers => "readers",
            Step::FurtherPages => "further_pages",
            Step::Configuration => "configuration",
        })
    }
}

/// Progress of the first read of the store.
#[derive(Debug, Clone)]
struct Progress {
    step: Step,
    /// When the step began.
    since: Time,
    /// Pages read so far.
    pages: usize,
    /// Reads that failed so far.
    failures: u32,
}

/// Progress of a host's start.
#[derive(Debug)]
pub struct Startup {
    progress: Mutex<Progress>,
}

/// Begins with the first step at `now`.
pub fn open(now: Time) -> Startup {
    let progress = Progress {
        step: Step::default(),
        since: now,
        pages: 0,
        failures: 0,
    };
    Startup {
        progress: Mutex::new(progress),
    }
}

impl Startup {
    /// Notes the step that the host has come to.
    pub fn set_step(&self, step: Step, now: Time) {
        let mut progress = self.progress.lock();
        if progress.step != step {
            progress.step = step;
            progress.since = now;
        }
    }

    /// Notes how many pages have been read.
    pub fn set_pages(&self, pages: usize) {
        self.progress.lock().pages = pages;
    }

    /// Notes that a read has failed.
    pub fn record_failure(&self) {
        self.progress.lock().failures += 1;
    }
}

/// Whether the host has not been ready yet, and is not to stop.
fn is_waiting(state: &State) -> bool {
    !state.is_ready() && !state.is_draining()
}

/// Logs what a host that is not ready waits for.
pub fn log_waiting(state: &State) {
    if !is_waiting(state) {
        return;
    }
    let progress = state.startup.progress.lock().clone();
    let step_ms = state.now().since(progress.since).ms();
    let (step, pages, failures) = (progress.step, progress.pages, progress.failures);
    state.log.rate_limited(|| {
        info!(target: "daemon", event = "waiting", step = %step, step_ms, pages, failures, "not ready: the first read of the store is not done; step_ms is the time in this step")
    });
}

/// Updates the gauge of the time in the current step; 0 once the host is ready.
pub fn update_gauge(state: &State) {
    let progress = state.startup.progress.lock().clone();
    let waited = match is_waiting(state) {
        true => state.now().since(progress.since),
        false => Span::ZERO,
    };
    let step = progress.step.to_string();
    let labels = [("step", step.as_str())];
    let metrics = &state.log.metrics;
    metrics
        .gauge("coveford_start_wait_seconds", &labels)
        .set(waited.secs());
}
