//! More models than slots: idle models are evicted, and models in demand share the slots in turn. Plans are
//! simulated in virtual time on replicas that carry out one order at a time.

use place::copies::{Model, Replica, Step, plan};
use proptest::prelude::*;

/// Interval between plans.
const TICK_SECS: f64 = 0.2;

const DISK_LOAD_SECS: f64 = 2.3;
const STORE_LOAD_SECS: f64 = 9.0;
const UNLOAD_SECS: f64 = 1.2;

/// Time constant of recent demand.
const RECENT_SECS: f64 = 20.0;

/// Replicas with two slots each.
struct Simulation {
    replicas: Vec<Replica>,
    models: Vec<Model>,
    /// Operation in progress on each replica, and the time it ends.
    operations: Vec<Option<(Operation, f64)>>,
    /// Recently loaded models by replica, with the time until which they count as such.
    recently_loaded: Vec<Vec<(usize, f64)>>,
    store_loads_per_second: f64,
    store_tokens: f64,
    now: f64,
    /// Time at which each model last had a copy.
    held: Vec<f64>,
    loads: usize,
}

enum Operation {
    Unload(Vec<usize>),
    Load(usize, f64),
}

impl Simulation {
    /// Replicas hold the first models in order, and have some others cached.
    fn new(replicas: usize, models: usize, store_loads_per_second: f64) -> Simulation {
        let model = Model {
            memory_mb: 40.0,
            demand: 0.0,
            recent_demand: 0.0,
            unserved_secs: 0.0,
            store_factor: DISK_LOAD_SECS / STORE_LOAD_SECS,
            expected_demand: 0.0,
        };
        let replica = |r: usize| Replica {
            free_mb: 0.0,
            held: vec![2 * r % models, (2 * r + 1) % models],
            cached: (0..6).map(|i| (2 * r + 3 * i) % models).collect(),
            accepts_orders: true,
            in_service: true,
            ..Replica::default()
        };
        Simulation {
            replicas: (0..replicas).map(replica).collect(),
            models: vec![model; models],
            operations: (0..replicas).map(|_| None).collect(),
            recently_loaded: vec![Vec::new(); replicas],
            store_loads_per_second,
            store_tokens: 3.0,
            now: 0.0,
            held: vec![0.0; models],
            loads: 0,
        }
    }

    /// Makes one plan, with the demand given by model and time.
    fn tick(&mut self, demand: impl Fn(usize, f64) -> f64) {
        self.now += TICK_SECS;
        self.store_tokens = (self.store_tokens + self.store_loads_per_second * TICK_SECS).min(3.0);
        for (m, model) in self.models.iter_mut().enumerate() {
            model.demand = demand(m, self.now);
            model.recent_demand += (model.demand - model.recent_demand) * TICK_SECS / RECENT_SECS;
        }
        (0..self.replicas.len()).for_each(|r| self.finish(r));
        for m in 0..self.models.len() {
            if self.replicas.iter().any(|r| r.held.contains(&m)) {
                self.held[m] = self.now;
            }
            let in_demand = self.models[m].demand + self.models[m].recent_demand > 0.005;
            self.models[m].unserved_secs = if in_demand {
                self.now - self.held[m]
            } else {
                0.0
            };
        }
        let max_steps = self.replicas.len();
        for step in plan(
            &self.replicas,
            &self.models,
            self.store_tokens as usize,
            max_steps,
        ) {
            self.begin(step);
        }
    }

    fn finish(&mut self, r: usize) {
        let now = self.now;
        self.recently_loaded[r].retain(|(_, until)| now < *until);
        let replica = &mut self.replicas[r];
        match self.operations[r].take_if(|(_, done_at)| now >= *done_at) {
            Some((Operation::Unload(models), _)) => {
                replica.free_mb += models.len() as f64 * 40.0;
                (replica.accepts_orders, replica.unloading) = (true, false);
            }
            Some((Operation::Load(model, duration), _)) => {
                replica.incoming.clear();
                replica.held.push(model);
                replica.cached.push(model);
                replica.accepts_orders = true;
                self.recently_loaded[r].push((model, now + duration));
            }
            None => {}
        }
        self.replicas[r].recently_loaded =
            self.recently_loaded[r].iter().map(|(m, _)| *m).collect();
    }

