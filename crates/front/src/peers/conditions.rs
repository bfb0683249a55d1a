//! Reports exceptional conditions to the leader, which tells them to all: hosts without paths to the replicas, and
//! replicas that fall over when they turn requests away.

use super::Peers;
use crate::message::conditions::MAX_BRITTLE;
use crate::message::{Detour, HostConditions, Message};
use crate::{detour, paths};
use route::detour::Candidate;
use unit::Time;

impl Peers {
    /// Sends the conditions at this host to the leader, if there are any.
    pub(super) async fn send_conditions(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let state = &self.state;
        let brittle = state.table.lock().own_brittle(state.now());
        let conditions = HostConditions {
            host: state.settings.name.clone(),
            is_isolated: paths::is_isolated(state),
            wants_detours: detour::is_wanted(state),
            room: detour::room(state),
            brittle: Vec::new(),
        };
        let is_usual = !conditions.is_isolated && !conditions.wants_detours;
        if is_usual && !detour::is_room_reduced(state) && brittle.is_empty() {
            return;
        }
        let mut parts: Vec<_> = brittle.chunks(MAX_BRITTLE).map(<[_]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        for brittle in parts {
            let message = Message::HostConditions(HostConditions {
                brittle,
                ..conditions.clone()
            });
            self.answer(message, leader.peers).await;
        }
    }

    /// Tells all hosts the conditions in the fleet; the hosts for detours only if any is needed, or if `is_due`.
    pub async fn broadcast_conditions(&self, term: u64, is_due: bool) {
        let now = self.state.now();
        let may_need = self.is_direct() && is_due;
        if may_need || self.inbox.wants_detours(now) {
            let detours = self.inbox.detours(now);
            self.broadcast(&Message::Detours(term, detours)).await;
        }
        for rows in self.inbox.brittle(now).chunks(MAX_BRITTLE) {
            let message = Message::Brittle(term, rows.to_vec());
            self.broadcast(&message).await;
        }
    }

    /// Applies the leader's list of hosts that take requests of others.
    pub(super) fn assign_detours(&self, listed: Vec<Detour>, now: Time) {
        let own = self.state.settings.peers;
        let others = listed.into_iter().filter(|(addr, ..)| *addr != own);
        let candidates = others.map(|(addr, hall, room)| Candidate { addr, hall, room });
        self.state.detours.assign(candidates.collect(), now);
    }
}
