//! Lease of a hall's planner.

use crate::core::Core;
use crate::settings::Settings;
use backing::keys;
use backing::kv::{Error, SwapOutcome};
use unit::{Span, Time};

/// Share of the lease's time after which its holder stops sending orders, in percent.
const SAFE_PERCENT: f64 = 0.7;

/// Lease, held or wanted.
pub(super) struct Lease {
    key: String,
    ttl: Span,
    held: Option<Held>,
}

#[derive(Clone, Copy)]
struct Held {
    lease: u64,
    /// When the last call that extended it was begun, by our own clock.
    from: Time,
}

impl Lease {
    pub(super) fn new(settings: &Settings) -> Lease {
        Lease {
            key: keys::lease(&settings.hall),
            ttl: settings.planner.lease,
            held: None,
        }
    }

    /// Extends the lease, or takes it when nobody holds it; tells whether it is held.
    pub(super) async fn hold(&mut self, core: &Core) -> bool {
        let from = core.now();
        match self.held {
            Some(held) => match core.kv.renew(held.lease).await {
                Ok(lease) => self.held = Some(Held { lease, from }),
                Err(Error::Lapsed) => self.held = None,
                Err(_) if !self.is_safe(core.now()) => self.held = None,
                // Held still, by our own clock; nothing new can be written meanwhile.
                Err(_) => return false,
            },
            None => self.take(core, from).await,
        }
        self.held.is_some()
    }

    async fn take(&mut self, core: &Core, from: Time) {
        let taken = core.kv.get(&self.key).await;
        if !matches!(taken, Ok(None)) {
            return;
        }
        let Ok(lease) = core.kv.grant(self.ttl.std()).await else {
            return;
        };
        let name = Some(&*core.settings.name);
        match core
            .kv
            .compare_and_swap(&self.key, 0, name, Some(lease))
            .await
        {
            Ok(SwapOutcome::Written(_)) => self.held = Some(Held { lease, from }),
            // Not ours, or not known to be: the grant lapses by itself.
            Ok(SwapOutcome::Conflict(_)) | Err(_) => {}
        }
    }

    /// Whether the lease is still held by our own clock, less a margin.
    pub(super) fn is_safe(&self, now: Time) -> bool {
        self.held
            .is_some_and(|held| now.since(held.from) < self.ttl * SAFE_PERCENT)
    }

    /// Gives the lease up, so that the next planner need not wait it out.
    pub(super) async fn give_up(&mut self, core: &Core) {
        if let Some(held) = self.held.take() {
            let _ = core.kv.revoke(held.lease).await;
        }
    }
}