    fn begin(&mut self, step: Step) {
        match step {
            Step::Load {
                replica: r,
                model,
                from_store,
            } => {
                let replica = &mut self.replicas[r];
                assert!(replica.free_mb >= 40.0 && replica.accepts_orders, "no room");
                replica.free_mb -= 40.0;
                replica.incoming = vec![model];
                (replica.reserved_for, replica.accepts_orders) = (None, false);
                let duration = if from_store {
                    STORE_LOAD_SECS
                } else {
                    DISK_LOAD_SECS
                };
                self.store_tokens -= f64::from(u8::from(from_store));
                self.loads += 1;
                self.operations[r] = Some((Operation::Load(model, duration), self.now + duration));
            }
            Step::Unload {
                replica: r,
                models,
                replacement,
            } => {
                let replica = &mut self.replicas[r];
                replica.held.retain(|m| !models.contains(m));
                replica.incoming = vec![replacement];
                replica.reserved_for = Some(replacement);
                (replica.accepts_orders, replica.unloading) = (false, true);
                let done_at = self.now + UNLOAD_SECS * models.len() as f64;
                self.operations[r] = Some((Operation::Unload(models), done_at));
            }
        }
    }

    fn copies(&self, model: usize) -> usize {
        let holds = |r: &&Replica| r.held.contains(&model);
        self.replicas.iter().filter(holds).count()
    }
}

/// Measured demand for a model with one request per `interval` seconds.
fn intermittent(model: usize, now: f64, interval: f64) -> f64 {
    let elapsed = (now + model as f64 * 1.7) % interval;
    0.28 * (-elapsed / 1.5).exp()
}

/// 48 models on 40 slots: three busy, 20 with one request in seven seconds, the others idle. Guards against
/// keeping the last copies of idle models, which leaves no slots for models in demand.
#[test]
fn a_long_tail_is_served_beside_busy_models() {
    let mut simulation = Simulation::new(20, 48, 3.6);
    let demand = |m: usize, now: f64| match m {
        0..3 => 4.0,
        20..28 | 36..48 => intermittent(m, now, 7.0),
        _ => 0.0,
    };
    let mut served = [false; 48];
    for _ in 0..150 {
        simulation.tick(demand);
        for (m, served) in served.iter_mut().enumerate() {
            *served |= simulation.copies(m) > 0 && demand(m, simulation.now) > 0.0;
        }
    }
    let in_demand = (0..3).chain(20..28).chain(36..48);
    let unserved: Vec<usize> = in_demand.filter(|m| !served[*m]).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
    for busy in 0..3 {
        assert!(
            simulation.copies(busy) >= 2,
            "{busy}: {}",
            simulation.copies(busy)
        );
    }
    assert!(
        simulation.loads < 90,
        "too many loads: {}",
        simulation.loads
    );
}

/// Two models that are busy in alternation. Guards against evicting one for the other while there are idle
/// models to evict.
#[test]
fn models_busy_in_alternation_keep_a_copy_each() {
    let mut simulation = Simulation::new(4, 12, 1.0);
    let demand = |m: usize, now: f64| match (m, (now / 10.0) as usize % 2) {
        (0, 0) | (1, 1) => 3.0,
        _ => 0.0,
    };
    for tick in 0..300 {
        simulation.tick(demand);
        let held = simulation.copies(0).min(simulation.copies(1));
        assert!(tick < 60 || held > 0, "at {}", simulation.now);
    }
}

