//! What is known of model engines and asked of them, whatever their format.

use crate::{Bytes, Name};
use serde::{Deserialize, Serialize};

/// Load figures that ride on answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Why an engine refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// It is leaving.
    Leaving,
    /// It has no room in its queue.
    Full,
    /// It does not hold that model, version or adapter ready.
    #[serde(rename = "absent")]
    NotLoaded,
    /// It knows nothing of the stream that should be resumed.
    #[serde(rename = "unknown")]
    UnknownStream,
}

/// Name of weights that take memory: a model's version, or an adapter on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: Name,
    /// The model's version.
    pub version: Name,
    /// The adapter, when it is one.
    pub adapter: Option<Name>,
}

/// State of weights at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// On the way from the weight store; takes its memory already.
    Loading,
    /// Ready to answer.
    Ready,
    /// Ending its last requests; takes its memory still.
    Unloading,
}

/// Weights that take memory at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Which.
    pub weights: Weights,
    /// Memory they take.
    pub bytes: Bytes,
    /// Their state.
    pub state: State,
}

/// What an engine does for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts and generation.
    #[default]
    Both,
    /// Prompts only; exports its cache.
    Prefill,
    /// Generation only; imports caches.
    Decode,
}

/// Number by which orders are fenced; compared by term, then number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Planner's term.
    pub term: u64,
    /// Order's number.
    pub number: u64,
}

/// Lagged report of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the engine's process; another after each restart.
    pub incarnation: u64,
    /// Number of the report in this incarnation, growing.
    pub number: u64,
    /// Highest fence it has seen; stays at zero when it checks none.
    pub fence: Fence,
    /// Accelerator memory.
    pub memory: Bytes,
    /// Weights that take memory.
    pub resident: Vec<Resident>,
    /// Load.
    pub load: Load,
    /// Most requests in a batch.
    pub batch: u32,
    /// Its role.
    pub role: Role,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
    /// Load weights.
    Load {
        /// Which.
        weights: Weights,
        /// Memory they take.
        bytes: Bytes,
    },
    /// Unload weights once their requests have ended.
    Unload {
        /// Which.
        weights: Weights,
    },
    /// Change role.
    #[serde(rename = "turn")]
    SetRole {
        /// The new one.
        role: Role,
    },
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its fence.
    pub fence: Fence,
    /// Incarnation it is meant for; another one refuses it.
    pub incarnation: u64,
    /// What to do.
    pub action: Action,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStatus {
    /// It will be done, or was already.
    #[serde(rename = "taken")]
    Accepted,
    /// A later order was seen before.
    Stale,
    /// It was meant for another incarnation.
    #[serde(rename = "other")]
    WrongIncarnation,
    /// It cannot be done: no memory, or unknown weights.
    #[serde(rename = "unable")]
    Infeasible,
}
