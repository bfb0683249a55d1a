//! Runs that gave the first events of streams, sent to the hosts that keep them, and questions for them.

use route::streams::Run;
use serde::{Deserialize, Serialize};

/// Most runs of a datagram; a run takes some 60 bytes with usual names.
pub const MAX_RUNS: usize = 16;

/// Exchange about the runs of streams. A client attempt is named by its [`route::streams::key`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Streams {
    /// Runs to keep.
    Keep(Vec<(u64, Run)>),
    /// Asks for the run of a client attempt; holds the number of the question.
    Ask(u32, u64),
    /// Response to the question of that number; none if the host does not know.
    Answer(u32, Option<Run>),
}
