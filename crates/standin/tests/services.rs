//! Plain services: what may not be repeated is not, whatever fails.

mod common;

use common::{quick, small, system};
use hyper::{HeaderMap, Method};
use rstest::rstest;
use standin::caller::{Caller, Got};
use standin::fleet::{Fleet, KEY_ONE, Plan};
use standin::service::Fault;
use std::time::Duration;

async fn send(fleet: &Fleet, path: &str, body: &str) -> Got {
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    caller
        .send(Method::POST, path, HeaderMap::new(), body.to_owned())
        .await
}

fn ran(fleet: &Fleet, body: &str) -> usize {
    let ran = fleet.services.iter().flat_map(|(_, s)| s.ran());
    ran.filter(|r| r.body == body).count()
}

#[rstest]
#[case::closes_before(Fault::CloseBefore, "unknown", 0)]
#[case::closes_after(Fault::CloseAfter, "unknown", 1)]
#[case::late(Fault::Late(Duration::from_millis(300)), "complete", 1)]
#[case::crossed(Fault::Crossed, "unknown", 1)]
#[case::refuses(Fault::Refuse, "complete", 1)]
#[tokio::test]
async fn a_print_runs_at_most_once(
    #[case] fault: Fault,
    #[case] outcome: &str,
    #[case] runs: usize,
) {
    let fleet = small().await;
    fleet.services[0].1.push_fault(fault);
    let got = send(&fleet, "/labels/print", "label 7").await;
    assert_eq!(
        (got.outcome.as_str(), ran(&fleet, "label 7")),
        (outcome, runs)
    );
    if outcome == "complete" {
        assert_eq!(got.text, "POST /print ran: label 7");
    }
    let doubtful = outcome == "unknown";
    assert_eq!(
        got.must_not_retry, doubtful,
        "libraries resend server errors by themselves"
    );
}

#[rstest]
#[case::closes_before(Fault::CloseBefore, 1)]
#[case::closes_after(Fault::CloseAfter, 2)]
#[case::crossed(Fault::Crossed, 2)]
#[case::refuses(Fault::Refuse, 1)]
#[tokio::test]
async fn a_lookup_is_repeated_until_it_has_its_own_answer(
    #[case] fault: Fault,
    #[case] runs: usize,
) {
    let fleet = small().await;
    fleet.services[0].1.push_fault(fault);
    let got = send(&fleet, "/labels/find?lot=7", "lot 7").await;
    assert_eq!(got.text, "POST /find?lot=7 ran: lot 7");
    assert_eq!(
        (got.outcome.as_str(), ran(&fleet, "lot 7")),
        ("complete", runs)
    );
}

#[tokio::test]
async fn a_killed_service_leaves_not_run() {
    let fleet = small().await;
    fleet.services[0].1.kill();
    let got = send(&fleet, "/labels/print", "label 8").await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "not-run"));
}

#[tokio::test]
async fn an_outage_does_not_multiply_lookups() {
    let fleet = system(Plan {
        halls: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    const LOOKUPS: usize = 60;
    for _ in 0..LOOKUPS * 4 {
        fleet.services[0].1.push_fault(Fault::CloseAfter);
    }
    for i in 0..LOOKUPS {
        send(&fleet, "/labels/find", &format!("lot {i}")).await;
    }
    let ran: usize = fleet.services.iter().map(|(_, s)| s.ran().len()).sum();
    assert!(
        ran <= LOOKUPS + 4,
        "{ran} runs for {LOOKUPS} requests that all failed"
    );
}
