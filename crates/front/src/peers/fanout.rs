//! Fan-out groups of a large fleet: the leader sends to one relay per group, which forwards to the others.
//!
//! Traffic between halls and CPU time of the leader grow with the number of groups instead of hosts.

use crate::readers::Candidate;
use std::net::SocketAddr;

/// Maximum hosts of a group. With digests every 15 ms the relay sends about 2,000 small datagrams a second, which
/// takes 1% of a core; the addresses of the group fit one datagram.
const MAX_GROUP: usize = 32;

/// Fan-out group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Host that the leader sends to.
    pub relay: SocketAddr,
    /// Hosts that the relay forwards to.
    pub members: Vec<SocketAddr>,
}

/// Groups the hosts of each hall; the hosts with the most CPU become relays, unless they are silent.
pub fn plan(mut hosts: Vec<Candidate>) -> Vec<Group> {
    hosts.sort_by(|a, b| a.hall.cmp(&b.hall).then(a.addr.cmp(&b.addr)));
    let halls = hosts.chunk_by(|a, b| a.hall == b.hall);
    halls.flat_map(plan_hall).collect()
}

/// Groups the hosts of one hall evenly.
fn plan_hall(hall: &[Candidate]) -> Vec<Group> {
    let count = hall.len().div_ceil(MAX_GROUP);
    let mut ranked: Vec<&Candidate> = hall.iter().collect();
    ranked.sort_by(|a, b| {
        let silent = a.silent.cmp(&b.silent);
        let strength = b.cores.total_cmp(&a.cores);
        silent.then(strength).then(a.addr.cmp(&b.addr))
    });
    let (relays, others) = ranked.split_at(count);
    let mut others: Vec<SocketAddr> = others.iter().map(|h| h.addr).collect();
    others.sort();
    let size = others.len().div_ceil(count).max(1);
    let mut rest = others.chunks(size);
    let group = |relay: &&Candidate| Group {
        relay: relay.addr,
        members: rest.next().unwrap_or_default().to_vec(),
    };
    relays.iter().map(group).collect()
}
