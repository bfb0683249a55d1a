//! Demand over time, and what fails.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use unit::{Bytes, Span, Time};

/// Size of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Nyabarongo: twelve replicas, fifteen models.
    Nyabarongo,
    /// The Queensland Roasters trust: eighteen replicas, twenty models.
    Trust,
}

/// Kind of demand and of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// The same demand all the time.
    Steady,
    /// Some models at ten times their demand, others every few minutes.
    Bursts,
    /// Nothing, then everything within a minute.
    Shift,
    /// A replica is lost for ten minutes amid bursts.
    ReplicaLost,
    /// A hall is lost for ten minutes amid bursts.
    HallLost,
    /// Bursts, with loads five times as slow.
    StoreSlow,
    /// Bursts, with no planning for ten minutes.
    ServiceDown,
    /// Bursts, with reports five seconds late.
    LateReports,
}

impl Workload {
    /// All of them.
    pub const ALL: [Workload; 8] = [
        Workload::Steady,
        Workload::Bursts,
        Workload::Shift,
        Workload::ReplicaLost,
        Workload::HallLost,
        Workload::StoreSlow,
        Workload::ServiceDown,
        Workload::LateReports,
    ];

    /// Name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Workload::Steady => "steady",
            Workload::Bursts => "bursts",
            Workload::Shift => "shift start",
            Workload::ReplicaLost => "replica lost",
            Workload::HallLost => "hall lost",
            Workload::StoreSlow => "store slow",
            Workload::ServiceDown => "service down",
            Workload::LateReports => "reports 5 s late",
        }
    }
}

/// Time between two bursts, and how long one lasts.
const BURST_EVERY: Span = Span::from_secs(240);

/// Models that burst at once.
const BURSTING: usize = 2;

/// Factor of a burst.
const FACTOR: f64 = 10.0;

/// Fixed figures of a size.
#[derive(Debug, Clone)]
pub struct Figures {
    pub halls: usize,
    pub engines: usize,
    pub models: usize,
    pub routers: usize,
    pub memory: Bytes,
    /// Loads a second, and at once at full speed.
    pub loads: (f64, u32),
    /// Requests a second of all models when none bursts.
    pub rate: f64,
    /// Target of the first token.
    pub first_token: Span,
}

impl Size {
    pub fn figures(self) -> Figures {
        match self {
            Size::Nyabarongo => Figures {
                halls: 3,
                engines: 12,
                models: 15,
                routers: 9,
                memory: Bytes::from_gb(80),
                loads: (1.5, 10),
                rate: 55.0,
                first_token: Span::from_ms(1_600),
            },
            Size::Trust => Figures {
                halls: 3,
                engines: 18,
                models: 20,
                routers: 8,
                memory: Bytes::from_gb(80),
                loads: (2.0, 20),
                rate: 85.0,
                first_token: Span::from_secs(3),
            },
        }
    }

    /// Name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Size::Nyabarongo => "Nyabarongo",
            Size::Trust => "Trust",
        }
    }
}

/// Demand of every model over time.
pub struct Demand {
    base: Vec<f64>,
    /// Bursting models of each period.
    bursts: Vec<Vec<usize>>,
    workload: Workload,
}

impl Demand {
    pub fn new(figures: &Figures, workload: Workload, until: Time, rng: &mut ChaCha8Rng) -> Demand {
        // Popularity falls as one over the rank, in a random order of models.
        let mut ranks: Vec<usize> = (1..=figures.models).collect();
        for i in 0..ranks.len() {
            let j = rng.random_range(i..ranks.len());
            ranks.swap(i, j);
        }
        let sum: f64 = ranks.iter().map(|r| 1.0 / *r as f64).sum();
        let base = ranks
            .iter()
            .map(|r| figures.rate / *r as f64 / sum)
            .collect();
        let periods = until.0 / BURST_EVERY.0 + 1;
        let bursts = (0..periods).map(|_| {
            // The most popular do not burst: ten times theirs is beyond any placement.
            let small: Vec<usize> = (0..figures.models).filter(|m| ranks[*m] > 3).collect();
            (0..BURSTING)
                .map(|_| small[rng.random_range(0..small.len())])
                .collect()
        });
        Demand {
            base,
            bursts: bursts.collect(),
            workload,
        }
    }

    /// Requests a second of a model at a time.
    pub fn rate(&self, model: usize, now: Time) -> f64 {
        let base = self.base[model];
        match self.workload {
            Workload::Steady => base,
            Workload::Shift if now < Time(600_000_000) => base * 0.05,
            Workload::Shift => base * 1.6,
            _ => {
                let period = (now.0 / BURST_EVERY.0) as usize;
                match self.bursts[period].contains(&model) {
                    true => base * FACTOR,
                    false => base,
                }
            }
        }
    }

    /// Mean demand of a model, as a static placement is planned for.
    pub fn mean(&self, model: usize) -> f64 {
        self.base[model]
    }
}
