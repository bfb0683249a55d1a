//! Bringing bundles to this daemon.
//!
//! A few relays per hall, first in a rendezvous hash over the host list, watch
//! the key-value service; the others follow a relay by a long poll and compare
//! sequences with a random peer, so that a lost relay or a cut link delays a
//! bundle by seconds at most. Sequence numbers, the fan-out and the lag
//! measured at each end follow the paper on Quicksilver.

mod confirm;
mod peer;

pub use confirm::Confirmed;
pub use peer::{answer, ask, exchange};

use crate::clock::wall_ms;
use crate::core::Core;
use crate::shelf;
use backing::keys;
use bundle::{Delta, Head};
use rand::RngExt;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};
use unit::{Name, Span, rendezvous};
use wire::Frame;

/// Relays in each hall.
const RELAYS: usize = 2;

/// Longest wait of one long poll or watch.
const WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed poll; also bounds the calls on a service that is down.
const PAUSE: Duration = Duration::from_millis(250);

/// Time between two comparisons with a random peer.
const COMPARE_EVERY: Duration = Duration::from_secs(2);

/// Whether this daemon is one of its hall's relays.
///
/// A host that knows of no peers is one: it must get its bundle somewhere.
pub fn is_relay(core: &Core) -> bool {
    let relays = relays(core);
    relays.is_empty() || relays.contains(&core.settings.name)
}

/// Names of this hall's relays.
fn relays(core: &Core) -> Vec<Name> {
    let peers = core.peers.read();
    let hall: Vec<Name> = peers
        .iter()
        .filter(|p| p.hall == core.settings.hall && !p.leaving)
        .map(|p| p.name.clone())
        .collect();
    let key = rendezvous::hash(core.settings.hall.as_bytes());
    rendezvous::top(key, &hall, RELAYS)
        .into_iter()
        .cloned()
        .collect()
}

/// Follows the head until the process ends.
pub async fn follow(core: Arc<Core>) {
    let mut revision = 0;
    loop {
        let followed = match is_relay(&core) {
            true => watch(&core, &mut revision).await,
            false => follow_relay(&core).await,
        };
        if !followed {
            sleep(PAUSE).await;
        }
    }
}

/// Watches the key-value service; tells whether it answered.
async fn watch(core: &Arc<Core>, revision: &mut u64) -> bool {
    let found = match core.kv.watch(keys::HEAD, *revision, WAIT).await {
        Ok(found) => found,
        Err(_) => return false,
    };
    core.confirmed.by_service(core.now());
    let Some(found) = found else {
        return true;
    };
    // A stale read carries an older revision; it is not followed down.
    *revision = found.revision.max(*revision);
    let head: Head = match shelf::parse(keys::HEAD, &found.value) {
        Ok(head) => head,
        Err(e) => {
            warn!(target: "spread", "the head cannot be read: {e}");
            sleep(PAUSE).await;
            return true;
        }
    };
    if head.sequence <= core.force.sequence() {
        return true;
    }
    let texts = match shelf::parts(&core.kv, &head.draft.parts, &held(core)).await {
        Ok(texts) => texts,
        Err(e) => {
            warn!(target: "spread", "bundle {} is not whole yet: {e}", head.sequence);
            *revision = 0;
            return false;
        }
    };
    switch(core, &found.value, head, &texts, "service");
    true
}

/// Texts of the parts in force.
fn held(core: &Core) -> HashMap<Name, Name> {
    core.in_force().map(|f| f.parts.clone()).unwrap_or_default()
}

/// Follows one of the hall's relays; tells whether it answered.
async fn follow_relay(core: &Arc<Core>) -> bool {
    let relays = relays(core);
    let start = rand::rng().random_range(0..relays.len().max(1));
    for i in 0..relays.len() {
        let relay = &relays[(start + i) % relays.len()];
        if follow_peer(core, relay, WAIT).await {
            return true;
        }
    }
    false
}

/// What a peer told of its head.
struct Told {
    sequence: u64,
    head: Option<Head>,
}

/// Reads a peer's answer; a delta is applied to the head it is against.
fn told(core: &Core, answer: Frame) -> Option<Told> {
    match answer {
        Frame::Head { sequence, head } => {
            let head = match head {
                Some(text) => Some(shelf::parse::<Head>(keys::HEAD, &text).ok()?),
                None => None,
            };
            Some(Told { sequence, head })
        }
        Frame::Delta { sequence, delta } => {
            let delta: Delta = shelf::parse(keys::HEAD, &delta).ok()?;
            let current = core.in_force()?;
            let base = match current.head.sequence == delta.base {
                true => current.head.clone(),
                // A bundle came by another way meanwhile.
                false => core.force.past(delta.base)?,
            };
            let head = Some(delta.apply(&base));
            Some(Told { sequence, head })
        }
        _ => None,
    }
}

/// Takes over a peer's head if it is higher; tells whether the peer answered.
async fn follow_peer(core: &Arc<Core>, peer: &Name, wait: Duration) -> bool {
    let Some(addr) = core.peer(peer) else {
        return false;
    };
    let after = core.force.sequence();
    let question = Frame::Follow {
        after,
        wait_ms: wait.as_millis() as u64,
    };
    let Ok(answer) = ask(core, addr, &question, wait).await else {
        return false;
    };
    let Some(Told { sequence, head }) = told(core, answer) else {
        warn!(target: "spread", "the head of {peer} cannot be read");
        return false;
    };
    if sequence > 0 && sequence >= after {
        core.confirmed.by_peer(core.now());
    }
    let Some(head) = head else {
        return true;
    };
    if head.sequence <= core.force.sequence() {
        return true;
    }
    let mut texts = held(core);
    let missing: Vec<Name> = head
        .draft
        .parts
        .iter()
        .filter(|at| !texts.contains_key(&at.hash))
        .map(|at| at.hash.clone())
        .collect();
    if !missing.is_empty() {
        let question = Frame::Fetch { hashes: missing };
        let Ok(Frame::Parts { texts: got }) = ask(core, addr, &question, WAIT).await else {
            return false;
        };
        let hashed = got
            .into_iter()
            .map(|t| (bundle::part::hash(t.as_bytes()), t));
        texts.extend(hashed);
    }
    let text = serde_json::to_string(&head).expect("a head can always be written");
    switch(core, &text.into(), head, &texts, "peer")
}

fn switch(
    core: &Core,
    text: &Name,
    head: Head,
    texts: &HashMap<Name, Name>,
    from: &'static str,
) -> bool {
    let sequence = head.sequence;
    let lag = Span::from_ms(wall_ms().saturating_sub(head.rolled_ms));
    match core.force.switch(text, head, texts) {
        Ok(()) => {
            let histogram = core
                .metrics
                .histogram("coveford_spread_lag_seconds", &[("from", from)]);
            crate::metrics::record(&histogram, lag);
            info!(target: "spread", "bundle {sequence} is in force, {lag} after its roll, from a {from}");
            true
        }
        Err(crate::force::Error::NotHigher { .. }) => true,
        Err(e) => {
            let counter = core
                .metrics
                .counter("coveford_bundles_refused_total", &[("from", from)]);
            counter.increment(1);
            warn!(target: "spread", "bundle {sequence} is refused: {e}");
            false
        }
    }
}

/// Compares sequences with a random peer now and then, until the process ends.
pub async fn compare(core: Arc<Core>) {
    loop {
        sleep(COMPARE_EVERY).await;
        let others = core.others();
        if others.is_empty() {
            continue;
        }
        let peer = others[rand::rng().random_range(0..others.len())]
            .name
            .clone();
        follow_peer(&core, &peer, Duration::ZERO).await;
    }
}
