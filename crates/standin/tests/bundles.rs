//! Life of a bundle: signed, rolled, in force everywhere, never lower; through races and outages.

mod common;

use backing::keys;
use bundle::key::{Purpose, sign};
use bundle::{Draft, Head, part};
use cli::{Error, bundles};
use common::{PATIENCE, quick, system};
use standin::fleet::{self, Fleet, Plan};
use standin::kv::Faults;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::sleep;

async fn nine() -> Fleet {
    system(Plan {
        halls: 3,
        engines: 1,
        daemons: 3,
        settings: quick(),
        ..Plan::default()
    })
    .await
}

fn titled(title: &str) -> String {
    common::one_model(3).replace("title = sample", &format!("title = {title}"))
}

fn in_force(fleet: &Fleet, sequence: u64) -> bool {
    fleet
        .daemons
        .iter()
        .all(|d| d.core().active_bundle.sequence() == sequence)
}

#[tokio::test]
async fn a_roll_comes_into_force_on_every_daemon() {
    let fleet = nine().await;
    let head = fleet.roll(&titled("second")).await.unwrap();
    assert_eq!(head.sequence, 2);
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
    for daemon in &fleet.daemons {
        assert_eq!(&*daemon.core().in_force().unwrap().intent.title, "second");
    }
    let history = bundles::history(&fleet.tool).await.unwrap();
    assert_eq!(
        history.iter().map(|h| h.sequence).collect::<Vec<_>>(),
        [1, 2]
    );
    // Going back is rolling forward to the old content.
    let first = bundles::find(&fleet.tool, Some(1)).await.unwrap();
    let text = bundles::load_text(&fleet.tool, &first).await.unwrap();
    assert_eq!(fleet.roll(&text).await.unwrap().sequence, 3);
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 3)).await);
    assert_eq!(
        &*fleet.daemons[0].core().in_force().unwrap().intent.title,
        "sample"
    );
}

#[tokio::test]
async fn of_two_operators_who_roll_at_once_one_is_told_what_it_lost_to() {
    let fleet = nine().await;
    let (one, two) = (titled("one"), titled("two"));
    let a = bundles::propose(&fleet.tool, "one.ini", &one, &fleet.signer(0))
        .await
        .unwrap();
    let b = bundles::propose(&fleet.tool, "two.ini", &two, &fleet.signer(2))
        .await
        .unwrap();
    bundles::approve(&fleet.tool, &a.id, &fleet.signer(1))
        .await
        .unwrap();
    bundles::approve(&fleet.tool, &b.id, &fleet.signer(1))
        .await
        .unwrap();
    let (a, b) = tokio::join!(
        bundles::roll(&fleet.tool, &a.id),
        bundles::roll(&fleet.tool, &b.id)
    );
    let (won, lost) = match (a, b) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        other => panic!("one must win and one lose: {other:?}"),
    };
    let Error::Superseded { current, title, .. } = lost else {
        panic!("the loser is told that it was overtaken: {lost}");
    };
    assert_eq!((current, title), (won.sequence, won.draft.title));
}

/// Guards against telling the loser that the outcome is unknown because a read got no answer in time, as on a busy machine.
#[tokio::test]
async fn the_loser_of_two_rolls_is_told_so_although_reads_are_lost() {
    let fleet = nine().await;
    let mut drafts = Vec::new();
    for (title, operator) in [("one", 0), ("two", 2)] {
        let signer = fleet.signer(operator);
        let draft = bundles::propose(&fleet.tool, "b.ini", &titled(title), &signer).await;
        let draft = draft.unwrap();
        let approved = bundles::approve(&fleet.tool, &draft.id, &fleet.signer(1)).await;
        approved.unwrap();
        drafts.push(draft);
    }
    fleet.kv.set_faults(Faults {
        lost_reads: (keys::HISTORY, 3),
        ..Faults::default()
    });
    let (a, b) = tokio::join!(
        bundles::roll(&fleet.tool, &drafts[0].id),
        bundles::roll(&fleet.tool, &drafts[1].id)
    );
    let lost = match (a, b) {
        (Ok(_), Err(lost)) | (Err(lost), Ok(_)) => lost,
        other => panic!("one must win and one lose: {other:?}"),
    };
    assert!(matches!(lost, Error::Superseded { .. }), "{lost}");
}

