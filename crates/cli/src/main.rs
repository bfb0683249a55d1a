//! `coveford`: the operators' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(&cli::options::read()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coveford: {error}");
            error.exit_code()
        }
    }
}
