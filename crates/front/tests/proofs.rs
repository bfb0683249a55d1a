//! What proves that a request has not run, and what does not.

mod site;

use front::Daemon;
use front::attempt::verdict::judge;
use front::attempt::{Failure, History, Verdict};
use front::respond::Rejection;
use front::serve::conclusion;
use hyper::{HeaderMap, StatusCode};
use platform_standin::link::{Links, Mode};
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::Store;
use platform_standin::stray::{
    LIMITED, MALFORMED, MISDIRECTED, SHED, SIGNED, SIGNED_FAILURE, SIGNED_STREAM,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use site::{Answer, NOT_RUN, ask, ask_at, engine, host_with_links, store, until, violation, web};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Kinds of requests, with their model.
const PATHS: [(&str, Option<&str>); 4] = [
    ("/once/x", None),
    ("/again/x", None),
    ("/stream/x", Some("m1")),
    ("/resume/x", Some("m1")),
];

/// Replicas of both services, two of each.
async fn replicas(store: &Store) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for n in 1..=2 {
        replicas.push(web(store, &format!("w-{n}")).await);
        replicas.push(engine(store, &format!("e-{n}"), &["m1"]).await);
    }
    replicas
}

/// How often replicas ran a request.
fn runs(replicas: &[Replica], id: &str) -> u32 {
    replicas.iter().map(|r| r.request_log(id).runs).sum()
}

/// Whether an answer that claims success is the replica's own.
fn is_own(path: &str, id: &str, answer: &Answer) -> bool {
    match path {
        _ if answer.status() != 200 => true,
        "/once/x" | "/again/x" => answer.text().contains(&format!(" answers {id} at ")),
        _ => answer.text().contains("data: piece 1 by "),
    }
}

/// Violations of the guarantees of a request that was answered.
fn violations(replicas: &[Replica], path: &str, id: &str, answer: &Answer) -> Vec<String> {
    let mut violations = Vec::new();
    violations.extend(violation(path, id, answer.status(), runs(replicas, id)));
    if !is_own(path, id, answer) || [400, 404].contains(&answer.status()) {
        violations.push(format!("{path} {id} got the answer of another request"));
    }
    violations
}

/// Guards against bytes after a whole answer that are taken for the answer to the next request: as a refusal they let it
/// run twice or tell its caller that it has not run, as a success its caller gets them.
#[rstest]
#[tokio::test]
async fn bytes_after_an_answer_belong_to_no_request(
    #[values(
        SHED,
        LIMITED,
        MISDIRECTED,
        MALFORMED,
        SIGNED,
        SIGNED_FAILURE,
        SIGNED_STREAM
    )]
    bytes: &'static str,
) {
    let store = store().await;
    let replicas = replicas(&store).await;
    let (daemon, links) = host_with_links(&store, "d1").await;
    links.set(Mode::Insert(bytes));
    let mut found = Vec::new();
    for n in 0..32 {
        let (path, model) = PATHS[n % PATHS.len()];
        let (id, answer) = ask(&daemon, path, model).await;
        found.extend(violations(&replicas, path, &id, &answer));
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against callers that are told 502 for each true refusal that names no request: after the first, requests that may
/// run only once go over connections of their own, where the refusal is a proof.
#[tokio::test]
async fn requests_are_sent_again_after_refusals_without_an_id() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let other = web(&store, "w-2").await;
    let (daemon, _links) = host_with_links(&store, "d1").await;
    let (mut statuses, mut refused) = (Vec::new(), 0);
    replica.name_refused(false);
    for n in 0..24 {
        replica.set_fault(Fault::None);
        ask(&daemon, "/again/x", None).await;
        // The second of two requests finds the connection of the first.
        replica.set_fault(if n % 2 == 0 {
            Fault::RefuseOnce(503)
        } else {
            Fault::None
        });
        let (id, answer) = ask(&daemon, "/once/x", None).await;
        let runs = runs(&[replica.clone(), other.clone()], &id);
        assert_eq!(violation("/once/x", &id, answer.status(), runs), None);
        refused += replica.request_log(&id).arrivals - replica.request_log(&id).runs;
        if refused == 0 || refused > 1 || answer.status() != 502 {
            assert_eq!(answer.status(), 200, "only the first refusal is no proof");
        }
        statuses.push(answer.status());
    }
    let lost = statuses.iter().filter(|s| **s == 502).count();
    assert!(lost <= 1, "{statuses:?}");
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served + lost, statuses.len(), "{statuses:?}");
    assert!(refused > 1, "{refused} were refused");
}

