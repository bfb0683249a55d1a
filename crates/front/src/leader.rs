//! Election of the leader, the one host that sends orders. The leader's key is written under a
//! lease, and writing it begins the term.
//!
//! The revision of that write is the fencing token: it is unique and increasing. By its own clock,
//! which includes time for which the host was suspended, the leader stops before its lease can have
//! expired. A host that finds an entry of its own, left by an earlier process, replaces it
//! immediately: that process is gone, since this one listens on its address.

use crate::clock::Clock;
use crate::follow::set_leader;
use crate::state::{Leader, State};
use crate::{paths, readers, rounds};
use parking_lot::Mutex;
use platform::store::{CommitOutcome, Freshness, Item, Lease, Store, Transaction, era};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tracing::{info, warn};
use unit::{Name, Span, Time, rendezvous};

/// Key of the leader's entry.
pub const KEY: &str = "coveford/leader";

/// Key that the first leader writes, by which later ones know that they are not the first.
const FIRST_TERM_KEY: &str = "coveford/led";

/// Time to live of the lease, and about how long planning pauses when the leader dies.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

const RENEWALS_PER_TTL: u32 = 3;

/// Time before the end of the lease at which the leader stops, so that orders on their way arrive
/// within it.
const MARGIN: Span = Span::from_ms(400);

/// Longest jitter before a host tries to acquire a free lease. It differs between hosts, so that
/// few try.
const MAX_JITTER: Duration = Duration::from_millis(200);

/// Additional delay of a host with hardly any processor time, compared to one with
/// [`ENOUGH_CORES`]: several stronger hosts can try first. A starved leader answers so late that
/// hosts take it for dead.
const LOW_CPU_DELAY: Duration = Duration::from_millis(1_500);

/// Additional delay of a host that follows readers, within which one of them becomes the leader and its entry comes
/// here: hundreds of hosts that try in vain would cost three calls each.
const FOLLOWER_DELAY: Duration = LEASE_TTL;

/// Additional delay of a host that reaches no replica, and could send no orders: longer than all others.
const ISOLATED_DELAY: Duration = Duration::from_millis(6_000);

/// Processor time, in cores, beyond which more does not make a better leader.
const ENOUGH_CORES: f64 = 0.5;

/// Interval between attempts to renew a lease that could not be renewed in time.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between checks of whether the lease is free.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Leader's entry in the store.
#[derive(Serialize, Deserialize)]
struct Entry {
    name: Name,
    peers: SocketAddr,
}

/// Decodes the leader's entry.
pub fn decode(item: &Item) -> Result<Leader, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(&item.value)?;
    Ok(Leader {
        name: entry.name,
        peers: entry.peers,
        term: item.revision,
    })
}

/// Term of this host as the leader. Clones share its state.
#[derive(Clone)]
pub struct Term {
    pub token: u64,
    pub started: Time,
    /// Whether no host has led before, so that no order can be in progress.
    pub is_first: bool,
    validity: Arc<Mutex<Validity>>,
    clock: Arc<Clock>,
    /// Store by whose lease it holds: a term ends when the store comes back from a copy.
    store: Store,
}

/// Validity of a term.
struct Validity {
    /// Shortly before its lease expires, by this host's clock.
    until: Time,
    /// Whether it has ended early: this host stepped down or a later leader sends orders.
    ended: bool,
}

impl Term {
    /// Whether the term is valid, by this host's clock.
    pub fn is_valid(&self) -> bool {
        self.is_lease_valid() && !self.is_of_earlier_era()
    }

    fn is_lease_valid(&self) -> bool {
        let validity = self.validity.lock();
        !validity.ended && self.clock.now() < validity.until
    }

    /// Whether the store has come back from a copy since the term began: the lease, and the token, may be given out again.
    fn is_of_earlier_era(&self) -> bool {
        era::of(self.token) < self.store.era()
    }

    /// Extends the term until shortly before its lease expires. Returns whether it is valid now.
    fn extend(&self, lease_ends: Time) -> bool {
        let mut validity = self.validity.lock();
        validity.until = validity.until.max(lease_ends - MARGIN);
        drop(validity);
        self.is_valid()
    }

    /// Ends the term; no order is sent after this.
    pub fn end(&self) {
        self.validity.lock().ended = true;
    }
}

