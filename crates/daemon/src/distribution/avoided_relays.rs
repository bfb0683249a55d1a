//! Relays that did not answer. They are passed over for a while, so that the next daemons of the rendezvous hash take
//! their place although the host list still names them.

use parking_lot::Mutex;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a relay that did not answer is passed over.
const AVOID_FOR: Span = Span::from_secs(10);

/// Relays that did not answer, each with the time until which it is passed over.
#[derive(Default)]
pub struct AvoidedRelays {
    until: Mutex<HashMap<Name, Time>>,
}

impl AvoidedRelays {
    /// Records that a relay did not answer.
    pub fn add(&self, relay: &Name, now: Time) {
        let mut until = self.until.lock();
        until.retain(|_, until| now < *until);
        until.insert(relay.clone(), now + AVOID_FOR);
    }

    /// Whether a relay is passed over now.
    pub fn contains(&self, relay: &Name, now: Time) -> bool {
        self.until
            .lock()
            .get(relay)
            .is_some_and(|until| now < *until)
    }
}
