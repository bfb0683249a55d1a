//! Execution of the commands.

use crate::bundles::{self, Signer};
use crate::client::{self, Client};
use crate::error::{Error, ReadSnafu};
use crate::options::{Command, Credentials, Options};
use crate::render::{print_json, print_line, table};
use crate::status::{self, Entry};
use crate::{keys, losses, metrics, timeline, why};
use bundle::part;
use daemon::documents;
use serde_json::json;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use unit::Name;
use wire::Frame;

/// Runs the command of the parsed command line.
pub fn run(options: &Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the single-threaded runtime starts");
    runtime.block_on(dispatch(options))
}

async fn dispatch(options: &Options) -> Result<(), Error> {
    match &options.command {
        Command::KeyMake { file } => {
            print_line(keys::generate(file)?);
            Ok(())
        }
        Command::KeyShow { file } => {
            print_line(bundle::key::public_key(&keys::read(file)?));
            Ok(())
        }
        Command::KeyHash { key } => {
            print_line(part::hash(key.as_bytes()));
            Ok(())
        }
        Command::KeyWire => {
            print_line(keys::generate_wire_key());
            Ok(())
        }
        Command::Check { file, fleet: false } => {
            let intent = bundles::parse(&display_name(file), &read(file)?)?;
            print_line(format!(
                "{} is in order: {} models, {} adapters, {} callers, {} services.",
                file.display(),
                intent.models.len(),
                intent.adapters.len(),
                intent.callers.len(),
                intent.services.len()
            ));
            Ok(())
        }
        Command::WhyRequest { logs, request } if !logs.is_empty() => {
            print_lines(&timeline::from_files(request, logs)?);
            Ok(())
        }
        Command::Losses { logs, step } => {
            let losses = losses::read(logs, *step)?;
            match options.json {
                true => print_json(&losses),
                false => print_line(losses::tables(&losses)),
            }
            Ok(())
        }
        Command::Status { metrics } if !metrics.is_empty() => show_metrics(options, metrics).await,
        _ => dispatch_with_client(options, &client::load(&options.settings)?).await,
    }
}

