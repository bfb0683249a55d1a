//! Explanations in sentences.

use crate::error::Error;
use crate::platform_tool::Tool;
use crate::state;
use backing::keys;
use daemon::operator::Status;
use daemon::planner::State as Planner;
use daemon::shelf;
use daemon::teller::Record;
use place::Ledger;
use place::ledger::Move;
use unit::Name;
use unit::engine::{Action, State, Weights};

/// Finds the record of a request at the daemon that served it.
pub async fn request(tool: &Tool, id: &Name) -> Result<Record, Error> {
    let daemons = tool.daemons().await?;
    // The id begins with the host's name; the others are asked in case it was renamed.
    let mut ordered: Vec<_> = daemons.iter().collect();
    ordered.sort_by_key(|host| !id.starts_with(&*host.name));
    let mut silent = Vec::new();
    for host in ordered {
        match tool.json(host.addr, &format!("/why/request/{id}")).await {
            Ok(Some(record)) => return Ok(record),
            Ok(None) => {}
            Err(_) => silent.push(host.name.to_string()),
        }
    }
    let unanswered = match silent.is_empty() {
        true => String::new(),
        false => format!(" No answer came from: {}.", silent.join(", ")),
    };
    Err(Error::NotFound {
        text: format!(
            "No host keeps a record of request '{id}'; records end with their host and with newer requests.{unanswered}"
        ),
    })
}

/// Ledgers of all halls that the hosts stand in.
pub async fn ledgers(tool: &Tool) -> Result<Vec<(Name, Ledger)>, Error> {
    let mut halls: Vec<Name> = tool.hosts().await?.into_iter().map(|h| h.hall).collect();
    halls.sort();
    halls.dedup();
    let mut ledgers = Vec::new();
    for hall in halls {
        let at = shelf::read::<Ledger>(&tool.kv, &keys::ledger(&hall)).await?;
        if let Some(ledger) = at.value {
            ledgers.push((hall, ledger));
        }
    }
    Ok(ledgers)
}

/// Move with its hall.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Moved {
    /// The hall.
    pub hall: Name,
    /// The move.
    #[serde(flatten)]
    pub moved: Move,
    /// Whether it may still take effect.
    pub open: bool,
}

/// Newest moves of all halls, newest first.
pub async fn moves(tool: &Tool) -> Result<Vec<Moved>, Error> {
    let mut all = Vec::new();
    for (hall, ledger) in ledgers(tool).await? {
        for moved in &ledger.moves {
            all.push(Moved {
                hall: hall.clone(),
                open: ledger.open.iter().any(|o| o.order.fence == moved.fence),
                moved: moved.clone(),
            });
        }
    }
    all.sort_by_key(|m| std::cmp::Reverse((m.moved.at_ms, m.moved.fence)));
    Ok(all)
}

/// Finds a move by `HALL/TERM.NUMBER`.
pub async fn find_move(tool: &Tool, id: &Name) -> Result<Moved, Error> {
    let all = moves(tool).await?;
    let found = all.into_iter().find(|m| move_id(m) == **id);
    found.ok_or_else(|| Error::NotFound {
        text: format!("No ledger keeps a move '{id}'; 'coveford moves' lists the newest."),
    })
}

/// Identity of a move.
pub fn move_id(moved: &Moved) -> String {
    let fence = moved.moved.fence;
    format!("{}/{}.{}", moved.hall, fence.term, fence.number)
}

/// What an action does, for people.
pub fn action(action: &Action) -> String {
    match action {
        Action::Load { weights, bytes } => format!("load {} ({bytes})", weights_name(weights)),
        Action::Unload { weights } => format!("unload {}", weights_name(weights)),
        Action::SetRole { role } => format!("turn to {role:?}"),
    }
}

fn weights_name(weights: &Weights) -> String {
    match &weights.adapter {
        Some(adapter) => format!("adapter {adapter} of {}@{}", weights.model, weights.version),
        None => format!("{}@{}", weights.model, weights.version),
    }
}

/// A move in sentences.
pub fn explain_move(moved: &Moved) -> Vec<String> {
    let state = match moved.open {
        true => "It may still take effect: no report has shown it yet.",
        false => "A report has shown its effect, or that it never will have one.",
    };
    vec![
        format!(
            "Move {}: {} at {}.",
            move_id(moved),
            action(&moved.moved.action),
            moved.moved.upstream
        ),
        format!("Why: {}", moved.moved.reason),
        state.into(),
    ]
}

/// A model in sentences.
pub async fn model(tool: &Tool, name: &Name) -> Result<Vec<String>, Error> {
    let seen = state::all(tool).await?;
    let statuses: Vec<&Status> = seen.iter().filter_map(|s| s.status.as_ref()).collect();
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
    for moved in moves(tool)
        .await?
        .iter()
        .filter(|m| concerns(&m.moved, name))
        .take(5)
    {
        lines.extend(explain_move(moved));
    }
    for host in seen
        .iter()
        .filter(|s| s.status.as_ref().is_some_and(|s| s.planner))
    {
        let planner = tool.json::<Planner>(host.host.addr, "/planner").await;
        if let Ok(Some(planner)) = planner
            && let Some(note) = planner.notes.get(name)
        {
            lines.push(format!("Planner at {}: {note}", host.host.name));
        }
    }
    Ok(lines)
}

fn concerns(moved: &Move, model: &Name) -> bool {
    match &moved.action {
        Action::Load { weights, .. } | Action::Unload { weights } => weights.model == *model,
        Action::SetRole { .. } => false,
    }
}
