//! The measurement of what a daemon adds, without the counting allocator of the other experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = standin::experiment::options_for("overhead");
    match standin::experiment::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("overhead: {error}");
            ExitCode::FAILURE
        }
    }
}
