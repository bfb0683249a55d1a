//! Client accounts of the soak, and the checks of their keys and limits.

use crate::client::Outcome;
use platform_standin::Account;
use platform_standin::replica::Replica;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which no request may run with a revoked key; written to the daemons' settings.
pub const REVOCATION_BOUND: Duration = Duration::from_millis(3_000);

/// Quota window, allowed overage as a fraction, and allowed slack in tokens; written to the daemons' settings.
pub const QUOTA: (Duration, f64, f64) = (Duration::from_secs(8), 0.1, 1_000.0);

/// Tokens per second and burst of the account with a limit.
const RATE_LIMIT: (f64, f64) = (400.0, 400.0);

/// Tokens charged for a stream, from its usage header, and for a plain request.
const TOKENS_PER_REQUEST: (f64, f64) = (120.0, 200.0);

/// Account that a request is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// Always has its key, and has no limit.
    Steady,
    /// Its key is revoked in every other version of the configuration.
    Intermittent,
    /// Has a limit, which its clients exceed.
    Limited,
}

impl Caller {
    pub fn account(self) -> &'static str {
        match self {
            Caller::Steady => "steady",
            Caller::Intermittent => "going",
            Caller::Limited => "limited",
        }
    }

    pub fn key(self) -> &'static str {
        match self {
            Caller::Steady => "key-of-steady",
            Caller::Intermittent => "key-of-going",
            Caller::Limited => "key-of-limited",
        }
    }
}

/// Whether the intermittent account has its key in this version of the configuration.
fn has_key(version: u64) -> bool {
    version % 2 == 1
}

/// Accounts in this version of the configuration.
pub fn for_version(version: u64) -> Vec<Account> {
    let account = |caller: Caller, keys, tokens| Account {
        name: caller.account(),
        keys,
        priority: None,
        tokens,
    };
    let intermittent_keys = match has_key(version) {
        true => vec![Caller::Intermittent.key()],
        false => Vec::new(),
    };
    vec![
        account(Caller::Steady, vec![Caller::Steady.key()], None),
        account(Caller::Intermittent, intermittent_keys, None),
        account(
            Caller::Limited,
            vec![Caller::Limited.key()],
            Some(RATE_LIMIT),
        ),
    ]
}

/// Violations of keys and limits. `versions` holds the time at which each configuration version was written, in order.
pub fn check(outcomes: &[Outcome], replicas: &[Replica], versions: &[Instant]) -> Vec<String> {
    let mut violations = Vec::new();
    for outcome in outcomes {
        let logs = replicas.iter().map(|r| r.request_log(&outcome.id));
        for log in logs.filter(|log| log.arrivals > 0) {
            let (id, account) = (&outcome.id, outcome.caller.account());
            if log.had_key {
                violations.push(format!(
                    "the key of request {id} was forwarded to a replica"
                ));
            }
            if log.account.as_deref() != Some(account) {
                let recorded = &log.account;
                violations.push(format!(
                    "request {id} of account {account} reached a replica as account {recorded:?}"
                ));
            }
            if outcome.caller == Caller::Intermittent && is_revoked(outcome.sent, versions) {
                violations.push(format!("request {id} ran with a revoked key"));
            }
        }
    }
    violations.extend(check_rate_limit(outcomes, replicas));
    violations
}

/// Whether the intermittent key had been revoked for longer than `REVOCATION_BOUND` at `at`.
fn is_revoked(at: Instant, versions: &[Instant]) -> bool {
    let version = versions.partition_point(|written_at| *written_at <= at);
    let written_at = versions.get(version.saturating_sub(1));
    !has_key(version as u64)
        && written_at.is_some_and(|written_at| at > *written_at + REVOCATION_BOUND)
}

/// Reports that the limited account used more tokens than allowed in some window.
fn check_rate_limit(outcomes: &[Outcome], replicas: &[Replica]) -> Option<String> {
    let ran = |outcome: &&Outcome| {
        let runs = replicas
            .iter()
            .map(|r| r.request_log(&outcome.id).runs)
            .sum::<u32>();
        outcome.caller == Caller::Limited && runs > 0
    };
    let tokens = |outcome: &Outcome| {
        if outcome.kind.is_stream() {
            TOKENS_PER_REQUEST.0
        } else {
            TOKENS_PER_REQUEST.1
        }
    };
    let mut used: Vec<(Instant, f64)> = outcomes
        .iter()
        .filter(ran)
        .map(|t| (t.sent, tokens(t)))
        .collect();
    used.sort_by_key(|(at, _)| *at);
    let (window, overage, slack) = QUOTA;
    let allowed = (RATE_LIMIT.0 * window.as_secs_f64() + RATE_LIMIT.1) * (1.0 + overage) + slack;
    let used_in_window = |first: Instant| {
        let used = used
            .iter()
            .filter(|(at, _)| *at >= first && *at < first + window);
        used.map(|(_, tokens)| tokens).sum::<f64>()
    };
    let max_used = used
        .iter()
        .map(|(at, _)| used_in_window(*at))
        .fold(0.0, f64::max);
    (max_used > allowed).then(|| {
        format!("the limited account used {max_used} tokens in {window:?}, {allowed} allowed")
    })
}
