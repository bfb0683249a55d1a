//! Hall ledger and model homes, stored in the key-value service.

use crate::core::Core;
use crate::documents::{self, Error, Versioned};
use crate::settings::Settings;
use backing::keys;
use backing::kv::{Error as KvError, SwapOutcome};
use place::plan::Plan;
use place::{Homes, Ledger};
use serde::Serialize;
use unit::Name;

/// Attempts at one compare-and-swap, within one tick.
const MAX_ATTEMPTS: u32 = 3;

/// Ledger and homes as last read or written.
pub(super) struct LedgerStore {
    key: String,
    hall: Name,
    name: Name,
    writes: u64,
    ledger: Ledger,
    /// Ledger as stored at `revision`.
    stored: Ledger,
    /// Revision of the stored ledger; `None` if it must be read first.
    revision: Option<u64>,
    dirty: bool,
    homes: Versioned<Homes>,
}

impl LedgerStore {
    pub(super) fn new(settings: &Settings) -> LedgerStore {
        LedgerStore {
            key: keys::ledger(&settings.hall),
            hall: settings.hall.clone(),
            name: settings.name.clone(),
            writes: 0,
            ledger: Ledger::default(),
            stored: Ledger::default(),
            revision: None,
            dirty: false,
            homes: Versioned {
                value: None,
                revision: 0,
            },
        }
    }

    /// Requires the ledger to be read again before the next order.
    pub(super) fn invalidate(&mut self) {
        self.revision = None;
    }

    pub(super) fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Makes the next [`write`](Self::write) store the ledger even if no entry changed.
    pub(super) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Reads the ledger and takes it over with a higher term, unless that is done already.
    pub(super) async fn open(&mut self, core: &Core) -> Result<(), Error> {
        if self.revision.is_some() {
            return Ok(());
        }
        let found: Versioned<Ledger> = documents::read(&core.kv, &self.key).await?;
        self.ledger = found.value.unwrap_or_default();
        self.stored = self.ledger.clone();
        self.revision = Some(found.revision);
        self.ledger.take_over();
        self.dirty = true;
        self.write(core).await
    }

    /// Writes the ledger if it changed.
    ///
    /// Fails if the write is not known to have taken effect; no order may be sent then.
    pub(super) async fn write(&mut self, core: &Core) -> Result<(), Error> {
        self.dirty |= self.ledger.open != self.stored.open;
        let Some(expected) = self.revision else {
            return Err(unavailable("the ledger has not been read"));
        };
        if !self.dirty {
            return Ok(());
        }
        self.ledger.writer = self.nonce();
        let text = to_json(&self.ledger);
        let writer = self.ledger.writer.clone();
        let is_ours = |found: &str| {
            let found = documents::parse::<Ledger>(&self.key, found);
            found.is_ok_and(|l| l.writer == writer)
        };
        match write_if_unchanged(core, &self.key, expected, &text, is_ours).await? {
            Some(revision) => {
                self.revision = Some(revision);
                self.stored = self.ledger.clone();
                self.dirty = false;
                Ok(())
            }
            None => {
                self.revision = None;
                Err(unavailable("another planner has written the ledger"))
            }
        }
    }

    /// Reads the homes and keeps them for [`write_homes`](Self::write_homes).
    pub(super) async fn read_homes(&mut self, core: &Core) -> Result<Homes, Error> {
        self.homes = documents::read(&core.kv, keys::HOMES).await?;
        Ok(self.homes.value.clone().unwrap_or_default())
    }

    /// Applies a plan's joins and leaves to the homes last read and writes the result.
    pub(super) async fn write_homes(&mut self, core: &Core, plan: &Plan) -> Result<(), Error> {
        let mut homes = self.homes.value.clone().unwrap_or_default();
        let mut changed = false;
        for model in &plan.joins {
            changed |= homes.join(model, &self.hall);
        }
        for model in &plan.leaves {
            changed |= homes.leave(model, &self.hall);
        }
        if !changed {
            return Ok(());
        }
        homes.writer = self.nonce();
        let writer = homes.writer.clone();
        let is_ours = |found: &str| {
            let found = documents::parse::<Homes>(keys::HOMES, found);
            found.is_ok_and(|h| h.writer == writer)
        };
        // A conflicting write by another hall is no error: the next tick reads its result.
        write_if_unchanged(
            core,
            keys::HOMES,
            self.homes.revision,
            &to_json(&homes),
            is_ours,
        )
        .await?;
        Ok(())
    }

    /// Identity of one write, to recognize it when it is read back.
    fn nonce(&mut self) -> Name {
        self.writes += 1;
        format!("{}:{:x}:{}", self.name, std::process::id(), self.writes).into()
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("ledger and homes are always serializable")
}

fn unavailable(reason: &str) -> Error {
    Error::Kv {
        source: KvError::Unavailable {
            reason: reason.into(),
        },
    }
}

/// Writes a value if the key is still at the expected revision; returns the new revision.
///
/// A write with a lost answer is tried again: if it took effect, the retry conflicts and `is_ours`
/// recognizes the stored value. Returns `None` if the key holds another writer's value.
async fn write_if_unchanged(
    core: &Core,
    key: &str,
    expected: u64,
    text: &str,
    is_ours: impl Fn(&str) -> bool,
) -> Result<Option<u64>, Error> {
    let mut last = KvError::Unavailable {
        reason: "no attempt was made".into(),
    };
    for _ in 0..MAX_ATTEMPTS {
        match core
            .kv
            .compare_and_swap(key, expected, Some(text), None)
            .await
        {
            Ok(SwapOutcome::Written(revision)) => return Ok(Some(revision)),
            Ok(SwapOutcome::Conflict(found)) => {
                let ours = found.filter(|f| is_ours(&f.value));
                return Ok(ours.map(|f| f.revision));
            }
            Err(e) => last = e,
        }
    }
    Err(Error::Kv { source: last })
}
