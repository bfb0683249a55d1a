//! Measurements, each by its name.

mod fleet;
mod measure;
mod model;
mod overhead;
mod platform;
mod quality;
mod slopes;
mod spread;

use bpaf::{Parser, construct, long, positional};
use std::io;

/// What the command line asks for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Print JSON instead of tables.
    pub json: bool,
    /// Seed.
    pub seed: u64,
    /// Seeds run, from `seed` on.
    pub seeds: u64,
    /// Only what bears one of these words in its size, workload or policy.
    pub only: Vec<String>,
    /// Name of the experiment.
    pub name: String,
}

/// Reads the command line.
pub fn options() -> Options {
    let json = long("json").help("Print JSON instead of tables").switch();
    let seed = long("seed")
        .help("Seed of what is random")
        .argument::<u64>("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("How many seeds to run")
        .argument::<u64>("N")
        .fallback(10);
    let only = long("only")
        .help("Only rows of 'quality' that bear this size, workload or policy; may be repeated")
        .argument::<String>("WORD")
        .many();
    let name = positional::<String>("NAME")
        .help("overhead, quality, curve, spread, slopes, platform or fleet");
    let parser = construct!(Options {
        json,
        seed,
        seeds,
        only,
        name
    })
    .to_options();
    parser.descr("Runs one of coveford's measurements").run()
}

/// Options of an experiment that has a command of its own.
pub fn options_for(name: &str) -> Options {
    let json = long("json").help("Print JSON instead of tables").switch();
    Options {
        json: json.to_options().run(),
        seed: 1,
        seeds: 1,
        only: Vec::new(),
        name: name.into(),
    }
}

/// Runs an experiment.
pub fn run(options: &Options) -> io::Result<()> {
    match options.name.as_str() {
        "overhead" => overhead::run(options),
        "quality" => quality::run(options),
        "curve" => quality::curve(options),
        "spread" => spread::run(options),
        "slopes" => slopes::run(options),
        "platform" => platform::run(options),
        "fleet" => fleet::run(options),
        other => Err(io::Error::other(format!(
            "'{other}' is no experiment; known are: overhead, quality, curve, spread, slopes, platform, fleet."
        ))),
    }
}
