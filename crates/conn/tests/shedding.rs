//! Connections that are closed unread while the process is short of processor time.

use bytes::Bytes;
use conn::shedding::{self, Shedder};
use conn::{Abort, Bounds, Connection, Server};
use http_body_util::Full;
use hyper::{Request, Response};
use rstest::rstest;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use unit::{Span, Time};

/// First time of the host.
const START: Time = Time(3_600_000_000);

/// Host with one processor, which serves its work in order. Each connection that it accepts needs some work at once and some
/// more in parts later, as a stream does.
struct Host {
    shedder: Shedder,
    now: Time,
    /// When its processor has done what it has.
    free_at: Time,
    /// Work due later, by time.
    later: VecDeque<(Time, Span)>,
    /// Accepted connections that were not served yet, each with its delay, by the time when they are.
    waiting: VecDeque<(Time, Span)>,
    /// Each accepted connection's delay.
    delays: Vec<Span>,
    closed: usize,
}

/// Work of a connection at once, and of each later part.
const FIRST_WORK: Span = Span::from_ms(4);
const PART_WORK: Span = Span(300);

/// Later parts of a connection, and the time between them.
const PARTS: u64 = 20;
const PART_INTERVAL: Span = Span::from_ms(50);

impl Host {
    fn new() -> Host {
        Host {
            shedder: Shedder::new(START),
            now: START,
            free_at: START,
            later: VecDeque::new(),
            waiting: VecDeque::new(),
            delays: Vec::new(),
            closed: 0,
        }
    }

    fn work(&mut self, at: Time, work: Span) {
        self.free_at = self.free_at.max(at) + work;
    }

    /// Advances to a time.
    fn advance(&mut self, to: Time) {
        while let Some((at, work)) = self.later.pop_front_if(|(at, _)| *at <= to) {
            self.work(at, work);
        }
        while let Some((at, delay)) = self.waiting.pop_front_if(|(at, _)| *at <= to) {
            self.shedder.record(delay, at);
        }
        self.now = to;
    }

    fn connect(&mut self) {
        if !self.shedder.accepts(self.now) {
            self.closed += 1;
            return;
        }
        let delay = self.free_at.since(self.now);
        self.waiting.push_back((self.now + delay, delay));
        self.delays.push(delay);
        let now = self.now;
        self.work(now, FIRST_WORK);
        let parts = (1..=PARTS).map(|n| (now + PART_INTERVAL * n as f64, PART_WORK));
        self.later.extend(parts);
        self.later.make_contiguous().sort();
    }

    /// Connects so many times a second for a time; returns the number accepted and closed.
    fn load(&mut self, per_second: u64, time: Span) -> (usize, usize) {
        let before = (self.delays.len(), self.closed);
        let end = self.now + time;
        while self.now < end {
            self.advance(self.now + Span(1_000_000 / per_second));
            self.connect();
        }
        (self.delays.len() - before.0, self.closed - before.1)
    }

    /// Mean delay of the last connections accepted.
    fn mean_delay(&self, count: usize) -> Span {
        let last = &self.delays[self.delays.len() - count..];
        Span(last.iter().map(|delay| delay.0).sum::<u64>() / count as u64)
    }
}

/// Pattern: a balancer that hands most connections to one host. It could serve 100 connections a second; what it accepts
/// waits little after some seconds, and it still serves a fair part of what it could.
#[rstest]
#[case(150)]
#[case(300)]
#[case(500)]
fn a_favored_host_accepts_what_it_can_serve(#[case] per_second: u64) {
    let mut host = Host::new();
    host.load(20, Span::from_secs(10));
    assert_eq!(host.closed, 0);
    host.load(per_second, Span::from_secs(4));
    let (accepted, closed) = host.load(per_second, Span::from_secs(6));
    let delay = host.mean_delay(accepted);
    println!("{accepted} accepted, {closed} closed, mean delay {delay}");
    assert!(delay < Span::from_ms(60), "{delay}");
    assert!(accepted > 6 * 35, "{accepted} accepted");
}