#[tokio::test]
async fn nobody_approves_what_it_proposed_and_unapproved_drafts_do_not_roll() {
    let fleet = nine().await;
    let text = titled("mine alone");
    let draft = bundles::propose(&fleet.tool, "mine.ini", &text, &fleet.signer(0))
        .await
        .unwrap();
    let own = bundles::approve(&fleet.tool, &draft.id, &fleet.signer(0)).await;
    assert!(matches!(own, Err(Error::OwnProposal { .. })), "{own:?}");
    let rolled = bundles::roll(&fleet.tool, &draft.id).await;
    assert!(
        matches!(rolled, Err(Error::Unapproved { .. })),
        "{rolled:?}"
    );
}

/// Head that was never approved as it must be, written straight into the service.
async fn forge(fleet: &Fleet, change: impl Fn(&Fleet, &mut Draft)) -> u64 {
    let text = titled("forged");
    let parts = part::split("forged.ini", &text).unwrap();
    daemon::documents::put_parts(&fleet.tool.kv, &parts)
        .await
        .unwrap();
    let at = daemon::documents::head(&fleet.tool.kv).await.unwrap();
    let replaces = at.value.unwrap().sequence;
    let refs: Vec<_> = parts.iter().map(|p| p.reference.clone()).collect();
    let root = part::content_hash(&refs);
    let signed = |i: usize, purpose| {
        let operator = &fleet.operators[i];
        sign(&operator.key, &operator.name, purpose, &root, replaces)
    };
    let mut draft = Draft {
        id: "forged".into(),
        replaces,
        title: "forged".into(),
        parts: refs.clone(),
        proposal: signed(0, Purpose::Propose),
        approvals: vec![signed(1, Purpose::Approve)],
    };
    change(fleet, &mut draft);
    let head = Head {
        sequence: draft.replaces + 1,
        rolled_ms: 0,
        draft,
    };
    let text = serde_json::to_string(&head).unwrap();
    fleet
        .tool
        .kv
        .compare_and_swap(keys::HEAD, at.revision, Some(&text), None)
        .await
        .unwrap();
    head.sequence
}

#[tokio::test]
async fn nothing_unsigned_comes_into_force() {
    let fleet = nine().await;
    type Forgery = fn(&Fleet, &mut Draft);
    let forgeries: [Forgery; 6] = [
        |_, draft| draft.approvals.clear(),
        |_, draft| draft.approvals = vec![draft.proposal.clone()],
        |_, draft| draft.proposal.signature = "00".repeat(64).into(),
        |_, draft| draft.proposal.operator = "mallory".into(),
        |fleet, draft| {
            // A proposal's signature does not pass for an approval.
            let operator = &fleet.operators[1];
            let root = draft.content_hash();
            let signed = sign(
                &operator.key,
                &operator.name,
                Purpose::Propose,
                &root,
                draft.replaces,
            );
            draft.approvals = vec![signed];
        },
        |_, draft| {
            draft.parts.pop();
        },
    ];
    for forgery in forgeries {
        forge(&fleet, forgery).await;
        sleep(Duration::from_millis(150)).await;
        assert!(in_force(&fleet, 1), "a forged head came into force");
    }
}

#[tokio::test]
async fn a_revoked_key_counts_no_more() {
    let fleet = nine().await;
    let key = fleet.tool.settings.trust.operators["bob"].clone();
    let text = titled("without bob") + &format!("[revoked]\nkeys = {key}\n");
    fleet.roll(&text).await.unwrap();
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
    let draft = bundles::propose(&fleet.tool, "next.ini", &text, &fleet.signer(0))
        .await
        .unwrap();
    bundles::approve(&fleet.tool, &draft.id, &fleet.signer(1))
        .await
        .unwrap();
    let rolled = bundles::roll(&fleet.tool, &draft.id).await;
    assert!(
        matches!(rolled, Err(Error::Unapproved { .. })),
        "{rolled:?}"
    );
    bundles::approve(&fleet.tool, &draft.id, &fleet.signer(2))
        .await
        .unwrap();
    assert_eq!(
        bundles::roll(&fleet.tool, &draft.id)
            .await
            .unwrap()
            .sequence,
        3
    );
}

