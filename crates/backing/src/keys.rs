//! Keys under which coveford keeps what must last.

/// Head: the bundle in force.
pub const HEAD: &str = "coveford/head";

/// Halls that keep each model reachable.
pub const HOMES: &str = "coveford/homes";

/// Beginning of the keys of drafts.
pub const DRAFTS: &str = "coveford/draft/";

/// Beginning of the keys of past heads.
pub const HISTORY: &str = "coveford/history/";

/// Part of a bundle.
pub fn part(hash: &str) -> String {
    format!("coveford/part/{hash}")
}

/// Draft of a bundle.
pub fn draft(id: &str) -> String {
    format!("{DRAFTS}{id}")
}

/// Past head; numbers sort as text.
pub fn history(sequence: u64) -> String {
    format!("{HISTORY}{sequence:012}")
}

/// Lease of a hall's planner.
pub fn lease(hall: &str) -> String {
    format!("coveford/hall/{hall}/lease")
}

/// Ledger of a hall.
pub fn ledger(hall: &str) -> String {
    format!("coveford/hall/{hall}/ledger")
}

/// Claim on a caller's idempotency key, by the hash of both.
pub fn claim(hash: &str) -> String {
    format!("coveford/claim/{hash}")
}
