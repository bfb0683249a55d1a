//! `covefordd`: the daemon that runs on each host.

use std::process::ExitCode;

fn main() -> ExitCode {
    match daemon::cli::options().and_then(daemon::run::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("covefordd: {error}");
            error.exit_code()
        }
    }
}
