//! A configuration in the form in which requests use it.

use crate::accounts::{self, Accounts};
use platform::config::{Config, Engine, Limits, Route, Service};
use route::routing::Routing;
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
    table: Routing<Route>,
    services: HashMap<Name, Arc<Service>>,
}

/// Makes the form from a configuration.
pub fn build(config: Config, revision: u64) -> Routes {
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
        table: Routing::new(routes),
        services: services.collect(),
    }
}

impl Routes {
    /// Route of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.table.find(host, path)
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
