//! Client accounts in force: authentication of requests by key, and how fresh the accounts must be.
//!
//! A revoked key must run nothing more, not even through a host that has lost the store. A host
//! therefore knows the age of its data: the time since the request that the store answered last, by
//! the host's own clock, which includes time for which it was suspended. Data from another host is
//! as old as that host says, plus the time in transit.

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

/// Fraction of the bound on revocations up to which a host's data may age. The rest covers a
/// request in transit, and a store whose watches deliver nothing for a second.
const MAX_AGE_FRACTION: f64 = 0.8;

/// Retry-After of a host whose data is stale: it retries the store several times meanwhile, and the
/// client's next connection may reach another host.
const RETRY_AFTER_STALE: Span = Span::from_ms(500);

/// Accounts of a configuration, by key and by name.
#[derive(Debug)]
pub struct Accounts {
    by_key: HashMap<Key, Arc<Account>>,
    by_name: HashMap<Name, Arc<Account>>,
    /// Distinct priorities of the accounts, most urgent first.
    ranks: Vec<u8>,
}

/// Indexes the accounts of a configuration. A key of two accounts belongs to neither, since its
/// requests could not be attributed.
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
                error!(target: "config", event = "shared_key", key = key.digest(), account = &*account.name, "two accounts have the same key; it is valid for neither");
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
    pub fn find(&self, key: &Key) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Combined rank of an account and a route: the account's priority comes first, and the route's
    /// decides among accounts of one priority. `levels` is the number of route priorities.
    ///
    /// Where all accounts have one priority, or none has any, the route's priority is the rank.
    pub fn rank(&self, account: &Account, route: &Route, levels: u8) -> u8 {
        let rank = account.priority.unwrap_or(route.priority);
        let more_urgent = self.ranks.partition_point(|r| *r < rank) as u8;
        more_urgent
            .saturating_mul(levels)
            .saturating_add(route.priority)
    }

    pub fn all(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Client account that a request belongs to.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    /// Key of the request, if the configuration has accounts.
    pub key: Option<Key>,
    /// Account of the key when the request arrived.
    pub account: Option<Arc<Account>>,
}

/// Authenticates a request by its key, which is removed from the headers. A public route needs no
/// key, and treats an unknown one as none.
pub fn authenticate(
    state: &State,
    routes: &Routes,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Caller, Rejection> {
    let Some(accounts) = &routes.accounts else {
        return Ok(Caller::default());
    };
    let id = ingress::parse(headers).id;
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
            let rejection = refusal.rejection();
            log_refusal(
                state,
                &refusal,
                &rejection,
                &Details {
                    id,
                    route,
                    account: account.map(|a| &**a),
                    version: routes.version,
                },
            );
            Err(rejection)
        }
        _ => Ok(Caller {
            key: key.ok(),
            account: account.cloned(),
        }),
    }
}

/// Authenticates a call again, by the newest configuration, right before it is sent to a replica.
pub fn reauthenticate(state: &State, call: &Call) -> Result<Option<Arc<Account>>, Refusal> {
    let routes = state.table.lock().routes.clone();
    let Some(accounts) = routes.as_ref().and_then(|r| r.accounts.as_ref()) else {
        return Ok(None);
    };
    let Some(key) = &call.caller.key else {
        return match call.route.public {
            true => Ok(None),
            false => Err(Refusal::Unreadable(account::KeyError::Missing)),
        };
    };
    match accounts.find(key) {
        None if call.route.public => Ok(None),
        None => Err(Refusal::Revoked),
        Some(account) if call.route.public => Ok(Some(account.clone())),
        Some(account) => check_freshness(state).map(|()| Some(account.clone())),
    }
}

/// Checks that this host's data is fresh enough to accept keys.
pub fn check_freshness(state: &State) -> Result<(), Refusal> {
    let age = state.readers.changelog.lock().complete_age(state.now());
    match max_age(&state.settings.bounds) {
        Some(max) if age > max => Err(Refusal::Stale { age }),
        _ => Ok(()),
    }
}

/// Whether this host can serve requests that need a key. If not, it tells the balancer, which
/// directs new connections to other hosts.
pub fn can_authenticate(state: &State) -> bool {
    let routes = state.table.lock().routes.clone();
    let has_accounts = routes.is_some_and(|r| r.accounts.is_some());
    !has_accounts || check_freshness(state).is_ok()
}

/// Age up to which this host's data is fresh; `None` without a bound.
pub fn max_age(bounds: &Bounds) -> Option<Span> {
    let bound = bounds.withdrawal?;
    Some(Span::from(bound) * MAX_AGE_FRACTION)
}

/// Age of this host's data from the store.
pub fn data_age(state: &State) -> Span {
    state.readers.changelog.lock().age(state.now())
}

/// Refusal of an unknown key. It is final only from a host that knows the newest configuration.
fn unknown(state: &State, key: &Key) -> Refusal {
    let age = data_age(state);
    match age > Span::from(state.settings.bounds.configuration) {
        true => Refusal::Stale { age },
        false => Refusal::Unknown {
            digest: key.digest(),
        },
    }
}

/// Why a request fails authentication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It has no readable key.
    Unreadable(account::KeyError),
    /// No account has the key.
    Unknown {
        /// Short hash of the key.
        digest: String,
    },
    /// The key was revoked while the request waited.
    Revoked,
    /// This host's data is too old to accept keys.
    Stale { age: Span },
}

impl Refusal {
    /// Reason in logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::Unreadable(_) => "no_key",
            Refusal::Unknown { .. } => "key_unknown",
            Refusal::Revoked => "key_withdrawn",
            Refusal::Stale { .. } => "key_unconfirmed",
        }
    }

    /// Rejection to send to the client.
    pub fn rejection(&self) -> Rejection {
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

/// Details of a refusal, for its log line.
struct Details<'a> {
    id: Option<Name>,
    route: &'a Route,
    account: Option<&'a Account>,
    /// Version of the configuration that was applied.
    version: u64,
}

/// Records a refusal in the log and the metrics.
fn log_refusal(state: &State, refusal: &Refusal, rejection: &Rejection, details: &Details) {
    state
        .log
        .metrics
        .record_outcome(&details.route.name, rejection.reason);
    let key = match refusal {
        Refusal::Unknown { digest } => Some(digest.as_str()),
        _ => None,
    };
    state.log.rate_limited(|| {
        let (id, route) = (details.id.as_deref(), &*details.route.name);
        let account = details.account.map(|a| &*a.name);
        let age_ms = data_age(state).ms();
        let store = if readers::store_failed_recently(state) { "failing" } else { "answering" };
        let retry_after_ms = rejection.retry_after.map(|s| s.ms());
        info!(target: "request", event = "refused", id, route, account, key, status = rejection.status.as_u16(), reason = rejection.reason, version = details.version, age_ms, store, retry_after_ms, ms = 0.0, why = %refusal, "a request is not let in by its key")
    });
}