/// Pattern: a load that fits. Nothing is closed, also while the processor is taken for a moment by something else.
#[rstest]
#[case::without_pauses(Span::ZERO)]
#[case::with_pauses(Span::from_ms(90))]
#[case::with_long_pauses(Span::from_ms(300))]
fn a_load_that_fits_is_accepted(#[case] pause: Span) {
    let mut host = Host::new();
    for _ in 0..20 {
        let now = host.now;
        host.work(now, pause);
        host.load(40, Span::from_secs(3));
    }
    assert_eq!(host.closed, 0, "of {} connections", host.delays.len());
}

/// Pattern: a host that was suspended; the connections that wait for it are accepted.
#[test]
fn a_pause_of_the_process_closes_nothing_for_long() {
    let mut host = Host::new();
    host.load(30, Span::from_secs(5));
    let now = host.now;
    host.work(now, Span::from_secs(4));
    host.advance(now + Span::from_secs(4));
    host.load(30, Span::from_secs(1));
    let (_, closed) = host.load(30, Span::from_secs(5));
    assert_eq!(closed, 0);
}

/// Guards against connections that are closed since the last one, long ago, had to wait.
#[test]
fn a_single_long_delay_closes_nothing() {
    let mut shedder = Shedder::new(START);
    let mut now = START;
    for n in 0..100 {
        now = now + Span::from_ms(900);
        assert!(shedder.accepts(now));
        let delay = if n % 3 == 0 { 4_000 } else { 1 };
        shedder.record(Span::from_ms(delay), now);
        now = now + Span::from_ms(30);
        assert!(shedder.accepts(now));
    }
}

/// Guards against a host that takes no new connection for seconds.
#[test]
fn some_connections_are_accepted_whatever_the_delay() {
    let mut shedder = Shedder::new(START);
    let mut now = START;
    let mut accepted = Vec::new();
    for _ in 0..400 {
        now = now + Span::from_ms(25);
        if shedder.accepts(now) {
            accepted.push(now);
            shedder.record(Span::from_ms(400), now);
        }
    }
    let pauses = accepted.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(pauses.max().unwrap() <= Span::from_ms(250));
    assert!(accepted.len() < 200, "{} accepted", accepted.len());
}

/// Processor time of a request at the server of [`serve_in_turn`].
const REQUEST_WORK: Duration = Duration::from_millis(10);

/// Starts a server with one thread, which is busy with each request for [`REQUEST_WORK`].
fn serve_in_turn() -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let server: Server = conn::serve_with_bounds(
                listener,
                Bounds::with_max_connections(4_096),
                Some(Arc::new(shedding::open())),
                |_| async {
                    std::thread::sleep(REQUEST_WORK);
                    Ok::<_, Abort>(Response::new(Full::new(Bytes::new())))
                },
            )
            .unwrap();
            sender.send(server.addr).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Guards against a host that reads all requests that come to it, and answers all of them late.
#[tokio::test]
async fn what_a_busy_host_does_not_answer_soon_it_leaves_unread() {
    const PATIENCE: Duration = Duration::from_secs(8);
    let addr = serve_in_turn();
    let began = Instant::now();
    let mut exchanges = JoinSet::new();
    while began.elapsed() < Duration::from_secs(7) {
        exchanges.spawn(async move {
            let sent_at = Instant::now();
            let line = Connection::open(addr, PATIENCE).await;
            let answer = match line {
                Ok(mut line) => {
                    let request = Request::new(conn::Body::default());
                    line.exchange(request, PATIENCE, 1_024).await.is_ok()
                }
                Err(_) => false,
            };
            (sent_at, answer, sent_at.elapsed())
        });
        sleep(Duration::from_millis(3)).await;
    }
    let settled = began + Duration::from_secs(4);
    let outcomes = exchanges.join_all().await;
    let last: Vec<_> = outcomes.iter().filter(|(at, ..)| *at > settled).collect();
    let answered = last.iter().filter(|(_, answer, _)| *answer).count();
    let mut waits: Vec<Duration> = last.iter().map(|(_, _, wait)| *wait).collect();
    waits.sort();
    let most = waits[waits.len() * 9 / 10];
    println!(
        "{answered} of {} answered, nine tenths within {most:?}",
        last.len()
    );
    assert!(answered > 60, "{answered} answered");
    assert!(most < Duration::from_millis(400), "{most:?}");
}
