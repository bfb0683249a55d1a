//! Two halls that each believe the other keeps a model: the homes value lets only one let go.

use place::homes::{Hall, Homes};
use place::ledger::Ledger;
use place::plan::{Demand, Input, LoadLimiter, Plan, Spec, plan};
use place::{Fleet, Upstream};
use std::collections::BTreeMap;
use unit::engine::{Action, Fence, Load, Report, Resident, Role, State, Weights};
use unit::{Bytes, Name, Time};

const GB: fn(u64) -> Bytes = Bytes::from_gb;

fn spec(model: &str, memory: u64) -> Spec {
    Spec {
        model: model.into(),
        version: "1".into(),
        memory: GB(memory),
        min_replicas: 1,
        priority: 5,
        adapters: Vec::new(),
    }
}

fn holding(models: &[(&str, u64)]) -> Fleet {
    let resident = models.iter().map(|(model, memory)| Resident {
        weights: Weights {
            model: (*model).into(),
            version: "1".into(),
            adapter: None,
        },
        bytes: GB(*memory),
        state: State::Ready,
    });
    Fleet {
        upstreams: vec![Upstream {
            name: "e".into(),
            report: Report {
                incarnation: 1,
                number: 1,
                fence: Fence::default(),
                memory: GB(10),
                resident: resident.collect(),
                load: Load::default(),
                batch: 8,
                role: Role::Both,
                leaving: false,
            },
            leaving: false,
            fencing: true,
            unreachable: false,
        }],
    }
}

/// One tick of a hall that believes only `believed` to exist, with a bundle of `wants`.
fn tick(hall: &str, believed: &str, homes: &Homes, specs: &[Spec]) -> Plan {
    let name: Name = hall.into();
    let halls = [Hall {
        name: believed.into(),
        memory: GB(10),
    }];
    // `y` is in demand and too large to stand beside `x`.
    let demand = BTreeMap::from([(
        "y".into(),
        Demand {
            rate: 100.0,
            work: 1.0,
        },
    )]);
    let input = Input {
        now: Time(1),
        wall_ms: 0,
        hall: &name,
        halls: &halls,
        specs,
        fleet: &holding(&[("x", 6)]),
        other_halls: &Fleet::default(),
        homes,
        demand: &demand,
        attainment_weight: 1.0,
        move_cost: 0.0,
    };
    plan(
        &input,
        &mut Ledger::default(),
        &mut LoadLimiter::new(1e3, 100, 1),
    )
}

fn unloads(plan: &Plan) -> usize {
    let unload =
        |(_, order): &&(Name, unit::engine::Order)| matches!(order.action, Action::Unload { .. });
    plan.orders.iter().filter(unload).count()
}

/// Bundle in which another model of this hall needs the room that `x` takes.
fn specs() -> [Spec; 2] {
    [spec("x", 6), spec("y", 8)]
}

#[test]
fn without_homes_both_halls_would_let_go() {
    // Each hall believes that the other keeps `x`, and is told of no homes it belongs to.
    let mut homes = Homes::default();
    homes.join(&"x".into(), &"elsewhere".into());
    homes.join(&"y".into(), &"a".into());
    homes.join(&"y".into(), &"b".into());
    let lets_go = |hall, other| unloads(&tick(hall, other, &homes, &specs())) > 0;
    assert!(lets_go("a", "b") && lets_go("b", "a"));
}

#[test]
fn a_home_keeps_its_last_replica_whatever_it_believes() {
    let mut homes = Homes::default();
    homes.join(&"x".into(), &"a".into());
    homes.join(&"y".into(), &"a".into());
    homes.join(&"y".into(), &"b".into());
    assert_eq!(
        unloads(&tick("a", "b", &homes, &specs())),
        0,
        "a is the home of x"
    );
    assert!(
        unloads(&tick("b", "a", &homes, &specs())) > 0,
        "b need not keep it"
    );
}

#[test]
fn the_last_home_cannot_leave_and_two_cannot_leave_at_once() {
    let mut homes = Homes::default();
    let model: Name = "x".into();
    homes.join(&model, &"a".into());
    assert!(!homes.leave("x", "a"));
    homes.join(&model, &"b".into());
    assert!(homes.leave("x", "a"));
    assert!(
        !homes.leave("x", "b"),
        "by compare-and-swap, b decides on what a wrote"
    );
}

#[test]
fn every_model_is_assigned_even_when_the_halls_are_too_small() {
    let models: Vec<_> = (0..9)
        .map(|i| spec(&format!("m{i}"), 9).requirement())
        .collect();
    let halls = ["a", "b", "c"].map(|name| Hall {
        name: name.into(),
        memory: GB(20),
    });
    let assigned = place::homes::assign(&models, &halls);
    assert!(
        assigned.values().all(|halls| halls.len() == 1),
        "{assigned:?}"
    );
}

#[test]
fn a_hall_joins_once_it_holds_a_model_that_nobody_keeps() {
    let plan = tick("a", "a", &Homes::default(), &[spec("x", 6)]);
    assert_eq!(plan.joins, [Name::from("x")]);
}