/// Tries to become the leader whenever there is none. `lead` runs until the term that it is given
/// ends.
pub async fn run<F, R>(state: Arc<State>, lead: F)
where
    F: Fn(Term) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    // Whether the last term was valid until the store came back from a copy: no other host led then.
    let mut was_leading = false;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        was_leading &= !state.is_led_by_another();
        if !may_campaign(&state, was_leading) {
            continue;
        }
        if !state.leads() && !was_leading {
            tokio::time::sleep(election_delay(&state)).await;
        }
        if !may_campaign(&state, was_leading) {
            continue;
        }
        if let Some((lease, term)) = acquire(&state).await {
            // The task set ends the work with this task, also when the daemon is dropped.
            let mut work = JoinSet::new();
            work.spawn(lead(term.clone()));
            keep_renewing(&state, &lease, &term).await;
            while resume(&state, &lease, &term).await {
                keep_renewing(&state, &lease, &term).await;
            }
            work.abort_all();
            was_leading = term.is_lease_valid() && term.is_of_earlier_era();
            step_down(&state, lease, &term).await;
        }
    }
}

/// Delay before this host tries to become the leader: jitter, and more with little processor time or if others are to
/// try first.
fn election_delay(state: &State) -> Duration {
    let jitter = rendezvous::hash(state.settings.name.as_bytes()) % MAX_JITTER.as_millis() as u64;
    let shortfall = 1.0 - (state.settings.limits.cores / ENOUGH_CORES).min(1.0);
    let precedence = match is_follower_of_large_fleet(state) {
        true => FOLLOWER_DELAY,
        false => Duration::ZERO,
    };
    let isolation = match paths::is_isolated(state) {
        true => ISOLATED_DELAY,
        false => Duration::ZERO,
    };
    Duration::from_millis(jitter) + LOW_CPU_DELAY.mul_f64(shortfall) + precedence + isolation
}

/// Whether many hosts read the store for this one, which learn of a new leader before it does.
fn is_follower_of_large_fleet(state: &State) -> bool {
    let hosts = state.table.lock().host_count;
    hosts > rounds::MAX_DIRECT_HOSTS && readers::is_follower(state)
}

/// Whether this host may try to become the leader: it reaches the store, is not draining, and knows
/// of no other leader.
///
/// A store that has come back from a copy does not tell whose term was valid before: other hosts than that one wait until it
/// must have ended.
fn may_campaign(state: &State, was_leading: bool) -> bool {
    let table = state.table.lock();
    let contact = &table.view.contact;
    let has_store = table.routes.is_some() && !contact.is_unreachable();
    let came_back = contact.came_back_within(LEASE_TTL.into(), state.now());
    drop(table);
    let may_be_led = came_back && !was_leading;
    has_store && !may_be_led && !state.is_draining() && !state.is_led_by_another()
}

/// Result of creating the leader's entry.
enum Created {
    /// Created by this host at this revision.
    Confirmed(u64),
    /// Found when reading it back, at this revision. Whether the first-term key was written is
    /// unknown.
    ReadBack(u64),
    /// Not created.
    Failed,
}

/// Acquires a lease and creates the leader's entry under it.
async fn acquire(state: &Arc<State>) -> Option<(Lease, Term)> {
    let requested = state.now();
    let lease = match state.store.grant(LEASE_TTL).await {
        Ok(lease) => lease,
        Err(why) => {
            info!(target: "leader", event = "no_lease", why = %why, "the store granted no lease");
            return None;
        }
    };
    let is_first = !state.leader_seen.load(Ordering::Relaxed);
    let created = create(state, &lease, is_first).await;
    // Whatever the result: a host has led, or may have.
    state.leader_seen.store(true, Ordering::Relaxed);
    let (token, is_first) = match created {
        Created::Confirmed(token) => (token, is_first),
        Created::ReadBack(token) => (token, false),
        Created::Failed => {
            let _ = state.store.revoke(&lease).await;
            return None;
        }
    };
    set_leader(
        state,
        Some(Leader {
            name: state.settings.name.clone(),
            peers: state.settings.peers,
            term: token,
        }),
    );
    info!(target: "leader", event = "won", term = token, lease = lease.id, "this host is the leader");
    let term = Term {
        token,
        started: state.now(),
        is_first,
        validity: Arc::new(Mutex::new(Validity {
            until: requested + Span::from(lease.ttl).saturating_sub(MARGIN),
            ended: false,
        })),
        clock: state.clock.clone(),
        store: state.store.clone(),
    };
    Some((lease, term))
}

/// Creates the leader's entry unless there is one, and the first-term key in the first term.
async fn create(state: &State, lease: &Lease, is_first: bool) -> Created {
    match state.store.commit(&creation(state, lease, is_first)).await {
        Ok(CommitOutcome::Applied(revision)) => Created::Confirmed(revision),
        Ok(CommitOutcome::Conflict(items)) => {
            note_conflict(state, &items);
            Created::Failed
        }
        Err(why) => match read_back(state, lease, &why.to_string()).await {
            Some(revision) => Created::ReadBack(revision),
            None => Created::Failed,
        },
    }
}

