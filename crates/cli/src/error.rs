//! Errors of the commands, with their exit codes.

use bundle::ini::{self, Problem};
use place::fit::Fit;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;
use unit::Name;

/// Exit code for invalid arguments, settings or files.
const USAGE: u8 = 2;
/// Exit code if the request was refused.
const REFUSED: u8 = 3;
/// Exit code if a service or daemon could not be reached.
const UNREACHABLE: u8 = 4;
/// Exit code if the outcome of a write is unknown.
const INDETERMINATE: u8 = 5;

/// Error of a command; the message tells the operator what to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("{source}"), context(false))]
    Settings { source: daemon::Error },
    /// A file cannot be read.
    #[snafu(display("{} cannot be read: {source}. Check its path and permissions.", path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[snafu(display("{} cannot be written: {source}. A key file is never overwritten; choose another name.", path.display()))]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A key file can be read by others.
    #[snafu(display("{} can be read by others (mode {mode:o}); run 'chmod 600' on it, and make a new key if others may have read it.", path.display()))]
    ExposedKey {
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A key file does not contain an ed25519 key in hex.
    #[snafu(display("{} holds no ed25519 key in hex; make one with 'coveford key make'.", path.display()))]
    InvalidKey { path: PathBuf },
    /// The key is not the operator's key in the settings.
    #[snafu(display(
        "The key is not that of operator '{operator}' in the settings; check --operator and --key."
    ))]
    KeyMismatch { operator: Name },
    /// The bundle is invalid.
    #[snafu(display("The bundle has {} problems; mend them all:\n{}", problems.len(), ini::format_problems(problems)))]
    Bundle { problems: Vec<Problem> },
    /// The bundle does not fit the accelerators.
    #[snafu(display(
        "The bundle does not fit: {fit} Take models out, lower 'least', or add upstreams."
    ))]
    InsufficientMemory {
        /// Required and available memory.
        fit: Fit,
    },
    /// No draft has the id.
    #[snafu(display("There is no draft '{id}'; 'coveford bundle status' lists the drafts."))]
    DraftNotFound { id: Name },
    /// The bundle that a draft replaces is no longer in force.
    #[snafu(display(
        "Draft {id} replaces bundle {replaces}, but bundle {current} ({title}, proposed by {proposer}) is in force now. See what it changed with 'coveford bundle diff FILE', then propose again."
    ))]
    Superseded {
        /// Id of the draft.
        id: Name,
        /// Sequence of the bundle that it replaces.
        replaces: u64,
        /// Sequence of the bundle in force.
        current: u64,
        /// Title of the bundle in force.
        title: Name,
        /// Operator that proposed the bundle in force.
        proposer: Name,
    },
    /// The draft lacks valid signatures.
    #[snafu(
        display("{source} Ask another operator to run 'coveford bundle approve'."),
        context(false)
    )]
    Unapproved { source: bundle::head::Error },
    /// An operator approves its own proposal.
    #[snafu(display("'{operator}' proposed this draft; another operator must approve it."))]
    OwnProposal { operator: Name },
    /// No bundle is in force.
    #[snafu(display("No bundle is in force yet; propose, approve and roll one."))]
    NoBundle,
    /// The key-value service failed; the call changed nothing.
    #[snafu(display("{source}"), context(false))]
    Documents { source: daemon::documents::Error },
    /// It is unknown whether a write took effect.
    #[snafu(display(
        "It is not known yet whether {what} took effect: the key-value service stopped answering. It is not undone by waiting; run 'coveford bundle status' when the service answers."
    ))]
    Indeterminate {
        /// The write, as a noun phrase.
        what: String,
    },
    /// A service or daemon could not be reached.
    #[snafu(display("{what} cannot be reached: {reason} Check the addresses in the settings."))]
    Unreachable {
        /// The service or daemon, as the subject of a sentence.
        what: String,
        /// The cause, as a sentence.
        reason: String,
    },
    /// What was asked for does not exist.
    #[snafu(display("{text}"))]
    NotFound {
        /// What was not found, and where to look.
        text: String,
    },
}

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Error::Settings { .. }
            | Error::Read { .. }
            | Error::Write { .. }
            | Error::ExposedKey { .. }
            | Error::InvalidKey { .. } => USAGE,
            Error::KeyMismatch { .. }
            | Error::Bundle { .. }
            | Error::InsufficientMemory { .. }
            | Error::DraftNotFound { .. }
            | Error::Superseded { .. }
            | Error::Unapproved { .. }
            | Error::OwnProposal { .. }
            | Error::NoBundle
            | Error::NotFound { .. } => REFUSED,
            Error::Documents { .. } | Error::Unreachable { .. } => UNREACHABLE,
            Error::Indeterminate { .. } => INDETERMINATE,
        })
    }
}
