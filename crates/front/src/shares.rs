//! This host's shares of limits over all hosts, for when nobody answers that gives out.

use crate::message::Subject;
use crate::settings::Bounds;
use parking_lot::Mutex;
use platform::account::Quota;
use route::quota::{Limit, REPLICA_TOLERANCE, Share, Tolerance};
use std::collections::HashMap;
use std::hash::Hash;
use unit::{Name, Span, Time};

/// Time for which no answer is waited for after there was none: each question that is waited for in vain
/// takes a part of its request's target.
const LIMITER_BACKOFF: Span = Span::from_ms(250);

/// Shares of one kind that are kept at once. Replicas in need come and go for as long as a host runs; beyond this
/// all are forgotten, and the host has no share until it is answered again.
const MAX_SHARES: usize = 4_096;

/// What may be used beyond the limits of client accounts, by the settings.
pub fn tolerance(bounds: &Bounds) -> Tolerance {
    Tolerance {
        window: bounds.quota_window.into(),
        overage: bounds.quota_overage,
        slack: bounds.quota_slack,
    }
}

/// Limit of an account over all hosts.
pub fn limit(quota: &Quota) -> Limit {
    Limit {
        rate: quota.rate,
        burst: quota.burst,
    }
}

/// Shares of all subjects.
pub struct Shares {
    accounts: Mutex<Table<Name>>,
    /// By the short name of the incarnation.
    replicas: Mutex<Table<u32>>,
    /// Until when the host that gives out is not asked.
    backoff_until: Mutex<Time>,
}

/// Shares of limits of one kind.
struct Table<K> {
    tolerance: Tolerance,
    shares: HashMap<K, Share>,
}

/// Makes the shares of a host that was given nothing yet.
pub fn open(bounds: &Bounds) -> Shares {
    Shares {
        accounts: Mutex::new(Table::new(tolerance(bounds))),
        replicas: Mutex::new(Table::new(REPLICA_TOLERANCE)),
        backoff_until: Mutex::default(),
    }
}

impl Shares {
    /// Works with the share of a subject.
    pub fn with<T>(&self, subject: &Subject, work: impl FnOnce(&mut Share) -> T) -> T {
        match subject {
            Subject::Account(name) => work(self.accounts.lock().share(name)),
            Subject::Replica(limited) => work(self.replicas.lock().share(&limited.replica)),
        }
    }

    /// Whether the host that gives out may be asked now.
    pub fn may_ask(&self, now: Time) -> bool {
        now >= *self.backoff_until.lock()
    }

    /// Notes that it did not answer.
    pub fn note_no_answer(&self, now: Time) {
        *self.backoff_until.lock() = now + LIMITER_BACKOFF;
    }
}

impl<K: Eq + Hash + Clone> Table<K> {
    fn new(tolerance: Tolerance) -> Table<K> {
        Table {
            tolerance,
            shares: HashMap::new(),
        }
    }

    fn share(&mut self, subject: &K) -> &mut Share {
        if self.shares.len() >= MAX_SHARES && !self.shares.contains_key(subject) {
            self.shares.clear();
        }
        let tolerance = self.tolerance;
        let share = self.shares.entry(subject.clone());
        share.or_insert_with(|| Share::new(tolerance))
    }
}
