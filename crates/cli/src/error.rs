//! Why a command did not do what was asked.

use bundle::ini::{self, Problem};
use place::fit::Fit;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;
use unit::Name;

/// Exit code for wrong use.
const WRONG_USE: u8 = 2;
/// Exit code when the system refused.
const REFUSED: u8 = 3;
/// Exit code when something could not be reached.
const UNREACHABLE: u8 = 4;
/// Exit code when the outcome is not known yet.
const UNKNOWN: u8 = 5;

/// Error of the tool; each message says what to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings are wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// What is wrong.
        source: daemon::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}. Check its path and permissions.", path.display()))]
    Read {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{} cannot be written: {source}. A key file is never overwritten; choose another name.", path.display()))]
    Write {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A key file can be read by others.
    #[snafu(display("{} can be read by others (mode {mode:o}); run 'chmod 600' on it, and make a new key if others may have read it.", path.display()))]
    KeyExposed {
        /// Which.
        path: PathBuf,
        /// Its mode.
        mode: u32,
    },
    /// A key file holds no key.
    #[snafu(display("{} holds no ed25519 key in hex; make one with 'coveford key make'.", path.display()))]
    KeyUnreadable {
        /// Which.
        path: PathBuf,
    },
    /// The key is not the one the settings name for the operator.
    #[snafu(display(
        "The key is not that of operator '{operator}' in the settings; check --operator and --key."
    ))]
    KeyForeign {
        /// Who.
        operator: Name,
    },
    /// The bundle has problems.
    #[snafu(display("The bundle has {} problems; mend them all:\n{}", problems.len(), ini::format_problems(problems)))]
    Bundle {
        /// All that is wrong.
        problems: Vec<Problem>,
    },
    /// The bundle does not fit the accelerators.
    #[snafu(display(
        "The bundle does not fit: {fit} Take models out, lower 'least', or add upstreams."
    ))]
    Unfit {
        /// The arithmetic.
        fit: Fit,
    },
    /// A draft is unknown.
    #[snafu(display("There is no draft '{id}'; 'coveford bundle status' lists those there are."))]
    NoDraft {
        /// Its id.
        id: Name,
    },
    /// A draft replaces another bundle than the one in force.
    #[snafu(display(
        "Draft {id} replaces bundle {replaces}, but bundle {current} ({title}, proposed by {proposer}) is in force now. See what it changed with 'coveford bundle diff FILE', then propose again."
    ))]
    Overtaken {
        /// The draft.
        id: Name,
        /// What it replaces.
        replaces: u64,
        /// What is in force.
        current: u64,
        /// Title of what is in force.
        title: Name,
        /// Who proposed it.
        proposer: Name,
    },
    /// The draft is not signed as it must be.
    #[snafu(
        display("{source} Ask another operator to run 'coveford bundle approve'."),
        context(false)
    )]
    Unapproved {
        /// What is missing.
        source: bundle::head::Error,
    },
    /// An operator approves its own proposal.
    #[snafu(display("'{operator}' proposed this draft; another operator must approve it."))]
    OwnProposal {
        /// Who.
        operator: Name,
    },
    /// Nothing is in force.
    #[snafu(display("No bundle is in force yet; propose, approve and roll one."))]
    NothingInForce,
    /// The key-value service could not be used; nothing was changed by this call.
    #[snafu(display("{source}"), context(false))]
    Shelf {
        /// Its error.
        source: daemon::shelf::Error,
    },
    /// Whether a write took effect is not known.
    #[snafu(display(
        "It is not known yet whether {what} took effect: the key-value service stopped answering. It is not undone by waiting; run 'coveford bundle status' when the service answers."
    ))]
    NotYetKnown {
        /// Which write.
        what: String,
    },
    /// Something could not be reached.
    #[snafu(display("{what} cannot be reached: {reason} Check the addresses in the settings."))]
    Unreachable {
        /// What.
        what: String,
        /// Why.
        reason: String,
    },
    /// There is nothing to tell.
    #[snafu(display("{text}"))]
    NotFound {
        /// What was not found, and where to look.
        text: String,
    },
}

impl Error {
    /// Exit code that goes with the error.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Settings { .. }
            | Error::Read { .. }
            | Error::Write { .. }
            | Error::KeyExposed { .. }
            | Error::KeyUnreadable { .. } => WRONG_USE,
            Error::KeyForeign { .. }
            | Error::Bundle { .. }
            | Error::Unfit { .. }
            | Error::NoDraft { .. }
            | Error::Overtaken { .. }
            | Error::Unapproved { .. }
            | Error::OwnProposal { .. }
            | Error::NothingInForce
            | Error::NotFound { .. } => REFUSED,
            Error::Shelf { .. } | Error::Unreachable { .. } => UNREACHABLE,
            Error::NotYetKnown { .. } => UNKNOWN,
        })
    }
}