/// Guards against models that are never loaded when all have the same demand.
#[test]
fn models_of_equal_demand_take_turns() {
    let mut simulation = Simulation::new(3, 10, 0.5);
    let mut longest_unserved = vec![0.0_f64; 10];
    for _ in 0..600 {
        simulation.tick(|_, _| 0.3);
        for (m, longest_unserved) in longest_unserved.iter_mut().enumerate() {
            *longest_unserved = longest_unserved.max(simulation.now - simulation.held[m]);
        }
    }
    // Four of ten models wait; a turn is a load, the time it is protected, and an unload.
    let limit = 2.0 * (2.0 * STORE_LOAD_SECS + UNLOAD_SECS) * 10.0 / 6.0;
    assert!(
        longest_unserved.iter().all(|l| *l < limit),
        "{longest_unserved:?}"
    );
}

/// Guards against evicting the last copy of an idle model for a single request while idle models often
/// become busy.
#[test]
fn a_rare_request_does_not_immediately_displace_a_model_with_expected_demand() {
    let mut simulation = Simulation::new(2, 5, 1.0);
    for model in &mut simulation.models {
        model.expected_demand = 2.0;
    }
    simulation.tick(|m, _| if m == 4 { 0.28 } else { 0.0 });
    assert!(
        simulation.operations.iter().all(Option::is_none),
        "nothing is evicted immediately"
    );
    for _ in 0..200 {
        simulation.tick(|m, now| {
            if m == 4 {
                intermittent(0, now, 4.0)
            } else {
                0.0
            }
        });
    }
    assert_eq!(simulation.copies(4), 1, "the model is loaded in time");
}

/// Guards against using freed memory for another model whose demand has risen meanwhile.
#[test]
fn freed_memory_stays_reserved_for_its_model() {
    let mut simulation = Simulation::new(1, 3, 0.0);
    simulation.store_tokens = 0.0;
    simulation.replicas[0].free_mb = 40.0;
    simulation.replicas[0].held = vec![0];
    simulation.replicas[0].cached = vec![1];
    simulation.replicas[0].incoming = vec![2];
    simulation.replicas[0].reserved_for = Some(2);
    simulation.tick(|m, _| [0.0, 3.0, 0.3][m]);
    assert!(
        simulation.operations[0].is_none(),
        "it waits for the weight store"
    );
    simulation.store_tokens = 1.0;
    simulation.tick(|m, _| [0.0, 3.0, 0.3][m]);
    assert!(matches!(
        simulation.operations[0],
        Some((Operation::Load(2, _), _))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    /// With constant demand, each model in demand is loaded again within a time that follows from the rate of
    /// the weight store.
    #[test]
    fn models_in_demand_are_served_in_bounded_time(
        demands in proptest::collection::vec(prop_oneof![Just(0.0), 0.05f64..4.0], 3..14),
        replicas in 2usize..5,
    ) {
        let models = demands.len();
        let mut simulation = Simulation::new(replicas, models, 1.0);
        let demands = demands.clone();
        let slots = 2.0 * replicas as f64;
        let turn_secs = 2.0 * STORE_LOAD_SECS + UNLOAD_SECS;
        // Models of greater demand stay longer: each 4 s of waiting adds the initial value once more.
        let ratio = 4.0 / 0.05_f64.max(demands.iter().copied().filter(|d| *d > 0.0).fold(4.0, f64::min));
        let limit = turn_secs * (1.0 + models as f64 / slots) + 4.0 * 11.0 * ratio;
        let mut longest_unserved = vec![0.0_f64; models];
        for _ in 0..(2.0 * limit / TICK_SECS) as usize {
            simulation.tick(|m, _| demands[m]);
            for (m, longest_unserved) in longest_unserved.iter_mut().enumerate() {
                *longest_unserved = longest_unserved.max(simulation.now - simulation.held[m]);
            }
        }
        for (m, demand) in demands.iter().enumerate() {
            prop_assert!(*demand == 0.0 || longest_unserved[m] < limit, "{}: {} of {}", m, longest_unserved[m], limit);
        }
    }
}
