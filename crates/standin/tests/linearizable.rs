//! Histories of compare-and-swap, seen by its clients, are linearizable: what a client calls
//! refused never took effect, what it calls written did, what it calls unknown may have.

mod common;

use backing::kv::{self, Error as KvError, Kv, SwapOutcome};
use bundle::Head;
use cli::{Error, bundles};
use common::{quick, system};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::fleet::Plan;
use standin::kv::{Faults, Rates};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use todc_utils::Action::{Call, Response};
use todc_utils::{Action, History, Specification, WGLChecker};

/// Operation on a register with revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Op {
    /// Reads; gives the value, 0 when absent.
    Read(u64),
    /// Writes `new` if `old` stands there; tells whether it did, none when not known.
    Swap(u64, u64, Option<bool>),
}

/// Register that holds a number.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Op;

    fn init() -> u64 {
        0
    }

    fn apply(op: &Op, state: &u64) -> (bool, u64) {
        match op {
            Op::Read(value) => (value == state, *state),
            Op::Swap(old, new, Some(true)) => (old == state, *new),
            Op::Swap(old, _, Some(false)) => (old != state, *state),
            Op::Swap(old, new, None) if old == state => (true, *new),
            Op::Swap(_, _, None) => (true, *state),
        }
    }
}

type Log = Arc<Mutex<Vec<(usize, Action<Op>)>>>;

/// A history; an operation whose outcome is not known may take effect until the very end.
fn history(log: Vec<(usize, Action<Op>)>, unknown: Vec<(usize, Action<Op>)>) -> History<Op> {
    History::from_actions(log.into_iter().chain(unknown).collect())
}

/// Value and revision that a client knows, as one number: clients swap by revision, and every
/// written value is new, so the value stands for the revision.
async fn client(kv: Kv, process: usize, seed: u64, log: Log) -> Vec<(usize, Action<Op>)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + process as u64);
    let mut known = (0, 0);
    let mut unknown = Vec::new();
    // A process whose operation is not known goes on under another name.
    let mut name = process;
    let note = |name: usize, action| log.lock().unwrap().push((name, action));
    for round in 0..12_u64 {
        if rng.random_bool(0.4) {
            note(name, Call(Op::Read(0)));
            let got = loop {
                if let Ok(found) = kv.get("register").await {
                    break found;
                }
            };
            known = got.map_or((0, 0), |v| (v.value.parse().unwrap(), v.revision));
            note(name, Response(Op::Read(known.0)));
            continue;
        }
        let new = (process as u64 + 1) * 1_000 + round;
        let op = |done| Op::Swap(known.0, new, done);
        note(name, Call(op(None)));
        match kv
            .compare_and_swap("register", known.1, Some(&new.to_string()), None)
            .await
        {
            Ok(SwapOutcome::Written(revision)) => {
                note(name, Response(op(Some(true))));
                known = (new, revision);
            }
            Ok(SwapOutcome::Conflict(_)) | Err(KvError::Unavailable { .. }) => {
                // "Unavailable" is noted as "did nothing": only valid when it did nothing.
                let done = op(None);
                let did_nothing = match done {
                    Op::Swap(old, new, _) => Op::Swap(old + 500_000, new, Some(false)),
                    read => read,
                };
                note(name, Response(did_nothing));
            }
            Err(_) => {
                unknown.push((name, Response(op(None))));
                name += 100;
            }
        }
    }
    unknown
}

async fn run(seed: u64, faults: Faults) -> (Vec<(usize, Action<Op>)>, Vec<(usize, Action<Op>)>) {
    let stand_in = standin::kv::bind(seed, Rates::default()).await.unwrap();
    stand_in.set_faults(faults);
    let log: Log = Arc::default();
    let clients = (0..4).map(|process| {
        let kv = kv::open(&[stand_in.addr], Duration::from_millis(500));
        tokio::spawn(client(kv, process, seed, log.clone()))
    });
    let mut unknown = Vec::new();
    for client in clients.collect::<Vec<_>>() {
        unknown.extend(client.await.unwrap());
    }
    let log = log.lock().unwrap().clone();
    (log, unknown)
}

