//! The state of daemons on a platform, as `coveford status --metrics` tells it.

use cli::metrics::{Daemon, ask, check, findings, read};
use std::net::SocketAddr;

const ADDR: &str = "127.0.0.1:9464";

fn daemon(version: u64, leads: u8, away: u8) -> Daemon {
    let text = format!(
        "# TYPE coveford_leads gauge\ncoveford_leads {leads}\n# TYPE coveford_configuration_version gauge\ncoveford_configuration_version {version}\ncoveford_replicas 15\ncoveford_hosts 9\ncoveford_store_away {away}\ncoveford_in_flight 3\ncoveford_requests_total{{route=\"r\",outcome=\"complete\"}} 7\n"
    );
    read(ADDR.parse().unwrap(), &text)
}

#[test]
fn gauges_are_read_by_their_whole_names() {
    let daemon = daemon(38, 1, 0);
    assert_eq!(daemon.configuration, 38);
    assert_eq!(
        (daemon.replicas, daemon.hosts, daemon.in_flight),
        (15, 9, 3)
    );
    assert!(daemon.leads && !daemon.store_away);
    assert_eq!(daemon.unreachable, None);
}

#[test]
fn what_is_no_daemon_s_text_is_not_taken_for_zeros() {
    let daemon = read(ADDR.parse().unwrap(), "up 1\n");
    assert!(
        daemon
            .unreachable
            .unwrap()
            .contains("no metrics of coveford")
    );
}

#[test]
fn daemons_in_order_leave_nothing_to_say() {
    let daemons = [daemon(38, 1, 0), daemon(38, 0, 0)];
    assert_eq!(findings(&daemons), Vec::<String>::new());
}

#[test]
fn what_an_operator_should_know_is_said() {
    let found = findings(&[daemon(38, 0, 0), daemon(36, 0, 1)]);
    assert!(found[0].contains("1 of 2 daemons are behind configuration 38"));
    assert!(found[1].contains("0 of these daemons lead"));
    assert!(found[2].contains("The store does not answer 1 of them"));
}

#[test]
fn a_daemon_that_cannot_confirm_keys_is_said() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_accounts 16\ncoveford_keys_age_seconds 4.125\n";
    let daemon = read(ADDR.parse().unwrap(), text);
    assert_eq!(
        (daemon.accounts, daemon.keys_age_ms),
        (Some(16), Some(4_125))
    );
    let found = findings(&[daemon]);
    assert!(
        found[0].contains("1 of them last heard of keys over 3 s ago"),
        "{found:?}"
    );
}

#[test]
fn requests_that_are_kept_out_are_said() {
    let text =
        "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_requests_kept_out 2\n";
    let found = findings(&[read(ADDR.parse().unwrap(), text)]);
    assert!(found[0].contains("2 requests are kept out"), "{found:?}");
}

#[test]
fn replicas_in_need_are_said_with_what_they_take() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_replica_limit{replica=\"i-1\"} 1.3\ncoveford_replica_limit{replica=\"i-2\"} inf\n";
    let daemon = read(ADDR.parse().unwrap(), text);
    assert_eq!(daemon.limits.len(), 1, "one that is over is not in need");
    let found = findings(&[daemon]);
    assert!(
        found[0].contains("Replica i-1 is in need: it takes 1.3 requests a second"),
        "{found:?}"
    );
}

#[test]
fn replicas_that_leave_or_rest_are_said() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_leaving_replicas 1\ncoveford_replica_rest_seconds{replica=\"i-1\"} 2.5\ncoveford_replica_rest_seconds{replica=\"i-2\"} 0\n";
    let daemon = read(ADDR.parse().unwrap(), text);
    assert_eq!(daemon.rests.len(), 1, "one that is over is no rest");
    let found = findings(&[daemon]);
    assert!(
        found[0].contains("1 replicas have said in answers that they leave"),
        "{found:?}"
    );
    assert!(
        found[1].contains("Replica i-1 wants nothing from 1 of 1 daemons, for 2.5 s at the most"),
        "{found:?}"
    );
}

#[tokio::test]
async fn daemons_that_do_not_answer_are_told() {
    // A port that was free a moment ago.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let daemons = ask(&[addr]).await;
    assert!(daemons[0].unreachable.is_some());
    let error = check(&daemons).unwrap_err().to_string();
    assert!(
        error.contains("All 1 daemons asked cannot be reached: no metrics"),
        "{error}"
    );
}
