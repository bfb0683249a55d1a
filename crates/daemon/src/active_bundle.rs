//! The bundle in force at this daemon.
//!
//! It is replaced as a whole, and only by a bundle with a higher sequence.

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

/// Verified bundle.
pub struct Bundle {
    /// Its head.
    pub head: Head,
    /// The head as text, as it is sent to other daemons.
    pub text: Name,
    /// Texts of its parts, by hash.
    pub parts: HashMap<Name, Name>,
    /// Its parsed content.
    pub intent: Intent,
}

/// Why a bundle was not activated.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its sequence is not above that of the bundle in force.
    #[snafu(display("Bundle {sequence} is not above {current}, which is in force."))]
    NotNewer {
        /// Its sequence.
        sequence: u64,
        /// Sequence of the bundle in force.
        current: u64,
    },
    /// Its signatures are not sufficient.
    #[snafu(display("{source}"), context(false))]
    Rejected {
        /// Cause.
        source: head::Error,
    },
    /// A part is missing or does not match its hash.
    #[snafu(display("Part {hash} of bundle {sequence} is missing or corrupt."))]
    InvalidPart {
        /// Hash of the part.
        hash: Name,
        /// Sequence of the bundle.
        sequence: u64,
    },
    /// Its content is not valid.
    #[snafu(display("Bundle {sequence} has {} problems; the first: {}", problems.len(), problems[0]))]
    InvalidContent {
        /// Sequence of the bundle.
        sequence: u64,
        /// All problems found.
        problems: Vec<Problem>,
    },
}

/// Number of past heads kept, so that followers slightly behind can be sent a delta.
const MAX_PAST_HEADS: usize = 32;

/// The bundle in force, replaced atomically, and the heads before it.
pub struct ActiveBundle {
    trust: Trust,
    current: ArcSwapOption<Bundle>,
    activation: Mutex<()>,
    past_heads: Mutex<VecDeque<Head>>,
    sequence: watch::Sender<u64>,
}

/// Creates the holder, with no bundle in force.
pub fn open(trust: Trust) -> ActiveBundle {
    ActiveBundle {
        trust,
        current: ArcSwapOption::empty(),
        activation: Mutex::new(()),
        past_heads: Mutex::default(),
        sequence: watch::Sender::new(0),
    }
}

impl ActiveBundle {
    pub fn current(&self) -> Option<Arc<Bundle>> {
        self.current.load_full()
    }

    /// Sequence of the bundle in force; 0 before the first.
    pub fn sequence(&self) -> u64 {
        *self.sequence.borrow()
    }

    /// Head of an earlier bundle, if it is still kept.
    pub fn past_head(&self, sequence: u64) -> Option<Head> {
        let past = self.past_heads.lock();
        past.iter().find(|head| head.sequence == sequence).cloned()
    }

    /// Receiver of the sequence in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.sequence.subscribe()
    }

    /// Verifies a bundle and puts it in force.
    ///
    /// Fails if its sequence is not higher, its signatures are not sufficient, a part is missing or
    /// corrupt, or its content is not valid.
    pub fn activate(
        &self,
        text: &Name,
        head: Head,
        texts: &HashMap<Name, Name>,
    ) -> Result<(), Error> {
        let _guard = self.activation.lock();
        let current = self.current();
        let sequence = head.sequence;
        if sequence <= self.sequence() {
            return Err(Error::NotNewer {
                sequence,
                current: self.sequence(),
            });
        }
        let revoked = current.as_ref().map(|c| c.intent.revoked.clone());
        let revoked = revoked.unwrap_or_default();
        head.verify(&self.trust, &revoked)?;
        let parts = verify_parts(&head, texts)?;
        let ordered = head.draft.parts.iter().map(|part| &*parts[&part.hash]);
        let intent = part::parse(ordered)
            .map_err(|problems| Error::InvalidContent { sequence, problems })?;
        if let Some(current) = current {
            let mut past = self.past_heads.lock();
            past.push_back(current.head.clone());
            let surplus = past.len().saturating_sub(MAX_PAST_HEADS);
            past.drain(..surplus);
        }
        self.current.store(Some(Arc::new(Bundle {
            head,
            text: text.clone(),
            parts,
            intent,
        })));
        self.sequence.send_replace(sequence);
        Ok(())
    }
}

/// The parts that a head references, each checked against its hash.
fn verify_parts(head: &Head, texts: &HashMap<Name, Name>) -> Result<HashMap<Name, Name>, Error> {
    let mut parts = HashMap::new();
    for part in &head.draft.parts {
        let text = texts
            .get(&part.hash)
            .filter(|text| part::hash(text.as_bytes()) == part.hash)
            .ok_or_else(|| Error::InvalidPart {
                hash: part.hash.clone(),
                sequence: head.sequence,
            })?;
        parts.insert(part.hash.clone(), text.clone());
    }
    Ok(parts)
}
