//! Asking the host that leads for units of limits over all hosts, and answering as the one that leads.

use super::Peers;
use super::pending::Questions;
use crate::leader::Term;
use crate::message::{Message, QuotaRequest, QuotaResponse, Refund, ReplicaLimit, Subject};
use crate::shares;
use parking_lot::Mutex;
use route::quota::{Advertisement, Limit, Limiter, REPLICA_TOLERANCE, Tolerance, Units};
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Time for each try of a question: hosts are milliseconds apart, and a host whose processor is used up
/// stands still for a tenth of a second at the most.
pub const TIMEOUTS: &[Duration] = &[Duration::from_millis(40), Duration::from_millis(90)];

/// Time for a last try of a request that would be refused without an answer: a leader of some thousands of
/// replicas stands still for parts of a second while it plans.
pub const LAST_TRY_TIMEOUTS: &[Duration] = &[Duration::from_millis(400)];

/// Part of the limits of replicas that a leader gives out whose term it cannot renew while the store is away: another host may
/// lead by now and give out the whole, and both together stay within the tolerance.
const PART_IN_DOUBT: f64 = 0.5;

/// Questions to the one host that gives out, and what that host keeps.
#[derive(Default)]
pub struct Quotas {
    /// What is given out in the term in which this host leads.
    limiters: Mutex<Option<(Term, Limiters)>>,
    /// Questions that wait for an answer.
    open: Questions<QuotaResponse>,
}

/// What one host gives out.
struct Limiters {
    accounts: Limiter<Name>,
    /// By the short name of the incarnation.
    replicas: Limiter<u32>,
}

impl Peers {
    /// Begins to give out, in a term in which this host leads.
    pub fn start_limiter(&self, term: Term, tolerance: Tolerance) {
        let now = self.state.now();
        let limiters = Limiters {
            accounts: Limiter::new(tolerance, now),
            replicas: Limiter::new(REPLICA_TOLERANCE, now),
        };
        *self.quotas.limiters.lock() = Some((term, limiters));
    }

    /// Asks for units, once for each time that a try may take; none when there was no answer.
    pub async fn request_quota(
        &self,
        question: QuotaRequest,
        tries: &[Duration],
    ) -> Option<QuotaResponse> {
        let leader = self.state.leader.lock().clone()?.peers;
        if leader == self.state.settings.peers {
            return self.judge(&question);
        }
        for limit in tries.iter().copied() {
            let answer = self.ask_once(&question, leader, limit).await;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    /// Asks once and waits for the answer.
    async fn ask_once(
        &self,
        question: &QuotaRequest,
        leader: SocketAddr,
        limit: Duration,
    ) -> Option<QuotaResponse> {
        let send = |number| async move {
            let question = QuotaRequest {
                number,
                ..question.clone()
            };
            self.send(&Message::QuotaRequest(question), leader).await;
        };
        self.quotas.open.ask(limit, send).await
    }

    /// Gives an answer to the question that waits for it.
    pub(super) fn answered(&self, number: u32, verdict: QuotaResponse) {
        self.quotas.open.answered(number, verdict);
    }

    /// Answers a question of another host.
    pub(super) async fn answer(&self, question: QuotaRequest, from: SocketAddr) {
        let verdict = self.judge(&question).unwrap_or(QuotaResponse::NotLeader);
        let answer = Message::QuotaResponse(question.number, verdict);
        self.send(&answer, from).await;
    }

    /// What this host says to a question; none when it does not give out.
    fn judge(&self, question: &QuotaRequest) -> Option<QuotaResponse> {
        if !question.is_valid() {
            return None;
        }
        let now = self.state.now();
        match &question.subject {
            Subject::Account(account) => {
                let limit = self.limit_of(account)?;
                self.with_accounts(|limiter| decide(limiter, account, limit, question, now))
            }
            Subject::Replica(limited) => {
                let Some(notice) = self.notice_of(limited, &question.host, now)? else {
                    return Some(QuotaResponse::Unlimited);
                };
                let replica = &limited.replica;
                self.with_replicas(|limiter, part| {
                    decide(limiter, replica, notice.limit(part), question, now)
                })
            }
        }
    }

    /// Gives units back that were given `age` ago and not used.
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
            true => self.take_back(&refund),
            false => self.send(&Message::Refund(refund), leader.peers).await,
        }
    }

