//! Runs that gave the first events of streams, by client attempt and by content: a stream may go on only at the software
//! version that began it.
//!
//! A replica may restart under its identity with other software, and its new entry comes some time later. A run that
//! began shortly before that is of either version, so that it is not named any more.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use unit::{Fingerprint, Name, Span, Time, rendezvous};

/// Time for which a run is kept: longer than a client comes back for a stream.
pub const RETENTION: Span = Span::from_secs(60);

/// Longest time from the first answer of a restarted replica until hosts know its new entry, while the store is there.
const REGISTRATION: Span = Span::from_ms(2_000);

/// Hosts beside the one that begins a stream that keep its run.
pub const KEEPERS: usize = 2;

/// Time for which a host is asked after the leader last listed it.
const LISTED_FOR: Span = Span::from_secs(10);

/// Run that gave the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    pub service: Name,
    /// Version of the replica's software.
    pub software: Name,
    /// Hash of the replica's identity.
    pub replica: u32,
    /// Incarnation that ran it, by the replica's entry.
    pub incarnation: Option<u64>,
    /// Whether that entry may have been old, since the store was out of reach.
    pub is_stale: bool,
}

/// Restart of a replica.
#[derive(Debug)]
struct Restart {
    incarnation: Option<u64>,
    software: Name,
    learnt_at: Time,
}

/// Runs known to this host, and restarts that make some of them doubtful.
#[derive(Debug)]
pub struct Registry {
    capacity: usize,
    /// Runs, or none where several versions gave first events under one key, and when each was recorded.
    runs: HashMap<u64, (Option<Run>, Time)>,
    /// Keys of `runs`, oldest first.
    order: VecDeque<(Time, u64)>,
    /// Restarts of each replica, oldest first.
    restarts: HashMap<u32, Vec<Restart>>,
    /// When old restarts were last dropped.
    pruned_at: Time,
    /// Names that the runs share.
    names: HashSet<Name>,
}

/// Key of a client attempt, by its identity.
pub fn key(request: &str) -> u64 {
    rendezvous::hash(request.as_bytes())
}

/// Key of all attempts with the same content, for clients that do not name the attempt that began their stream.
pub fn content_key(fingerprint: Fingerprint) -> u64 {
    rendezvous::hash(&fingerprint.0.to_be_bytes())
}

impl Registry {
    /// Opens a registry that keeps at most so many runs.
    pub fn open(capacity: usize) -> Registry {
        Registry {
            capacity,
            runs: HashMap::new(),
            order: VecDeque::new(),
            restarts: HashMap::new(),
            pruned_at: Time(0),
            names: HashSet::new(),
        }
    }

    /// Number of runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Records a run under a key. Runs of several versions under one key make it unknown.
    pub fn record(&mut self, key: u64, mut run: Run, now: Time) {
        self.expire(now);
        if let Some((known, _)) = self.runs.get_mut(&key) {
            known.take_if(|known| {
                (&known.service, &known.software) != (&run.service, &run.software)
            });
            return;
        }
        run.service = self.share(run.service);
        run.software = self.share(run.software);
        self.runs.insert(key, (Some(run), now));
        self.order.push_back((now, key));
        if self.runs.len() > self.capacity
            && let Some((_, oldest)) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    /// Run under a key, if it is known and not doubtful.
    pub fn find(&self, key: u64, now: Time) -> Option<&Run> {
        let (run, recorded_at) = self.runs.get(&key)?;
        let run = run.as_ref()?;
        let is_kept = now.since(*recorded_at) < RETENTION;
        (is_kept && self.is_certain(run, *recorded_at)).then_some(run)
    }

    /// Runs that are known and not doubtful, the newest first.
    pub fn known(&self, now: Time) -> impl Iterator<Item = (u64, &Run)> {
        let keys = self.order.iter().rev().map(|(_, key)| *key);
        keys.filter_map(move |key| Some((key, self.find(key, now)?)))
    }

    /// Whether a run that began at a time was of the software that it names, as far as restarts are known.
    pub fn is_certain(&self, run: &Run, began_at: Time) -> bool {
        let restarts = self.restarts.get(&run.replica).into_iter().flatten();
        let later = restarts
            .rev()
            .take_while(|restart| restart.incarnation != run.incarnation);
        let mut others = later.filter(|restart| restart.software != run.software);
        !others.any(|restart| run.is_stale || restart.learnt_at < began_at + REGISTRATION)
    }

    /// Records that a replica runs a new incarnation, and with which software.
    pub fn record_incarnation(
        &mut self,
        replica: u32,
        incarnation: Option<u64>,
        software: Name,
        now: Time,
    ) {
        self.expire(now);
        let restart = Restart {
            incarnation,
            software: self.share(software),
            learnt_at: now,
        };
        self.restarts.entry(replica).or_default().push(restart);
    }

    /// Drops runs that are too old, and from time to time what else is no longer needed.
    fn expire(&mut self, now: Time) {
        while let Some((recorded_at, key)) = self.order.front()
            && now.since(*recorded_at) >= RETENTION
        {
            self.runs.remove(key);
            self.order.pop_front();
        }
        // All replicas are looked at, so that this is not done for each run.
        if now.since(self.pruned_at) >= RETENTION {
            self.prune(now);
        }
    }

    /// Drops restarts that make no run doubtful any more, and names that only this registry holds.
    fn prune(&mut self, now: Time) {
        self.pruned_at = now;
        let is_old = |restart: &Restart| now.since(restart.learnt_at) >= RETENTION * 2.0;
        self.restarts.retain(|_, restarts| {
            restarts.retain(|restart| !is_old(restart));
            !restarts.is_empty()
        });
        self.names.retain(|name| Arc::strong_count(name) > 1);
    }

    /// The name, with the memory of an equal one.
    fn share(&mut self, name: Name) -> Name {
        if let Some(known) = self.names.get(&name) {
            return known.clone();
        }
        self.names.insert(name.clone());
        name
    }
}

/// Hosts that keep runs for others, as the leader lists them.
#[derive(Debug, Default)]
pub struct Hosts {
    /// Hosts of the last list, without this one.
    listed: Vec<SocketAddr>,
    /// When each host was last listed.
    listed_at: HashMap<SocketAddr, Time>,
}

impl Hosts {
    /// Replaces the list.
    pub fn assign(&mut self, listed: Vec<SocketAddr>, now: Time) {
        self.listed_at.retain(|_, at| now.since(*at) < LISTED_FOR);
        self.listed_at
            .extend(listed.iter().map(|host| (*host, now)));
        self.listed = listed;
    }

    /// Hosts that keep the run of a client attempt.
    pub fn keepers(&self, key: u64) -> Vec<SocketAddr> {
        let mut keepers = ranked(key, self.listed.iter().copied());
        keepers.truncate(KEEPERS);
        keepers
    }

    /// Hosts that may know the run of a client attempt, the likeliest first. The list may have changed since it began.
    pub fn ranked(&self, key: u64, now: Time) -> Vec<SocketAddr> {
        let is_recent = |at: &Time| now.since(*at) < LISTED_FOR;
        let recent = self.listed_at.iter().filter(|(_, at)| is_recent(at));
        ranked(key, recent.map(|(host, _)| *host))
    }
}

/// Hosts by their rank for a key, the highest first.
fn ranked(key: u64, hosts: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let weighted = hosts.map(|host| (rendezvous::weight(key, &host.to_string()), host));
    let mut weighted: Vec<_> = weighted.collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, host)| host).collect()
}
