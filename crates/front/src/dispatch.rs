//! Dispatch of the few places of a service: one host, its dispatcher, gives them out to all.
//!
//! The leader names the dispatcher of each service that calls for one (`selection`). A host asks it for each request
//! (`ask`), and tells it what ended and what is in flight (`client`, `run`). The dispatcher's decisions are those of
//! [`route::dispatch`], for which `server` holds the state. While a dispatcher is silent, hosts choose alone; `place` is
//! what a request holds from its grant to its end, `summary` what a dispatcher logs.

mod ask;
mod client;
mod place;
mod round_trip;
mod run;
mod selection;
mod server;
mod summary;

pub use ask::{Answer, Query, ask};
pub use place::Place;
pub use run::{handle, run};
pub use selection::choose;

use crate::clock::Clock;
use crate::message::dispatch::Assignment;
use client::Client;
use parking_lot::Mutex;
use server::Server;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Notify;
use unit::{Name, Span, Time};

/// Time for which the leader remembers that a host stops.
const WITHDRAWN_FOR: Span = Span::from_secs(10);

/// Dispatch state of one host, in both roles.
pub struct Dispatch {
    clock: Arc<Clock>,
    /// Address of this host's datagram socket.
    own: SocketAddr,
    client: Client,
    server: Server,
    /// Notified when a dispatcher is to be told of requests that ended, or of all in flight.
    report_due: Notify,
    /// Hosts that stop, and when they last said so, while this host is the leader.
    withdrawn: Mutex<HashMap<SocketAddr, Time>>,
}

pub fn open(clock: Arc<Clock>, own: SocketAddr) -> Arc<Dispatch> {
    Arc::new(Dispatch {
        clock,
        own,
        client: Client::open(unit::clock::since_boot()),
        server: Server::default(),
        report_due: Notify::new(),
        withdrawn: Mutex::default(),
    })
}

/// Numbers of one service at its dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Gauges {
    pub service: Name,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that hold a place.
    pub granted: usize,
}

impl Dispatch {
    fn now(&self) -> Time {
        self.clock.now()
    }

    /// Applies the leader's assignment of dispatchers.
    pub fn assign(&self, dispatchers: Vec<Assignment>) {
        let changes = self.client.assign(dispatchers, self.now());
        for change in &changes {
            tracing::info!(target: "dispatch", event = "assigned", service = &*change.service, dispatcher = %change.addr, own = change.addr == self.own, "the leader named the host that gives out the places of a service");
        }
        if !changes.is_empty() {
            self.report_due.notify_one();
        }
    }

    /// Dispatchers, as last assigned by the leader.
    pub fn assigned(&self) -> Vec<Assignment> {
        self.client.assigned()
    }

    /// Records that a host stops.
    fn withdraw(&self, host: SocketAddr, now: Time) {
        let mut withdrawn = self.withdrawn.lock();
        withdrawn.retain(|_, at| now.since(*at) < WITHDRAWN_FOR);
        withdrawn.insert(host, now);
    }

    /// Whether a host has told this one that it stops.
    pub fn is_withdrawn(&self, host: SocketAddr) -> bool {
        let at = self.withdrawn.lock().get(&host).copied();
        at.is_some_and(|at| self.now().since(at) < WITHDRAWN_FOR)
    }

    /// Whether no other host gives out places of a service, as far as this one knows.
    pub fn is_lost(&self, service: &Name) -> bool {
        self.client.is_lost(service, self.now())
    }

    /// Records a request that was placed without the dispatcher.
    pub fn hold_alone(self: &Arc<Self>, service: &Name, replica: &str) -> Place {
        Place::alone(self, service, replica)
    }

    /// Numbers of the services that this host dispatches.
    pub fn gauges(&self) -> Vec<Gauges> {
        self.server.gauges()
    }
}
