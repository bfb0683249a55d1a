//! Entry point of `coveford`, the operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(&cli::options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("coveford: {error}");
            error.exit_code()
        }
    }
}
