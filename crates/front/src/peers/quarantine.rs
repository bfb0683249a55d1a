//! Reports crashes and outcomes of requests to the leader, and requests and grants trials.

use super::Peers;
use crate::message::{CrashReport, Message, TrialResponse};
use crate::quarantine::{Report, Reports};
use route::quarantine::{Cause, Incident, RequestId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of each attempt of a trial request.
const TIMEOUTS: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(90)];

impl Peers {
    /// Sends reports until the daemon ends.
    pub async fn forward_quarantine_reports(self: Arc<Self>, mut reports: Reports) {
        while let Some(report) = reports.recv().await {
            match report {
                Report::Crashed(incident) => self.report_crash(incident).await,
                Report::Succeeded(causes) => {
                    let now = self.state.now();
                    self.state.quarantine.note_success_anywhere(&causes, now);
                    self.send_to_leader(Message::Succeeded(causes)).await;
                }
                Report::TrialEnded(causes, broke) => {
                    if !self.state.leads() {
                        // The trial may have been run by this host.
                        let now = self.state.now();
                        self.state.quarantine.note_trial_ended(&causes, broke, now);
                    }
                    self.send_to_leader(Message::TrialFailed(causes, broke))
                        .await
                }
            }
        }
    }

    /// Reports a crash to the leader and, in a small fleet, to all hosts, so that the next leader knows of it.
    async fn report_crash(&self, incident: Incident) {
        let now = self.state.now();
        let report = CrashReport::new(incident, now);
        self.merge_crash(report.clone());
        let message = Message::CrashReport(report);
        let others = self.direct_hosts.lock().clone();
        for other in &others {
            self.send(&message, *other).await;
        }
        let leader = self.state.leader.lock().as_ref().map(|l| l.peers);
        if leader.is_some_and(|leader| !others.contains(&leader)) {
            self.send_to_leader(message).await;
        }
    }

    /// Reports crashes again that the leader may not have received, or that only its predecessor received.
    pub(super) async fn resend_crashes(&self) {
        let Some(term) = self.state.leader.lock().as_ref().map(|l| l.term) else {
            return;
        };
        let now = self.state.now();
        for incident in self.state.quarantine.unreported_crashes(term, now) {
            let report = CrashReport::new(incident, now);
            self.send_to_leader(Message::CrashReport(report)).await;
        }
    }

    /// Sends a message to the leader; handles it directly if this host is the leader.
    pub(super) async fn send_to_leader(&self, message: Message) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        self.answer(message, leader.peers).await;
    }

    pub(super) fn merge_crash(&self, report: CrashReport) {
        let now = self.state.now();
        self.state
            .quarantine
            .note_crash_report(&report.received(now), now);
    }

    /// Requests the leader's decision on a suspected request; none if there was no response.
    pub async fn request_trial(
        &self,
        causes: &[Cause],
        request_id: RequestId,
    ) -> Option<route::quarantine::Permit> {
        let leader = self.state.leader.lock().clone()?.peers;
        if leader == self.state.settings.peers {
            return self.decide(causes, request_id).decision();
        }
        for time_limit in TIMEOUTS {
            let send = |number| async move {
                let message = Message::TrialRequest(number, causes.to_vec(), request_id.0);
                self.send(&message, leader).await;
            };
            if let Some(permit) = self.trials.send(time_limit, send).await {
                return permit.decision();
            }
        }
        None
    }

    pub(super) async fn answer_trial(
        &self,
        number: u32,
        causes: &[Cause],
        request_id: u64,
        from: SocketAddr,
    ) {
        let permit = self.decide(causes, RequestId(request_id));
        self.send(&Message::TrialResponse(number, permit), from)
            .await;
    }

    /// Decision of this host on a trial request.
    fn decide(&self, causes: &[Cause], request_id: RequestId) -> TrialResponse {
        let now = self.state.now();
        match self.state.leads() {
            true => self.state.quarantine.decide(causes, request_id, now).into(),
            false => TrialResponse::NotLeader,
        }
    }
}
