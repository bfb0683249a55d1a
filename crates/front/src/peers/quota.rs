//! Requests units of fleet-wide quotas from the leader, and grants them as the leader.

use super::Peers;
use super::pending::PendingRequests;
use crate::leader::Term;
use crate::message::{Message, QuotaRequest, QuotaResponse, Refund, ReplicaLimit, Subject};
use crate::shares;
use parking_lot::Mutex;
use route::quota::{Advertisement, Limit, Limiter, REPLICA_TOLERANCE, Tolerance, Units};
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Timeout of each attempt. Hosts are milliseconds apart, and a host at its CPU limit is throttled for at most 0.1 s.
pub const TIMEOUTS: &[Duration] = &[Duration::from_millis(40), Duration::from_millis(90)];

/// Timeout of the final attempt for a request that would otherwise be refused. With thousands of replicas the leader
/// is blocked for several hundred milliseconds while it plans.
pub const LAST_TRY_TIMEOUTS: &[Duration] = &[Duration::from_millis(400)];

/// Fraction of replicas' rate limits granted by a leader that cannot renew its term because the store is down.
/// Another host may have become leader and grant all of them; the total stays within the tolerance.
const UNRENEWED_TERM_FRACTION: f64 = 0.5;

/// Pending quota requests of this host, and the limiters of the leader.
#[derive(Default)]
pub struct QuotaState {
    /// Limiters of the term in which this host is the leader.
    limiters: Mutex<Option<(Term, Limiters)>>,
    /// Quota requests that wait for a response.
    pending: PendingRequests<QuotaResponse>,
}

struct Limiters {
    accounts: Limiter<Name>,
    /// By hash of the replica's incarnation.
    replicas: Limiter<u32>,
}

impl Peers {
    /// Starts granting units, at the beginning of a term of this host.
    pub fn start_limiter(&self, term: Term, tolerance: Tolerance) {
        let now = self.state.now();
        let limiters = Limiters {
            accounts: Limiter::new(tolerance, now),
            replicas: Limiter::new(REPLICA_TOLERANCE, now),
        };
        *self.quota.limiters.lock() = Some((term, limiters));
    }

    /// Requests units, with one attempt for each timeout; none if there was no response.
    pub async fn request_quota(
        &self,
        request: QuotaRequest,
        timeouts: &[Duration],
    ) -> Option<QuotaResponse> {
        let leader = self.state.leader.lock().clone()?.peers;
        if leader == self.state.settings.peers {
            return self.decide_quota(&request);
        }
        for time_limit in timeouts.iter().copied() {
            let response = self.request_once(&request, leader, time_limit).await;
            if response.is_some() {
                return response;
            }
        }
        None
    }

    /// Makes one attempt.
    async fn request_once(
        &self,
        request: &QuotaRequest,
        leader: SocketAddr,
        time_limit: Duration,
    ) -> Option<QuotaResponse> {
        let send = |number| async move {
            let request = QuotaRequest {
                number,
                ..request.clone()
            };
            self.send(&Message::QuotaRequest(request), leader).await;
        };
        self.quota.pending.send(time_limit, send).await
    }

    /// Passes a response to the request that waits for it.
    pub(super) fn complete_quota_request(&self, number: u32, response: QuotaResponse) {
        self.quota.pending.complete(number, response);
    }

    pub(super) async fn answer_quota_request(&self, request: QuotaRequest, from: SocketAddr) {
        let response = self
            .decide_quota(&request)
            .unwrap_or(QuotaResponse::NotLeader);
        let response = Message::QuotaResponse(request.number, response);
        self.send(&response, from).await;
    }

    /// Decision on a quota request; none if this host does not grant units or the request is invalid.
    fn decide_quota(&self, request: &QuotaRequest) -> Option<QuotaResponse> {
        if !request.is_valid() {
            return None;
        }
        let now = self.state.now();
        match &request.subject {
            Subject::Account(account) => {
                let limit = self.limit_of(account)?;
                self.with_accounts(|limiter| decide(limiter, account, limit, request, now))
            }
            Subject::Replica(limited) => {
                let Some(advertisement) = self.advertisement_of(limited, &request.host, now)?
                else {
                    return Some(QuotaResponse::Unlimited);
                };
                let replica = &limited.replica;
                self.with_replicas(|limiter, fraction| {
                    decide(
                        limiter,
                        replica,
                        advertisement.limit(fraction),
                        request,
                        now,
                    )
                })
            }
        }
    }

