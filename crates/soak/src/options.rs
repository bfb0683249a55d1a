//! Command line of the soak.

use bpaf::{OptionParser, Parser, construct, long};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

/// Options of the command line.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seeds to run, one after the other.
    pub seeds: Range<u64>,
    /// Time for which faults are injected, for each seed.
    pub duration: Duration,
    /// Number of daemons.
    pub hosts: usize,
    /// Whether requests with segments that crash replicas come too.
    pub fatal_segments: bool,
    /// Whether the plain service has few places, and clients that ask for more of them than there are.
    pub few_places: bool,
    /// Whether each seed ends all daemons at once and checks that service comes back, in place of single faults.
    pub full_restart: bool,
    /// Path of the daemon's program.
    pub program: PathBuf,
}

fn parse_seeds(text: String) -> Result<Range<u64>, String> {
    let invalid = || format!("'{text}' is not a range of seeds; write one such as 1..51");
    let (first, end) = text.split_once("..").ok_or_else(invalid)?;
    let first = first.parse().map_err(|_| invalid())?;
    let end = end.parse().map_err(|_| invalid())?;
    Ok(first..end)
}

fn parser() -> OptionParser<Options> {
    let seed = long("seed")
        .help("Seed to run")
        .argument::<u64>("N")
        .map(|seed| seed..seed + 1);
    let seeds = long("seeds")
        .help("Seeds to run, one after the other")
        .argument::<String>("A..B")
        .parse(parse_seeds);
    let seeds = construct!([seed, seeds]).fallback(1..2);
    let duration = long("seconds")
        .help("Time for which faults are injected, for each seed")
        .argument::<u64>("S")
        .fallback(15)
        .map(Duration::from_secs);
    let hosts = long("hosts")
        .help("Number of daemons")
        .argument::<usize>("N")
        .guard(|n| (1..=100).contains(n), "must be from 1 to 100")
        .fallback(4);
    let fatal_segments = long("fatal-segments")
        .help("Also send requests whose prompts hold a segment that crashes replicas")
        .switch();
    let few_places = long("few-places")
        .help("Give the plain service three replicas with six places each, and clients that press for them")
        .switch();
    let full_restart = long("full-restart")
        .help("End all daemons at once beside a store and replicas in trouble, and check that service comes back, in place of single faults")
        .switch();
    let program = long("program")
        .help("Path of the daemon's program; by default covefordd in the directory of this program")
        .argument::<PathBuf>("FILE")
        .fallback_with(default_program);
    construct!(Options {
        seeds,
        duration,
        hosts,
        fatal_segments,
        few_places,
        full_restart,
        program
    })
    .to_options()
    .descr("Runs covefordd as processes against stand-ins, injects faults, and checks what callers and replicas see")
    .footer("Example: cargo build --release && cargo run --release --bin soak -- --seeds 1..51\nExit codes: 0 no violation, 1 violations, 2 wrong use")
}

fn default_program() -> Result<PathBuf, std::io::Error> {
    Ok(std::env::current_exe()?.with_file_name("covefordd"))
}

/// Parses the command line of this process; exits on wrong use.
pub fn parse() -> Options {
    parser().run()
}
