//! Parts of a large fleet: the leader tells one host of each part, which passes on to the others.
//!
//! What is told to all is paid for between halls, and takes the leader's processor, once a part and
//! not once a host.

use crate::readers::Candidate;
use std::net::SocketAddr;

/// Hosts of a part: with the leader's changes each 15 ms these are some 2,000 small datagrams a second
/// for the host that passes on, a hundredth of a core; and their addresses fit one datagram.
const MOST: usize = 32;

/// Part of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Host that the leader tells.
    pub relay: SocketAddr,
    /// Hosts that it passes on to.
    pub members: Vec<SocketAddr>,
}

/// Cuts a fleet into parts by hall; the strongest hosts pass on, unless they have fallen silent.
pub fn plan(mut hosts: Vec<Candidate>) -> Vec<Group> {
    hosts.sort_by(|a, b| a.hall.cmp(&b.hall).then(a.addr.cmp(&b.addr)));
    let halls = hosts.chunk_by(|a, b| a.hall == b.hall);
    halls.flat_map(cut_hall).collect()
}

/// Cuts a hall into parts of about the same size.
fn cut_hall(hall: &[Candidate]) -> Vec<Group> {
    let count = hall.len().div_ceil(MOST);
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
    let part = |relay: &&Candidate| Group {
        relay: relay.addr,
        members: rest.next().unwrap_or_default().to_vec(),
    };
    relays.iter().map(part).collect()
}
