//! This host's shares of the limits over all hosts, for when the limiter does not answer.

use crate::message::Subject;
use crate::settings::Bounds;
use parking_lot::Mutex;
use platform::account::Quota;
use route::quota::{Limit, REPLICA_TOLERANCE, Share, Tolerance};
use std::collections::HashMap;
use std::hash::Hash;
use unit::{Name, Span, Time};

/// Time for which the limiter is not asked after it did not answer: each vain attempt uses up part
/// of a request's target.
const LIMITER_BACKOFF: Span = Span::from_ms(250);

/// Limit on shares of one kind. Replicas with rate limits come and go as long as a host runs; at
/// the limit all shares are dropped, and this host has none until the limiter answers again.
const MAX_SHARES: usize = 4_096;

/// Tolerance of account quotas, from the settings.
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

/// Shares of accounts and of replicas.
pub struct Shares {
    accounts: Mutex<Group<Name>>,
    /// By the hash of the incarnation.
    replicas: Mutex<Group<u32>>,
    /// Time until which the limiter is not asked.
    backoff_until: Mutex<Time>,
}

/// Shares of one kind, by subject.
struct Group<K> {
    tolerance: Tolerance,
    shares: HashMap<K, Share>,
}

/// Makes the shares of a host that has been granted nothing yet.
pub fn open(bounds: &Bounds) -> Shares {
    Shares {
        accounts: Mutex::new(Group::new(tolerance(bounds))),
        replicas: Mutex::new(Group::new(REPLICA_TOLERANCE)),
        backoff_until: Mutex::default(),
    }
}

impl Shares {
    /// Runs `work` on the share of a subject.
    pub fn with<T>(&self, subject: &Subject, work: impl FnOnce(&mut Share) -> T) -> T {
        match subject {
            Subject::Account(name) => work(self.accounts.lock().share(name)),
            Subject::Replica(limited) => work(self.replicas.lock().share(&limited.replica)),
        }
    }

    /// Whether this host holds a share of any limit, which the limiter counts as used once the host is silent.
    pub fn is_any_held(&self) -> bool {
        !self.accounts.lock().shares.is_empty() || !self.replicas.lock().shares.is_empty()
    }

    /// Whether the limiter may be asked now.
    pub fn may_ask(&self, now: Time) -> bool {
        now >= *self.backoff_until.lock()
    }

    /// Records that the limiter did not answer.
    pub fn note_no_answer(&self, now: Time) {
        *self.backoff_until.lock() = now + LIMITER_BACKOFF;
    }
}

impl<K: Eq + Hash + Clone> Group<K> {
    fn new(tolerance: Tolerance) -> Group<K> {
        Group {
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
