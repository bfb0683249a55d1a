//! What a daemon adds over the same client speaking directly to the engine: latency, and
//! processor time a request and a token event. Each role has its own threads.

use super::Options;
use super::measure::{Latency, processor, runtime};
use crate::engine;
use crate::fleet::{self, KEY_ONE, Plan, QUICK};
use backing::hosts::{Host, Kind};
use cli::render::{print_json, print_line, table};
use conn::{Pool, Reuse};
use hyper::Request;
use hyper::header::{AUTHORIZATION, HOST};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use unit::Name;
use upstream::engine::{Attempt, Item, Run};

/// Requests a second, and for how long.
const RATE: u64 = 1_000;
const SECONDS: u64 = 8;

/// Tokens of each of those requests.
const SHORT: u32 = 4;

/// Streams at once, their tokens, and the time of one token.
const STREAMS: usize = 64;
const LONG: u32 = 1_000;
const TOKEN: Duration = Duration::from_millis(4);

/// Rounds; the two ways take turns, so that the machine's drift meets both.
const ROUNDS: usize = 3;

/// Time for a whole answer.
const LIMIT: Duration = Duration::from_secs(60);

/// Way a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Direct,
    Daemon,
}

/// Where requests go.
#[derive(Clone)]
struct To {
    way: Way,
    addr: SocketAddr,
    pool: Pool,
}

/// Figures of one way.
struct Figures {
    whole: Latency,
    first: Latency,
    between: Latency,
    request_cpu: Duration,
    requests: u64,
    token_cpu: Duration,
    events: u64,
}

impl Figures {
    fn new() -> Figures {
        Figures {
            whole: Latency::new(),
            first: Latency::new(),
            between: Latency::new(),
            request_cpu: Duration::ZERO,
            requests: 0,
            token_cpu: Duration::ZERO,
            events: 0,
        }
    }

    fn per_request(&self) -> f64 {
        self.request_cpu.as_secs_f64() * 1e6 / self.requests.max(1) as f64
    }

    fn per_event(&self) -> f64 {
        self.token_cpu.as_secs_f64() * 1e6 / self.events.max(1) as f64
    }
}

/// Measures and prints.
pub(super) fn run(options: &Options) -> io::Result<()> {
    let engines = runtime("engine", 2)?;
    let daemons = runtime("daemon", 2)?;
    let clients = runtime("client", 3)?;
    let mut fleet = engines.block_on(fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 0,
        services: 0,
        engine: engine::Settings {
            batch: 4_096,
            prefill: Duration::ZERO,
            token: TOKEN,
            ..engine::Settings::default()
        },
        settings: format!("{QUICK}[limits]\nbodies = 1GB\n"),
        ..Plan::default()
    }))?;
    let settings = fleet.settings("d1", 0)?;
    let spawned = daemons.block_on(daemon::spawn(settings));
    let daemon = spawned.map_err(io::Error::other)?;
    fleet.hosts.put(Host {
        name: "d1".into(),
        addr: daemon.operator(),
        hall: fleet::hall(0),
        leaving: false,
        kind: Kind::Daemon {
            callers: daemon.callers(),
        },
    });
    let callers = daemon.callers();
    fleet.daemons.push(daemon);
    let sample = fleet::sample(1, 0).replace("least = 2", "least = 1");
    let head = engines
        .block_on(fleet.roll(&sample))
        .map_err(io::Error::other)?;
    if !engines.block_on(fleet.ready(head.sequence)) {
        return Err(io::Error::other("the model was not ready in time"));
    }
    let to = |way, addr| To {
        way,
        addr,
        pool: Pool::default(),
    };
    let ways = [
        to(Way::Direct, fleet.engines[0].1.addr),
        to(Way::Daemon, callers),
    ];
    let mut figures = [Figures::new(), Figures::new()];
    for _ in 0..ROUNDS {
        for (to, figures) in ways.iter().zip(&mut figures) {
            clients.block_on(requests(to, figures));
            clients.block_on(streams(to, figures));
        }
    }
    print(options, &figures);
    Ok(())
}

/// Sends requests at a steady rate, whether or not answers have come.
async fn requests(to: &To, figures: &mut Figures) {
    let before = processor("daemon");
    let mut ticks = interval(Duration::from_micros(1_000_000 / RATE));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sent = JoinSet::new();
    for i in 0..RATE * SECONDS {
        ticks.tick().await;
        let to = to.clone();
        sent.spawn(async move {
            let start = Instant::now();
            one(&to, format!("request {i}"), SHORT, false)
                .await
                .map(|_| start.elapsed())
        });
    }
    while let Some(took) = sent.join_next().await {
        if let Ok(Some(took)) = took {
            figures.whole.add(took);
            figures.requests += 1;
        }
    }
    figures.request_cpu += processor("daemon") - before;
}

