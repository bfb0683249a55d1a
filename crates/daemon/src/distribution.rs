//! Distribution of bundles to this daemon.
//!
//! A few relays per hall, the top ones of a rendezvous hash over the host list,
//! watch the key-value service. The other daemons follow a relay by long polls
//! and compare sequences with a random peer, so that a lost relay or a cut link
//! delays a bundle by seconds at most. A relay that does not answer is passed
//! over, and the next daemon of the hash takes its place. Sequence numbers, the fan-out and the lag
//! measured at each end follow the paper on Quicksilver.

mod avoided_relays;
mod freshness;
mod peer;

pub use avoided_relays::AvoidedRelays;
pub use freshness::Freshness;
pub use peer::{call, exchange, handle};

use crate::clock::wall_ms;
use crate::core::Core;
use crate::documents;
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

/// Maximum wait of one long poll or watch.
const POLL_WAIT: Duration = Duration::from_secs(5);

/// Delay after a failed poll, which also limits the calls on a service that is down.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between two comparisons with a random peer.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(2);

/// Whether this daemon is one of its hall's relays.
///
/// A host without known peers is one, since it has nobody to follow.
pub fn is_relay(core: &Core) -> bool {
    let relays = relays(core);
    relays.is_empty() || relays.contains(&core.settings.name)
}

/// Names of this hall's relays, without those that did not answer.
fn relays(core: &Core) -> Vec<Name> {
    let now = core.now();
    let peers = core.peers.read();
    let candidates: Vec<Name> = peers
        .iter()
        .filter(|p| p.hall == core.settings.hall && !p.leaving)
        .filter(|p| !core.avoided_relays.contains(&p.name, now))
        .map(|p| p.name.clone())
        .collect();
    let key = rendezvous::hash(core.settings.hall.as_bytes());
    rendezvous::top(key, &candidates, RELAYS)
        .into_iter()
        .cloned()
        .collect()
}

