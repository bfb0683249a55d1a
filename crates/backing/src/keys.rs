//! Keys of persistent data in the key-value service.

/// Key of the head, the bundle in force.
pub const HEAD: &str = "coveford/head";

/// Key of the home halls of each model.
pub const HOMES: &str = "coveford/homes";

/// Key prefix of drafts.
pub const DRAFTS: &str = "coveford/draft/";

/// Key prefix of past heads.
pub const HISTORY: &str = "coveford/history/";

/// Key of a part of a bundle.
pub fn part(hash: &str) -> String {
    format!("coveford/part/{hash}")
}

/// Key of a draft.
pub fn draft(id: &str) -> String {
    format!("{DRAFTS}{id}")
}

/// Key of a past head; keys sort by sequence.
pub fn history(sequence: u64) -> String {
    format!("{HISTORY}{sequence:012}")
}

/// Key of the lease of a hall's planner.
pub fn lease(hall: &str) -> String {
    format!("coveford/hall/{hall}/lease")
}

/// Key of the ledger of a hall.
pub fn ledger(hall: &str) -> String {
    format!("coveford/hall/{hall}/ledger")
}

/// Key of the claim on an idempotency key, by the hash of caller and idempotency key.
pub fn claim(hash: &str) -> String {
    format!("coveford/claim/{hash}")
}