    /// Returns unused units that were granted `age` ago.
    pub async fn refund(&self, subject: Subject, units: f64, age: Span) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let refund = Refund {
            host: self.state.settings.name.clone(),
            subject,
            units: units as f32,
            age_ms: age.ms() as u32,
        };
        match leader.peers == self.state.settings.peers {
            true => self.apply_refund(&refund),
            false => self.send(&Message::Refund(refund), leader.peers).await,
        }
    }

    pub(super) fn apply_refund(&self, refund: &Refund) {
        if !refund.is_valid() {
            return;
        }
        let now = self.state.now();
        match &refund.subject {
            Subject::Account(account) => {
                let Some(limit) = self.limit_of(account) else {
                    return;
                };
                self.with_accounts(|limiter| refund_units(limiter, account, limit, refund, now));
            }
            Subject::Replica(limited) => {
                let Some(advertisement) = limited.advertisement(now) else {
                    return;
                };
                let replica = &limited.replica;
                self.with_replicas(|limiter, fraction| {
                    refund_units(limiter, replica, advertisement.limit(fraction), refund, now)
                });
            }
        }
    }

    /// Records that a host is alive.
    pub(super) fn record_heartbeat(&self, host: &Name, now: Time) {
        if let Some((_, limiters)) = self.quota.limiters.lock().as_mut() {
            limiters.accounts.record_heartbeat(host, now);
            limiters.replicas.record_heartbeat(host, now);
        }
    }

    /// Units granted to an account in the current window, if this host grants them.
    pub fn granted(&self, account: &Name) -> Option<f64> {
        let now = self.state.now();
        self.with_accounts(|limiter| limiter.granted(account, now))
    }

    /// Calls `work` with the limiter of accounts if the term holds.
    fn with_accounts<T>(&self, work: impl FnOnce(&mut Limiter<Name>) -> T) -> Option<T> {
        let mut limiters = self.quota.limiters.lock();
        let (term, limiters) = limiters.as_mut()?;
        term.is_valid().then(|| work(&mut limiters.accounts))
    }

    /// Calls `work` with the limiter of replicas and the fraction of their limits to grant, while this host is the
    /// leader as far as it knows; also if the store is down and the term cannot be renewed.
    fn with_replicas<T>(&self, work: impl FnOnce(&mut Limiter<u32>, f64) -> T) -> Option<T> {
        let leads = self.state.leads();
        let mut limiters = self.quota.limiters.lock();
        let (term, limiters) = limiters.as_mut()?;
        let fraction = match term.is_valid() {
            true => 1.0,
            false => UNRENEWED_TERM_FRACTION,
        };
        leads.then(|| work(&mut limiters.replicas, fraction))
    }

    /// Quota of an account in the current configuration.
    fn limit_of(&self, account: &str) -> Option<Limit> {
        let routes = self.state.table.lock().routes.clone()?;
        let account = routes.accounts.as_ref()?.get(account)?;
        account.quota.as_ref().map(shares::limit)
    }

    /// Newest limit of a replica known to this host or the requesting one, if it is in force. The outer option is
    /// none if the request's limit is invalid.
    fn advertisement_of(
        &self,
        limited: &ReplicaLimit,
        host: &Name,
        now: Time,
    ) -> Option<Option<Advertisement>> {
        let reported = limited.advertisement(now)?;
        self.merge_limits(std::slice::from_ref(limited), host);
        let known = self.state.table.lock().advertisement(limited.replica);
        let advertisement = known.unwrap_or(reported);
        Some(Some(advertisement).filter(|advertisement| !advertisement.is_expired(now)))
    }
}

fn decide<K: Eq + Hash + Clone>(
    limiter: &mut Limiter<K>,
    subject: &K,
    limit: Limit,
    request: &QuotaRequest,
    now: Time,
) -> QuotaResponse {
    let units = |count: f32| Units {
        subject,
        limit,
        host: &request.host,
        count: f64::from(count),
        reserved: f64::from(request.reserved),
        will_retry: request.will_retry,
    };
    limiter.record_local_use(units(request.local_use), now);
    match limiter.acquire(units(request.units), now) {
        Ok(usage) => QuotaResponse::Granted {
            granted: usage.granted as f32,
            available: usage.available as f32,
        },
        Err(refusal) => QuotaResponse::Refused {
            retry_after_ms: refusal.retry_after.ms().ceil() as u32,
            available: refusal.available as f32,
        },
    }
}

fn refund_units<K: Eq + Hash + Clone>(
    limiter: &mut Limiter<K>,
    subject: &K,
    limit: Limit,
    refund: &Refund,
    now: Time,
) {
    let granted_at = now - Span::from_ms(u64::from(refund.age_ms));
    let units = Units {
        subject,
        limit,
        host: &refund.host,
        count: f64::from(refund.units),
        reserved: 0.0,
        will_retry: false,
    };
    limiter.refund(units, granted_at, now);
}
