//! Shares of client accounts: while requests wait, an account that asks for more than its share is put back, by the
//! time that its excess takes to serve.

use std::collections::HashMap;
use unit::{Span, Time};

/// Time after its last request for which an account counts as active.
const ACTIVE_FOR: Span = Span::from_secs(1);

/// Accounts kept; beyond, inactive ones are dropped.
const MAX_ACCOUNTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Account {
    asked_at: Time,
    /// When the service would be done with its requests at its share of the rate.
    done_at: Time,
}

#[derive(Debug, Default)]
pub(super) struct Accounts {
    by_hash: HashMap<u32, Account>,
}

impl Accounts {
    /// Records a request of an account; returns the time by which it is ahead of its share of a service with this
    /// rate, in requests per second. Requests without an account (0) are not told apart.
    pub(super) fn record(&mut self, account: u32, rate: f64, now: Time) -> Span {
        if account == 0 || rate <= 0.0 {
            return Span::ZERO;
        }
        if self.by_hash.len() >= MAX_ACCOUNTS {
            self.by_hash
                .retain(|_, a| now.since(a.asked_at) < ACTIVE_FOR);
        }
        let is_active = |a: &&Account| now.since(a.asked_at) < ACTIVE_FOR;
        let others = self.by_hash.iter().filter(|(hash, _)| **hash != account);
        let active = 1 + others.map(|(_, a)| a).filter(is_active).count();
        let known = self.by_hash.entry(account).or_insert(Account {
            asked_at: now,
            done_at: now,
        });
        let start = known.done_at.max(now);
        known.asked_at = now;
        known.done_at = start + Span::from_secs_f64(active as f64 / rate);
        start.since(now)
    }
}
