//! The quick start: a whole system on stand-ins, a few hundred requests, and what came of them.

use std::process::ExitCode;

fn main() -> ExitCode {
    match standin::quickstart::options().and_then(standin::quickstart::run) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}
