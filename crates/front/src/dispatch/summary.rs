//! Summary of what a dispatcher decided, logged each second in which something was asked.

use route::dispatch::{Decision, Dispatcher, Notice};
use unit::{Name, Span, Time};

/// Interval of summaries.
const INTERVAL: Span = Span::from_secs(1);

/// Decisions since the last summary.
#[derive(Debug, Default)]
pub(super) struct Summary {
    /// Questions, repeated ones included.
    questions: u32,
    granted: u32,
    refused: u32,
    unable: u32,
    since: Time,
}

impl Summary {
    pub(super) fn record_ask(&mut self) {
        self.questions += 1;
    }

    pub(super) fn record(&mut self, notices: &[Notice]) {
        for notice in notices {
            match notice.decision {
                Decision::Grant(_) => self.granted += 1,
                Decision::Refuse(_) => self.refused += 1,
                Decision::Unable => self.unable += 1,
                Decision::Wait => {}
            }
        }
    }

    /// Logs the summary once it is due.
    pub(super) fn log(&mut self, service: &Name, dispatcher: &Dispatcher, now: Time) {
        if self.questions == 0 || now.since(self.since) < INTERVAL {
            return;
        }
        let (waiting, held) = (dispatcher.waiting_count(), dispatcher.granted_count());
        let service_ms = dispatcher.service_time(now).ms();
        tracing::info!(target: "dispatch", event = "places", service = &**service, questions = self.questions, granted = self.granted, refused = self.refused, unable = self.unable, waiting, held, service_ms, "places given out since the last such line");
        *self = Summary {
            since: now,
            ..Summary::default()
        };
    }
}
