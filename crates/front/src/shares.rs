//! This host's shares of what client accounts may use, for when nobody answers that gives out.

use crate::settings::Bounds;
use parking_lot::Mutex;
use platform::account::Quota;
use route::quota::{Limit, Share, Tolerance};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which no answer is waited for after there was none: each question that is waited for in vain
/// takes a part of its request's target.
const NOT_ASKED: Span = Span::from_ms(250);

/// What may be used beyond the limits, by the settings.
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

/// Shares by account.
pub struct Shares {
    tolerance: Tolerance,
    by_account: Mutex<HashMap<Name, Share>>,
    /// Until when the host that gives out is not asked.
    not_asked_until: Mutex<Time>,
}

/// Makes the shares of a host that was given nothing yet.
pub fn open(bounds: &Bounds) -> Shares {
    Shares {
        tolerance: tolerance(bounds),
        by_account: Mutex::default(),
        not_asked_until: Mutex::default(),
    }
}

impl Shares {
    /// Works with the share of an account.
    pub fn with<T>(&self, account: &Name, work: impl FnOnce(&mut Share) -> T) -> T {
        let mut shares = self.by_account.lock();
        match shares.get_mut(account) {
            Some(share) => work(share),
            None => {
                let new = Share::new(self.tolerance);
                work(shares.entry(account.clone()).or_insert(new))
            }
        }
    }

    /// Whether the host that gives out may be asked now.
    pub fn may_ask(&self, now: Time) -> bool {
        now >= *self.not_asked_until.lock()
    }

    /// Notes that it did not answer.
    pub fn not_answered(&self, now: Time) {
        *self.not_asked_until.lock() = now + NOT_ASKED;
    }
}
