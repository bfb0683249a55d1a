//! `soak`: runs the real daemons under faults and checks what callers and replicas see.

use std::process::ExitCode;

fn main() -> ExitCode {
    match soak::run(&soak::options::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}
