//! Experiments: measurements that the pages in docs/ rest on.

use std::process::ExitCode;

fn main() -> ExitCode {
    match standin::experiment::run(&standin::experiment::options()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
