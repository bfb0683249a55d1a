//! Sessions of `coveford` commands against a running fleet, compared with snapshots.

use standin::fleet::{self, Fleet, Plan};
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// A session: a directory with the settings and the operators' keys, and the transcript so far.
struct Session {
    dir: PathBuf,
    transcript: String,
}

impl Session {
    /// Creates the directory and writes the settings and the key of each operator.
    fn new(fleet: &Fleet, name: &str) -> Session {
        let dir = std::env::temp_dir().join(format!("coveford-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let settings = fleet.settings_text("desk", 0).unwrap();
        fs::write(dir.join("coveford.ini"), settings).unwrap();
        for operator in &fleet.operators {
            let path = dir.join(format!("{}.key", operator.name));
            let key: String = operator
                .key
                .to_bytes()
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect();
            fs::write(&path, key).unwrap();
            use std::os::unix::fs::PermissionsExt;
            fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
        }
        Session {
            dir,
            transcript: String::new(),
        }
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.dir.join(file), text).unwrap();
    }

    /// Runs a command, appends it with its output to the transcript and returns its standard output.
    fn run(&mut self, line: &str) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_coveford"))
            .args(line.split_whitespace())
            .current_dir(&self.dir)
            .output()
            .unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let code = output.status.code().unwrap();
        self.transcript += &format!("$ coveford {line}\n{stdout}{stderr}[exit {code}]\n\n");
        stdout
    }

    fn transcript(self) -> String {
        let _ = fs::remove_dir_all(&self.dir);
        self.transcript
    }
}

/// Replaces ids, addresses, durations and trailing spaces, which differ between runs.
fn snapshot_filters() -> Vec<(&'static str, &'static str)> {
    vec![
        (r"[0-9a-f]{8}-[0-9a-f]{8}-[0-9a-f]{4}", "DRAFT"),
        (r"\d+\.\d+\.\d+\.\d+:\d+", "ADDRESS"),
        (r"\b\d+(\.\d+)? (ms|µs|s)\b", "TIME"),
        (r"(?m) +$", ""),
    ]
}

const BUNDLE: &str = "[bundle]
title = first
[upstreams]
fencing = engine-*
[class defect]
priority = 9
first_token = 1600ms
[model judge]
memory = 6GB
class = defect
[adapter lot-7]
model = judge
memory = 200MB
[caller nyabarongo]
keys = 3f2c6a0cbb0f2f0d8a5a1c2b0e7d9f4a6b8c1d3e5f70819293a4b5c6d7e8f901
";

#[tokio::test(flavor = "multi_thread")]
async fn bundle_status_and_why_commands() {
    let fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 1,
        services: 0,
        ..Plan::default()
    })
    .await
    .unwrap();
    let mut session = Session::new(&fleet, "day");
    session.write("bad.ini", "[bundle]\ntitel = typo\n[model judge]\nmemory = 6\nclass = defect\nmemory = 7GB\nstray\n[caller x]\nkeys = short\n");
    session.write("first.ini", BUNDLE);
    session.write(
        "second.ini",
        &BUNDLE
            .replace("first\n", "second\n")
            .replace("memory = 6GB", "memory = 7GB\nversion = 2"),
    );
    session.write("huge.ini", &BUNDLE.replace("6GB", "90GB"));
    session.run("bundle status");
    session.run("bundle check bad.ini");
    session.run("bundle check first.ini");
    session.run("bundle check first.ini --fleet");
    session.run("bundle check huge.ini --fleet");
    session.run("bundle diff first.ini");
    let proposed = session.run("bundle propose first.ini --operator alice --key alice.key");
    let draft = proposed.split_whitespace().nth(1).unwrap().to_owned();
    session.run(&format!(
        "bundle approve {draft} --operator alice --key alice.key"
    ));
    session.run(&format!(
        "bundle approve {draft} --operator bob --key alice.key"
    ));
    session.run(&format!("bundle roll {draft}"));
    session.run(&format!(
        "bundle approve {draft} --operator bob --key bob.key"
    ));
    session.run(&format!("bundle roll {draft}"));
    session.run(&format!("bundle roll {draft}"));
    assert!(fleet.ready(1).await);
    let settled = || {
        let ledger = fleet.kv.value("coveford/hall/hall-a/ledger");
        ledger.is_some_and(|l| l.contains("\"open\":[]") && l.contains("lot-7"))
    };
    assert!(fleet.eventually(Duration::from_secs(20), settled).await);
    session.run("bundle status");
    session.run("bundle history");
    session.run("bundle diff second.ini");
    session.run("status");
    session.run("moves");
    session.run("why model judge");
    session.run("why model nobody");
    session.run("why request d1-0-0");
    session.run("why move hall-a/1.1");
    session.run("drain nobody");
    session.run("nonsense");
    insta::with_settings!({filters => snapshot_filters()}, {
        insta::assert_snapshot!(session.transcript());
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn key_commands() {
    let fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 1,
        services: 0,
        ..Plan::default()
    })
    .await
    .unwrap();
    let mut session = Session::new(&fleet, "keys");
    session.write("exposed.key", &"11".repeat(32));
    session.write("broken.key", "not a key");
    use std::os::unix::fs::PermissionsExt;
    let mode = |m| fs::Permissions::from_mode(m);
    fs::set_permissions(session.dir.join("exposed.key"), mode(0o644)).unwrap();
    fs::set_permissions(session.dir.join("broken.key"), mode(0o600)).unwrap();
    session.run("key show alice.key");
    session.run("key show exposed.key");
    session.run("key show broken.key");
    session.run("key show missing.key");
    session.run("key make alice.key");
    session.run("key list");
    session.run("key hash key-of-nyabarongo");
    let made = session.run("key make new.key");
    let meta = fs::metadata(session.dir.join("new.key")).unwrap();
    assert_eq!(meta.permissions().mode() & 0o777, 0o600);
    let shown = session.run("key show new.key");
    assert_eq!(made, shown);
    let wire = session.run("key wire");
    assert_eq!(wire.trim().len(), 64);
    let transcript = session
        .transcript()
        .replace(made.trim(), "PUBLIC")
        .replace(wire.trim(), "SECRET");
    insta::with_settings!({filters => snapshot_filters()}, {
        insta::assert_snapshot!(transcript);
    });
}
