//! Fault soak: runs real daemons as processes against stand-ins of the platform, injects faults, and
//! checks what callers and replicas see.

pub mod accounts;
mod brittle;
pub mod check;
pub mod client;
mod copies;
pub mod error;
pub mod faults;
pub mod full_restart;
pub mod host;
pub mod options;
mod pressure;
pub mod resumption;
pub mod segments;
pub mod signals;
pub mod site;
mod stray;

pub use error::Error;

use crate::error::SystemSnafu;
use crate::options::Options;
use comfy_table::{Table, presets::NOTHING};
use snafu::ResultExt;

/// Runs all seeds and prints a table and the violations; returns whether there were none.
pub fn run(options: &Options) -> Result<bool, Error> {
    let resource = "a runtime";
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(SystemSnafu { resource })?;
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header([
        "seed",
        "requests",
        "whole",
        "not run",
        "lost",
        "faults",
        "taken up",
        "violations",
    ]);
    let mut violations = Vec::new();
    for seed in options.seeds.clone() {
        let summary = runtime.block_on(run_seed(options, seed))?;
        table.add_row([
            seed.to_string(),
            summary.requests.to_string(),
            summary.succeeded.to_string(),
            summary.not_run.to_string(),
            summary.failed.to_string(),
            summary.faults.to_string(),
            summary.taken_up.to_string(),
            summary.violations.len().to_string(),
        ]);
        let found = summary.violations.into_iter();
        violations.extend(found.map(|v| format!("seed {seed}: {v}")));
    }
    println!("{table}");
    for violation in &violations {
        println!("{violation}");
    }
    if let Some(first) = violations.first().and_then(|v| v.split(':').next()) {
        let hosts = options.hosts;
        println!("To repeat: soak --hosts {hosts} --{first}");
    }
    Ok(violations.is_empty())
}

async fn run_seed(options: &Options, seed: u64) -> Result<site::Summary, Error> {
    match options.full_restart {
        true => full_restart::run(options, &full_restart::scenario(seed), seed).await,
        false => site::run_seed(options, seed).await,
    }
}