/// Shows the gauges of daemons on a platform, and the problems that they show.
async fn show_metrics(options: &Options, addrs: &[SocketAddr]) -> Result<(), Error> {
    let daemons = metrics::fetch_all(addrs).await;
    if options.json {
        print_json(&daemons);
        return metrics::ensure_reachable(&daemons);
    }
    print_line(metrics::table(&daemons));
    print_lines(&metrics::findings(&daemons));
    metrics::ensure_reachable(&daemons)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn display_name(path: &Path) -> String {
    path.display().to_string()
}

/// Runs a command that calls the key-value service, the host list or the daemons.
async fn dispatch_with_client(options: &Options, client: &Client) -> Result<(), Error> {
    match &options.command {
        Command::Check { file, .. } => {
            let fit = bundles::check_with_fleet(client, &display_name(file), &read(file)?).await?;
            print_line(format!("{} is in order and fits: {fit}", file.display()));
        }
        Command::Diff { file } => {
            let diff = bundles::compare(client, &display_name(file), &read(file)?).await?;
            show_diff(options, &diff);
        }
        Command::Propose { file, credentials } => {
            let text = read(file)?;
            let draft = with_signer(credentials, async |signer| {
                bundles::propose(client, &display_name(file), &text, &signer).await
            })
            .await?;
            let needed = client.settings.trust.required_approvals;
            match options.json {
                true => print_json(&draft),
                false => print_line(format!(
                    "Draft {} would replace bundle {}; it needs {needed} approvals.",
                    draft.id, draft.replaces
                )),
            }
        }
        Command::Approve { draft, credentials } => {
            let draft = with_signer(credentials, async |signer| {
                bundles::approve(client, draft, &signer).await
            })
            .await?;
            match options.json {
                true => print_json(&draft),
                false => print_line(format!(
                    "Draft {} has {} approvals.",
                    draft.id,
                    draft.approvals.len()
                )),
            }
        }
        Command::Roll { draft } => roll(options, client, draft).await?,
        Command::BundleStatus => show_bundle_status(options, client).await?,
        Command::History => show_history(options, client).await?,
        Command::Show { sequence } => {
            let head = bundles::find(client, *sequence).await?;
            print_line(bundles::load_text(client, &head).await?);
        }
        Command::Status { .. } => show_status(options, client).await?,
        Command::WhyRequest { request, .. } => {
            let record = why::request(client, request).await?;
            match options.json {
                true => print_json(&record),
                false => print_lines(&record.explain()),
            }
        }
        Command::WhyModel { model } => print_lines(&why::model(client, model).await?),
        Command::WhyMove { fence } => {
            let moved = why::find_move(client, fence).await?;
            match options.json {
                true => print_json(&moved),
                false => print_lines(&why::explain_move(&moved)),
            }
        }
        Command::Moves => show_moves(options, client).await?,
        Command::Drain { host } => drain(client, host).await?,
        Command::KeyList => show_keys(options, client).await?,
        Command::KeyMake { .. }
        | Command::KeyShow { .. }
        | Command::KeyHash { .. }
        | Command::KeyWire
        | Command::Losses { .. } => unreachable!("handled by `dispatch`"),
    }
    Ok(())
}

/// Calls a function with the operator's key, read from its file.
async fn with_signer<T>(
    credentials: &Credentials,
    call: impl AsyncFnOnce(Signer<'_>) -> Result<T, Error>,
) -> Result<T, Error> {
    let key = keys::read(&credentials.key)?;
    let operator = &credentials.operator;
    call(Signer {
        operator,
        key: &key,
    })
    .await
}

fn print_lines(lines: &[String]) {
    for line in lines {
        print_line(line);
    }
}

fn show_diff(options: &Options, diff: &bundle::diff::Diff) {
    if options.json {
        return print_json(diff);
    }
    if diff.changes.is_empty() {
        return print_line("Nothing would change.");
    }
    let rows = diff
        .changes
        .iter()
        .map(|c| [c.kind.to_string(), c.name.to_string(), c.text.clone()]);
    print_line(table(["KIND", "NAME", "CHANGE"], rows.collect()));
    print_line(format!(
        "At least {} loads and {} unloads; floors need {} more while it settles and {} less afterwards.",
        diff.loads, diff.unloads, diff.memory_added, diff.memory_freed
    ));
}

async fn roll(options: &Options, client: &Client, draft: &Name) -> Result<(), Error> {
    let head = bundles::roll(client, draft).await?;
    // The bundle is rolled; an error while waiting for the hosts does not undo it.
    let entries = status::wait_for_bundle(client, head.sequence)
        .await
        .unwrap_or_default();
    let updated = count_in_force(&entries, head.sequence);
    match options.json {
        true => print_json(
            &json!({"sequence": head.sequence, "hosts": entries.len(), "in_force": updated}),
        ),
        false => print_line(format!(
            "Bundle {} is accepted, and in force on {updated} of {} hosts.",
            head.sequence,
            entries.len()
        )),
    }
    Ok(())
}

/// Number of hosts on which the bundle, or a later one, is in force.
fn count_in_force(entries: &[Entry], sequence: u64) -> usize {
    let has_bundle = |e: &&Entry| e.status.as_ref().is_some_and(|s| s.bundle >= sequence);
    entries.iter().filter(has_bundle).count()
}

async fn show_bundle_status(options: &Options, client: &Client) -> Result<(), Error> {
    let head = documents::head(&client.kv).await?.value;
    let drafts = documents::drafts(&client.kv).await?;
    let entries = status::fetch_all(client).await?;
    if options.json {
        print_json(&json!({
            "head": head,
            "drafts": drafts,
            "hosts": entries.iter().map(|e| json!({
                "name": e.host.name,
                "bundle": e.status.as_ref().map(|s| s.bundle),
            })).collect::<Vec<_>>(),
        }));
        return Ok(());
    }
    let current = head.as_ref().map_or(0, |h| h.sequence);
    match &head {
        Some(head) => print_line(format!(
            "Bundle {} ({}), proposed by {}, is in force on {} of {} hosts.",
            head.sequence,
            head.draft.title,
            head.draft.proposal.operator,
            count_in_force(&entries, current),
            entries.len()
        )),
        None => print_line("No bundle is in force yet."),
    }
    let rows: Vec<[String; 5]> = drafts
        .iter()
        .filter(|d| d.replaces == current)
        .map(|d| {
            let approvals: Vec<String> =
                d.approvals.iter().map(|a| a.operator.to_string()).collect();
            [
                d.id.to_string(),
                d.title.to_string(),
                d.proposal.operator.to_string(),
                approvals.join(", "),
                d.replaces.to_string(),
            ]
        })
        .collect();
    if !rows.is_empty() {
        print_line(table(
            ["DRAFT", "TITLE", "PROPOSED BY", "APPROVED BY", "REPLACES"],
            rows,
        ));
    }
    Ok(())
}

async fn show_history(options: &Options, client: &Client) -> Result<(), Error> {
    let heads = bundles::history(client).await?;
    if options.json {
        print_json(&heads);
        return Ok(());
    }
    let rows = heads.iter().map(|h| {
        let approvals: Vec<String> = h
            .draft
            .approvals
            .iter()
            .map(|a| a.operator.to_string())
            .collect();
        [
            h.sequence.to_string(),
            h.draft.title.to_string(),
            h.draft.proposal.operator.to_string(),
            approvals.join(", "),
        ]
    });
    print_line(table(
        ["BUNDLE", "TITLE", "PROPOSED BY", "APPROVED BY"],
        rows.collect(),
    ));
    Ok(())
}

async fn show_status(options: &Options, client: &Client) -> Result<(), Error> {
    let entries = status::fetch_all(client).await?;
    if options.json {
        let statuses: Vec<_> = entries
            .iter()
            .map(|e| json!({"name": e.host.name, "status": e.status}))
            .collect();
        print_json(&statuses);
        return Ok(());
    }
    let rows = entries.iter().map(host_row);
    print_line(table(
        ["HOST", "HALL", "STATE", "BUNDLE", "ROLES", "IN FLIGHT"],
        rows.collect(),
    ));
    let Some(status) = entries
        .iter()
        .filter_map(|e| e.status.as_ref())
        .max_by_key(|s| s.bundle)
    else {
        return Err(Error::Unreachable {
            what: "Every daemon".into(),
            reason: "none answered.".into(),
        });
    };
    print_line(format!("\nAs {} sees it:", status.name));
    let rows = status.upstreams.iter().map(|u| {
        let state = match (u.leaving, u.ejected) {
            (true, _) => "leaving",
            (_, true) => "ejected",
            _ => "in use",
        };
        [
            u.name.to_string(),
            u.hall.to_string(),
            state.into(),
            format!("{} of {}", u.taken, u.memory),
            u.running.to_string(),
            u.waiting.to_string(),
            format!("{} of {}", u.in_flight, u.allowed),
        ]
    });
    print_line(table(
        [
            "UPSTREAM", "HALL", "STATE", "MEMORY", "RUNNING", "WAITING", "OURS",
        ],
        rows.collect(),
    ));
    print_line("");
    let rows = status.models.iter().map(|(name, model)| {
        let ready = model
            .replicas
            .iter()
            .filter(|r| r.state == unit::engine::State::Ready && !r.leaving)
            .count();
        [
            name.to_string(),
            model.version.to_string(),
            ready.to_string(),
            model.replicas.len().to_string(),
            model.waiting.to_string(),
            format!("{:.1}", model.rate),
        ]
    });
    print_line(table(
        ["MODEL", "VERSION", "READY", "REPLICAS", "WAITING", "RATE/S"],
        rows.collect(),
    ));
    Ok(())
}

fn host_row(entry: &Entry) -> [String; 6] {
    let Some(status) = &entry.status else {
        let blank = || "-".to_string();
        return [
            entry.host.name.to_string(),
            entry.host.hall.to_string(),
            "no answer".into(),
            blank(),
            blank(),
            blank(),
        ];
    };
    let state = match (status.draining, status.bundle, status.confirmed) {
        (true, _, _) => "draining",
        (_, 0, _) => "no bundle",
        (_, _, false) => "unconfirmed",
        _ => "ready",
    };
    let mut roles = vec!["entry"];
    if status.relay {
        roles.push("relay");
    }
    if status.planner {
        roles.push("planner");
    }
    [
        status.name.to_string(),
        status.hall.to_string(),
        state.into(),
        status.bundle.to_string(),
        roles.join(" "),
        status.in_flight.to_string(),
    ]
}

async fn show_moves(options: &Options, client: &Client) -> Result<(), Error> {
    let moves = why::moves(client).await?;
    if options.json {
        print_json(&moves);
        return Ok(());
    }
    let rows = moves.iter().map(|m| {
        let state = if m.open { "open" } else { "settled" };
        [
            why::move_id(m),
            m.inner.upstream.to_string(),
            why::describe_action(&m.inner.action),
            state.into(),
            m.inner.reason.clone(),
        ]
    });
    print_line(table(
        ["MOVE", "UPSTREAM", "ACTION", "STATE", "WHY"],
        rows.collect(),
    ));
    Ok(())
}

async fn drain(client: &Client, host: &Name) -> Result<(), Error> {
    let daemons = client.daemons().await?;
    let found = daemons.iter().find(|d| d.name == *host);
    let found = found.ok_or_else(|| Error::NotFound {
        text: format!(
            "The host list has no host '{host}' of coveford's; 'coveford status' lists them."
        ),
    })?;
    let key = &client.settings.wire_key;
    let reply = daemon::distribution::exchange(
        &client.pool,
        key,
        found.addr,
        &Frame::Drain,
        Duration::ZERO,
    )
    .await;
    match reply {
        Ok((Frame::Draining { in_flight }, _)) => {
            print_line(format!(
                "{host} drains; {in_flight} requests in flight will end first."
            ));
            Ok(())
        }
        Ok(_) => Err(Error::Unreachable {
            what: host.to_string(),
            reason: "It gave another answer.".into(),
        }),
        Err(e) => Err(Error::Unreachable {
            what: host.to_string(),
            reason: e.to_string(),
        }),
    }
}

async fn show_keys(options: &Options, client: &Client) -> Result<(), Error> {
    let head = documents::head(&client.kv).await?.value;
    let revoked = match &head {
        Some(head) => {
            let text = bundles::load_text(client, head).await?;
            bundles::parse("bundle in force", &text)?.revoked
        }
        None => Default::default(),
    };
    let keys = &client.settings.trust.operators;
    if options.json {
        let list: Vec<_> = keys
            .iter()
            .map(|(n, k)| json!({"operator": n, "key": k, "revoked": revoked.contains(k)}))
            .collect();
        print_json(&list);
        return Ok(());
    }
    let rows = keys.iter().map(|(n, k)| {
        let state = if revoked.contains(k) {
            "revoked"
        } else {
            "counts"
        };
        [n.to_string(), state.into(), k.to_string()]
    });
    print_line(table(["OPERATOR", "STATE", "KEY"], rows.collect()));
    Ok(())
}
