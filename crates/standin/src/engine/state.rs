//! State of a stand-in engine.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use unit::engine::{Fence, Load, Report, Resident, Role, State as WeightState, Weights};
use unit::{Bytes, Name, rendezvous};
use upstream::engine::{Attempt, CacheEvent};

/// Reports kept for the lag.
const KEPT_REPORTS: usize = 4_096;

/// Runs kept for resumption before those that have ended are forgotten.
const KEPT_RUNS: usize = 20_000;

/// Cache events kept; older ones are lost, which makes the gaps.
const KEPT_CACHE: usize = 64;

/// Prefixes the cache holds.
const CACHED_PREFIXES: usize = 128;

/// Characters of a prompt that make up a cached prefix.
const PREFIX: usize = 512;

/// How an engine is.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Accelerator memory.
    pub memory: Bytes,
    /// Requests it runs at once.
    pub batch: u32,
    /// Time before the first token of a prompt that is not cached.
    pub prefill: Duration,
    /// Time for each token.
    pub token: Duration,
    /// Time for a load.
    pub load: Duration,
    /// Lag of its reports.
    pub lag: Duration,
    /// Whether it checks fences.
    pub fencing: bool,
    /// Faults of runs to come; engines made from clones of these settings share them.
    pub faults: Faults,
}

/// Faults that wait for a run, first come first served.
pub type Faults = Arc<parking_lot::Mutex<VecDeque<Fault>>>;

impl Default for Settings {
    fn default() -> Self {
        Settings {
            memory: Bytes::from_gb(80),
            batch: 32,
            prefill: Duration::from_millis(5),
            token: Duration::from_millis(1),
            load: Duration::from_millis(50),
            lag: Duration::from_millis(20),
            fencing: true,
            faults: Faults::default(),
        }
    }
}

/// Fault of a run to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It closes before it runs anything.
    CloseBefore,
    /// It runs, and closes before the head of its answer.
    CloseAfter,
    /// It closes after that many tokens; the run goes on.
    CloseAt(u32),
    /// It closes after that many tokens and forgets the run.
    DieAt(u32),
    /// It ends the stream cleanly after that many tokens, without the end marker.
    NoEndAt(u32),
    /// It sends another request's events in between.
    Crossed,
    /// It sends each event twice.
    Doubled,
    /// It leaves an event out.
    Gap,
    /// It refuses: full.
    Refuse,
    /// It sends garbage with status 500 after having run.
    Garbage,
    /// It takes this long before it answers.
    Late(Duration),
}

/// Run that was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// Whose.
    pub attempt: Attempt,
    /// Its prompt.
    pub prompt: Name,
    /// When.
    pub at: Instant,
    /// Whether the engine had been told to leave.
    pub leaving: bool,
}

/// Run under way or ended.
pub(super) struct Running {
    /// Tokens generated so far.
    pub(super) done: watch::Sender<u32>,
    pub(super) from: u32,
    pub(super) total: u32,
    pub(super) model: Name,
    pub(super) prompt: Name,
    pub(super) cancelled: bool,
}

impl Running {
    fn is_under_way(&self) -> bool {
        !self.cancelled && *self.done.borrow() < self.total
    }
}

pub(super) struct State {
    pub(super) inner: parking_lot::Mutex<Inner>,
    pub(super) frozen: watch::Sender<bool>,
    pub(super) token: Duration,
    pub(super) prefill: Duration,
    pub(super) load: Duration,
    pub(super) slots: tokio::sync::Semaphore,
}

pub(super) struct Inner {
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    pub(super) number: u64,
    pub(super) fence: Fence,
    pub(super) fencing: bool,
    pub(super) memory: Bytes,
    pub(super) batch: u32,
    pub(super) lag: Duration,
    pub(super) resident: Vec<Resident>,
    pub(super) role: Role,
    pub(super) leaving: bool,
    pub(super) refuses_when_leaving: bool,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) faults: Faults,
    pub(super) runs: HashMap<Attempt, Running>,
    pub(super) started: Vec<Started>,
    pub(super) cancelled: u64,
    pub(super) most_taken: Bytes,
    pub(super) overcommitted: u64,
    pub(super) order_delay: Option<Duration>,
    reports: VecDeque<(Instant, Report)>,
    cache: VecDeque<u64>,
    cache_events: VecDeque<CacheEvent>,
    cache_number: u64,
}

impl State {
    pub(super) fn new(settings: &Settings, incarnation: u64) -> State {
        State {
            inner: parking_lot::Mutex::new(Inner::new(settings, incarnation)),
            frozen: watch::Sender::new(false),
            token: settings.token,
            prefill: settings.prefill,
            load: settings.load,
            slots: tokio::sync::Semaphore::new(settings.batch as usize),
        }
    }

    /// Waits while frozen.
    pub(super) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}

