//! The hall's ledger and the models' homes in the key-value service.

use crate::core::Core;
use crate::settings::Settings;
use crate::shelf::{self, At, Error};
use backing::keys;
use backing::kv::{Error as KvError, SwapOutcome};
use place::plan::Plan;
use place::{Homes, Ledger};
use serde::Serialize;
use unit::Name;

/// Tries to settle a write whose answer was lost, within one tick.
const TRIES: u32 = 3;

/// Ledger as last read or written.
pub(super) struct Book {
    key: String,
    hall: Name,
    name: Name,
    writes: u64,
    ledger: Ledger,
    written: Ledger,
    /// Revision of the ledger; none when it must be read first.
    revision: Option<u64>,
    touched: bool,
    homes: At<Homes>,
}

impl Book {
    pub(super) fn new(settings: &Settings) -> Book {
        Book {
            key: keys::ledger(&settings.hall),
            hall: settings.hall.clone(),
            name: settings.name.clone(),
            writes: 0,
            ledger: Ledger::default(),
            written: Ledger::default(),
            revision: None,
            touched: false,
            homes: At {
                value: None,
                revision: 0,
            },
        }
    }

    /// Forgets what was read; it is read back before the next order.
    pub(super) fn forget(&mut self) {
        self.revision = None;
    }

    /// The ledger to decide on.
    pub(super) fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Notes a change that the next write must carry.
    pub(super) fn touch(&mut self) {
        self.touched = true;
    }

    /// Reads the ledger and takes it over with a higher term, unless it is open already.
    pub(super) async fn open(&mut self, core: &Core) -> Result<(), Error> {
        if self.revision.is_some() {
            return Ok(());
        }
        let at: At<Ledger> = shelf::read(&core.kv, &self.key).await?;
        self.ledger = at.value.unwrap_or_default();
        self.written = self.ledger.clone();
        self.revision = Some(at.revision);
        self.ledger.take_over();
        self.touched = true;
        self.write(core).await
    }

    /// Writes the ledger if it changed; until that is known to have taken effect, no order is sent.
    pub(super) async fn write(&mut self, core: &Core) -> Result<(), Error> {
        self.touched |= self.ledger.open != self.written.open;
        let Some(expected) = self.revision else {
            return Err(lost("the ledger is not open"));
        };
        if !self.touched {
            return Ok(());
        }
        self.ledger.writer = self.nonce();
        let text = text(&self.ledger);
        let writer = self.ledger.writer.clone();
        let is_ours = |found: &str| {
            let found = shelf::parse::<Ledger>(&self.key, found);
            found.is_ok_and(|l| l.writer == writer)
        };
        match swap(core, &self.key, expected, &text, is_ours).await? {
            Some(revision) => {
                self.revision = Some(revision);
                self.written = self.ledger.clone();
                self.touched = false;
                Ok(())
            }
            None => {
                self.revision = None;
                Err(lost("another planner has written the ledger"))
            }
        }
    }

    /// Reads the homes.
    pub(super) async fn homes(&mut self, core: &Core) -> Result<Homes, Error> {
        self.homes = shelf::read(&core.kv, keys::HOMES).await?;
        Ok(self.homes.value.clone().unwrap_or_default())
    }

    /// Writes the joins and leaves of a plan, on the homes it was decided on.
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
            let found = shelf::parse::<Homes>(keys::HOMES, found);
            found.is_ok_and(|h| h.writer == writer)
        };
        // Another hall that wrote first is no failure: the next tick decides on what it wrote.
        swap(
            core,
            keys::HOMES,
            self.homes.revision,
            &text(&homes),
            is_ours,
        )
        .await?;
        Ok(())
    }

    fn nonce(&mut self) -> Name {
        self.writes += 1;
        format!("{}:{:x}:{}", self.name, std::process::id(), self.writes).into()
    }
}

fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it can always be written")
}

fn lost(reason: &str) -> Error {
    Error::Kv {
        source: KvError::Unavailable {
            reason: reason.into(),
        },
    }
}

/// Writes a value; a lost answer is settled by reading back and by trying again, which
/// moves the revision past the expected one. None when another's write stands there.
async fn swap(
    core: &Core,
    key: &str,
    expected: u64,
    text: &str,
    is_ours: impl Fn(&str) -> bool,
) -> Result<Option<u64>, Error> {
    let mut last = KvError::Unavailable {
        reason: "not tried".into(),
    };
    for _ in 0..TRIES {
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
