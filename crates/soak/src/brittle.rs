//! Services whose replicas are brittle for a time, and the check that none of them falls over.

use crate::site::Site;
use platform_standin::replica::Replica;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;
use tokio::time::Instant;

/// Average number of steps between two times in which a service is brittle.
const STEPS_PER_TIME: u32 = 10;

/// Time from the first word until the replicas have less room.
const NOTICE: Duration = Duration::from_secs(3);

/// Time for which they are brittle.
const DURATION: Duration = Duration::from_secs(7);

/// Room of replicas that have not less of it yet: more than all clients.
const AMPLE_ROOM: u32 = 1_000;

/// Requests that brittle replicas may turn away within a second.
const TOLERANCE: u32 = 3;

/// Time in which a service is brittle.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    service: &'static str,
    since: Instant,
    /// Room of its replicas after the notice.
    room: u32,
}

/// Randomly begins a time in which a service is brittle, and lets the present one go on or end.
pub fn change(site: &Site, phase: &mut Option<Phase>, rng: &mut SmallRng) {
    let begins = rng.random_ratio(1, STEPS_PER_TIME);
    let service = ["llm", "web"][rng.random_range(0..2)];
    let room = rng.random_range(1..8);
    match *phase {
        None if begins => {
            let since = Instant::now();
            *phase = Some(Phase {
                service,
                since,
                room,
            });
            set(site, service, Some(AMPLE_ROOM));
        }
        Some(current) if current.since.elapsed() >= DURATION => end(site, phase),
        Some(current) if current.since.elapsed() >= NOTICE => {
            set(site, current.service, Some(current.room));
        }
        _ => {}
    }
}

/// Ends a time in which a service is brittle.
pub fn end(site: &Site, phase: &mut Option<Phase>) {
    if let Some(ended) = phase.take() {
        set(site, ended.service, None);
    }
}

/// Leaves the plain service brittle after all faults, with the room that its entries name.
pub fn set_final(site: &Site) {
    set(site, "web", Some(8));
}

fn set(site: &Site, service: &str, room: Option<u32>) {
    let replicas = site.replicas.iter();
    for replica in replicas.filter(|r| r.options.service == service) {
        replica.set_brittle(room.map(|room| (room, TOLERANCE)));
    }
}

/// Reports replicas that fell over after all faults were over.
pub fn check(replicas: &[Replica], settled_at: Instant) -> Option<String> {
    let falls: usize = replicas
        .iter()
        .map(|r| r.falls().into_iter().filter(|at| *at > settled_at).count())
        .sum();
    (falls > 0).then(|| {
        format!("brittle replicas fell over {falls} times after all faults were over, since they turned too many requests away")
    })
}
