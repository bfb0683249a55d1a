//! One short seed, as CI plays it.

use soak::options::Options;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// The daemon's program of this build; tests of another package have to build it.
fn program() -> PathBuf {
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "-p", "coveford-daemon"])
        .args((!cfg!(debug_assertions)).then_some("--release"))
        .status()
        .unwrap();
    assert!(built.success());
    // This test stands in target/PROFILE/deps.
    let test = std::env::current_exe().unwrap();
    test.parent().unwrap().with_file_name("covefordd")
}

#[test]
fn one_short_seed_has_no_violations() {
    let options = Options {
        seeds: 7..8,
        duration: Duration::from_secs(8),
        hosts: 3,
        program: program(),
    };
    assert!(soak::run(&options).unwrap());
}
