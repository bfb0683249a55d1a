//! The bundle in force at this daemon: only ever a higher one, switched at once.

use arc_swap::ArcSwapOption;
use bundle::head;
use bundle::key::Trust;
use bundle::{Head, Intent, Problem, part};
use parking_lot::Mutex;
use snafu::Snafu;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::watch;
use unit::Name;

/// Bundle in force.
pub struct InForce {
    /// Its head.
    pub head: Head,
    /// The head as text, as it is passed on.
    pub text: Name,
    /// Texts of its parts by hash.
    pub parts: HashMap<Name, Name>,
    /// Its content.
    pub intent: Intent,
}

/// Why a head was not put in force.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is not higher than the one in force.
    #[snafu(display("Bundle {sequence} is not above {current}, which is in force."))]
    NotHigher {
        /// Its sequence.
        sequence: u64,
        /// The one in force.
        current: u64,
    },
    /// It is not signed as it must be.
    #[snafu(display("{source}"), context(false))]
    Refused {
        /// What is missing.
        source: head::Error,
    },
    /// A part is missing or is not what its hash says.
    #[snafu(display("Part {hash} of bundle {sequence} is missing or corrupt."))]
    Part {
        /// Its hash.
        hash: Name,
        /// The bundle.
        sequence: u64,
    },
    /// Its content is no valid bundle.
    #[snafu(display("Bundle {sequence} has {} problems; the first: {}", problems.len(), problems[0]))]
    Content {
        /// The bundle.
        sequence: u64,
        /// What is wrong.
        problems: Vec<Problem>,
    },
}

/// Heads kept, so that followers a few bundles behind are sent only what changed.
const KEPT_HEADS: usize = 32;

/// Holder of the bundle in force.
pub struct Force {
    trust: Trust,
    current: ArcSwapOption<InForce>,
    switching: Mutex<()>,
    past: Mutex<VecDeque<Head>>,
    sequence: watch::Sender<u64>,
}

/// Makes a holder with nothing in force.
pub fn open(trust: Trust) -> Force {
    Force {
        trust,
        current: ArcSwapOption::empty(),
        switching: Mutex::new(()),
        past: Mutex::default(),
        sequence: watch::Sender::new(0),
    }
}

impl Force {
    /// The bundle in force, if any.
    pub fn current(&self) -> Option<Arc<InForce>> {
        self.current.load_full()
    }

    /// Sequence in force; 0 before the first.
    pub fn sequence(&self) -> u64 {
        *self.sequence.borrow()
    }

    /// A head that was in force here before, if it is still kept.
    pub fn past(&self, sequence: u64) -> Option<Head> {
        let past = self.past.lock();
        past.iter().find(|head| head.sequence == sequence).cloned()
    }

    /// Follows the sequence in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.sequence.subscribe()
    }

    /// Puts a head in force when it is higher, signed, and whole.
    pub fn switch(
        &self,
        text: &Name,
        head: Head,
        texts: &HashMap<Name, Name>,
    ) -> Result<(), Error> {
        let _one_at_a_time = self.switching.lock();
        let current = self.current();
        let sequence = head.sequence;
        if sequence <= self.sequence() {
            return Err(Error::NotHigher {
                sequence,
                current: self.sequence(),
            });
        }
        let revoked = current.as_ref().map(|c| c.intent.revoked.clone());
        let revoked = revoked.unwrap_or_default();
        head.verify(&self.trust, &revoked)?;
        let parts = verified(&head, texts)?;
        let ordered = head.draft.parts.iter().map(|at| &*parts[&at.hash]);
        let intent =
            part::parse(ordered).map_err(|problems| Error::Content { sequence, problems })?;
        if let Some(current) = current {
            let mut past = self.past.lock();
            past.push_back(current.head.clone());
            let surplus = past.len().saturating_sub(KEPT_HEADS);
            past.drain(..surplus);
        }
        self.current.store(Some(Arc::new(InForce {
            head,
            text: text.clone(),
            parts,
            intent,
        })));
        self.sequence.send_replace(sequence);
        Ok(())
    }
}

/// Exactly the parts that a head names, each checked against its hash.
fn verified(head: &Head, texts: &HashMap<Name, Name>) -> Result<HashMap<Name, Name>, Error> {
    let mut parts = HashMap::new();
    for at in &head.draft.parts {
        let text = texts
            .get(&at.hash)
            .filter(|text| part::hash(text.as_bytes()) == at.hash)
            .ok_or_else(|| Error::Part {
                hash: at.hash.clone(),
                sequence: head.sequence,
            })?;
        parts.insert(at.hash.clone(), text.clone());
    }
    Ok(parts)
}