/// Two hosts, of which the first reaches no replica and passes requests on to the second, with the second one's links.
async fn hosts_with_detour(store: &Store) -> (Daemon, Daemon, [Links; 2]) {
    let (cut, cut_links) = host_with_links(store, "d1").await;
    let (other, links) = host_with_links(store, "d2").await;
    until(|| [&cut, &other].map(|h| h.state().table.lock().host_count) == [2, 2]).await;
    // A host retries by the requests of its own callers.
    for _ in 0..20 {
        ask(&other, "/again/x", None).await;
    }
    cut_links.set(Mode::Reset);
    for _ in 0..20 {
        ask(&cut, "/again/x", None).await;
    }
    until(|| front::paths::is_isolated(cut.state())).await;
    (cut, other, [cut_links, links])
}

/// Guards against such bytes on the connections of a host that takes requests of one without paths.
#[rstest]
#[tokio::test]
async fn bytes_after_an_answer_belong_to_no_request_of_another_host(
    #[values(SHED, SIGNED)] bytes: &'static str,
) {
    let store = store().await;
    let replicas = replicas(&store).await;
    let (cut, _other, links) = hosts_with_detour(&store).await;
    links[1].set(Mode::Insert(bytes));
    let mut found = Vec::new();
    for n in 0..16 {
        let (path, model) = PATHS[n % PATHS.len()];
        let (id, answer) = ask(&cut, path, model).await;
        found.extend(violations(&replicas, path, &id, &answer));
    }
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against a status of a replica's own that is handed on as the promise that the request has not run.
#[rstest]
#[tokio::test]
async fn a_status_of_the_replicas_own_is_no_promise(
    #[values(503, 429, 408, 421)] status: u16,
    #[values(false, true)] by_other_host: bool,
) {
    let store = store().await;
    let replicas = replicas(&store).await;
    let hosts = match by_other_host {
        true => hosts_with_detour(&store).await,
        false => {
            let (host, links) = host_with_links(&store, "d1").await;
            let (other, other_links) = host_with_links(&store, "d2").await;
            (host, other, [links, other_links])
        }
    };
    for replica in &replicas {
        replica.set_fault(Fault::OwnStatus(status));
    }
    for (path, model) in PATHS {
        let (id, answer) = ask(&hosts.0, path, model).await;
        assert!(
            !NOT_RUN.contains(&answer.status()),
            "{path}: {} ran {} times and got {}",
            id,
            runs(&replicas, &id),
            answer.status()
        );
        assert!(runs(&replicas, &id) > 0, "{path}: {}", answer.text());
        let fields = ["retry-after", "server-stamp"].map(|name| answer.header(name));
        assert_eq!(fields, [None, None], "{path}: {}", answer.text());
    }
}

/// A repeatable request is served by another replica after one has failed it with such a status.
#[rstest]
#[tokio::test]
async fn a_repeatable_request_survives_a_status_of_a_replicas_own(
    #[values(503, 429, 408, 421)] status: u16,
) {
    let store = store().await;
    let replicas = replicas(&store).await;
    let (daemon, _links) = host_with_links(&store, "d1").await;
    replicas[0].set_fault(Fault::OwnStatus(status));
    for _ in 0..8 {
        let (_, answer) = ask(&daemon, "/again/x", None).await;
        assert_eq!(answer.status(), 200, "{}", answer.text());
    }
}

/// Faults that a replica draws from.
const FAULTS: [Fault; 9] = [
    Fault::None,
    Fault::RefuseOnce(503),
    Fault::RefuseOnce(421),
    Fault::OwnStatus(503),
    Fault::OwnStatus(429),
    Fault::DropResponse,
    Fault::TruncateEvent,
    Fault::Unframed,
    Fault::InternalError,
];

/// States that the links of the sending host draw from.
const MODES: [Mode; 8] = [
    Mode::Up,
    Mode::RepeatFailures,
    Mode::RepeatAll,
    Mode::Insert(SHED),
    Mode::Insert(MISDIRECTED),
    Mode::Insert(SIGNED),
    Mode::Hang,
    Mode::Reset,
];

/// Guards against any order of stray bytes, copies, cut answers, resets and statuses of replicas' own in which a request
/// counts as not run that has run or runs later, on a host's own sends and on those for another host.
#[rstest]
#[tokio::test]
async fn no_mixture_of_faults_proves_what_is_not_true(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(false, true)] by_other_host: bool,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let store = store().await;
    let replicas = replicas(&store).await;
    let (host, links, _other) = match by_other_host {
        true => {
            let (cut, other, [cut_links, links]) = hosts_with_detour(&store).await;
            (cut, links, Some((other, cut_links)))
        }
        false => {
            let (host, links) = host_with_links(&store, "d1").await;
            (host, links, None)
        }
    };
    let mut answered = Vec::new();
    for _ in 0..16 {
        for replica in &replicas {
            replica.name_refused(rng.random());
            replica.set_fault(FAULTS[rng.random_range(0..FAULTS.len())]);
        }
        links.set(MODES[rng.random_range(0..MODES.len())]);
        let mut requests = JoinSet::new();
        for _ in 0..6 {
            let (path, model) = PATHS[rng.random_range(0..PATHS.len())];
            let callers = host.callers();
            requests.spawn(async move { (path, ask_at(callers, path, model).await) });
        }
        // The links change while requests are on their way.
        sleep(Duration::from_millis(rng.random_range(5..60))).await;
        links.set(MODES[rng.random_range(0..MODES.len())]);
        sleep(Duration::from_millis(50)).await;
        links.set(Mode::Up);
        answered.extend(requests.join_all().await);
    }
    // What is still on its way runs by then.
    sleep(Duration::from_millis(300)).await;
    let found = answered.iter().filter_map(|(path, (id, answer))| {
        let runs = runs(&replicas, id);
        let is_broken = answer.0.is_err();
        let wrong = violation(path, id, answer.status(), runs);
        let foreign = !is_broken && !is_own(path, id, answer);
        wrong.or_else(|| foreign.then(|| format!("{path} {id} got the answer of another request")))
    });
    assert_eq!(found.collect::<Vec<_>>(), Vec::<String>::new());
}

