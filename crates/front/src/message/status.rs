//! Planner's status of one round, split over the datagrams that it takes and put together again.

use super::dispatch::Assignment;
use super::{MAX_DATAGRAM, encoded_size};
use crate::contact::Ages;
use crate::readers::Reader;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use unit::Name;

/// Upper bound on the encoded size of a digest whose lists are empty, in bytes.
pub const HEADER_SIZE: usize = 100;

/// Status of the planner, or a part of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// Number of the round within the leader's term.
    pub round: u32,
    /// Index of the part within the round.
    pub part: u16,
    /// Number of parts of the round.
    pub parts: u16,
    /// Models being loaded, with the expected remaining time in milliseconds.
    pub loading: Vec<(Name, u32)>,
    /// Models just loaded, by replica; the replica's entry may not list them yet.
    pub loaded: Vec<(Name, Name)>,
    /// Models about to be unloaded, by replica; they get no new requests.
    pub unloading: Vec<(Name, Name)>,
    /// Hashes of replicas that several hosts could not reach and too few others did.
    pub unreachable: Vec<u32>,
    /// Hosts that read the store for their halls.
    pub readers: Vec<Reader>,
    /// Addresses of all hosts while the fleet is small enough for direct exchange.
    pub direct_hosts: Vec<SocketAddr>,
    /// Period for which the hosts have been in contact with the store.
    pub store_uptime: Option<Ages>,
    /// Hosts that keep the runs of streams in a fleet that is too large for direct exchange.
    #[serde(default)]
    pub stream_hosts: Vec<SocketAddr>,
    /// Hosts that give out the places of services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dispatchers: Vec<Assignment>,
}

impl PlannerStatus {
    /// Splits the status so that each part fits one datagram. There is always a first part.
    pub fn split(self) -> Vec<PlannerStatus> {
        let mut parts = Parts::new(PlannerStatus {
            round: self.round,
            store_uptime: self.store_uptime,
            ..PlannerStatus::default()
        });
        parts.append(self.dispatchers, |part| &mut part.dispatchers);
        parts.append(self.readers, |part| &mut part.readers);
        parts.append(self.direct_hosts, |part| &mut part.direct_hosts);
        parts.append(self.stream_hosts, |part| &mut part.stream_hosts);
        parts.append(self.unreachable, |part| &mut part.unreachable);
        parts.append(self.loading, |part| &mut part.loading);
        parts.append(self.unloading, |part| &mut part.unloading);
        parts.append(self.loaded, |part| &mut part.loaded);
        parts.finish()
    }

    /// Adds the lists of another part.
    fn append(&mut self, part: PlannerStatus) {
        self.loading.extend(part.loading);
        self.loaded.extend(part.loaded);
        self.unloading.extend(part.unloading);
        self.unreachable.extend(part.unreachable);
        self.dispatchers.extend(part.dispatchers);
        self.readers.extend(part.readers);
        self.direct_hosts.extend(part.direct_hosts);
        self.stream_hosts.extend(part.stream_hosts);
    }
}

/// Parts of a status under construction.
struct Parts {
    header: PlannerStatus,
    all: Vec<PlannerStatus>,
    /// Upper bound on the encoded size of the last part, in bytes.
    size: usize,
}

impl Parts {
    fn new(header: PlannerStatus) -> Parts {
        Parts {
            all: vec![header.clone()],
            header,
            size: HEADER_SIZE,
        }
    }

    /// Appends rows to a list, in new parts once the last one is full.
    fn append<T: Serialize>(&mut self, rows: Vec<T>, list: fn(&mut PlannerStatus) -> &mut Vec<T>) {
        for row in rows {
            let row_size = encoded_size(&row);
            if self.size + row_size > MAX_DATAGRAM {
                self.all.push(self.header.clone());
                self.size = HEADER_SIZE;
            }
            self.size += row_size;
            list(self.all.last_mut().expect("there is always one")).push(row);
        }
    }

    fn finish(mut self) -> Vec<PlannerStatus> {
        let parts = self.all.len() as u16;
        for (index, part) in self.all.iter_mut().enumerate() {
            part.part = index as u16;
            part.parts = parts;
        }
        self.all
    }
}

/// Puts the parts of one round together. A round of which a part is lost is dropped: the status before it stays in
/// force until the next one.
#[derive(Debug, Default)]
pub struct Assembly {
    /// Term and round of the parts.
    round: (u64, u32),
    received: BTreeSet<u16>,
    status: PlannerStatus,
}

impl Assembly {
    /// Adds a part of a leader's term; returns the status once all parts of its round have arrived.
    pub fn add(&mut self, term: u64, part: PlannerStatus) -> Option<PlannerStatus> {
        if part.parts <= 1 {
            return Some(part);
        }
        let round = (term, part.round);
        if self.round != round {
            *self = Assembly {
                round,
                received: BTreeSet::new(),
                status: PlannerStatus {
                    round: part.round,
                    store_uptime: part.store_uptime,
                    ..PlannerStatus::default()
                },
            };
        }
        if !self.received.insert(part.part) {
            return None;
        }
        let parts = usize::from(part.parts);
        self.status.append(part);
        (self.received.len() == parts).then(|| std::mem::take(&mut self.status))
    }
}