#[tokio::test]
async fn what_clients_of_the_service_see_is_linearizable() {
    let mut lost = 0;
    for seed in 0..20 {
        let faults = Faults {
            lose_answers: 15,
            late_writes: 10,
            late_by: Duration::from_millis(2),
            slow: Duration::from_micros(200),
            ..Faults::default()
        };
        let (log, unknown) = run(seed, faults).await;
        lost += unknown.len();
        assert!(
            WGLChecker::<Register>::is_linearizable(history(log, unknown)),
            "seed {seed}"
        );
    }
    assert!(lost > 20, "{lost} answers were lost");
}

#[tokio::test]
async fn the_checker_sees_stale_reads() {
    let mut seen = 0;
    for seed in 0..20 {
        let faults = Faults {
            stale_reads: 1,
            slow: Duration::from_micros(200),
            ..Faults::default()
        };
        let (log, unknown) = run(seed, faults).await;
        seen += usize::from(!WGLChecker::<Register>::is_linearizable(history(
            log, unknown,
        )));
    }
    assert!(
        seen > 0,
        "a service that gives stale reads must be found out"
    );
}

/// What an operator was told of a roll, as an operation on the head's sequence.
fn roll_op(replaces: u64, rolled: &Result<Head, Error>) -> Option<Op> {
    match rolled {
        Ok(head) => Some(Op::Swap(replaces, head.sequence, Some(true))),
        Err(Error::NotYetKnown { .. }) => None,
        Err(_) => Some(Op::Swap(u64::MAX, 0, Some(false))),
    }
}

#[tokio::test]
async fn what_operators_see_of_the_head_is_linearizable() {
    let fleet = system(Plan {
        halls: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    fleet.kv.set_faults(Faults {
        lose_answers: 20,
        slow: Duration::from_millis(1),
        ..Faults::default()
    });
    let log: Log = Arc::default();
    let note = |process, action| log.lock().unwrap().push((process, action));
    // The sample is in force already: the history begins with it.
    note(9, Call(Op::Swap(0, 1, None)));
    note(9, Response(Op::Swap(0, 1, Some(true))));
    let operator = async |process: usize| {
        let mut unknown = Vec::new();
        for round in 0..6 {
            let text = common::one_model(2).replace("sample", &format!("{process}.{round}"));
            let signing = fleet.signing(process);
            let Ok(draft) = bundles::propose(&fleet.tool, "x.ini", &text, &signing).await else {
                continue;
            };
            let other = fleet.signing((process + 1) % 3);
            if bundles::approve(&fleet.tool, &draft.id, &other)
                .await
                .is_err()
            {
                continue;
            }
            note(
                process,
                Call(Op::Swap(draft.replaces, draft.replaces + 1, None)),
            );
            let rolled = bundles::roll(&fleet.tool, &draft.id).await;
            match roll_op(draft.replaces, &rolled) {
                Some(op) => note(process, Response(op)),
                None => {
                    let op = Op::Swap(draft.replaces, draft.replaces + 1, None);
                    unknown.push((process, Response(op)));
                    return unknown;
                }
            }
        }
        unknown
    };
    let (a, b, c) = tokio::join!(operator(0), operator(1), operator(2));
    let unknown: Vec<_> = a.into_iter().chain(b).chain(c).collect();
    let log = log.lock().unwrap().clone();
    let accepted = log
        .iter()
        .filter(|(_, a)| matches!(a, Response(Op::Swap(_, _, Some(true)))));
    assert!(accepted.count() > 3, "some rolls must be accepted");
    assert!(WGLChecker::<Register>::is_linearizable(history(
        log, unknown
    )));
}
