//! Bytes after whole answers that belong to no request, statuses of replicas' own that read like refusals, and answers
//! without end.

use crate::site::Site;
use platform_standin::link::{Endless, Mode};
use platform_standin::replica::Fault;
use platform_standin::stray;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Average number of steps between two changes of each kind.
const STEPS_PER_CHANGE: u32 = 4;

/// Statuses that a replica gives itself.
const STATUSES: [u16; 3] = [503, 429, 408];

/// Forms of answers without end.
const FORMS: [Endless; 5] = [
    Endless::Body,
    Endless::Unframed,
    Endless::Event,
    Endless::Head,
    Endless::Informational,
];

/// Randomly lets the links of a host insert bytes after answers, a sound replica answer with a status of its own, and a
/// replica answer one host without end, or no longer.
pub fn change(site: &Site, rng: &mut SmallRng) {
    let host = &site.hosts[rng.random_range(0..site.hosts.len())];
    let replica = &site.replicas[rng.random_range(0..site.replicas.len())];
    let bytes = stray::ALL[rng.random_range(0..stray::ALL.len())];
    let status = STATUSES[rng.random_range(0..STATUSES.len())];
    let form = FORMS[rng.random_range(0..FORMS.len())];
    let [inserts, fails, is_endless, ends] =
        [1, 1, 1, 3].map(|times| rng.random_ratio(times, STEPS_PER_CHANGE));
    if inserts {
        site.add_answers(host, Mode::Insert(bytes));
    }
    if fails {
        match replica.fault() {
            Fault::None => replica.set_fault(Fault::OwnStatus(status)),
            Fault::OwnStatus(_) => replica.set_fault(Fault::None),
            _ => {}
        }
    }
    if ends {
        host.clear_endless(&site.replicas);
    }
    if is_endless {
        host.set_endless(replica.addr, Some(form));
    }
}

/// Ends all of it but the bytes that links insert, which end with the links' other faults.
pub fn end(site: &Site) {
    for host in &site.hosts {
        host.clear_endless(&site.replicas);
    }
    for replica in &site.replicas {
        if let Fault::OwnStatus(_) = replica.fault() {
            replica.set_fault(Fault::None);
        }
    }
}
