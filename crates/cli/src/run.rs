//! Doing what the command line asks for.

use crate::bundles::{self, Signing};
use crate::error::{Error, ReadSnafu};
use crate::options::{Command, Options, Signer};
use crate::platform_tool::{self, Tool};
use crate::render::{json, out, table};
use crate::state::{self, Seen};
use crate::{gauges, keys, losses, story, why};
use bundle::part;
use daemon::shelf;
use serde_json::json;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use unit::Name;
use wire::Frame;

/// Does what the command line asks for.
pub fn run(options: &Options) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on one thread can be made");
    runtime.block_on(command(options))
}

async fn command(options: &Options) -> Result<(), Error> {
    match &options.command {
        Command::KeyMake { file } => {
            out(keys::make(file)?);
            Ok(())
        }
        Command::KeyShow { file } => {
            out(bundle::key::public_key(&keys::read(file)?));
            Ok(())
        }
        Command::KeyHash { key } => {
            out(part::hash(key.as_bytes()));
            Ok(())
        }
        Command::KeyWire => {
            out(keys::wire());
            Ok(())
        }
        Command::Check { file, fleet: false } => {
            let intent = bundles::check(&name(file), &read(file)?)?;
            out(format!(
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
            print(&story::request(request, logs)?);
            Ok(())
        }
        Command::Losses { logs, step } => {
            let losses = losses::read(logs, *step)?;
            match options.json {
                true => json(&losses),
                false => out(losses::tables(&losses)),
            }
            Ok(())
        }
        Command::Status { metrics } if !metrics.is_empty() => daemons(options, metrics).await,
        _ => with_platform(options, &platform_tool::load(&options.settings)?).await,
    }
}

/// Shows the state of daemons on a platform, and what an operator should know of it.
async fn daemons(options: &Options, metrics: &[SocketAddr]) -> Result<(), Error> {
    let daemons = gauges::ask(metrics).await;
    if options.json {
        json(&daemons);
        return gauges::check(&daemons);
    }
    out(gauges::table(&daemons));
    print(&gauges::findings(&daemons));
    gauges::check(&daemons)
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).context(ReadSnafu { path })
}

fn name(path: &Path) -> String {
    path.display().to_string()
}

async fn with_platform(options: &Options, tool: &Tool) -> Result<(), Error> {
    match &options.command {
        Command::Check { file, .. } => {
            let fit = bundles::check_fleet(tool, &name(file), &read(file)?).await?;
            out(format!("{} is in order and fits: {fit}", file.display()));
        }
        Command::Diff { file } => {
            let diff = bundles::compare(tool, &name(file), &read(file)?).await?;
            show_diff(options, &diff);
        }
        Command::Propose { file, signer } => {
            let text = read(file)?;
            let draft = signed(signer, async |s| {
                bundles::propose(tool, &name(file), &text, &s).await
            })
            .await?;
            let needed = tool.settings.trust.required_approvals;
            match options.json {
                true => json(&draft),
                false => out(format!(
                    "Draft {} would replace bundle {}; it needs {needed} approvals.",
                    draft.id, draft.replaces
                )),
            }
        }
        Command::Approve { draft, signer } => {
            let draft = signed(signer, async |s| bundles::approve(tool, draft, &s).await).await?;
            match options.json {
                true => json(&draft),
                false => out(format!(
                    "Draft {} has {} approvals.",
                    draft.id,
                    draft.approvals.len()
                )),
            }
        }
        Command::Roll { draft } => roll(options, tool, draft).await?,
        Command::BundleStatus => bundle_status(options, tool).await?,
        Command::History => history(options, tool).await?,
        Command::Show { sequence } => {
            let head = bundles::find(tool, *sequence).await?;
            out(bundles::text(tool, &head).await?);
        }
        Command::Status { .. } => status(options, tool).await?,
        Command::WhyRequest { request, .. } => {
            let record = why::request(tool, request).await?;
            match options.json {
                true => json(&record),
                false => print(&record.explain()),
            }
        }
        Command::WhyModel { model } => print(&why::model(tool, model).await?),
        Command::WhyMove { fence } => {
            let moved = why::find_move(tool, fence).await?;
            match options.json {
                true => json(&moved),
                false => print(&why::explain_move(&moved)),
            }
        }
        Command::Moves => moves(options, tool).await?,
        Command::Drain { host } => drain(tool, host).await?,
        Command::KeyList => key_list(options, tool).await?,
        Command::KeyMake { .. }
        | Command::KeyShow { .. }
        | Command::KeyHash { .. }
        | Command::KeyWire
        | Command::Losses { .. } => unreachable!("these need no platform"),
    }
    Ok(())
}

async fn signed<T>(
    signer: &Signer,
    act: impl AsyncFnOnce(Signing<'_>) -> Result<T, Error>,
) -> Result<T, Error> {
    let key = keys::read(&signer.key)?;
    let operator = &signer.operator;
    act(Signing {
        operator,
        key: &key,
    })
    .await
}

fn print(lines: &[String]) {
    for line in lines {
        out(line);
    }
}

fn show_diff(options: &Options, diff: &bundle::diff::Diff) {
    if options.json {
        return json(diff);
    }
    if diff.changes.is_empty() {
        return out("Nothing would change.");
    }
    let rows = diff
        .changes
        .iter()
        .map(|c| [c.kind.to_string(), c.name.to_string(), c.text.clone()]);
    out(table(["KIND", "NAME", "CHANGE"], rows.collect()));
    out(format!(
        "At least {} loads and {} unloads; floors need {} more while it settles and {} less afterwards.",
        diff.loads, diff.unloads, diff.memory_added, diff.memory_freed
    ));
}

async fn roll(options: &Options, tool: &Tool, draft: &Name) -> Result<(), Error> {
    let head = bundles::roll(tool, draft).await?;
    // The roll is done; that not every host answers at once does not undo it.
    let seen = state::wait_for(tool, head.sequence)
        .await
        .unwrap_or_default();
    let there = in_force(&seen, head.sequence);
    match options.json {
        true => json(&json!({"sequence": head.sequence, "hosts": seen.len(), "in_force": there})),
        false => out(format!(
            "Bundle {} is accepted, and in force on {there} of {} hosts.",
            head.sequence,
            seen.len()
        )),
    }
    Ok(())
}

fn in_force(seen: &[Seen], sequence: u64) -> usize {
    let there = |s: &&Seen| s.status.as_ref().is_some_and(|s| s.bundle >= sequence);
    seen.iter().filter(there).count()
}

async fn bundle_status(options: &Options, tool: &Tool) -> Result<(), Error> {
    let head = shelf::head(&tool.kv).await?.value;
    let drafts = shelf::drafts(&tool.kv).await?;
    let seen = state::all(tool).await?;
    if options.json {
        json(&json!({
            "head": head,
            "drafts": drafts,
            "hosts": seen.iter().map(|s| json!({
                "name": s.host.name,
                "bundle": s.status.as_ref().map(|s| s.bundle),
            })).collect::<Vec<_>>(),
        }));
        return Ok(());
    }
    let current = head.as_ref().map_or(0, |h| h.sequence);
    match &head {
        Some(head) => out(format!(
            "Bundle {} ({}), proposed by {}, is in force on {} of {} hosts.",
            head.sequence,
            head.draft.title,
            head.draft.proposal.operator,
            in_force(&seen, current),
            seen.len()
        )),
        None => out("No bundle is in force yet."),
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
        out(table(
            ["DRAFT", "TITLE", "PROPOSED BY", "APPROVED BY", "REPLACES"],
            rows,
        ));
    }
    Ok(())
}

async fn history(options: &Options, tool: &Tool) -> Result<(), Error> {
    let heads = bundles::history(tool).await?;
    if options.json {
        json(&heads);
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
    out(table(
        ["BUNDLE", "TITLE", "PROPOSED BY", "APPROVED BY"],
        rows.collect(),
    ));
    Ok(())
}

async fn status(options: &Options, tool: &Tool) -> Result<(), Error> {
    let seen = state::all(tool).await?;
    if options.json {
        let statuses: Vec<_> = seen
            .iter()
            .map(|s| json!({"name": s.host.name, "status": s.status}))
            .collect();
        json(&statuses);
        return Ok(());
    }
    let rows = seen.iter().map(host_row);
    out(table(
        ["HOST", "HALL", "STATE", "BUNDLE", "ROLES", "IN FLIGHT"],
        rows.collect(),
    ));
    let Some(status) = seen
        .iter()
        .filter_map(|s| s.status.as_ref())
        .max_by_key(|s| s.bundle)
    else {
        return Err(Error::Unreachable {
            what: "Every daemon".into(),
            reason: "none answered.".into(),
        });
    };
    out(format!("\nAs {} sees it:", status.name));
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
    out(table(
        [
            "UPSTREAM", "HALL", "STATE", "MEMORY", "RUNNING", "WAITING", "OURS",
        ],
        rows.collect(),
    ));
    out("");
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
    out(table(
        ["MODEL", "VERSION", "READY", "REPLICAS", "WAITING", "RATE/S"],
        rows.collect(),
    ));
    Ok(())
}

fn host_row(seen: &Seen) -> [String; 6] {
    let Some(status) = &seen.status else {
        let no = || "-".to_string();
        return [
            seen.host.name.to_string(),
            seen.host.hall.to_string(),
            "no answer".into(),
            no(),
            no(),
            no(),
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

async fn moves(options: &Options, tool: &Tool) -> Result<(), Error> {
    let moves = why::moves(tool).await?;
    if options.json {
        json(&moves);
        return Ok(());
    }
    let rows = moves.iter().map(|m| {
        let state = if m.open { "open" } else { "settled" };
        [
            why::move_id(m),
            m.moved.upstream.to_string(),
            why::action(&m.moved.action),
            state.into(),
            m.moved.reason.clone(),
        ]
    });
    out(table(
        ["MOVE", "UPSTREAM", "ACTION", "STATE", "WHY"],
        rows.collect(),
    ));
    Ok(())
}

async fn drain(tool: &Tool, host: &Name) -> Result<(), Error> {
    let daemons = tool.daemons().await?;
    let found = daemons.iter().find(|d| d.name == *host);
    let found = found.ok_or_else(|| Error::NotFound {
        text: format!(
            "The host list has no host '{host}' of coveford's; 'coveford status' lists them."
        ),
    })?;
    let key = &tool.settings.wire_key;
    let asked =
        daemon::spread::exchange(&tool.pool, key, found.addr, &Frame::Drain, Duration::ZERO).await;
    match asked {
        Ok((Frame::Draining { in_flight }, _)) => {
            out(format!(
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

async fn key_list(options: &Options, tool: &Tool) -> Result<(), Error> {
    let head = shelf::head(&tool.kv).await?.value;
    let revoked = match &head {
        Some(head) => {
            let text = bundles::text(tool, head).await?;
            bundles::check("bundle in force", &text)?.revoked
        }
        None => Default::default(),
    };
    let keys = &tool.settings.trust.operators;
    if options.json {
        let list: Vec<_> = keys
            .iter()
            .map(|(n, k)| json!({"operator": n, "key": k, "revoked": revoked.contains(k)}))
            .collect();
        json(&list);
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
    out(table(["OPERATOR", "STATE", "KEY"], rows.collect()));
    Ok(())
}