#[tokio::test]
async fn a_bundle_that_cannot_fit_is_refused_with_the_arithmetic() {
    let fleet = nine().await;
    let text = titled("too much").replace("memory = 6GB", "memory = 81GB");
    let refused = bundles::propose(&fleet.tool, "big.ini", &text, &fleet.signer(0)).await;
    let text = refused.unwrap_err().to_string();
    assert!(
        text.contains("3 replicas need 243.0 GB; 3 upstreams have 240.0 GB, the largest 80.0 GB"),
        "{text}"
    );
}

#[tokio::test]
async fn a_roll_whose_answer_is_lost_is_settled_truthfully() {
    let fleet = nine().await;
    for round in 0..8 {
        let text = titled(&format!("round {round}"));
        let draft = bundles::propose(&fleet.tool, "r.ini", &text, &fleet.signer(0))
            .await
            .unwrap();
        bundles::approve(&fleet.tool, &draft.id, &fleet.signer(1))
            .await
            .unwrap();
        fleet.kv.set_faults(Faults {
            lose_answers: 40,
            late_writes: 20,
            late_by: Duration::from_millis(50),
            ..Faults::default()
        });
        let rolled = bundles::roll(&fleet.tool, &draft.id).await;
        fleet.kv.set_faults(Faults::default());
        sleep(Duration::from_millis(100)).await;
        let now = daemon::documents::head(&fleet.tool.kv)
            .await
            .unwrap()
            .value
            .unwrap();
        match rolled {
            Ok(head) => assert_eq!(head.draft.id, now.draft.id, "in force means in force"),
            Err(Error::Indeterminate { .. }) => {}
            Err(other) => assert_ne!(draft.id, now.draft.id, "not in force means not: {other}"),
        }
    }
}

#[tokio::test]
async fn while_the_service_is_down_nothing_reverts_and_newcomers_learn_from_peers() {
    let mut fleet = nine().await;
    fleet.roll(&titled("second")).await.unwrap();
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
    fleet.kv.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    fleet.add_daemon(0, 7).await.unwrap();
    assert!(
        fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await,
        "a newcomer gets it from a peer"
    );
    // The service comes back and gives stale reads.
    fleet.kv.set_faults(Faults {
        stale_reads: 1,
        ..Faults::default()
    });
    sleep(Duration::from_millis(500)).await;
    assert!(in_force(&fleet, 2), "a stale read does not revert anybody");
    fleet.kv.set_faults(Faults::default());
    fleet.roll(&titled("third")).await.unwrap();
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 3)).await);
}

#[tokio::test]
async fn a_bundle_spreads_though_the_service_dies_after_one_relay_saw_it() {
    let fleet = nine().await;
    let head = fleet.roll(&titled("second")).await.unwrap();
    let one = || {
        fleet
            .daemons
            .iter()
            .any(|d| d.core().active_bundle.sequence() == head.sequence)
    };
    assert!(fleet.eventually(PATIENCE, one).await);
    fleet.kv.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
}

/// Positions of the relays among the daemons.
fn relays(fleet: &Fleet) -> Vec<usize> {
    let daemons = fleet.daemons.iter().enumerate();
    let relays = daemons.filter(|(_, d)| daemon::distribution::is_relay(d.core()));
    relays.map(|(i, _)| i).collect()
}

/// Waits until the daemons have read the host list; one that knows no peers is a relay.
async fn two_relays_in_each_hall(fleet: &Fleet) {
    let settled = fleet
        .eventually(PATIENCE, || relays(fleet).len() == 6)
        .await;
    assert!(settled, "two in each of three halls");
}

#[tokio::test]
async fn a_killed_relay_is_replaced() {
    let mut fleet = nine().await;
    two_relays_in_each_hall(&fleet).await;
    for i in relays(&fleet).into_iter().rev() {
        fleet.daemons.remove(i).kill();
    }
    fleet.roll(&titled("second")).await.unwrap();
    // The host list still names the dead: the living must not depend on it.
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
}

