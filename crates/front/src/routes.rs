//! Configuration, indexed for the lookup of routes and services.

use crate::accounts::{self, Accounts, Caller};
use platform::account::{Account, Key};
use platform::config::{Config, Engine, Limits, Route, Service};
use platform::store::era;
use route::routing::Router;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;
use unit::{Name, Span};

/// Identity of a configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Version that its writer gave it.
    pub version: u64,
    /// Store revision at which it was written.
    pub revision: u64,
}

impl Edition {
    /// Whether this configuration is newer than another one. A store that has come back from a copy holds an older one
    /// until it is written again, so that the configuration's own version decides then.
    pub fn replaces(&self, known: &Edition) -> bool {
        match era::of(self.revision).cmp(&era::of(known.revision)) {
            Ordering::Less => false,
            Ordering::Equal => self.revision > known.revision,
            Ordering::Greater => self.version >= known.version,
        }
    }

    /// Whether requests may not be handled by this configuration after some were by the other one. A store that has come
    /// back from a copy holds the same version at another revision.
    pub fn is_older_than(&self, other: &Edition) -> bool {
        other.version != self.version && other.replaces(self)
    }
}

/// Configuration in force.
#[derive(Debug)]
pub struct Routes {
    pub version: u64,
    /// Store revision at which it was written.
    pub revision: u64,
    /// Limits on client requests.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
    router: Router<Destination>,
    /// Priority levels of its routes: one more than the highest priority.
    priority_levels: u8,
    services: HashMap<Name, Arc<Service>>,
    /// Shortest pause between events that a route to a service allows.
    max_pauses: HashMap<Name, Span>,
}

/// Where the requests of a host and path prefix go.
#[derive(Debug)]
enum Destination {
    /// To the services of a route.
    Route(Arc<Route>),
    /// Nowhere: the route cannot be decoded, and none with a shorter prefix may take them.
    Unreadable,
}

/// Indexes a configuration.
pub fn build(config: Config, revision: u64) -> Routes {
    let highest = config.routes.iter().map(|r| r.priority).max();
    let priority_levels = highest.unwrap_or_default().saturating_add(1);
    let max_pauses = max_pauses(&config.routes);
    let services = config
        .services
        .into_iter()
        .map(|s| (s.name.clone(), Arc::new(s)));
    let unreadable = config.unreadable_routes.into_iter().map(|r| {
        (
            r.host.to_string(),
            r.prefix.to_string(),
            Destination::Unreadable,
        )
    });
    let routes = config.routes.into_iter().map(|r| {
        let (host, prefix) = (r.host.to_string(), r.prefix.to_string());
        (host, prefix, Destination::Route(Arc::new(r)))
    });
    Routes {
        version: config.version,
        revision,
        limits: config.limits,
        accounts: config.accounts.map(accounts::build),
        router: Router::new(unreadable.chain(routes)),
        priority_levels,
        services: services.collect(),
        max_pauses,
    }
}

fn max_pauses(routes: &[Route]) -> HashMap<Name, Span> {
    let mut shortest: HashMap<Name, Span> = HashMap::new();
    for route in routes {
        let Some(pause) = route.max_gap.map(Span::from) else {
            continue;
        };
        for (service, _) in &route.services {
            let known = shortest.entry(service.clone()).or_insert(pause);
            *known = pause.min(*known);
        }
    }
    shortest
}

impl Routes {
    pub fn edition(&self) -> Edition {
        Edition {
            version: self.version,
            revision: self.revision,
        }
    }

    /// Route for a host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        match &**self.router.find(host, path)? {
            Destination::Route(route) => Some(route),
            Destination::Unreadable => None,
        }
    }

    /// Whether the route for a host and path cannot be decoded.
    pub fn is_unreadable(&self, host: &str, path: &str) -> bool {
        let destination = self.router.find(host, path);
        destination.is_some_and(|d| matches!(**d, Destination::Unreadable))
    }

    /// Caller of a request that another host let in by its key. The key is checked again when the request is sent.
    pub fn caller(&self, key: Option<Key>) -> Caller {
        let account = key
            .as_ref()
            .and_then(|key| self.accounts.as_ref()?.find(key));
        let account = account.cloned();
        Caller { key, account }
    }

    /// Priority of a request on a route, 0 is the most urgent.
    pub fn rank(&self, account: Option<&Arc<Account>>, route: &Route) -> u8 {
        match (&self.accounts, account) {
            (Some(accounts), Some(account)) => accounts.rank(account, route, self.priority_levels),
            _ => route.priority,
        }
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Shortest pause between events that a route to a service allows, if one is bounded.
    pub fn max_pause(&self, service: &str) -> Option<Span> {
        self.max_pauses.get(service).copied()
    }

    /// Services that run models, with their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&Name, &Engine)> {
        let services = self.services.values();
        services.filter_map(|s| s.engine.as_ref().map(|e| (&s.name, e)))
    }
}
