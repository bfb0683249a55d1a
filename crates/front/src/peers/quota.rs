//! Asking the host that leads for what client accounts may use, and answering as the one that leads.

use super::Peers;
use super::questions::Questions;
use crate::leader::Term;
use crate::message::{Message, Question, Refund, Verdict};
use crate::shares;
use parking_lot::Mutex;
use route::quota::{Limit, Limiter, Tolerance, Units};
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Time for each try of a question: hosts are milliseconds apart, and a host whose processor is used up
/// stands still for a tenth of a second at the most.
pub const QUICK: &[Duration] = &[Duration::from_millis(40), Duration::from_millis(90)];

/// Time for a last try of a request that would be refused without an answer: a leader of some thousands of
/// replicas stands still for parts of a second while it plans.
pub const PATIENT: &[Duration] = &[Duration::from_millis(400)];

/// Questions to the one host that gives out, and what that host keeps.
#[derive(Default)]
pub struct Quotas {
    /// What is given out in the term in which this host leads.
    limiter: Mutex<Option<(Term, Limiter)>>,
    /// Questions that wait for an answer.
    open: Questions<Verdict>,
}

impl Peers {
    /// Begins to give out, in a term in which this host leads.
    pub fn give_out(&self, term: Term, tolerance: Tolerance) {
        let limiter = Limiter::new(tolerance, self.state.now());
        *self.quotas.limiter.lock() = Some((term, limiter));
    }

    /// Asks for units of an account, once for each time that a try may take; none when there was no answer.
    pub async fn ask_for(
        &self,
        account: &Name,
        units: f64,
        alone: f64,
        tries: &[Duration],
    ) -> Option<Verdict> {
        let leader = self.state.leader.lock().clone()?.peers;
        let question = Question {
            number: 0,
            host: self.state.settings.name.clone(),
            account: account.clone(),
            units: units as f32,
            alone: alone as f32,
        };
        if leader == self.state.settings.peers {
            return self.judge(&question);
        }
        for limit in tries.iter().copied() {
            let answer = self.ask_once(&question, leader, limit).await;
            if answer.is_some() {
                return answer.filter(|verdict| *verdict != Verdict::Elsewhere);
            }
        }
        None
    }

    /// Asks once and waits for the answer.
    async fn ask_once(
        &self,
        question: &Question,
        leader: SocketAddr,
        limit: Duration,
    ) -> Option<Verdict> {
        let send = |number| async move {
            let question = Question {
                number,
                ..question.clone()
            };
            self.send(&Message::Question(question), leader).await;
        };
        self.quotas.open.ask(limit, send).await
    }

    /// Gives an answer to the question that waits for it.
    pub(super) fn answered(&self, number: u32, verdict: Verdict) {
        self.quotas.open.answered(number, verdict);
    }

    /// Answers a question of another host.
    pub(super) async fn answer(&self, question: Question, from: SocketAddr) {
        let verdict = self.judge(&question).unwrap_or(Verdict::Elsewhere);
        let answer = Message::Verdict(question.number, verdict);
        self.send(&answer, from).await;
    }

    /// What this host says to a question; none when it does not give out.
    fn judge(&self, question: &Question) -> Option<Verdict> {
        if !question.is_sound() {
            return None;
        }
        let limit = self.limit_of(&question.account)?;
        let now = self.state.now();
        self.with_limiter(|limiter| {
            let units = |count: f32| Units {
                account: &question.account,
                limit,
                host: &question.host,
                count: f64::from(count),
            };
            limiter.used_alone(units(question.alone), now);
            match limiter.give(units(question.units), now) {
                Ok(given) => Verdict::Given {
                    all: given.all as f32,
                    left: given.left as f32,
                },
                Err(wait) => Verdict::Refused {
                    wait_ms: wait.ms().ceil() as u32,
                },
            }
        })
    }

    /// Gives units of an account back that were given `age` ago and not used.
    pub async fn give_back(&self, account: &Name, units: f64, age: Span) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let refund = Refund {
            host: self.state.settings.name.clone(),
            account: account.clone(),
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
        let limit = self.limit_of(&refund.account);
        let Some(limit) = limit.filter(|_| refund.is_sound()) else {
            return;
        };
        let now = self.state.now();
        let given = now - Span::from_ms(u64::from(refund.age_ms));
        self.with_limiter(|limiter| {
            let units = Units {
                account: &refund.account,
                limit,
                host: &refund.host,
                count: f64::from(refund.units),
            };
            limiter.take_back(units, given, now);
        });
    }

    /// Notes that a host is in touch.
    pub(super) fn heard(&self, host: &Name, now: Time) {
        self.with_limiter(|limiter| limiter.heard(host, now));
    }

    /// Units given out of an account in the last window, if this host gives out.
    pub fn given_out(&self, account: &str) -> Option<f64> {
        let now = self.state.now();
        self.with_limiter(|limiter| limiter.given(account, now))
    }

    /// Works with the limiter while the term holds in which it was begun.
    fn with_limiter<T>(&self, work: impl FnOnce(&mut Limiter) -> T) -> Option<T> {
        let mut limiter = self.quotas.limiter.lock();
        let (term, limiter) = limiter.as_mut()?;
        term.holds().then(|| work(limiter))
    }

    /// Limit of an account by the newest configuration here.
    fn limit_of(&self, account: &str) -> Option<Limit> {
        let routes = self.state.table.lock().routes.clone()?;
        let account = routes.accounts.as_ref()?.named(account)?;
        account.quota.as_ref().map(shares::limit)
    }
}
