//! Broadcasting the list of suspected and quarantined requests, and writing it to the store.

use super::Planner;
use crate::leader;
use crate::message::Message;
use crate::quarantine::{self, KEY};
use platform::store::{CommitOutcome, Item, Transaction};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tracing::warn;

impl Planner {
    /// Broadcasts the list if it has changed or `again` is set, and starts a write if one is due.
    pub(super) async fn broadcast_listing(self: &Arc<Self>, again: bool) {
        let now = self.state.now();
        let (listing, changed) = self.state.quarantine.listing(self.term.token, now);
        if changed || (again && !listing.entries.is_empty()) {
            self.peers
                .broadcast(&Message::QuarantineList(listing))
                .await;
        }
        self.spawn_store();
    }

    /// Writes the list in the background, unless the store has it already or a write is in
    /// progress.
    fn spawn_store(self: &Arc<Self>) {
        if !self.term.is_valid() || self.storing.swap(true, Ordering::Relaxed) {
            return;
        }
        let Some((value, revision)) = self.state.quarantine.pending_write(self.state.now()) else {
            self.storing.store(false, Ordering::Relaxed);
            return;
        };
        let planner = self.clone();
        tokio::spawn(async move {
            planner.store_listing(value, revision).await;
            planner.storing.store(false, Ordering::Relaxed);
        });
    }

    /// Replaces the stored list of that revision, as long as this host leads. A failed write is
    /// repeated in the next round.
    async fn store_listing(&self, value: Vec<u8>, revision: u64) {
        // The entry's own revision as read from the store: in the first term its transaction wrote two
        // keys.
        let leader = self.state.leader.lock().clone();
        let own = leader.filter(|leader| leader.peers == self.state.settings.peers);
        let Some(entry) = own.map(|leader| leader.term) else {
            return;
        };
        let txn = Transaction {
            expected: vec![(leader::KEY.into(), entry), (KEY.into(), revision)],
            writes: vec![(KEY.into(), value.clone(), 0)],
            removals: Vec::new(),
            lease: None,
        };
        match self.state.store.commit(&txn).await {
            Ok(CommitOutcome::Applied(revision)) => {
                quarantine::apply_stored(&self.state, &stored_item(value, revision));
            }
            Ok(CommitOutcome::Conflict(items)) => {
                for item in items.iter().filter(|item| &*item.key == KEY) {
                    quarantine::apply_conflict(&self.state, item);
                }
            }
            Err(why) => self.state.log.rate_limited(|| {
                warn!(target: "quarantine", event = "not_stored", why = %why, "could not write the quarantine list to the store; will retry")
            }),
        }
    }
}

fn stored_item(value: Vec<u8>, revision: u64) -> Item {
    Item {
        key: KEY.into(),
        value,
        revision,
        created: revision,
        lease: 0,
    }
}
