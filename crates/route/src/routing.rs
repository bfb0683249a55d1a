//! Finding the route of a request: by its host, then by the longest beginning of its path.

use std::collections::HashMap;
use std::sync::Arc;

/// Table from hosts and beginnings of paths to routes of any type.
#[derive(Debug, Clone, Default)]
pub struct Router<R> {
    hosts: HashMap<String, HashMap<String, Arc<R>>>,
}

impl<R> Router<R> {
    /// Makes a table from hosts, beginnings of paths (each ends with a slash) and routes.
    pub fn new(routes: impl IntoIterator<Item = (String, String, R)>) -> Router<R> {
        let mut hosts: HashMap<String, HashMap<String, Arc<R>>> = HashMap::new();
        for (host, prefix, route) in routes {
            let host = host.to_ascii_lowercase();
            let paths = hosts.entry(host).or_default();
            paths.insert(prefix, Arc::new(route));
        }
        Router { hosts }
    }

    /// The route with the longest beginning of `path` at `host`; a port behind the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<R>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let paths = self.hosts.get(&host)?;
        let ends = path.char_indices().filter(|(_, c)| *c == '/');
        let ends: Vec<usize> = ends.map(|(i, _)| i + 1).collect();
        ends.iter().rev().find_map(|end| paths.get(&path[..*end]))
    }
}

/// Picks one of weighted alternatives by a hash, so that the same request always goes one way.
pub fn pick_weighted<T>(alternatives: &[(T, u32)], hash: u64) -> Option<&T> {
    let sum: u64 = alternatives.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut at = hash.checked_rem(sum)?;
    for (alternative, weight) in alternatives {
        match at.checked_sub(u64::from(*weight)) {
            Some(rest) => at = rest,
            None => return Some(alternative),
        }
    }
    None
}
