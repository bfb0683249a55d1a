//! Telling all hosts which requests are suspected or kept out, and keeping the list in the store.

use super::Planner;
use crate::leader;
use crate::message::Message;
use crate::quarantine::{self, KEY};
use platform::store::{Committed, Item, Transaction};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tracing::warn;

impl Planner {
    /// Tells the list where it has changed, or `again`, and has it stored.
    pub(super) async fn tell_listing(self: &Arc<Self>, again: bool) {
        let now = self.state.now();
        let (listing, changed) = self.state.quarantine.listing(self.term.token, now);
        if changed || (again && !listing.entries.is_empty()) {
            self.peers
                .broadcast(&Message::QuarantineList(listing))
                .await;
        }
        self.begin_storing();
    }

    /// Stores the list beside other work, unless it stands there or is being stored.
    fn begin_storing(self: &Arc<Self>) {
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

    /// Stores the list in the place of the one at that revision, as long as this host leads. What fails is tried
    /// again with the next round.
    async fn store_listing(&self, value: Vec<u8>, revision: u64) {
        // The entry's revision, which the store counts by key: the first term's transaction wrote two.
        let leader = self.state.leader.lock().clone();
        let own = leader.filter(|leader| leader.peers == self.state.settings.peers);
        let Some(entry) = own.map(|leader| leader.term) else {
            return;
        };
        let txn = Transaction {
            expected: vec![(leader::KEY.into(), entry), (KEY.into(), revision)],
            writes: vec![(KEY.into(), value.clone(), 0)],
            removed: Vec::new(),
        };
        match self.state.store.commit(&txn).await {
            Ok(Committed::Done(revision)) => {
                quarantine::apply_stored(&self.state, &stored(value, revision));
            }
            Ok(Committed::Conflict(items)) => {
                for item in items.iter().filter(|item| &*item.key == KEY) {
                    quarantine::apply_conflict(&self.state, item);
                }
            }
            Err(why) => self.state.log.rate_limited(|| {
                warn!(target: "quarantine", event = "not_stored", why = %why, "the list of requests that are kept out could not be stored yet")
            }),
        }
    }
}

/// Item of the list as it was written.
fn stored(value: Vec<u8>, revision: u64) -> Item {
    Item {
        key: KEY.into(),
        value,
        revision,
        created: revision,
        lease: 0,
    }
}
