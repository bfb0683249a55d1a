//! Client accounts in force: whose request a key makes it, and whether that may be rested on.
//!
//! A key that was taken away must run nothing more, also through a host that has lost the store. So a
//! host knows how old its knowledge is: the store was asked for it at that time, and answered. The time
//! is the host's own, steady while a process is frozen. What it was told by another host is as old as
//! that host's word, and the time on the way is counted in.

use crate::attempt::Call;
use crate::readers;
use crate::respond::Rejection;
use crate::routes::Routes;
use crate::settings::Bounds;
use crate::state::State;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use platform::account::{self, Account, Key};
use platform::config::Route;
use platform::ingress;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use tracing::{error, info};
use unit::{Name, Span};

/// Part of the bound on withdrawals at which a host no longer rests on what it knows of keys. What is
/// left covers a request on its way, and a store whose watches hear nothing for a second.
const MAX_AGE_FRACTION: f64 = 0.8;

/// When a client may come back to a host that cannot confirm its key: such a host asks for the store
/// several times in that, and the client's next connection may lead to another one.
const RETRY_AFTER_STALE: Span = Span::from_ms(500);

/// Accounts of a configuration, by key and by name.
#[derive(Debug)]
pub struct Accounts {
    by_key: HashMap<Key, Arc<Account>>,
    by_name: HashMap<Name, Arc<Account>>,
    /// Ranks that accounts have, the most urgent first.
    ranks: Vec<u8>,
}

/// Makes the form in which requests use them. A key that two accounts hold stands for neither: nobody
/// could say whose request it is.
pub fn build(accounts: Vec<Account>) -> Accounts {
    let mut by_key: HashMap<Key, Option<Arc<Account>>> = HashMap::new();
    let mut by_name = HashMap::new();
    for account in accounts {
        let account = Arc::new(account);
        for key in &account.keys {
            let holder = by_key
                .entry(key.clone())
                .or_insert_with(|| Some(account.clone()));
            if holder.as_ref().is_some_and(|h| h.name != account.name) {
                error!(target: "config", event = "shared_key", key = key.digest(), account = &*account.name, "two accounts hold one key; it stands for neither");
                *holder = None;
            }
        }
        by_name.insert(account.name.clone(), account);
    }
    let ranks: BTreeSet<u8> = by_name.values().filter_map(|a| a.priority).collect();
    let single = by_key.into_iter();
    let by_key = single.filter_map(|(key, holder)| Some((key, holder?)));
    Accounts {
        by_key: by_key.collect(),
        by_name,
        ranks: ranks.into_iter().collect(),
    }
}

impl Accounts {
    /// Account that a key stands for.
    pub fn find(&self, key: &Key) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Account of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Rank of an account's requests on a route: the account's goes first, and the route's decides among
    /// those of one rank. `levels` are the ranks that routes may have.
    ///
    /// Where all accounts have one rank, as where none has any, the route's rank stays as it is; with the
    /// account's alone, look-ups that can wait went before photos that cannot.
    pub fn rank(&self, account: &Account, route: &Route, levels: u8) -> u8 {
        let rank = account.priority.unwrap_or(route.priority);
        let before = self.ranks.partition_point(|r| *r < rank) as u8;
        before.saturating_mul(levels).saturating_add(route.priority)
    }

    /// All accounts.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Whose request one is.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    /// Key it came with, where there are accounts.
    pub key: Option<Key>,
    /// Account that the key stood for when it came.
    pub account: Option<Arc<Account>>,
}