impl Inner {
    fn new(settings: &Settings, incarnation: u64) -> Inner {
        let mut inner = Inner {
            incarnation,
            alive: true,
            number: 0,
            fence: Fence::default(),
            fencing: settings.fencing,
            memory: settings.memory,
            batch: settings.batch,
            lag: settings.lag,
            resident: Vec::new(),
            role: Role::default(),
            leaving: false,
            refuses_when_leaving: true,
            running: 0,
            waiting: 0,
            faults: settings.faults.clone(),
            runs: HashMap::new(),
            started: Vec::new(),
            cancelled: 0,
            most_taken: Bytes(0),
            overcommitted: 0,
            order_delay: Some(Duration::ZERO),
            reports: VecDeque::new(),
            cache: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_number: 0,
        };
        inner.changed();
        inner
    }

    pub(super) fn die(&mut self) {
        self.alive = false;
        self.incarnation += 1;
        self.resident.clear();
        self.runs.clear();
    }

    pub(super) fn revive(&mut self, settings: &Settings) {
        let fresh = Inner::new(settings, self.incarnation);
        let old = std::mem::replace(self, fresh);
        self.started = old.started;
        self.cancelled = old.cancelled;
        self.most_taken = old.most_taken;
        self.overcommitted = old.overcommitted;
    }

    /// Memory taken now.
    pub(super) fn taken(&self) -> Bytes {
        self.resident.iter().map(|r| r.bytes).sum()
    }

    /// Notes a change of what reports show.
    pub(super) fn changed(&mut self) {
        self.most_taken = self.most_taken.max(self.taken());
        self.number += 1;
        let report = self.report(false);
        if self.reports.len() >= KEPT_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((Instant::now(), report));
    }

    /// The report, as it was `lag` ago or as it is.
    pub(super) fn report(&self, lagged: bool) -> Report {
        let before = Instant::now().checked_sub(self.lag);
        let old = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| before.is_some_and(|before| *at <= before));
        if let (true, Some((_, report))) = (lagged, old.or(self.reports.front())) {
            return report.clone();
        }
        Report {
            incarnation: self.incarnation,
            number: self.number,
            fence: self.fence,
            memory: self.memory,
            resident: self.resident.clone(),
            load: self.load(),
            batch: self.batch,
            role: self.role,
            leaving: self.leaving,
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting,
        }
    }

    pub(super) fn preload(&mut self, weights: Weights, bytes: Bytes) {
        self.resident.push(Resident {
            weights,
            bytes,
            state: WeightState::Ready,
        });
        self.changed();
        // It was so before anybody looked.
        if let Some((_, report)) = self.reports.back().cloned() {
            self.reports = VecDeque::from([(Instant::now() - self.lag, report)]);
        }
    }

    pub(super) fn holds(&self, model: &Name, adapter: Option<&Name>) -> bool {
        let ready = |r: &&Resident| r.state == WeightState::Ready && r.weights.model == *model;
        let mut ready = self.resident.iter().filter(ready);
        ready.any(|r| r.weights.adapter.as_ref() == adapter)
    }

    /// Whether a request on a model is under way.
    pub(super) fn is_busy(&self, model: &Name) -> bool {
        self.runs
            .values()
            .any(|r| r.model == *model && r.is_under_way())
    }

    /// Forgets runs that have ended, once there are many.
    pub(super) fn prune(&mut self) {
        if self.runs.len() >= KEPT_RUNS {
            self.runs.retain(|_, run| run.is_under_way());
        }
    }

    /// Tells whether a prefix is cached, and caches it.
    pub(super) fn cache(&mut self, model: &Name, prompt: &str) -> bool {
        let bytes = prompt.as_bytes();
        let start = &bytes[..bytes.len().min(PREFIX)];
        let prefix = rendezvous::hash(model.as_bytes()) ^ rendezvous::hash(start);
        if self.cache.contains(&prefix) {
            return true;
        }
        if self.cache.len() >= CACHED_PREFIXES
            && let Some(dropped) = self.cache.pop_front()
        {
            self.cache_event(model, dropped, false);
        }
        self.cache.push_back(prefix);
        self.cache_event(model, prefix, true);
        false
    }

    fn cache_event(&mut self, model: &Name, prefix: u64, held: bool) {
        self.cache_number += 1;
        if self.cache_events.len() >= KEPT_CACHE {
            self.cache_events.pop_front();
        }
        self.cache_events.push_back(CacheEvent {
            number: self.cache_number,
            model: model.clone(),
            prefix,
            held,
        });
    }

    pub(super) fn cache_after(&self, after: u64) -> Vec<CacheEvent> {
        let newer = self.cache_events.iter().filter(|e| e.number > after);
        newer.cloned().collect()
    }
}

/// Text that an engine generates: a function of model and prompt.
pub fn text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token(model, prompt, i)).collect()
}

/// Token of an answer.
pub(super) fn token(model: &str, prompt: &str, i: u32) -> String {
    let seed = rendezvous::hash(prompt.as_bytes()) ^ rendezvous::hash(model.as_bytes());
    let hash = rendezvous::hash(&(seed ^ u64::from(i)).to_be_bytes());
    format!("w{:04} ", hash % 10_000)
}
