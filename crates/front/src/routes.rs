//! A configuration in the form in which requests use it.

use crate::accounts::{self, Accounts};
use platform::account::Account;
use platform::config::{Config, Engine, Limits, Route, Service};
use route::routing::Router;
use std::collections::HashMap;
use std::sync::Arc;
use unit::Name;

/// Configuration in force.
#[derive(Debug)]
pub struct Routes {
    /// Its version.
    pub version: u64,
    /// Revision of the store at which it was written.
    pub revision: u64,
    /// Bounds on what clients may send.
    pub limits: Limits,
    /// Client accounts; none when requests need no key.
    pub accounts: Option<Accounts>,
    table: Router<Route>,
    /// Ranks of urgency that its routes may have: one more than the highest number.
    levels: u8,
    services: HashMap<Name, Arc<Service>>,
}

/// Makes the form from a configuration.
pub fn build(config: Config, revision: u64) -> Routes {
    let highest = config.routes.iter().map(|r| r.priority).max();
    let levels = highest.unwrap_or_default().saturating_add(1);
    let services = config
        .services
        .into_iter()
        .map(|s| (s.name.clone(), Arc::new(s)));
    let routes = config
        .routes
        .into_iter()
        .map(|r| (r.host.to_string(), r.prefix.to_string(), r));
    Routes {
        version: config.version,
        revision,
        limits: config.limits,
        accounts: config.accounts.map(accounts::build),
        table: Router::new(routes),
        levels,
        services: services.collect(),
    }
}

impl Routes {
    /// Route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path)
    }

    /// Rank of a request on a route, 0 first.
    pub fn rank(&self, account: Option<&Arc<Account>>, route: &Route) -> u8 {
        match (&self.accounts, account) {
            (Some(accounts), Some(account)) => accounts.rank(account, route, self.levels),
            _ => route.priority,
        }
    }

    /// Service of a name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Services whose replicas run models, with their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&Name, &Engine)> {
        let services = self.services.values();
        services.filter_map(|s| s.engine.as_ref().map(|e| (&s.name, e)))
    }
}
