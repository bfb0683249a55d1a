//! Choice of the readers by the leader: few heads read the store, and hosts of each hall pass on what
//! the heads hear.

use super::Reader;
use std::net::SocketAddr;
use unit::Name;

/// Host as the leader sees it when it names readers.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its hall.
    pub hall: Name,
    /// Where it answers other hosts.
    pub addr: SocketAddr,
    /// Its processor, in cores.
    pub cores: f32,
    /// Whether the store failed it a moment ago.
    pub store_failed: bool,
    /// Whether it has told nothing for longer than hosts pause between two tellings.
    pub silent: bool,
}

/// Hosts that read the store for all: two, so that one may fail. Each costs some three calls a second,
/// however large the fleet is.
const HEADS: usize = 2;

/// Hosts of a hall for which one passes on: each asks it about twice a second, which is a hundredth of
/// a core for so many.
const HOSTS_PER_READER: usize = 24;

/// Least readers of a hall, so that one may fail.
const LEAST_READERS: usize = 2;

/// Names the readers of each hall: the leader and the strongest hosts, since they answer the others.
/// Heads are the leader, which reads the store for itself, and the strongest reader of another hall that the store
/// does not fail.
pub fn choose(mut hosts: Vec<Candidate>, leader: SocketAddr) -> Vec<Reader> {
    hosts.sort_by(|a, b| {
        let strength = b.cores.total_cmp(&a.cores);
        let rank = |host: &Candidate| (host.hall.clone(), host.addr != leader);
        rank(a)
            .cmp(&rank(b))
            .then(strength)
            .then(a.addr.cmp(&b.addr))
    });
    hosts.retain(|host| !host.silent);
    let halls = hosts.chunk_by(|a, b| a.hall == b.hall);
    let readers: Vec<&Candidate> = halls.flat_map(readers_of).collect();
    let heads = heads(&readers, leader);
    readers
        .iter()
        .map(|host| Reader {
            hall: host.hall.clone(),
            addr: host.addr,
            root: heads.contains(&host.addr),
        })
        .collect()
}

/// Readers of one hall, whose hosts stand with the strongest first.
fn readers_of(hall: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    let count = hall.len().div_ceil(HOSTS_PER_READER).max(LEAST_READERS);
    hall.iter().take(count)
}

/// Heads among the readers.
fn heads(readers: &[&Candidate], leader: SocketAddr) -> Vec<SocketAddr> {
    let hall = readers.iter().find(|r| r.addr == leader).map(|r| &r.hall);
    let mut ranked: Vec<&&Candidate> = readers.iter().collect();
    ranked.sort_by(|a, b| {
        let beside = |r: &Candidate| r.addr != leader && hall == Some(&r.hall);
        let least = |r: &Candidate| (r.store_failed, r.addr != leader, beside(r));
        least(a)
            .cmp(&least(b))
            .then(b.cores.total_cmp(&a.cores))
            .then(a.addr.cmp(&b.addr))
    });
    ranked.iter().take(HEADS).map(|r| r.addr).collect()
}
