//! Client accounts of the soak's site, and what must hold of them.

use crate::client::Outcome;
use platform_standin::Account;
use platform_standin::replica::Replica;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a key that was taken away runs nothing more, as the daemons' settings have it.
pub const REVOCATION_BOUND: Duration = Duration::from_millis(3_000);

/// Window, part beyond and units beyond of limits, as the daemons' settings have them.
pub const QUOTA: (Duration, f64, f64) = (Duration::from_secs(8), 0.1, 1_000.0);

/// Tokens a second, and at once, of the account with a limit.
const RATE_LIMIT: (f64, f64) = (400.0, 400.0);

/// Tokens that a request of the model service tells, and that a plain one counts.
const TOKENS_PER_REQUEST: (f64, f64) = (120.0, 200.0);

/// Account whose requests a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// It has its key always, and no limit.
    Steady,
    /// It loses its key with every other configuration.
    Intermittent,
    /// It has a limit that its clients send more than.
    Limited,
}

impl Caller {
    /// Name of the account.
    pub fn account(self) -> &'static str {
        match self {
            Caller::Steady => "steady",
            Caller::Intermittent => "going",
            Caller::Limited => "limited",
        }
    }

    /// Its key.
    pub fn key(self) -> &'static str {
        match self {
            Caller::Steady => "key-of-steady",
            Caller::Intermittent => "key-of-going",
            Caller::Limited => "key-of-limited",
        }
    }
}

/// Whether the account that loses its key has it in a version.
fn has_key(version: u64) -> bool {
    version % 2 == 1
}

/// Accounts of a version of the configuration.
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

/// What is broken about keys and limits; `versions` are when each version was written, the first first.
pub fn check(outcomes: &[Outcome], replicas: &[Replica], versions: &[Instant]) -> Vec<String> {
    let mut violations = Vec::new();
    for outcome in outcomes {
        let logs = replicas.iter().map(|r| r.request_log(&outcome.id));
        for log in logs.filter(|log| log.arrivals > 0) {
            let (id, account) = (&outcome.id, outcome.caller.account());
            if log.had_key {
                violations.push(format!("the key of request {id} reached a replica"));
            }
            if log.account.as_deref() != Some(account) {
                let recorded = &log.account;
                violations.push(format!(
                    "a replica took request {id} of {account} for {recorded:?}"
                ));
            }
            if outcome.caller == Caller::Intermittent && is_revoked(outcome.sent, versions) {
                violations.push(format!("request {id} ran with a key that was taken away"));
            }
        }
    }
    violations.extend(check_rate_limit(outcomes, replicas));
    violations
}

/// Whether the key was away for the whole of the bound before a moment.
fn is_revoked(at: Instant, versions: &[Instant]) -> bool {
    let version = versions.partition_point(|written_at| *written_at <= at);
    let written_at = versions.get(version.saturating_sub(1));
    !has_key(version as u64)
        && written_at.is_some_and(|written_at| at > *written_at + REVOCATION_BOUND)
}

/// Whether the account with a limit had more run in some window than it may.
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
    (max_used > allowed)
        .then(|| format!("an account used {max_used} of {allowed} tokens in {window:?}"))
}
