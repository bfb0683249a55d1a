//! An operator's day with the tool, as a whole session.

use standin::fleet::{self, Fleet, Plan};
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// Folder of one session, with the operators' keys and settings.
struct Desk {
    folder: PathBuf,
    transcript: String,
}

impl Desk {
    /// Lays out the settings and the keys of two operators.
    fn new(fleet: &Fleet, name: &str) -> Desk {
        let folder = std::env::temp_dir().join(format!("coveford-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let settings = fleet.settings_text("desk", 0).unwrap();
        fs::write(folder.join("coveford.ini"), settings).unwrap();
        for operator in &fleet.operators {
            let path = folder.join(format!("{}.key", operator.name));
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
        Desk {
            folder,
            transcript: String::new(),
        }
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.folder.join(file), text).unwrap();
    }

    /// Runs a command line and notes it with its output; gives what it printed.
    fn run(&mut self, line: &str) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_coveford"))
            .args(line.split_whitespace())
            .current_dir(&self.folder)
            .output()
            .unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let code = output.status.code().unwrap();
        self.transcript += &format!("$ coveford {line}\n{stdout}{stderr}[exit {code}]\n\n");
        stdout
    }

    fn transcript(self) -> String {
        let _ = fs::remove_dir_all(&self.folder);
        self.transcript
    }
}

/// Masks what differs from run to run.
fn masks() -> Vec<(&'static str, &'static str)> {
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
async fn an_operators_day() {
    let fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 1,
        services: 0,
        ..Plan::default()
    })
    .await
    .unwrap();
    let mut desk = Desk::new(&fleet, "day");
    desk.write("bad.ini", "[bundle]\ntitel = typo\n[model judge]\nmemory = 6\nclass = defect\nmemory = 7GB\nstray\n[caller x]\nkeys = short\n");
    desk.write("first.ini", BUNDLE);
    desk.write(
        "second.ini",
        &BUNDLE
            .replace("first\n", "second\n")
            .replace("memory = 6GB", "memory = 7GB\nversion = 2"),
    );
    desk.write("huge.ini", &BUNDLE.replace("6GB", "90GB"));
    desk.run("bundle status");
    desk.run("bundle check bad.ini");
    desk.run("bundle check first.ini");
    desk.run("bundle check first.ini --fleet");
    desk.run("bundle check huge.ini --fleet");
    desk.run("bundle diff first.ini");
    let proposed = desk.run("bundle propose first.ini --operator alice --key alice.key");
    let draft = proposed.split_whitespace().nth(1).unwrap().to_owned();
    desk.run(&format!(
        "bundle approve {draft} --operator alice --key alice.key"
    ));
    desk.run(&format!(
        "bundle approve {draft} --operator bob --key alice.key"
    ));
    desk.run(&format!("bundle roll {draft}"));
    desk.run(&format!(
        "bundle approve {draft} --operator bob --key bob.key"
    ));
    desk.run(&format!("bundle roll {draft}"));
    desk.run(&format!("bundle roll {draft}"));
    assert!(fleet.ready(1).await);
    let settled = || {
        let ledger = fleet.kv.value("coveford/hall/hall-a/ledger");
        ledger.is_some_and(|l| l.contains("\"open\":[]") && l.contains("lot-7"))
    };
    assert!(fleet.eventually(Duration::from_secs(20), settled).await);
    desk.run("bundle status");
    desk.run("bundle history");
    desk.run("bundle diff second.ini");
    desk.run("status");
    desk.run("moves");
    desk.run("why model judge");
    desk.run("why model nobody");
    desk.run("why request d1-0-0");
    desk.run("why move hall-a/1.1");
    desk.run("drain nobody");
    desk.run("nonsense");
    insta::with_settings!({filters => masks()}, {
        insta::assert_snapshot!(desk.transcript());
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn keys() {
    let fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 1,
        services: 0,
        ..Plan::default()
    })
    .await
    .unwrap();
    let mut desk = Desk::new(&fleet, "keys");
    desk.write("exposed.key", &"11".repeat(32));
    desk.write("broken.key", "not a key");
    use std::os::unix::fs::PermissionsExt;
    let mode = |m| fs::Permissions::from_mode(m);
    fs::set_permissions(desk.folder.join("exposed.key"), mode(0o644)).unwrap();
    fs::set_permissions(desk.folder.join("broken.key"), mode(0o600)).unwrap();
    desk.run("key show alice.key");
    desk.run("key show exposed.key");
    desk.run("key show broken.key");
    desk.run("key show missing.key");
    desk.run("key make alice.key");
    desk.run("key list");
    desk.run("key hash key-of-nyabarongo");
    let made = desk.run("key make new.key");
    let meta = fs::metadata(desk.folder.join("new.key")).unwrap();
    assert_eq!(meta.permissions().mode() & 0o777, 0o600);
    let shown = desk.run("key show new.key");
    assert_eq!(made, shown);
    let wire = desk.run("key wire");
    assert_eq!(wire.trim().len(), 64);
    let transcript = desk
        .transcript()
        .replace(made.trim(), "PUBLIC")
        .replace(wire.trim(), "SECRET");
    insta::with_settings!({filters => masks()}, {
        insta::assert_snapshot!(transcript);
    });
}
