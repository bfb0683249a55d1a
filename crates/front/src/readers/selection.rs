//! Selection of the readers by the leader.

use super::Reader;
use std::net::SocketAddr;
use unit::Name;

/// Host that may become a reader or a relay.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub hall: Name,
    /// Address where it answers other hosts.
    pub addr: SocketAddr,
    /// CPU of the host, in cores.
    pub cores: f32,
    /// Whether the store failed it recently.
    pub store_failed: bool,
    /// Whether it has not reported for longer than the report interval.
    pub silent: bool,
    /// Whether it reaches no replica.
    pub is_isolated: bool,
}

/// Number of hosts that read the store for all; two, so that one may fail. Each makes about three calls a second.
const ROOTS: usize = 2;

/// Maximum number of roots while the store fails several of them: if it turns away many hosts, trying the others one after
/// the other would take longer than a change may.
const MAX_ROOTS: usize = 8;

/// Hosts of a hall per reader. Each polls about twice a second, which takes 1% of a core on the reader.
const HOSTS_PER_READER: usize = 24;

/// Minimum readers of a hall, so that one may fail.
const MIN_READERS: usize = 2;

/// Selects the readers of each hall: the leader and the hosts with the most CPU. Roots are the leader, which reads
/// the store anyway, and the reader of another hall with the most CPU that the store has not failed recently.
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
    let readers: Vec<&Candidate> = halls.flat_map(hall_readers).collect();
    let roots = select_roots(&readers, leader);
    readers
        .iter()
        .map(|host| Reader {
            hall: host.hall.clone(),
            addr: host.addr,
            root: roots.contains(&host.addr),
        })
        .collect()
}

/// Readers of one hall, whose hosts are sorted by decreasing preference.
fn hall_readers(hall: &[Candidate]) -> impl Iterator<Item = &Candidate> {
    let count = hall.len().div_ceil(HOSTS_PER_READER).max(MIN_READERS);
    hall.iter().take(count)
}

fn select_roots(readers: &[&Candidate], leader: SocketAddr) -> Vec<SocketAddr> {
    let hall = readers.iter().find(|r| r.addr == leader).map(|r| &r.hall);
    let mut ranked: Vec<&&Candidate> = readers.iter().collect();
    ranked.sort_by(|a, b| {
        let is_beside_leader = |r: &Candidate| r.addr != leader && hall == Some(&r.hall);
        let preference = |r: &Candidate| (r.store_failed, r.addr != leader, is_beside_leader(r));
        preference(a)
            .cmp(&preference(b))
            .then(b.cores.total_cmp(&a.cores))
            .then(a.addr.cmp(&b.addr))
    });
    ranked
        .iter()
        .take(root_count(readers))
        .map(|r| r.addr)
        .collect()
}

/// Number of roots: if the store fails as many readers as there usually are roots, as many more, but none that it fails.
fn root_count(readers: &[&Candidate]) -> usize {
    let failed = readers.iter().filter(|r| r.store_failed).count();
    let answered = readers.len() - failed;
    match failed < ROOTS {
        true => ROOTS,
        false => (ROOTS + failed).min(MAX_ROOTS).min(answered).max(ROOTS),
    }
}
