//! Output of `coveford status --metrics`.

use cli::metrics::{Daemon, ensure_reachable, fetch_all, findings, parse};
use std::net::SocketAddr;

const ADDR: &str = "127.0.0.1:9464";

fn daemon(version: u64, leads: u8, store_away: u8) -> Daemon {
    let text = format!(
        "# TYPE coveford_leads gauge\ncoveford_leads {leads}\n# TYPE coveford_configuration_version gauge\ncoveford_configuration_version {version}\ncoveford_replicas 15\ncoveford_hosts 9\ncoveford_store_away {store_away}\ncoveford_in_flight 3\ncoveford_requests_total{{route=\"r\",outcome=\"complete\"}} 7\n"
    );
    parse(ADDR.parse().unwrap(), &text)
}

#[test]
fn gauges_are_matched_by_full_name() {
    let daemon = daemon(38, 1, 0);
    assert_eq!(daemon.configuration, 38);
    assert_eq!(
        (daemon.replicas, daemon.hosts, daemon.in_flight),
        (15, 9, 3)
    );
    assert!(daemon.is_leader && !daemon.store_unreachable);
    assert_eq!(daemon.unreachable, None);
}

#[test]
fn text_without_coveford_gauges_is_reported_unreachable() {
    let daemon = parse(ADDR.parse().unwrap(), "up 1\n");
    assert!(
        daemon
            .unreachable
            .unwrap()
            .contains("no metrics of coveford")
    );
}

#[test]
fn healthy_daemons_have_no_findings() {
    let daemons = [daemon(38, 1, 0), daemon(38, 0, 0)];
    assert_eq!(findings(&daemons), Vec::<String>::new());
}

#[test]
fn old_configuration_missing_leader_and_unreachable_store_are_reported() {
    let found = findings(&[daemon(38, 0, 0), daemon(36, 0, 1)]);
    assert!(found[0].contains("1 of 2 daemons are behind configuration 38"));
    assert!(found[1].contains("0 of these daemons lead"));
    assert!(found[2].contains("The store does not answer 1 of them"));
}

#[test]
fn stale_key_data_is_reported() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_accounts 16\ncoveford_keys_age_seconds 4.125\n";
    let daemon = parse(ADDR.parse().unwrap(), text);
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
fn quarantined_requests_are_reported() {
    let text =
        "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_requests_kept_out 2\n";
    let found = findings(&[parse(ADDR.parse().unwrap(), text)]);
    assert!(found[0].contains("2 requests are kept out"), "{found:?}");
}

#[test]
fn rate_limited_replicas_are_reported_with_their_limit() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_replica_limit{replica=\"i-1\"} 1.3\ncoveford_replica_limit{replica=\"i-2\"} inf\n";
    let daemon = parse(ADDR.parse().unwrap(), text);
    assert_eq!(daemon.rate_limits.len(), 1, "an infinite limit is none");
    let found = findings(&[daemon]);
    assert!(
        found[0].contains("Replica i-1 is in need: it takes 1.3 requests a second"),
        "{found:?}"
    );
}

#[test]
fn departures_and_backoffs_are_reported() {
    let text = "coveford_configuration_version 38\ncoveford_leads 1\ncoveford_leaving_replicas 1\ncoveford_replica_rest_seconds{replica=\"i-1\"} 2.5\ncoveford_replica_rest_seconds{replica=\"i-2\"} 0\n";
    let daemon = parse(ADDR.parse().unwrap(), text);
    assert_eq!(daemon.backoffs.len(), 1, "a backoff of zero is over");
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
async fn unreachable_daemons_are_reported() {
    // Nothing listens on the port once the listener is dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let daemons = fetch_all(&[addr]).await;
    assert!(daemons[0].unreachable.is_some());
    let error = ensure_reachable(&daemons).unwrap_err().to_string();
    assert!(
        error.contains("All 1 daemons asked cannot be reached: no metrics"),
        "{error}"
    );
}