/// Follows the bundles until the process ends.
pub async fn follow(core: Arc<Core>) {
    let mut revision = 0;
    loop {
        let succeeded = match is_relay(&core) {
            true => watch(&core, &mut revision).await,
            false => follow_relay(&core).await,
        };
        if !succeeded {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Watches the key-value service once; returns false if it did not answer or a part is missing.
async fn watch(core: &Arc<Core>, revision: &mut u64) -> bool {
    let found = match core.kv.watch(keys::HEAD, *revision, POLL_WAIT).await {
        Ok(found) => found,
        Err(_) => return false,
    };
    core.freshness.record_service(core.now());
    let Some(found) = found else {
        return true;
    };
    // A stale read may carry an older revision, which must not set this one back.
    *revision = found.revision.max(*revision);
    let head: Head = match documents::parse(keys::HEAD, &found.value) {
        Ok(head) => head,
        Err(e) => {
            warn!(target: "spread", "the bundle head in the key-value service cannot be read: {e}");
            sleep(RETRY_DELAY).await;
            return true;
        }
    };
    if head.sequence <= core.active_bundle.sequence() {
        return true;
    }
    let texts = match documents::parts(&core.kv, &head.draft.parts, &current_parts(core)).await {
        Ok(texts) => texts,
        Err(e) => {
            warn!(target: "spread", "parts of bundle {} are not available yet: {e}", head.sequence);
            *revision = 0;
            return false;
        }
    };
    activate(core, &found.value, head, &texts, "service");
    true
}

/// Parts of the active bundle, by hash.
fn current_parts(core: &Core) -> HashMap<Name, Name> {
    core.in_force().map(|f| f.parts.clone()).unwrap_or_default()
}

/// Polls the hall's relays in turn, starting at a random one; returns false if none answered.
async fn follow_relay(core: &Arc<Core>) -> bool {
    let relays = relays(core);
    let start = rand::rng().random_range(0..relays.len().max(1));
    for i in 0..relays.len() {
        let relay = &relays[(start + i) % relays.len()];
        if follow_peer(core, relay, POLL_WAIT).await {
            return true;
        }
        core.avoided_relays.add(relay, core.now());
    }
    false
}

/// A peer's answer: its sequence, and its head if that is newer.
struct PeerHead {
    sequence: u64,
    head: Option<Head>,
}

/// Decodes a peer's answer; a delta is applied to the head that it is based on.
fn decode_head(core: &Core, answer: Frame) -> Option<PeerHead> {
    match answer {
        Frame::Head { sequence, head } => {
            let head = match head {
                Some(text) => Some(documents::parse::<Head>(keys::HEAD, &text).ok()?),
                None => None,
            };
            Some(PeerHead { sequence, head })
        }
        Frame::Delta { sequence, delta } => {
            let delta: Delta = documents::parse(keys::HEAD, &delta).ok()?;
            let current = core.in_force()?;
            let base = match current.head.sequence == delta.base {
                true => current.head.clone(),
                // Another bundle was activated since the request was sent.
                false => core.active_bundle.past_head(delta.base)?,
            };
            let head = Some(delta.apply(&base));
            Some(PeerHead { sequence, head })
        }
        _ => None,
    }
}

/// Activates a peer's bundle if it is newer; returns false if it could not be had or was rejected.
async fn follow_peer(core: &Arc<Core>, peer: &Name, wait: Duration) -> bool {
    let Some(addr) = core.peer_addr(peer) else {
        return false;
    };
    let after = core.active_bundle.sequence();
    let request = Frame::Follow {
        after,
        wait_ms: wait.as_millis() as u64,
    };
    let Ok(answer) = call(core, addr, &request, wait).await else {
        return false;
    };
    let Some(PeerHead { sequence, head }) = decode_head(core, answer) else {
        warn!(target: "spread", "the bundle head sent by {peer} cannot be read");
        return false;
    };
    if sequence > 0 && sequence >= after {
        core.freshness.record_peer(core.now());
    }
    let Some(head) = head else {
        return true;
    };
    if head.sequence <= core.active_bundle.sequence() {
        return true;
    }
    let mut texts = current_parts(core);
    let missing: Vec<Name> = head
        .draft
        .parts
        .iter()
        .filter(|part| !texts.contains_key(&part.hash))
        .map(|part| part.hash.clone())
        .collect();
    if !missing.is_empty() {
        let request = Frame::Fetch { hashes: missing };
        let Ok(Frame::Parts { texts: fetched }) = call(core, addr, &request, POLL_WAIT).await
        else {
            return false;
        };
        let hashed = fetched
            .into_iter()
            .map(|t| (bundle::part::hash(t.as_bytes()), t));
        texts.extend(hashed);
    }
    let text = serde_json::to_string(&head).expect("a head is always serializable");
    activate(core, &text.into(), head, &texts, "peer")
}

/// Activates a bundle; returns false if it was rejected.
fn activate(
    core: &Core,
    text: &Name,
    head: Head,
    texts: &HashMap<Name, Name>,
    from: &'static str,
) -> bool {
    let sequence = head.sequence;
    let lag = Span::from_ms(wall_ms().saturating_sub(head.rolled_ms));
    match core.active_bundle.activate(text, head, texts) {
        Ok(()) => {
            let histogram = core
                .metrics
                .histogram("coveford_spread_lag_seconds", &[("from", from)]);
            crate::metrics::record(&histogram, lag);
            info!(target: "spread", "bundle {sequence} is in force {lag} after its roll, received from a {from}");
            true
        }
        Err(crate::active_bundle::Error::NotNewer { .. }) => true,
        Err(e) => {
            let counter = core
                .metrics
                .counter("coveford_bundles_refused_total", &[("from", from)]);
            counter.increment(1);
            warn!(target: "spread", "bundle {sequence} from a {from} was rejected: {e}");
            false
        }
    }
}

/// Compares sequences with a random peer at regular intervals, until the process ends.
pub async fn run_anti_entropy(core: Arc<Core>) {
    loop {
        sleep(ANTI_ENTROPY_INTERVAL).await;
        let others = core.other_daemons();
        if others.is_empty() {
            continue;
        }
        let peer = others[rand::rng().random_range(0..others.len())]
            .name
            .clone();
        follow_peer(&core, &peer, Duration::ZERO).await;
    }
}