    /// Takes units back.
    pub(super) fn take_back(&self, refund: &Refund) {
        if !refund.is_valid() {
            return;
        }
        let now = self.state.now();
        match &refund.subject {
            Subject::Account(account) => {
                let Some(limit) = self.limit_of(account) else {
                    return;
                };
                self.with_accounts(|limiter| take_back(limiter, account, limit, refund, now));
            }
            Subject::Replica(limited) => {
                let Some(notice) = limited.advertisement(now) else {
                    return;
                };
                let replica = &limited.replica;
                self.with_replicas(|limiter, part| {
                    take_back(limiter, replica, notice.limit(part), refund, now)
                });
            }
        }
    }

    /// Notes that a host is in touch.
    pub(super) fn heard(&self, host: &Name, now: Time) {
        if let Some((_, limiters)) = self.quotas.limiters.lock().as_mut() {
            limiters.accounts.record_heartbeat(host, now);
            limiters.replicas.record_heartbeat(host, now);
        }
    }

    /// Units given out of an account in the last window, if this host gives out.
    pub fn granted(&self, account: &Name) -> Option<f64> {
        let now = self.state.now();
        self.with_accounts(|limiter| limiter.granted(account, now))
    }

    /// Works with the limiter of accounts while the term holds in which it was begun.
    fn with_accounts<T>(&self, work: impl FnOnce(&mut Limiter<Name>) -> T) -> Option<T> {
        let mut limiters = self.quotas.limiters.lock();
        let (term, limiters) = limiters.as_mut()?;
        term.is_valid().then(|| work(&mut limiters.accounts))
    }

    /// Works with the limiter of replicas, and the part of their limits that it gives out, while this host leads as far as it
    /// knows: also while the store is away and the term cannot be renewed.
    fn with_replicas<T>(&self, work: impl FnOnce(&mut Limiter<u32>, f64) -> T) -> Option<T> {
        let leads = self.state.leads();
        let mut limiters = self.quotas.limiters.lock();
        let (term, limiters) = limiters.as_mut()?;
        let part = match term.is_valid() {
            true => 1.0,
            false => PART_IN_DOUBT,
        };
        leads.then(|| work(&mut limiters.replicas, part))
    }

    /// Limit of an account by the newest configuration here.
    fn limit_of(&self, account: &str) -> Option<Limit> {
        let routes = self.state.table.lock().routes.clone()?;
        let account = routes.accounts.as_ref()?.get(account)?;
        account.quota.as_ref().map(shares::limit)
    }

    /// What is known of a replica's limit here and at the host that asks, if it holds; none at all where the question's number
    /// cannot be counted.
    fn notice_of(
        &self,
        limited: &ReplicaLimit,
        host: &Name,
        now: Time,
    ) -> Option<Option<Advertisement>> {
        let asked = limited.advertisement(now)?;
        self.join_limits(std::slice::from_ref(limited), host);
        let known = self.state.table.lock().notice_of(limited.replica);
        let notice = known.unwrap_or(asked);
        Some(Some(notice).filter(|notice| !notice.is_expired(now)))
    }
}

/// Gives a question's units out of a limit, or refuses them.
fn decide<K: Eq + Hash + Clone>(
    limiter: &mut Limiter<K>,
    subject: &K,
    limit: Limit,
    question: &QuotaRequest,
    now: Time,
) -> QuotaResponse {
    let units = |count: f32| Units {
        subject,
        limit,
        host: &question.host,
        count: f64::from(count),
        reserved: f64::from(question.reserved),
        will_retry: question.will_retry,
    };
    limiter.record_local_use(units(question.local_use), now);
    match limiter.acquire(units(question.units), now) {
        Ok(given) => QuotaResponse::Granted {
            granted: given.granted as f32,
            available: given.available as f32,
        },
        Err(over) => QuotaResponse::Refused {
            retry_after_ms: over.retry_after.ms().ceil() as u32,
            available: over.available as f32,
        },
    }
}

/// Puts a refund's units back under a limit.
fn take_back<K: Eq + Hash + Clone>(
    limiter: &mut Limiter<K>,
    subject: &K,
    limit: Limit,
    refund: &Refund,
    now: Time,
) {
    let given = now - Span::from_ms(u64::from(refund.age_ms));
    let units = Units {
        subject,
        limit,
        host: &refund.host,
        count: f64::from(refund.units),
        reserved: 0.0,
        will_retry: false,
    };
    limiter.refund(units, given, now);
}
