//! Command line of the daemon.

use crate::error::Error;
use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Settings file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
}

fn parser() -> OptionParser<Options> {
    let settings = long("settings")
        .short('s')
        .env("COVEFORD_SETTINGS")
        .help("Settings file in INI form")
        .argument::<PathBuf>("FILE.ini");
    let check = long("check")
        .help("Check the settings, say what is wrong, and end")
        .switch();
    construct!(Options { settings, check })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Carries callers' requests to models on fewer accelerators")
        .footer("Example: covefordd --settings d1.ini --check\nSIGTERM drains: readiness fails first, requests in flight end, then exit code 0.")
}

/// Reads the command line of this process.
pub fn options() -> Result<Options, Error> {
    Ok(parser().run())
}