/// Guards against a hall without bundles while the host list still names its dead relays: daemons that have just started
/// watch the service themselves, and hide this.
#[tokio::test]
async fn a_killed_relay_is_replaced_once_the_others_follow_it() {
    let mut fleet = nine().await;
    two_relays_in_each_hall(&fleet).await;
    // Longer than the longest watch.
    sleep(Duration::from_secs(6)).await;
    for i in relays(&fleet).into_iter().rev() {
        fleet.daemons.remove(i).kill();
    }
    fleet.roll(&titled("second")).await.unwrap();
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, 2)).await);
}

#[tokio::test]
async fn sequences_never_fall_under_many_rolls_and_faults() {
    let fleet = nine().await;
    let mut highest: HashMap<usize, u64> = HashMap::new();
    for round in 0..20_u64 {
        fleet.kv.set_faults(Faults {
            slow: Duration::from_millis(round % 5 * 10),
            stale_reads: (round % 3) as usize,
            ..Faults::default()
        });
        // Rolls may fail on stale reads; what is accepted must hold.
        let _ = fleet.roll(&titled(&format!("round {round}"))).await;
        for (i, daemon) in fleet.daemons.iter().enumerate() {
            let now = daemon.core().active_bundle.sequence();
            let before = highest.insert(i, now).unwrap_or(0);
            assert!(now >= before, "daemon {i} fell from {before} to {now}");
        }
    }
    fleet.kv.set_faults(Faults::default());
    let last = fleet.roll(&titled("last")).await.unwrap().sequence;
    assert!(last > 2, "some rolls must have been accepted");
    assert!(fleet.eventually(PATIENCE, || in_force(&fleet, last)).await);
}

#[tokio::test]
async fn a_version_is_rolled_without_a_moment_unreachable() {
    let fleet = nine().await;
    let text = titled("new version").replace("version = 1", "version = 2");
    let reachable = || {
        let ready = |e: &standin::engine::Engine| {
            let resident = e.report().resident;
            resident
                .iter()
                .any(|r| r.state == unit::engine::State::Ready)
        };
        fleet.engines.iter().any(|(_, e)| ready(e))
    };
    fleet.roll(&text).await.unwrap();
    let rolled = || {
        assert!(
            reachable(),
            "the model must be ready somewhere at every look"
        );
        fleet.engines.iter().all(|(_, e)| {
            let resident = e.report().resident;
            let new = |r: &unit::engine::Resident| {
                &*r.weights.version == "2" && r.state == unit::engine::State::Ready
            };
            !resident.is_empty() && resident.iter().all(new)
        })
    };
    assert!(fleet.eventually(PATIENCE, rolled).await);
    for (name, engine) in &fleet.engines {
        assert_eq!(engine.overcommitted(), 0, "{name}");
    }
}

#[tokio::test]
async fn an_engine_that_restarts_is_filled_again() {
    let fleet = nine().await;
    fleet.engines[0].1.restart().await.unwrap();
    let filled = || {
        let resident = fleet.engines[0].1.report().resident;
        resident
            .iter()
            .any(|r| r.state == unit::engine::State::Ready)
    };
    assert!(fleet.eventually(PATIENCE, filled).await);
}

#[tokio::test]
async fn the_planner_that_dies_is_replaced() {
    let mut fleet = fleet::bind(Plan {
        halls: 1,
        engines: 2,
        daemons: 3,
        settings: quick(),
        ..Plan::default()
    })
    .await
    .unwrap();
    fleet.roll(&common::one_model(2)).await.unwrap();
    let planner = |fleet: &Fleet| {
        fleet
            .daemons
            .iter()
            .position(|d| d.core().planner_status.get().holds)
    };
    assert!(
        fleet
            .eventually(PATIENCE, || planner(&fleet).is_some())
            .await
    );
    let dead = planner(&fleet).unwrap();
    fleet.daemons.remove(dead).kill();
    let both = || {
        let ready = |e: &standin::engine::Engine| !e.report().resident.is_empty();
        planner(&fleet).is_some() && fleet.engines.iter().all(|(_, e)| ready(e))
    };
    assert!(fleet.eventually(PATIENCE, both).await);
}
