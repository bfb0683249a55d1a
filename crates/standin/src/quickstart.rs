//! The quick start: rolls a sample bundle, sends mixed requests of two callers, checks every
//! promise that such a run can show, and prints what came of it.

mod check;
mod report;

use crate::caller::{Ask, Caller, Got};
use crate::engine;
use crate::fleet::{self, Fleet, KEY_ONE, KEY_TWO, Plan};
use bpaf::{Parser, construct, long};
use check::Sent;
use cli::render::print_line;
use futures::StreamExt;
use futures::stream;
use hyper::{HeaderMap, Method};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::{self, IsTerminal};
use std::time::Duration;
use tokio::time::Instant;

/// Requests sent.
const REQUESTS: usize = 400;

/// Requests in flight at once.
const AT_ONCE: usize = 48;

/// Models and adapters of the sample bundle.
const MODELS: usize = 12;
const ADAPTERS: usize = 6;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Go on until interrupted.
    pub keep: bool,
}

/// Reads the command line.
pub fn options() -> io::Result<Options> {
    let keep = long("keep")
        .help("Go on until interrupted, for a client of your own")
        .switch();
    let parser = construct!(Options { keep }).to_options();
    Ok(parser
        .descr("Runs coveford whole on embedded stand-ins")
        .run())
}

/// Runs it; tells whether every promise held.
pub fn run(options: Options) -> io::Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(whole(options))
}

async fn whole(options: Options) -> io::Result<bool> {
    let start = Instant::now();
    let fleet = fleet::bind(Plan {
        engine: engine::Settings {
            load: Duration::from_millis(150),
            ..engine::Settings::default()
        },
        ..Plan::default()
    })
    .await?;
    let head = fleet
        .roll(&fleet::sample(MODELS, ADAPTERS))
        .await
        .map_err(io::Error::other)?;
    if !fleet.ready(head.sequence).await {
        return Err(io::Error::other("the models were not ready in time"));
    }
    let up = start.elapsed();
    let sent = send_all(&fleet).await;
    let broken = check::check(&fleet, &sent);
    report::print(&fleet, &sent, &broken, up).await;
    if options.keep {
        keep(&fleet).await?;
    }
    Ok(broken.is_empty())
}

async fn send_all(fleet: &Fleet) -> Vec<Sent> {
    let bar = match io::stderr().is_terminal() {
        true => ProgressBar::new(REQUESTS as u64),
        false => ProgressBar::hidden(),
    };
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} requests, {elapsed}");
    bar.set_style(style.expect("a constant template is valid"));
    let sent = stream::iter(0..REQUESTS)
        .map(|i| {
            let bar = bar.clone();
            async move {
                let sent = send(fleet, i).await;
                bar.inc(1);
                sent
            }
        })
        .buffer_unordered(AT_ONCE)
        .collect()
        .await;
    bar.finish_and_clear();
    sent
}

/// Sends the request of a number: its kind follows from the number.
async fn send(fleet: &Fleet, i: usize) -> Sent {
    let daemon = &fleet.daemons[i % fleet.daemons.len()];
    let key = if i.is_multiple_of(3) {
        KEY_TWO
    } else {
        KEY_ONE
    };
    let caller = Caller::new(daemon.callers(), key);
    if i % 10 == 9 {
        return print_label(caller, i).await;
    }
    let adapter = i.is_multiple_of(7);
    let model = match adapter {
        true => format!("lot-{:02}", i % ADAPTERS),
        false => format!("judge-{:02}", i % MODELS),
    };
    let base = match adapter {
        true => format!("judge-{:02}", i % ADAPTERS % MODELS),
        false => model.clone(),
    };
    let ask = Ask::new(
        &model,
        &format!("panel {i}: does it pass?"),
        8 + (i % 25) as u32,
    );
    let ask = if i.is_multiple_of(2) {
        ask.streamed()
    } else {
        ask
    };
    let ask = match i % 5 {
        0 => ask.unrepeatable(Some(&format!("verdict-{i}"))),
        _ => ask,
    };
    let got = caller.chat(&ask).await;
    let prompt = format!("user: {}\n", ask.prompt);
    Sent {
        expected: engine::text(&base, &prompt, ask.tokens),
        at_most_once: ask.unrepeatable,
        mark: prompt,
        class: ["defect", "lookup", "summary"][base_index(&base) % 3],
        got,
    }
}

fn base_index(model: &str) -> usize {
    model
        .rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Sends a print of a label, which may not be repeated.
async fn print_label(caller: Caller, i: usize) -> Sent {
    let body = format!("label of panel {i}");
    let got: Got = caller
        .send(
            Method::POST,
            "/labels/print",
            HeaderMap::new(),
            body.clone(),
        )
        .await;
    Sent {
        expected: format!("POST /print ran: {body}"),
        at_most_once: true,
        mark: body,
        class: "lookup",
        got,
    }
}

async fn keep(fleet: &Fleet) -> io::Result<()> {
    for daemon in &fleet.daemons {
        print_line(format!("caller http://{} {KEY_ONE}", daemon.callers()));
        print_line(format!("operator http://{}", daemon.operator()));
    }
    tokio::signal::ctrl_c().await
}
