//! Request of a client, as it is sent to replicas.

use crate::accounts::Caller;
use crate::quarantine::Trial;
use crate::table::Criteria;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use platform::config::Route;
use platform::ingress::Ask;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use unit::{Fingerprint, Name, Span, Time};

/// Request of a client, read whole.
#[derive(Debug)]
pub struct Call {
    /// Identity that the client gave it, or one of ours.
    pub id: Name,
    /// Host that it was sent to.
    pub host: String,
    /// Its route.
    pub route: Arc<Route>,
    /// Service of that route that it goes to.
    pub service: Name,
    /// Whose request it is.
    pub caller: Caller,
    /// Its rank of urgency, 0 first: its account's, or else its route's.
    pub priority: u8,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its header fields.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its body's part of the memory for bodies, held until the request ends.
    pub _room: Option<OwnedSemaphorePermit>,
    /// What its header fields say.
    pub ask: Ask,
    /// When its head had come.
    pub arrived: Time,
    /// When nobody needs its answer any more.
    pub deadline: Time,
    /// Its fingerprint, once that was needed: the body is read for it, which few requests are worth.
    pub fingerprint: OnceLock<Fingerprint>,
    /// Its trial, if it is suspected of ending replicas and was let in.
    pub trial: OnceLock<Trial>,
}

impl Call {
    /// What it has in common with its repetitions, which carry other identities.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let account = self.caller.account.as_ref().map(|a| &*a.name);
            let path = self.uri.path_and_query().map_or("", |p| p.as_str());
            Fingerprint::of(&self.host, path, account, &self.body)
        })
    }

    /// Time left to it.
    pub fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now).std()
    }

    /// What it asks of a replica.
    pub fn criteria<'a>(&'a self, excluded: &'a [Name]) -> Criteria<'a> {
        Criteria {
            service: &self.service,
            ask: &self.ask,
            priority: self.priority,
            max_gap: self.route.gap.map(Span::from),
            excluded,
            is_resumption: false,
        }
    }
}
