//! Client request, as it is sent to replicas.

use crate::accounts::Caller;
use crate::quarantine::Trial;
use crate::table::Criteria;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use parking_lot::Mutex;
use platform::config::Route;
use platform::ingress::Metadata;
use route::admission::{self, Standing};
use route::quarantine::Cause;
use route::streams::Run;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use unit::{Fingerprint, Name, Span, Time};

/// Client request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Identity that the client gave it, or else a generated one.
    pub id: Name,
    /// Host that the client named.
    pub host: String,
    pub route: Arc<Route>,
    /// Service chosen among those of the route.
    pub service: Name,
    /// Caller, by its key.
    pub caller: Caller,
    /// Priority, 0 is the most urgent: that of the account, or else of the route.
    pub priority: u8,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Reservations of memory and of a slot for requests of other hosts, held until the request ends.
    pub permits: Vec<OwnedSemaphorePermit>,
    /// Metadata from the header fields.
    pub metadata: Metadata,
    /// When the head arrived.
    pub arrived: Time,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
    /// Fingerprint, computed on first use since it hashes the body.
    pub fingerprint: OnceLock<Fingerprint>,
    /// Standing in which it was last placed or waits.
    pub standing: Mutex<Standing>,
    /// Whether its caller exceeded its share of the busy replicas when it arrived, once that is known.
    pub exceeds_share: OnceLock<bool>,
    /// Host that passed the request on to this one.
    pub passed_on_by: Option<Name>,
    /// Replicas that the hosts before this one sent it to.
    pub attempted_before: Vec<Name>,
    /// Hosts that this one passed it on to.
    pub detours: Mutex<Vec<SocketAddr>>,
    /// Sends to replicas by this host so far.
    pub sends: AtomicU32,
    /// Run that gave the first event of the stream, once it has one; none if it is not certain which software ran it.
    pub run: OnceLock<Option<Run>>,
    /// Trial run, if the request is suspected of crashing replicas.
    pub trial: OnceLock<Trial>,
    /// Whether the first event of an answer has arrived.
    pub has_begun: AtomicBool,
    /// Whether an answer went on for long enough to prove that no segment of the prompt crashes replicas.
    pub has_sound_segments: AtomicBool,
}

/// Maximum number of segments of a prompt, the first ones, that are known to the quarantine.
const MAX_SEGMENTS: usize = 32;

impl Call {
    /// Fingerprint that repetitions of the request share, whatever their identities.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let account = self.caller.account.as_ref().map(|a| &*a.name);
            let path = self.uri.path_and_query().map_or("", |p| p.as_str());
            Fingerprint::of(&self.host, path, account, &self.body)
        })
    }

    /// What the request may be quarantined for: itself, and the segments that its prompt shares with others.
    pub fn causes(&self) -> Vec<Cause> {
        let own = Cause::Request(self.fingerprint());
        std::iter::once(own).chain(self.shared_segments()).collect()
    }

    /// Segments of its prompt that other requests may share.
    pub fn shared_segments(&self) -> impl Iterator<Item = Cause> {
        let segments = self.metadata.shared_segments().iter().take(MAX_SEGMENTS);
        segments.map(|segment| Cause::Segment(segment.id))
    }

    /// Counts a send to a replica.
    pub fn begin_send(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Time until the deadline.
    pub fn remaining(&self, now: Time) -> Duration {
        self.deadline.since(now).std()
    }

    /// Priority at replicas, by its standing.
    pub fn replica_priority(&self) -> u8 {
        admission::priority(*self.standing.lock(), self.priority)
    }

    /// Account of its caller, or else its route: what shares of busy replicas are counted by.
    pub fn sharer(&self) -> &Name {
        let account = self.caller.account.as_ref();
        account.map_or(&self.route.name, |account| &account.name)
    }

    /// Version of the software that began the stream, once that is known.
    pub fn software(&self) -> Option<&Name> {
        Some(&self.run.get()?.as_ref()?.software)
    }

    /// What the request requires of a replica at its first send by this host.
    pub fn first_criteria(&self) -> Criteria<'_> {
        self.criteria(&self.attempted_before)
    }

    /// What the request requires of a replica, without those `excluded`.
    pub fn criteria<'a>(&'a self, excluded: &'a [Name]) -> Criteria<'a> {
        let pause = admission::pause_fraction(*self.standing.lock());
        Criteria {
            service: &self.service,
            ask: &self.metadata,
            priority: self.replica_priority(),
            max_gap: self.route.max_gap.map(|gap| Span::from(gap) * pause),
            excluded,
            software: self.software(),
            is_resumption: false,
        }
    }
}
