//! Check made directly before anything is sent to a replica.

use super::Table;
use unit::{Span, Time};

/// Permission to send one request or call to a replica.
#[derive(Debug)]
pub struct Permit(());

/// Why this host sends nothing to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// It is leaving, or is no longer listed.
    Leaving,
    /// It asked for a backoff; the time until the next request may be sent.
    BackingOff(Span),
}

impl Unavailable {
    /// Label in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Unavailable::Leaving => "leaves",
            Unavailable::BackingOff(_) => "rests",
        }
    }
}

impl Table {
    /// Grants one send to a replica, and counts it in the ramp-up after a backoff.
    pub fn permit(&mut self, id: &str, now: Time) -> Result<Permit, Unavailable> {
        if let Some(unavailable) = self.unavailable(id, now) {
            return Err(unavailable);
        }
        if let Some((_, backoff)) = self.backoffs.get_mut(id) {
            backoff.record_sent(now);
        }
        Ok(Permit(()))
    }

    /// Why nothing may be sent to a replica now.
    pub fn unavailable(&self, id: &str, now: Time) -> Option<Unavailable> {
        let replica = self.view.get(id).filter(|replica| !replica.entry.leaving);
        let Some(replica) = replica else {
            return Some(Unavailable::Leaving);
        };
        let backoff = self.backoff(id, replica.entry.incarnation, now)?;
        backoff.wait(now).map(Unavailable::BackingOff)
    }
}
