//! Lease that elects a hall's planner.

use crate::core::Core;
use crate::settings::Settings;
use backing::keys;
use backing::kv::{Error, SwapOutcome};
use unit::{Span, Time};

/// Fraction of the lease's time to live after which its holder stops sending orders.
const SAFE_FRACTION: f64 = 0.7;

/// Lease of one hall, whether or not this host holds it.
pub(super) struct Lease {
    key: String,
    ttl: Span,
    held: Option<Held>,
}

#[derive(Clone, Copy)]
struct Held {
    id: u64,
    /// Start of the last successful renewal, by the local clock.
    renewed_at: Time,
}

impl Lease {
    pub(super) fn new(settings: &Settings) -> Lease {
        Lease {
            key: keys::lease(&settings.hall),
            ttl: settings.planner.lease,
            held: None,
        }
    }

    /// Renews the lease, or acquires it if nobody holds it; returns whether the host may plan.
    pub(super) async fn acquire_or_renew(&mut self, core: &Core) -> bool {
        let started = core.now();
        match self.held {
            Some(held) => match core.kv.renew(held.id).await {
                Ok(id) => {
                    self.held = Some(Held {
                        id,
                        renewed_at: started,
                    })
                }
                Err(Error::Lapsed) => self.held = None,
                Err(_) if !self.is_valid(core.now()) => self.held = None,
                // Still held by the local clock, but the ledger cannot be written either.
                Err(_) => return false,
            },
            None => self.acquire(core, started).await,
        }
        self.held.is_some()
    }

    async fn acquire(&mut self, core: &Core, started: Time) {
        let holder = core.kv.get(&self.key).await;
        if !matches!(holder, Ok(None)) {
            return;
        }
        let Ok(id) = core.kv.grant(self.ttl.std()).await else {
            return;
        };
        let name = Some(&*core.settings.name);
        match core.kv.compare_and_swap(&self.key, 0, name, Some(id)).await {
            Ok(SwapOutcome::Written(_)) => {
                self.held = Some(Held {
                    id,
                    renewed_at: started,
                })
            }
            // Not acquired, or not known to be: the lease expires by itself.
            Ok(SwapOutcome::Conflict(_)) | Err(_) => {}
        }
    }

    /// Whether the lease is still held by the local clock, with a safety margin.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        self.held
            .is_some_and(|held| now.since(held.renewed_at) < self.ttl * SAFE_FRACTION)
    }

    /// Revokes the lease, so that the next planner need not wait for it to expire.
    pub(super) async fn release(&mut self, core: &Core) {
        if let Some(held) = self.held.take() {
            let _ = core.kv.revoke(held.id).await;
        }
    }
}
