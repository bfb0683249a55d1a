//! Explanations of requests, models and moves.

use crate::client::Client;
use crate::error::Error;
use crate::status;
use backing::keys;
use daemon::documents;
use daemon::operator::Status;
use daemon::planner::Status as Planner;
use daemon::request_log::Record;
use place::Ledger;
use place::ledger::Move;
use unit::Name;
use unit::engine::{Action, State, Weights};

/// Fetches the record of a request from the daemon that served it.
pub async fn request(client: &Client, id: &Name) -> Result<Record, Error> {
    let daemons = client.daemons().await?;
    // The id starts with the name of its host; the other hosts are asked last, in case it was renamed.
    let mut ordered: Vec<_> = daemons.iter().collect();
    ordered.sort_by_key(|host| !id.starts_with(&*host.name));
    let mut unreachable = Vec::new();
    for host in ordered {
        match client
            .get_json(host.addr, &format!("/why/request/{id}"))
            .await
        {
            Ok(Some(record)) => return Ok(record),
            Ok(None) => {}
            Err(_) => unreachable.push(host.name.to_string()),
        }
    }
    let unanswered = match unreachable.is_empty() {
        true => String::new(),
        false => format!(" No answer came from: {}.", unreachable.join(", ")),
    };
    Err(Error::NotFound {
        text: format!(
            "No host keeps a record of request '{id}'; records end with their host and with newer requests.{unanswered}"
        ),
    })
}

/// Reads the ledgers of all halls in the host list.
pub async fn ledgers(client: &Client) -> Result<Vec<(Name, Ledger)>, Error> {
    let mut halls: Vec<Name> = client.hosts().await?.into_iter().map(|h| h.hall).collect();
    halls.sort();
    halls.dedup();
    let mut ledgers = Vec::new();
    for hall in halls {
        let stored = documents::read::<Ledger>(&client.kv, &keys::ledger(&hall)).await?;
        if let Some(ledger) = stored.value {
            ledgers.push((hall, ledger));
        }
    }
    Ok(ledgers)
}

/// A move with the hall whose ledger records it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct HallMove {
    pub hall: Name,
    /// The move as recorded.
    #[serde(flatten)]
    pub inner: Move,
    /// Whether its order is open, so that it may still take effect.
    pub open: bool,
}

/// Recorded moves of all halls, newest first.
pub async fn moves(client: &Client) -> Result<Vec<HallMove>, Error> {
    let mut all = Vec::new();
    for (hall, ledger) in ledgers(client).await? {
        for moved in &ledger.moves {
            all.push(HallMove {
                hall: hall.clone(),
                open: ledger.open.iter().any(|o| o.order.fence == moved.fence),
                inner: moved.clone(),
            });
        }
    }
    all.sort_by_key(|m| std::cmp::Reverse((m.inner.at_ms, m.inner.fence)));
    Ok(all)
}

/// Finds a move by `HALL/TERM.NUMBER`.
pub async fn find_move(client: &Client, id: &Name) -> Result<HallMove, Error> {
    let all = moves(client).await?;
    let found = all.into_iter().find(|m| move_id(m) == **id);
    found.ok_or_else(|| Error::NotFound {
        text: format!("No ledger keeps a move '{id}'; 'coveford moves' lists the newest."),
    })
}

/// Id of a move, as `HALL/TERM.NUMBER`.
pub fn move_id(moved: &HallMove) -> String {
    let fence = moved.inner.fence;
    format!("{}/{}.{}", moved.hall, fence.term, fence.number)
}

/// Describes an action.
pub fn describe_action(action: &Action) -> String {
    match action {
        Action::Load { weights, bytes } => format!("load {} ({bytes})", describe_weights(weights)),
        Action::Unload { weights } => format!("unload {}", describe_weights(weights)),
        Action::SetRole { role } => format!("turn to {role:?}"),
    }
}

fn describe_weights(weights: &Weights) -> String {
    match &weights.adapter {
        Some(adapter) => format!("adapter {adapter} of {}@{}", weights.model, weights.version),
        None => format!("{}@{}", weights.model, weights.version),
    }
}

/// Explains a move, a sentence per line.
pub fn explain_move(moved: &HallMove) -> Vec<String> {
    let state = match moved.open {
        true => "It may still take effect: no report has shown it yet.",
        false => "A report has shown its effect, or that it never will have one.",
    };
    vec![
        format!(
            "Move {}: {} at {}.",
            move_id(moved),
            describe_action(&moved.inner.action),
            moved.inner.upstream
        ),
        format!("Why: {}", moved.inner.reason),
        state.into(),
    ]
}

/// Explains where a model is placed and why, a sentence per line.
pub async fn model(client: &Client, name: &Name) -> Result<Vec<String>, Error> {
    let entries = status::fetch_all(client).await?;
    let statuses: Vec<&Status> = entries.iter().filter_map(|e| e.status.as_ref()).collect();
    let newest = statuses.iter().max_by_key(|s| s.bundle);
    let newest = newest.ok_or_else(|| Error::Unreachable {
        what: "Every daemon".into(),
        reason: "none answered.".into(),
    })?;
    let Some(found) = newest.models.get(name) else {
        return Err(Error::NotFound {
            text: format!("Bundle {} does not name a model '{name}'.", newest.bundle),
        });
    };
    let rate: f64 = statuses
        .iter()
        .filter_map(|s| s.models.get(name))
        .map(|m| m.rate)
        .sum();
    let waiting: u64 = statuses
        .iter()
        .filter_map(|s| s.models.get(name))
        .map(|m| m.waiting)
        .sum();
    let mut lines = vec![format!(
        "Model {name}, version {}: {rate:.1} requests a second arrive, {waiting} wait.",
        found.version
    )];
    for replica in &found.replicas {
        let state = match (replica.state, replica.leaving) {
            (_, true) => "on an upstream that is leaving",
            (State::Ready, _) => "ready",
            (State::Loading, _) => "loading",
            (State::Unloading, _) => "unloading",
        };
        lines.push(format!(
            "  {}@{} at {}: {state}.",
            name, replica.version, replica.upstream
        ));
    }
    if found.replicas.is_empty() {
        lines.push("  No upstream holds it.".into());
    }
    for moved in moves(client)
        .await?
        .iter()
        .filter(|m| is_about_model(&m.inner, name))
        .take(5)
    {
        lines.extend(explain_move(moved));
    }
    for entry in entries
        .iter()
        .filter(|e| e.status.as_ref().is_some_and(|s| s.planner))
    {
        let planner = client
            .get_json::<Planner>(entry.host.addr, "/planner")
            .await;
        if let Ok(Some(planner)) = planner
            && let Some(note) = planner.notes.get(name)
        {
            lines.push(format!("Planner at {}: {note}", entry.host.name));
        }
    }
    Ok(lines)
}

fn is_about_model(moved: &Move, model: &Name) -> bool {
    match &moved.action {
        Action::Load { weights, .. } | Action::Unload { weights } => weights.model == *model,
        Action::SetRole { .. } => false,
    }
}