/// Finds whose request one is by the key in its header fields, and takes the key out of them. On a
/// public route no key is needed, and one that is not known counts as none.
pub fn authenticate(
    state: &State,
    routes: &Routes,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Caller, Rejection> {
    let Some(accounts) = &routes.accounts else {
        return Ok(Caller::default());
    };
    let id = ingress::ask(headers).id;
    let key = account::take_key(headers);
    let account = key.as_ref().ok().and_then(|key| accounts.find(key));
    if account.is_none() && route.public {
        return Ok(Caller::default());
    }
    let refusal = match (&key, account) {
        (Ok(_), Some(_)) => check_freshness(state).err(),
        (Ok(key), None) => Some(unknown(state, key)),
        (Err(why), _) => Some(Refusal::Unreadable(*why)),
    };
    match refusal {
        Some(refusal) if !route.public => {
            let fault = refusal.fault();
            tell(
                state,
                &refusal,
                &fault,
                &Context {
                    id,
                    route,
                    account: account.map(|a| &**a),
                    version: routes.version,
                },
            );
            Err(fault)
        }
        _ => Ok(Caller {
            key: key.ok(),
            account: account.cloned(),
        }),
    }
}

/// Account whose request a call is by the newest configuration, now that it is to be sent to a replica.
pub fn reauthenticate(state: &State, call: &Call) -> Result<Option<Arc<Account>>, Refusal> {
    let routes = state.table.lock().routes.clone();
    let Some(accounts) = routes.as_ref().and_then(|r| r.accounts.as_ref()) else {
        return Ok(None);
    };
    let Some(key) = &call.caller.key else {
        return match call.route.public {
            true => Ok(None),
            false => Err(Refusal::Unreadable(account::Unreadable::Missing)),
        };
    };
    match accounts.find(key) {
        None if call.route.public => Ok(None),
        None => Err(Refusal::Revoked),
        Some(account) if call.route.public => Ok(Some(account.clone())),
        Some(account) => check_freshness(state).map(|()| Some(account.clone())),
    }
}

/// Whether this host may rest on what it knows of keys.
pub fn check_freshness(state: &State) -> Result<(), Refusal> {
    let age = data_age(state);
    match max_age(&state.settings.bounds) {
        Some(most) if age > most => Err(Refusal::Stale { age }),
        _ => Ok(()),
    }
}

/// Whether this host can serve requests that need a key: a host that cannot tells the balancer so, which
/// leads new connections to others.
pub fn can_authenticate(state: &State) -> bool {
    let routes = state.table.lock().routes.clone();
    let has_accounts = routes.is_some_and(|r| r.accounts.is_some());
    !has_accounts || check_freshness(state).is_ok()
}

/// Age up to which a host rests on what it knows of keys; none where nothing bounds it.
pub fn max_age(bounds: &Bounds) -> Option<Span> {
    let bound = bounds.withdrawal?;
    Some(Span::from(bound) * MAX_AGE_FRACTION)
}

/// Age of what this host knows of the store.
pub fn data_age(state: &State) -> Span {
    state.readers.recent.lock().age(state.now())
}

/// Refusal of a key that is not known: by a host that knows the newest configuration it is final.
fn unknown(state: &State, key: &Key) -> Refusal {
    let age = data_age(state);
    match age > Span::from(state.settings.bounds.configuration) {
        true => Refusal::Stale { age },
        false => Refusal::Unknown {
            digest: key.digest(),
        },
    }
}

/// Why a request is not let in by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It has no key that can be read.
    Unreadable(account::Unreadable),
    /// No account holds the key.
    Unknown {
        /// Short hash of the key.
        digest: String,
    },
    /// The key was taken away while the request waited.
    Revoked,
    /// What this host knows of keys is too old.
    Stale {
        /// Its age.
        age: Span,
    },
}

impl Refusal {
    /// One word for logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::Unreadable(_) => "no_key",
            Refusal::Unknown { .. } => "key_unknown",
            Refusal::Revoked => "key_withdrawn",
            Refusal::Stale { .. } => "key_unconfirmed",
        }
    }

    /// Answer that tells the client.
    pub fn fault(&self) -> Rejection {
        let message = self.to_string();
        match self {
            Refusal::Stale { .. } => Rejection::not_run(self.reason(), message, RETRY_AFTER_STALE),
            _ => Rejection::client_error(StatusCode::UNAUTHORIZED, self.reason(), message),
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Unreadable(why) => write!(f, "{why}"),
            Refusal::Unknown { .. } => f.write_str("No account holds this key."),
            Refusal::Revoked => f.write_str("The key was taken away."),
            Refusal::Stale { age } => {
                write!(f, "This host last heard of the accounts' keys {age} ago.")
            }
        }
    }
}

/// Request that is not let in by its key, as it is told.
struct Context<'a> {
    id: Option<Name>,
    route: &'a Route,
    account: Option<&'a Account>,
    /// Version of the configuration that was gone by.
    version: u64,
}

/// Tells why a request is not let in.
fn tell(state: &State, refusal: &Refusal, fault: &Rejection, refused: &Context) {
    state
        .log
        .metrics
        .record_outcome(&refused.route.name, fault.reason);
    let key = match refusal {
        Refusal::Unknown { digest } => Some(digest.as_str()),
        _ => None,
    };
    state.log.rate_limited(|| {
        let (id, route) = (refused.id.as_deref(), &*refused.route.name);
        let account = refused.account.map(|a| &*a.name);
        let age_ms = data_age(state).ms();
        let store = if readers::store_failed_recently(state) { "failing" } else { "answering" };
        let retry_after_ms = fault.retry_after.map(|s| s.ms());
        info!(target: "request", event = "refused", id, route, account, key, status = fault.status.as_u16(), reason = fault.reason, version = refused.version, age_ms, store, retry_after_ms, ms = 0.0, why = %refusal, "a request is not let in by its key")
    });
}
