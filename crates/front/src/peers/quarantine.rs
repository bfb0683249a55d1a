//! Telling the leader of falls and of how runs ended, asking it for trials, and answering as the one that leads.

use super::Peers;
use crate::message::{CrashReport, Message, TrialResponse};
use crate::quarantine::{Report, Reports};
use route::quarantine::{Crash, Incident, RequestId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::Fingerprint;

/// Time for each try of a question, as for those about client accounts.
const TRIES: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(90)];

impl Peers {
    /// Tells what this host has to report, until the daemon ends.
    pub async fn forward_quarantine_reports(self: Arc<Self>, mut reports: Reports) {
        while let Some(report) = reports.recv().await {
            match report {
                Report::Crashed(group) => self.report_fall(group).await,
                Report::Succeeded(print) => {
                    self.state.quarantine.note_success_anywhere(print);
                    self.send_to_leader(Message::Succeeded(print)).await;
                }
                Report::TrialEnded(print, broke) => {
                    if !self.state.leads() {
                        // The trial may have been this host's own.
                        let now = self.state.now();
                        self.state.quarantine.note_trial_ended(print, broke, now);
                    }
                    self.send_to_leader(Message::TrialFailed(print, broke))
                        .await
                }
            }
        }
    }

    /// Tells a fall to the leader, and where hosts are few to all of them, so that the next leader knows of it too.
    async fn report_fall(&self, group: Incident) {
        let now = self.state.now();
        self.state
            .quarantine
            .note_crash(group.crash, &group.in_flight, now);
        let message = fallen(group);
        let others = self.others.lock().clone();
        for other in &others {
            self.send(&message, *other).await;
        }
        let leader = self.state.leader.lock().as_ref().map(|l| l.peers);
        if leader.is_some_and(|leader| !others.contains(&leader)) {
            self.send_to_leader(message).await;
        }
    }

    /// Tells the leader once more what it may not have heard, or what the one before it has heard.
    pub(super) async fn repeat_falls(&self) {
        let Some(term) = self.state.leader.lock().as_ref().map(|l| l.term) else {
            return;
        };
        let now = self.state.now();
        for group in self.state.quarantine.unreported_crashes(term, now) {
            self.send_to_leader(fallen(group)).await;
        }
    }

    /// Tells the leader something; this host takes it in directly if it leads.
    pub(super) async fn send_to_leader(&self, message: Message) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        match leader.peers == self.state.settings.peers {
            true => self.take(message, leader.peers),
            false => self.send(&message, leader.peers).await,
        }
    }

    /// Takes in a fall that another host saw.
    pub(super) fn take_fall(&self, fallen: &CrashReport) {
        let now = self.state.now();
        let fall = Crash(fallen.crash);
        self.state
            .quarantine
            .note_crash(fall, &fallen.in_flight, now);
    }

    /// Asks the leader what may be done with a request that is suspected; none when there was no answer.
    pub async fn request_trial(
        &self,
        print: Fingerprint,
        ticket: RequestId,
    ) -> Option<route::quarantine::Permit> {
        let leader = self.state.leader.lock().clone()?.peers;
        if leader == self.state.settings.peers {
            return self.decide(print, ticket).decision();
        }
        for limit in TRIES {
            let send = |number| async move {
                self.send(&Message::TrialRequest(number, print, ticket.0), leader)
                    .await;
            };
            if let Some(permit) = self.trials.ask(limit, send).await {
                return permit.decision();
            }
        }
        None
    }

    /// Answers a host that asks what may be done with a request.
    pub(super) async fn answer_trial(
        &self,
        number: u32,
        print: Fingerprint,
        ticket: u64,
        from: SocketAddr,
    ) {
        let permit = self.decide(print, RequestId(ticket));
        self.send(&Message::TrialResponse(number, permit), from)
            .await;
    }

    /// What this host says to such a question.
    fn decide(&self, print: Fingerprint, ticket: RequestId) -> TrialResponse {
        let now = self.state.now();
        match self.state.leads() {
            true => self.state.quarantine.decide(print, ticket, now).into(),
            false => TrialResponse::NotLeader,
        }
    }
}

/// Fall as it is told.
fn fallen(group: Incident) -> Message {
    Message::CrashReport(CrashReport {
        crash: group.crash.0,
        in_flight: group.in_flight,
    })
}
