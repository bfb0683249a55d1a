//! Tests of the daemon as a process: check of the settings, graceful stop.

use standin::caller::{Ask, Caller};
use standin::engine::text;
use standin::fleet::{self, Fleet, KEY_ONE, Plan};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tokio::time::sleep;

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("coveford-{name}-{}.ini", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

/// Runs the daemon with `--check`.
fn check(path: &Path) -> Output {
    let command = Command::new(env!("CARGO_BIN_EXE_covefordd"))
        .args(["--settings".as_ref(), path.as_os_str(), "--check".as_ref()])
        .output();
    command.unwrap()
}

#[test]
fn every_wrong_setting_is_reported_at_once() {
    let path = write_settings(
        "bad",
        "[daemon]\nname = d1\nhall = hall-a\ncallers = localhost:80\noperator = 127.0.0.1:9001\ndrain = soon\ncolour = blue\n\
         [platform]\nkv = 127.0.0.1:7000, nowhere\nhosts = 127.0.0.1:7001\n\
         [wire]\nkey = 1234\n[operator alice]\nkey = zz\n[limits]\nconnections = 0\n[log]\nformat = xml\nlevel = =\n[extra]\n",
    );
    let output = check(&path);
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    insta::assert_snapshot!(stderr.replace(&path.display().to_string(), "bad.ini"));
    let _ = fs::remove_file(path);
}

#[test]
fn missing_settings_file_is_reported() {
    let output = check(Path::new("/nonexistent/d1.ini"));
    assert_eq!(output.status.code(), Some(2));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.contains("/nonexistent/d1.ini cannot be read"),
        "{stderr}"
    );
}

/// Daemon process, killed on drop.
struct Process(Child);

impl Process {
    fn start(path: &Path) -> Process {
        let child = Command::new(env!("CARGO_BIN_EXE_covefordd"))
            .arg("--settings")
            .arg(path)
            .stderr(Stdio::piped())
            .spawn();
        Process(child.unwrap())
    }

    fn terminate(&self) {
        let id = self.0.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Waits up to 20 s for a ready replica in the daemon's status; returns whether there is one.
async fn wait_until_ready(fleet: &Fleet, addr: std::net::SocketAddr) -> bool {
    for _ in 0..2_000 {
        let reply = fleet.tool.get(addr, "/status").await;
        if let Ok(reply) = reply {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            if body.contains("\"state\":\"ready\"") {
                return true;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Address under a key of the settings.
fn address(text: &str, key: &str) -> std::net::SocketAddr {
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix(&format!("{key} = ")));
    line.unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_completes_the_stream_and_exits_with_zero() {
    let mut fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        daemons: 0,
        ..Plan::default()
    })
    .await
    .unwrap();
    fleet
        .roll(&fleet::sample(1, 0).replace("least = 2", "least = 1"))
        .await
        .unwrap();
    let settings = fleet.settings_text("d1", 0).unwrap();
    let path = write_settings("good", &settings);
    assert_eq!(check(&path).status.code(), Some(0));
    let mut process = Process::start(&path);
    let (callers, operator) = (
        address(&settings, "callers"),
        address(&settings, "operator"),
    );
    assert!(wait_until_ready(&fleet, operator).await);
    let request = Ask::new("judge-00", "tell me a long story", 1_500).streamed();
    let prompt = format!("user: {}\n", request.prompt);
    let call = tokio::spawn(async move { Caller::new(callers, KEY_ONE).chat(&request).await });
    let engine = fleet.engines.remove(0).1;
    for _ in 0..2_000 {
        if !engine.started().is_empty() {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    process.terminate();
    let answer = call.await.unwrap();
    assert!(
        answer.whole && answer.text == text("judge-00", &prompt, 1_500),
        "{}",
        answer.message
    );
    let status = process.0.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    let _ = fs::remove_file(path);
}
