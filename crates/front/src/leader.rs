//! Election of the one host that gives orders: a key under a lease, whose writing begins the term.
//!
//! The revision at which the key was written is the fencing token: it is unique and rises. The holder
//! stops by its own clock, which counts the time for which it was suspended, before its lease can have ended. A host that finds an entry of its own,
//! which an earlier process here has left, takes it over at once: the process before it is gone, since
//! this one listens where that one did.

use crate::clock::Clock;
use crate::follow::set_leader;
use crate::state::{Leader, State};
use parking_lot::Mutex;
use platform::store::{Committed, Freshness, Item, Lease, Transaction};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tracing::{info, warn};
use unit::{Name, Span, Time, rendezvous};

/// Key of the leader.
pub const KEY: &str = "coveford/leader";

/// Key that the first leader of all leaves behind, so that a later one knows that it is not the first.
const FIRST_TERM_KEY: &str = "coveford/led";

/// Time to live of the lease. A planner is missed for about this long when its host dies.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// Renewals in one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Time before the lease's end at which its holder stops, for the way of an order that is given.
const MARGIN: Span = Span::from_ms(400);

/// Longest wait of a host before it tries for a free lease, by chance; hosts wait differently long,
/// so that few try.
const MAX_JITTER: Duration = Duration::from_millis(200);

/// Wait of a host with next to no processor beside one with [`ENOUGH_CORES`]: long enough for several
/// stronger ones to try. At 300 hosts a leader with 0.12 of a core answered so late that hosts took it for
/// gone.
const LOW_CPU_DELAY: Duration = Duration::from_millis(1_500);

/// Processor, in cores, from which a host leads as well as any.
const ENOUGH_CORES: f64 = 0.5;

/// Pause between two tries to renew a lease that could not be renewed in time.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Pause between looks whether the lease is free.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Leader's entry in the store.
#[derive(Serialize, Deserialize)]
struct Entry {
    name: Name,
    peers: SocketAddr,
}

/// Reads the leader's entry.
pub fn decode(item: &Item) -> Result<Leader, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(&item.value)?;
    Ok(Leader {
        name: entry.name,
        peers: entry.peers,
        term: item.revision,
    })
}

/// Term of this host as the leader; clones share its end.
#[derive(Clone)]
pub struct Term {
    /// Fencing token.
    pub token: u64,
    /// When it began.
    pub started: Time,
    /// Whether no host has ever led before, so that no order can be under way.
    pub is_first: bool,
    validity: Arc<Mutex<Validity>>,
    clock: Arc<Clock>,
}

/// How long a term holds.
struct Validity {
    /// Shortly before its lease ends, by this host's clock.
    until: Time,
    /// Whether it is over for good, since it was given up or a later holder gives orders.
    ended: bool,
}

impl Term {
    /// Whether the term still holds, by this host's clock.
    pub fn is_valid(&self) -> bool {
        let held = self.validity.lock();
        !held.ended && self.clock.now() < held.until
    }

    /// Lets the term hold until shortly before its lease ends; tells whether it holds now.
    fn extend(&self, lease_ends: Time) -> bool {
        let mut held = self.validity.lock();
        held.until = held.until.max(lease_ends - MARGIN);
        drop(held);
        self.is_valid()
    }

    /// Ends the term; no order is given after this.
    pub fn end(&self) {
        self.validity.lock().ended = true;
    }
}

/// Tries to lead whenever nobody does; `lead` works until the term it is given ends.
pub async fn run<F, R>(state: Arc<State>, lead: F)
where
    F: Fn(Term) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let wait = election_delay(&state);
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if !may_campaign(&state) {
            continue;
        }
        if !state.leads() {
            tokio::time::sleep(wait).await;
        }
        if !may_campaign(&state) {
            continue;
        }
        if let Some((lease, term)) = acquire(&state).await {
            // Its work ends with this task, also when the daemon is dropped.
            let mut work = JoinSet::new();
            work.spawn(lead(term.clone()));
            keep_renewing(&state, &lease, &term).await;
            while resume(&state, &lease, &term).await {
                keep_renewing(&state, &lease, &term).await;
            }
            work.abort_all();
            step_down(&state, lease, &term).await;
        }
    }
}

