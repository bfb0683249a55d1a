//! Client accounts of the soak's site, and what must hold of them.

use crate::client::Told;
use platform_standin::Account;
use platform_standin::replica::Replica;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a key that was taken away runs nothing more, as the daemons' settings have it.
pub const WITHDRAWAL: Duration = Duration::from_millis(3_000);

/// Window, part beyond and units beyond of limits, as the daemons' settings have them.
pub const QUOTA: (Duration, f64, f64) = (Duration::from_secs(8), 0.1, 1_000.0);

/// Tokens a second, and at once, of the account with a limit.
const LIMIT: (f64, f64) = (400.0, 400.0);

/// Tokens that a request of the model service tells, and that a plain one counts.
const TOKENS: (f64, f64) = (120.0, 200.0);

/// Account whose requests a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    /// It has its key always, and no limit.
    Steady,
    /// It loses its key with every other configuration.
    Going,
    /// It has a limit that its clients send more than.
    Limited,
}

impl Caller {
    /// Name of the account.
    pub fn account(self) -> &'static str {
        match self {
            Caller::Steady => "steady",
            Caller::Going => "going",
            Caller::Limited => "limited",
        }
    }

    /// Its key.
    pub fn key(self) -> &'static str {
        match self {
            Caller::Steady => "key-of-steady",
            Caller::Going => "key-of-going",
            Caller::Limited => "key-of-limited",
        }
    }
}

/// Whether the account that loses its key has it in a version.
fn holds(version: u64) -> bool {
    version % 2 == 1
}

/// Accounts of a version of the configuration.
pub fn of(version: u64) -> Vec<Account> {
    let account = |caller: Caller, keys, tokens| Account {
        name: caller.account(),
        keys,
        priority: None,
        tokens,
    };
    let going = match holds(version) {
        true => vec![Caller::Going.key()],
        false => Vec::new(),
    };
    vec![
        account(Caller::Steady, vec![Caller::Steady.key()], None),
        account(Caller::Going, going, None),
        account(Caller::Limited, vec![Caller::Limited.key()], Some(LIMIT)),
    ]
}

/// What is broken about keys and limits; `versions` are when each version was written, the first first.
pub fn check(told: &[Told], replicas: &[Replica], versions: &[Instant]) -> Vec<String> {
    let mut violations = Vec::new();
    for one in told {
        let seen = replicas.iter().map(|r| r.request_log(&one.id));
        for seen in seen.filter(|seen| seen.arrivals > 0) {
            let (id, account) = (&one.id, one.caller.account());
            if seen.had_key {
                violations.push(format!("the key of request {id} reached a replica"));
            }
            if seen.account.as_deref() != Some(account) {
                let told = &seen.account;
                violations.push(format!(
                    "a replica took request {id} of {account} for {told:?}"
                ));
            }
            if one.caller == Caller::Going && is_withdrawn(one.sent, versions) {
                violations.push(format!("request {id} ran with a key that was taken away"));
            }
        }
    }
    violations.extend(limit(told, replicas));
    violations
}

/// Whether the key was away for the whole of the bound before a moment.
fn is_withdrawn(at: Instant, versions: &[Instant]) -> bool {
    let begun = versions.partition_point(|written| *written <= at);
    let since = versions.get(begun.saturating_sub(1));
    !holds(begun as u64) && since.is_some_and(|since| at > *since + WITHDRAWAL)
}

/// Whether the account with a limit had more run in some window than it may.
fn limit(told: &[Told], replicas: &[Replica]) -> Option<String> {
    let ran = |one: &&Told| {
        let runs = replicas
            .iter()
            .map(|r| r.request_log(&one.id).runs)
            .sum::<u32>();
        one.caller == Caller::Limited && runs > 0
    };
    let tokens = |one: &Told| {
        if one.kind.is_stream() {
            TOKENS.0
        } else {
            TOKENS.1
        }
    };
    let mut used: Vec<(Instant, f64)> = told
        .iter()
        .filter(ran)
        .map(|t| (t.sent, tokens(t)))
        .collect();
    used.sort_by_key(|(at, _)| *at);
    let (window, beyond, slack) = QUOTA;
    let allowed = (LIMIT.0 * window.as_secs_f64() + LIMIT.1) * (1.0 + beyond) + slack;
    let within = |first: Instant| {
        let used = used
            .iter()
            .filter(|(at, _)| *at >= first && *at < first + window);
        used.map(|(_, tokens)| tokens).sum::<f64>()
    };
    let most = used.iter().map(|(at, _)| within(*at)).fold(0.0, f64::max);
    (most > allowed).then(|| format!("an account used {most} of {allowed} tokens in {window:?}"))
}
