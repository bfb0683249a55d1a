//! Last look before anything is sent to a replica: whether it still takes it.

use super::Table;
use unit::{Span, Time};

/// Leave to send one request or call to a replica; nothing can be sent without it.
#[derive(Debug)]
pub struct Permit(());

/// Why a replica gets nothing from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// It leaves, or is gone.
    Leaving,
    /// It wants nothing for a time, or only little after it; the time until the next request.
    BackingOff(Span),
}

impl Unavailable {
    /// Word for it in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Unavailable::Leaving => "leaves",
            Unavailable::BackingOff(_) => "rests",
        }
    }
}

impl Table {
    /// Lets a request or a call be sent to a replica, unless that takes none now.
    pub fn permit(&mut self, id: &str, now: Time) -> Result<Permit, Unavailable> {
        if let Some(closed) = self.unavailable(id, now) {
            return Err(closed);
        }
        if let Some((_, rest)) = self.rests.get_mut(id) {
            rest.record_sent(now);
        }
        Ok(Permit(()))
    }

    /// Why a replica takes nothing from this host now.
    pub fn unavailable(&self, id: &str, now: Time) -> Option<Unavailable> {
        let seen = self.view.get(id).filter(|seen| !seen.entry.leaving);
        let Some(seen) = seen else {
            return Some(Unavailable::Leaving);
        };
        let rest = self.rest(id, seen.entry.incarnation, now)?;
        rest.wait(now).map(Unavailable::BackingOff)
    }
}