/// Time that this host leaves to others that are stronger, or before it by chance.
fn election_delay(state: &State) -> Duration {
    let spread = rendezvous::hash(state.settings.name.as_bytes()) % MAX_JITTER.as_millis() as u64;
    let lack = 1.0 - (state.settings.limits.cores / ENOUGH_CORES).min(1.0);
    Duration::from_millis(spread) + LOW_CPU_DELAY.mul_f64(lack)
}

/// Whether this host may try to lead: it sees the store, stays, and knows of no other leader.
fn may_campaign(state: &State) -> bool {
    let table = state.table.lock();
    let sees = table.routes.is_some() && !table.view.contact.is_unreachable();
    drop(table);
    sees && !state.is_draining() && !state.is_led_by_another()
}

/// What came of the creation of the leader's entry.
enum Created {
    /// This host created it at that revision.
    Confirmed(u64),
    /// So it was found when it was read back: who wrote the mark of the first leader is not known.
    ReadBack(u64),
    /// It did not.
    Failed,
}

/// Takes a lease and creates the leader's entry under it.
async fn acquire(state: &Arc<State>) -> Option<(Lease, Term)> {
    let asked = state.now();
    let lease = match state.store.grant(LEASE_TTL).await {
        Ok(lease) => lease,
        Err(why) => {
            info!(target: "leader", event = "no_lease", why = %why, "no lease was granted");
            return None;
        }
    };
    let is_first = !state.leader_seen.load(Ordering::Relaxed);
    let created = create(state, &lease, is_first).await;
    // Whatever came of it: a host has led now, or may have.
    state.leader_seen.store(true, Ordering::Relaxed);
    let (token, is_first) = match created {
        Created::Confirmed(token) => (token, is_first),
        Created::ReadBack(token) => (token, false),
        Created::Failed => {
            let _ = state.store.end(lease.id).await;
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
    info!(target: "leader", event = "won", term = token, lease = lease.id, "this host leads");
    let term = Term {
        token,
        started: state.now(),
        is_first,
        validity: Arc::new(Mutex::new(Validity {
            until: asked + Span::from(lease.ttl).saturating_sub(MARGIN),
            ended: false,
        })),
        clock: state.clock.clone(),
    };
    Some((lease, term))
}

/// Creates the leader's entry unless there is one; the first leader of all leaves its mark too.
async fn create(state: &State, lease: &Lease, is_first: bool) -> Created {
    match state.store.commit(&creation(state, lease, is_first)).await {
        Ok(Committed::Done(revision)) => Created::Confirmed(revision),
        Ok(Committed::Conflict(items)) => {
            note_conflict(state, &items);
            Created::Failed
        }
        Err(why) => match read_back(state, lease, &why.to_string()).await {
            Some(revision) => Created::ReadBack(revision),
            None => Created::Failed,
        },
    }
}

/// Revision of the entry that a host may write anew when it tries to lead; 0 where there must be none. Another
/// host's is never replaced: it may have become known only now, while this host was about to try.
pub fn expected_revision(known: Option<&Leader>, own: SocketAddr) -> u64 {
    let left = known.filter(|leader| leader.peers == own);
    left.map_or(0, |leader| leader.term)
}

/// Transaction that creates the leader's entry, or takes over the one that an earlier process here left.
fn creation(state: &State, lease: &Lease, is_first: bool) -> Transaction {
    let entry = Entry {
        name: state.settings.name.clone(),
        peers: state.settings.peers,
    };
    let value = serde_json::to_vec(&entry).expect("an entry is plain data");
    let left = expected_revision(state.leader.lock().as_ref(), state.settings.peers);
    let mut txn = Transaction {
        expected: vec![(KEY.into(), left)],
        writes: vec![(KEY.into(), value, lease.id)],
        removed: Vec::new(),
    };
    if is_first && left == 0 {
        txn.expected.push((FIRST_TERM_KEY.into(), 0));
        txn.writes.push((FIRST_TERM_KEY.into(), Vec::new(), 0));
    }
    txn
}

/// Takes in the leader whose entry stood in the way of a creation, if one did.
fn note_conflict(state: &State, items: &[Item]) {
    let found = items.iter().find(|i| &*i.key == KEY && i.revision > 0);
    if let Some(Ok(leader)) = found.map(decode) {
        set_leader(state, Some(leader));
    }
}

/// Reads back whether a creation whose answer was lost has taken effect.
async fn read_back(state: &State, lease: &Lease, why: &str) -> Option<u64> {
    info!(target: "leader", event = "in_doubt", why, "the creation of the leader's entry is read back");
    let item = state.store.get(KEY, Freshness::Newest).await.ok()??;
    (item.lease == lease.id).then_some(item.revision)
}

/// Renews the lease until it cannot be renewed in time, or the daemon stops.
async fn keep_renewing(state: &State, lease: &Lease, term: &Term) {
    let pause = Span::from(lease.ttl / RENEWALS_PER_TTL);
    loop {
        let step = state.now() + pause;
        while state.now() < step {
            tokio::time::sleep(POLL_INTERVAL).await;
            if state.is_draining() || !term.is_valid() {
                return;
            }
        }
        let asked = state.now();
        let until = term.validity.lock().until;
        match state
            .clock
            .timeout_at(until, state.store.renew(lease.id))
            .await
        {
            Ok(Ok(ttl)) => {
                term.extend(asked + Span::from(ttl));
            }
            Ok(Err(platform::Error::LeaseEnded { lease })) => {
                warn!(target: "leader", event = "lease_ended", lease, "the lease has ended");
                return;
            }
            Ok(Err(why)) => {
                warn!(target: "leader", event = "not_renewed", why = %why, "the lease could not be renewed yet");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(_) => return,
        }
    }
}

/// Goes on with a term that could not be renewed in time, once the store answers again, if the lease has
/// waited meanwhile: as long as the entry stands under it, nobody else can have led. Tells whether the
/// term goes on.
async fn resume(state: &State, lease: &Lease, term: &Term) -> bool {
    while !state.is_draining() && !state.is_led_by_another() {
        let asked = state.now();
        match renew(state, lease).await {
            Ok(Some(ttl)) => {
                info!(target: "leader", event = "resumed", term = term.token, "the store answers again, and the term goes on");
                return term.extend(asked + Span::from(ttl));
            }
            Ok(None) => return false,
            Err(why) => {
                state.log.rate_limited(|| {
                    warn!(target: "leader", event = "not_renewed", why = %why, "the lease could not be renewed yet")
                });
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
    false
}

/// Renews a lease under which the leader's entry still stands; none when the lease or the entry is gone.
async fn renew(state: &State, lease: &Lease) -> Result<Option<Duration>, platform::Error> {
    let ttl = match state.store.renew(lease.id).await {
        Ok(ttl) => ttl,
        Err(platform::Error::LeaseEnded { .. }) => return Ok(None),
        Err(why) => return Err(why),
    };
    let item = state.store.get(KEY, Freshness::Newest).await?;
    Ok(item.filter(|i| i.lease == lease.id).map(|_| ttl))
}

/// Ends a term and its lease.
async fn step_down(state: &State, lease: Lease, term: &Term) {
    term.end();
    warn!(target: "leader", event = "lost", term = term.token, "this host no longer leads");
    let _ = state.store.end(lease.id).await;
    let mut known = state.leader.lock();
    if known.as_ref().is_some_and(|l| l.term == term.token) {
        *known = None;
    }
}
