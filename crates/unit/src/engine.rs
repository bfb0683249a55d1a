//! State that model engines report and orders that they accept, independent of the engine's own format.

use crate::{Bytes, Name};
use serde::{Deserialize, Serialize};

/// Load reported along with an engine's responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
}

/// Reason for which an engine refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The engine is draining.
    Leaving,
    /// Its queue is full.
    Full,
    /// The model, version or adapter is not loaded.
    Absent,
    /// The stream to be resumed does not exist there.
    Unknown,
}

/// Identity of loadable weights: a version of a model, or an adapter for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Weights {
    pub model: Name,
    pub version: Name,
    /// Set for the weights of an adapter.
    pub adapter: Option<Name>,
}

/// Load state of weights at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Being fetched from the weight store; its memory is already reserved.
    Loading,
    /// Ready to serve requests.
    Ready,
    /// Finishing its last requests; still occupies its memory.
    Unloading,
}

/// Weights that occupy memory at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    pub weights: Weights,
    /// Memory occupied.
    pub bytes: Bytes,
    pub state: State,
}

/// Phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; exports its KV cache.
    Prefill,
    /// Decode only; imports KV caches.
    Decode,
}

/// Fencing token of an order; ordered by term, then number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the planner that issued the order.
    pub term: u64,
    /// Number of the order within the term.
    pub number: u64,
}

/// Periodic status report of an engine; may be out of date when it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the engine's process; changes with each restart.
    pub incarnation: u64,
    /// Sequence number of the report, increasing within an incarnation.
    pub number: u64,
    /// Highest fencing token seen; zero if the engine does not check them.
    pub fence: Fence,
    /// Total accelerator memory.
    pub memory: Bytes,
    /// Weights that occupy memory.
    pub resident: Vec<Resident>,
    pub load: Load,
    /// Maximum batch size.
    pub batch: u32,
    pub role: Role,
    /// Whether the engine is draining.
    pub leaving: bool,
}

/// Action requested by an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Action {
    /// Loads weights.
    Load {
        weights: Weights,
        /// Memory required.
        bytes: Bytes,
    },
    /// Unloads weights once their requests have completed.
    Unload { weights: Weights },
    /// Changes the engine's role.
    #[serde(rename = "turn")]
    SetRole { role: Role },
}

/// Order from the planner to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub fence: Fence,
    /// Target incarnation; any other refuses the order.
    pub incarnation: u64,
    pub action: Action,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStatus {
    /// It will be carried out, or already was.
    #[serde(rename = "taken")]
    Accepted,
    /// An order with a higher fencing token was seen before.
    Stale,
    /// It targets another incarnation.
    #[serde(rename = "other")]
    WrongIncarnation,
    /// It cannot be carried out: not enough memory, or unknown weights.
    #[serde(rename = "unable")]
    Infeasible,
}
