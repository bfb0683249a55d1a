//! Exchanges that are sent again while no answer comes.

use conn::hedge::{self, Limits};
use conn::{Abort, Body, Error, Pool, Server};
use hyper::{Request, Response};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const LIMITS: Limits = Limits {
    delay: Duration::from_millis(100),
    timeout: Duration::from_millis(1_000),
    max_bytes: 1_024,
};

/// What a peer does with the request that arrives as number `n`, counted from 0.
type Behavior = fn(n: usize) -> Answer;

enum Answer {
    Lost,
    Reset,
    After(Duration),
}

/// Peer whose answers hold the number of their request.
async fn peer(behavior: Behavior) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let respond = move |_| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        async move {
            match behavior(number) {
                Answer::Lost => std::future::pending().await,
                Answer::Reset => Err(Abort),
                Answer::After(delay) => {
                    sleep(delay).await;
                    Ok(Response::new(Body::new(number.to_string().into())))
                }
            }
        }
    };
    conn::serve(listener, 100, respond).unwrap()
}

async fn exchange(pool: &Pool, peer: &Server) -> (Result<String, Error>, usize, Duration) {
    let sent = AtomicUsize::new(0);
    let began = Instant::now();
    let request = Request::new(Body::default());
    let count = || {
        sent.fetch_add(1, Ordering::SeqCst);
    };
    let reply = hedge::exchange(pool, peer.addr, request, LIMITS, count).await;
    let text = reply.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
    (text, sent.into_inner(), began.elapsed())
}

/// Guards against reads that wait for an answer that was lost, and against reads that are sent again without need.
#[rstest]
#[case::prompt(|_| Answer::After(Duration::ZERO), Some("0"), 1, 0..90)]
#[case::one_lost(|n| if n == 0 { Answer::Lost } else { Answer::After(Duration::ZERO) }, Some("1"), 2, 100..290)]
#[case::two_lost(|n| if n < 2 { Answer::Lost } else { Answer::After(Duration::ZERO) }, Some("2"), 3, 300..690)]
#[case::the_first_is_late(|n| if n == 0 { Answer::After(Duration::from_millis(200)) } else { Answer::Lost }, Some("0"), 2, 200..690)]
#[case::all_lost(|_| Answer::Lost, None, 4, 1_000..1_500)]
#[case::reset(|_| Answer::Reset, None, 1, 0..90)]
#[case::lost_and_then_reset(|n| if n == 0 { Answer::Lost } else { Answer::Reset }, None, 4, 1_000..1_500)]
#[tokio::test]
async fn a_lost_answer_costs_one_delay(
    #[case] behavior: Behavior,
    #[case] expected: Option<&str>,
    #[case] sent: usize,
    #[case] within_ms: std::ops::Range<u64>,
) {
    let peer = peer(behavior).await;
    let (reply, count, took) = exchange(&Pool::default(), &peer).await;
    assert_eq!(reply.ok().as_deref(), expected);
    assert_eq!(count, sent);
    let took_ms = took.as_millis() as u64;
    assert!(within_ms.contains(&took_ms), "{took_ms} ms");
}

/// Guards against a failure for a pooled connection that the peer has closed meanwhile.
#[tokio::test]
async fn a_connection_that_was_closed_is_replaced() {
    let peer = peer(|_| Answer::After(Duration::ZERO)).await;
    let pool = Pool::default();
    assert!(exchange(&pool, &peer).await.0.is_ok());
    peer.abort_connections();
    assert!(exchange(&pool, &peer).await.0.is_ok());
}
