//! Which idle connections may carry a request.

mod site;

use conn::Connection;
use front::pool::{Line, Pool, Scope};
use site::{WAIT_LIMIT, at};
use tokio::net::TcpListener;
use unit::Name;

/// Line to a peer that accepts connections and never answers.
async fn line() -> (Line, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connection = Connection::open(addr, WAIT_LIMIT).await.unwrap();
    (Line::new(connection), listener)
}

/// Guards against a request that is sent over a connection on which it was refused: a late copy of the refusal would pass
/// for its answer, also after others were answered there.
#[tokio::test]
async fn a_connection_does_not_carry_a_request_that_was_refused_on_it() {
    let (mut line, _peer) = line().await;
    let (replica, refused, other) = (Name::from("i-1"), Name::from("r-1"), Name::from("r-2"));
    let pool = Pool::default();
    line.record(&refused, true);
    line.record(&other, false);
    pool.give(&replica, line, None, at(0));
    assert!(pool.take(&replica, &refused, true, at(1)).is_none());
    assert!(pool.take(&replica, &other, true, at(1)).is_some());
}

/// Guards against a connection that keeps ever more requests in memory.
#[tokio::test]
async fn a_connection_is_closed_after_several_refusals() {
    let (mut line, _peer) = line().await;
    let replica = Name::from("i-1");
    let pool = Pool::default();
    for n in 0..20 {
        line.record(&Name::from(format!("r-{n}").as_str()), true);
    }
    pool.give(&replica, line, None, at(0));
    assert!(pool.take(&replica, &"r-99".into(), true, at(1)).is_none());
}

/// Answers that name no request are expected for some time after the last one, from all replicas of a service only if one
/// was certainly the replica's own.
#[test]
fn answers_without_an_id_are_expected_for_a_time() {
    let pool = Pool::default();
    let (service, first, second) = (Name::from("web"), Name::from("i-1"), Name::from("i-2"));
    let expected = |ms| [&first, &second].map(|r| pool.answers_unnamed(&service, r, at(ms)));
    assert_eq!(expected(0), [false, false]);
    pool.record_unnamed(Scope::Replica(first.clone()), at(0));
    assert_eq!(expected(9_000), [true, false]);
    assert_eq!(expected(11_000), [false, false]);
    pool.record_unnamed(Scope::Service(service.clone()), at(20_000));
    assert_eq!(expected(29_000), [true, true]);
    assert_eq!(expected(31_000), [false, false]);
}
