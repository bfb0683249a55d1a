//! Command line of the daemon.

use crate::error::Error;
use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// Command-line options.
#[derive(Debug, Clone)]
pub struct Options {
    pub settings: PathBuf,
    /// Check the settings and exit.
    pub check: bool,
}

fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .env("COVEFORD_SETTINGS")
        .help("Settings file in INI form")
        .argument::<PathBuf>("FILE.ini");
    let check = long("check")
        .help("Check the settings, print the problems found, and exit")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Carries callers' requests to models on fewer accelerators")
        .footer("Example: covefordd --settings d1.ini --check\nSIGTERM drains: the readiness check fails, requests in flight complete, and the exit code is 0.")
}

/// Parses the command line; prints help or usage errors and exits where these are due.
pub fn options() -> Result<Options, Error> {
    Ok(parser().run())
}