/// Revision that the leader's entry must have for this host to write it; 0 if it must not exist.
/// Another host's entry is never replaced: it may have become known only now, while this host was
/// about to write.
pub fn expected_revision(known: Option<&Leader>, own: SocketAddr) -> u64 {
    let own_entry = known.filter(|leader| leader.peers == own);
    own_entry.map_or(0, |leader| leader.term)
}

/// Transaction that creates the leader's entry, or replaces one left by an earlier process here.
fn creation(state: &State, lease: &Lease, is_first: bool) -> Transaction {
    let entry = Entry {
        name: state.settings.name.clone(),
        peers: state.settings.peers,
    };
    let value = serde_json::to_vec(&entry).expect("an entry is serializable");
    let expected = expected_revision(state.leader.lock().as_ref(), state.settings.peers);
    let mut txn = Transaction {
        expected: vec![(KEY.into(), expected)],
        writes: vec![(KEY.into(), value, lease.id)],
        removals: Vec::new(),
        lease: Some(*lease),
    };
    if is_first && expected == 0 {
        txn.expected.push((FIRST_TERM_KEY.into(), 0));
        txn.writes.push((FIRST_TERM_KEY.into(), Vec::new(), 0));
    }
    txn
}

/// Records the leader whose entry made a creation conflict, if any.
fn note_conflict(state: &State, items: &[Item]) {
    let found = items.iter().find(|i| &*i.key == KEY && i.revision > 0);
    if let Some(Ok(leader)) = found.map(decode) {
        set_leader(state, Some(leader));
    }
}

/// Reads back whether a creation without an answer has taken effect.
async fn read_back(state: &State, lease: &Lease, why: &str) -> Option<u64> {
    info!(target: "leader", event = "in_doubt", why, "no answer to the creation of the leader's entry; reading it back");
    let item = state.store.get(KEY, Freshness::Linearizable).await.ok()??;
    (item.lease == lease.id).then_some(item.revision)
}

/// Renews the lease until it cannot be renewed in time, or the daemon drains.
async fn keep_renewing(state: &State, lease: &Lease, term: &Term) {
    let interval = Span::from(lease.ttl / RENEWALS_PER_TTL);
    loop {
        let next_renewal = state.now() + interval;
        while state.now() < next_renewal {
            tokio::time::sleep(POLL_INTERVAL).await;
            if state.is_draining() || !term.is_valid() {
                return;
            }
        }
        let requested = state.now();
        let until = term.validity.lock().until;
        match state
            .clock
            .timeout_at(until, state.store.renew(lease))
            .await
        {
            Ok(Ok(ttl)) => {
                term.extend(requested + Span::from(ttl));
            }
            Ok(Err(platform::Error::LeaseEnded { lease })) => {
                warn!(target: "leader", event = "lease_ended", lease, "the lease has expired");
                return;
            }
            Ok(Err(why)) => {
                warn!(target: "leader", event = "not_renewed", why = %why, "could not renew the lease; will retry");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(_) => return,
        }
    }
}

/// Resumes a term whose lease could not be renewed in time, once the store answers again and if the
/// lease has outlived the outage: as long as the entry exists under it, no other host can have led.
/// Returns whether the term is resumed.
async fn resume(state: &State, lease: &Lease, term: &Term) -> bool {
    while !state.is_draining() && !state.is_led_by_another() {
        let requested = state.now();
        match renew(state, lease).await {
            Ok(Some(ttl)) => {
                info!(target: "leader", event = "resumed", term = term.token, "the store answers again; the term is resumed");
                return term.extend(requested + Span::from(ttl));
            }
            Ok(None) => return false,
            Err(why) => {
                state.log.rate_limited(|| {
                    warn!(target: "leader", event = "not_renewed", why = %why, "could not renew the lease; will retry")
                });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    false
}

/// Renews a lease if the leader's entry still exists under it; returns `None` if either is gone.
async fn renew(state: &State, lease: &Lease) -> Result<Option<Duration>, platform::Error> {
    let ttl = match state.store.renew(lease).await {
        Ok(ttl) => ttl,
        Err(platform::Error::LeaseEnded { .. }) => return Ok(None),
        Err(why) => return Err(why),
    };
    let item = state.store.get(KEY, Freshness::Linearizable).await?;
    Ok(item.filter(|i| i.lease == lease.id).map(|_| ttl))
}

/// Ends a term and revokes its lease.
async fn step_down(state: &State, lease: Lease, term: &Term) {
    term.end();
    warn!(target: "leader", event = "lost", term = term.token, "this host is no longer the leader");
    let _ = state.store.revoke(&lease).await;
    let mut leader = state.leader.lock();
    if leader.as_ref().is_some_and(|l| l.term == term.token) {
        *leader = None;
    }
}