/// Runs streams side by side.
async fn streams(to: &To, figures: &mut Figures) {
    let before = processor("daemon");
    let mut sent = JoinSet::new();
    for i in 0..STREAMS {
        let to = to.clone();
        sent.spawn(async move { one(&to, format!("stream {i}"), LONG, true).await });
    }
    while let Some(done) = sent.join_next().await {
        let Ok(Some(times)) = done else {
            continue;
        };
        figures.events += u64::from(LONG);
        if let Some(first) = times.first() {
            figures.first.add(*first);
        }
        for pair in times.windows(2) {
            figures.between.add(pair[1] - pair[0]);
        }
    }
    figures.token_cpu += processor("daemon") - before;
}

/// Sends one request; gives the times at which its pieces came, none when it failed.
async fn one(to: &To, prompt: String, tokens: u32, stream: bool) -> Option<Vec<Duration>> {
    match to.way {
        Way::Direct => direct(to, prompt, tokens).await,
        Way::Daemon => through(to, prompt, tokens, stream).await,
    }
}

async fn direct(to: &To, prompt: String, tokens: u32) -> Option<Vec<Duration>> {
    let start = Instant::now();
    let run = Run {
        attempt: Attempt {
            request: Name::from(format!("{prompt} {start:?}")),
            number: 1,
        },
        model: "judge-00".into(),
        version: None,
        adapter: None,
        prompt: prompt.into(),
        given: String::new(),
        given_tokens: 0,
        resume_at: None,
        max_tokens: tokens,
        priority: 5,
        sampling: Default::default(),
    };
    let started = upstream::engine::start(&to.pool, to.addr, Reuse::Pooled, &run, LIMIT).await;
    let mut stream = started.ok()?;
    let mut times = Vec::new();
    while let Item::Tokens { .. } = stream.next(LIMIT).await.ok()? {
        times.push(start.elapsed());
    }
    stream.finish().await;
    Some(times)
}

async fn through(to: &To, prompt: String, tokens: u32, stream: bool) -> Option<Vec<Duration>> {
    use http_body_util::BodyExt;
    let start = Instant::now();
    let body = json!({
        "model": "judge-00",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    });
    let request = Request::post("/v1/chat/completions")
        .header(HOST, to.addr.to_string())
        .header(AUTHORIZATION, format!("Bearer {KEY_ONE}"))
        .body(conn::Body::from(body.to_string()))
        .ok()?;
    let mut line = to.pool.acquire(to.addr, Reuse::Pooled).await.ok()?;
    let response = line.send(request, LIMIT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut body = response.into_body();
    let mut times = Vec::new();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
        times.push(start.elapsed());
    }
    to.pool.release(to.addr, line);
    Some(times)
}

fn print(options: &Options, figures: &[Figures; 2]) {
    let [direct, daemon] = figures;
    let cpu = |f: &Figures| (f.per_request(), f.per_event());
    if options.json {
        let of = |f: &Figures| {
            json!({
                "requests": f.requests,
                "whole_us": {"p50": f.whole.at(0.5).0, "p99": f.whole.at(0.99).0},
                "first_us": {"p50": f.first.at(0.5).0, "p99": f.first.at(0.99).0},
                "between_us": {"p50": f.between.at(0.5).0, "p99": f.between.at(0.99).0},
                "cpu_us_per_request": f.per_request(),
                "cpu_us_per_token_event": f.per_event(),
            })
        };
        return print_json(&json!({"direct": of(direct), "daemon": of(daemon)}));
    }
    let row = |name: &str, f: &Figures, pick: fn(&Figures) -> &Latency| {
        let latency = pick(f);
        [
            name.to_owned(),
            latency.count().to_string(),
            latency.at(0.5).to_string(),
            latency.at(0.99).to_string(),
        ]
    };
    let rows = vec![
        row(
            &format!("whole answer of {SHORT} tokens, {RATE}/s, direct"),
            direct,
            |f| &f.whole,
        ),
        row("  through the daemon", daemon, |f| &f.whole),
        row(
            &format!("first token of {STREAMS} streams, direct"),
            direct,
            |f| &f.first,
        ),
        row("  through the daemon", daemon, |f| &f.first),
        row("between tokens, direct", direct, |f| &f.between),
        row("  through the daemon", daemon, |f| &f.between),
    ];
    print_line(table(["LATENCY", "COUNT", "p50", "p99"], rows));
    let (request, event) = cpu(daemon);
    print_line(format!(
        "\nProcessor time of the daemon: {request:.1} µs a request of {SHORT} tokens, {event:.2} µs a token event."
    ));
    let added = |q| daemon.whole.at(q).ms() - direct.whole.at(q).ms();
    print_line(format!(
        "Added to a whole answer: {:.2} ms at the median, {:.2} ms at the 99th percentile.",
        added(0.5),
        added(0.99)
    ));
}