fn not_run() -> Rejection {
    Rejection::not_run(
        "overloaded",
        "No replica is free.",
        unit::Span::from_ms(200),
    )
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        Just(Failure::Unsent("refused".into())),
        Just(Failure::NotRun {
            status: 503,
            misdirected: false
        }),
        Just(Failure::Lost("reset".into())),
        prop_oneof![Just(429), Just(500), Just(503)].prop_map(Failure::ServerError),
        Just(Failure::TimedOut),
        Just(Failure::DeadlinePassed),
        any::<bool>().prop_map(|may_go_elsewhere| Failure::RejectedByHost {
            rejection: not_run(),
            may_go_elsewhere
        }),
        Just(Failure::Quarantined(not_run())),
    ]
}

proptest! {
    /// A caller is told that its request has not run exactly if no send of it may have run, by this host or another,
    /// whatever came before and after that send.
    #[test]
    fn the_rejection_follows_from_all_sends(
        sends in proptest::collection::vec((0..3u8, failure()), 1..6),
        unnamed_runs in 0..2u32,
        is_placement_rejected: bool,
        is_late: bool,
    ) {
        let mut history = History { unnamed_runs, ..History::default() };
        for (replica, failure) in &sends {
            let result = Err::<(), _>(failure.clone());
            history.record(&format!("i-{replica}").as_str().into(), &result);
        }
        let may_have_run = unnamed_runs > 0
            || sends.iter().any(|(_, failure)| {
                matches!(failure, Failure::Lost(_) | Failure::ServerError(_) | Failure::TimedOut)
            });
        let placement = is_placement_rejected.then(not_run);
        let last = &sends.last().unwrap().1;
        let rejection = conclusion::rejection(&history, last, placement, is_late);
        let promises = NOT_RUN.contains(&rejection.status.as_u16());
        prop_assert_eq!(promises, !may_have_run, "{:?}", rejection);
        prop_assert_eq!(rejection.retry_after.is_some(), promises, "{:?}", rejection);
    }

    /// A head proves that its request has not run only by a statement of the replica, and only if it names the request or
    /// comes first on its connection. It counts as the answer only on the same terms, and never as a bare promise.
    #[test]
    fn a_head_proves_what_it_states_about_its_own_request(
        status in prop_oneof![Just(200u16), Just(400), Just(404), Just(408), Just(421), Just(429), Just(500), Just(503), Just(600), Just(999)],
        id in prop_oneof![Just(None), Just(Some("r-1")), Just(Some("r-2"))],
        is_stated: bool,
        is_signed: bool,
        is_first: bool,
    ) {
        let mut headers = HeaderMap::new();
        let fields = [
            ("request-id", id),
            ("not-executed", is_stated.then_some("1")),
            ("server-stamp", is_signed.then_some("3e1b.07")),
        ];
        for (name, value) in fields {
            if let Some(value) = value {
                headers.insert(name, value.parse().unwrap());
            }
        }
        let feedback = platform::response::parse(StatusCode::from_u16(status).unwrap(), &headers);
        let verdict = judge(&feedback, "r-1", is_first);
        let belongs = id == Some("r-1") || id.is_none() && is_first;
        let is_valid = status < 600;
        let belongs = belongs && is_valid;
        prop_assert_eq!(matches!(verdict, Verdict::Foreign(_)), !belongs);
        let is_refusal = is_stated || status == 421 && !is_signed;
        prop_assert_eq!(verdict == Verdict::NotRun, belongs && is_refusal);
        let is_promise = NOT_RUN.contains(&status) && is_signed;
        prop_assert!(verdict != Verdict::Answered || !is_promise);
    }
}
