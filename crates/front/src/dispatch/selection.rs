//! Selection of the dispatchers by the leader.

use crate::message::dispatch::Assignment;
use crate::readers::Candidate;
use std::net::SocketAddr;
use unit::{Name, rendezvous};

/// Part of the strongest host's CPU from which a host is strong enough.
const STRONG: f32 = 0.75;

/// Names a dispatcher for each service: the one named before while it reports, or else one of the strongest hosts.
/// The leader, which has other work, only where it is alone.
pub fn choose(
    services: &[Name],
    hosts: &[Candidate],
    leader: SocketAddr,
    before: &[Assignment],
) -> Vec<Assignment> {
    let mut sound: Vec<&Candidate> = hosts.iter().filter(|host| !host.silent).collect();
    if sound.iter().any(|host| host.addr != leader) {
        sound.retain(|host| host.addr != leader);
    }
    let most = sound.iter().map(|host| host.cores).fold(0.0, f32::max);
    let assignment = |service: &Name| {
        let kept = before.iter().find(|a| a.service == *service);
        let kept = kept.filter(|a| sound.iter().any(|host| host.addr == a.addr));
        let strong = sound.iter().filter(|host| host.cores >= most * STRONG);
        let key = rendezvous::hash(service.as_bytes());
        let chosen = strong.max_by_key(|host| rendezvous::weight(key, &host.addr.to_string()));
        let addr = kept.map(|a| a.addr).or(chosen.map(|host| host.addr))?;
        let service = service.clone();
        Some(Assignment { service, addr })
    };
    services.iter().filter_map(assignment).collect()
}
