//! What comes from outside is read or refused, whatever it is: datagrams of other hosts, settings, and
//! streams of replicas.

mod site;

use bytes::Bytes;
use front::events::Splitter;
use front::message::{Demand, Load, LoadReport, Message, PackedLoad, decode, encode};
use front::{Settings, settings};
use proptest::prelude::*;

/// Settings in order, of which properties change a line.
const SETTINGS: &str = "[daemon]
name = d1
hall = a
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
metrics = 127.0.0.1:3
peers = 127.0.0.1:4
[store]
address = 127.0.0.1:5
[bounds]
grace_seconds = 8
retry_share = 0.2
[limits]
memory_mb = 260
[log]
level = info
sample = 8
";

fn read(text: &str) -> Result<Settings, usize> {
    settings::read("d1.ini", text).map_err(|problems| problems.len())
}

fn datagram() -> Vec<u8> {
    let load = Load {
        requests: 3.0,
        ..Load::default()
    };
    let sums = LoadReport {
        host: "d1".into(),
        loads: vec![PackedLoad::new("i-1", &load); 4],
        demand: vec![Demand {
            service: "llm".into(),
            model: "m1".into(),
            rate: 1.5,
            tokens: 900.0,
        }],
        ..LoadReport::default()
    };
    encode(&Message::Report(sums))
}

#[test]
fn settings_in_order_are_read() {
    assert_eq!(read(SETTINGS).unwrap().log.sample, 8);
}

/// The template that the platform fills, on a deployment that has no accounts: what stands only where there
/// are some is left out with its gaps. With an empty value a daemon would not start.
#[test]
fn the_template_is_whole_without_accounts() {
    let template = include_str!("../../../deploy/settings.ini");
    let mut text = String::new();
    let mut rest = template;
    while let Some(begin) = rest.find("{{#") {
        text.push_str(&rest[..begin]);
        let name = &rest[begin + 3..begin + rest[begin..].find("}}").unwrap()];
        let end = format!("{{{{/{name}}}}}");
        rest = &rest[rest.find(&end).unwrap() + end.len()..];
    }
    text.push_str(rest);
    let words = [
        ("{{node}}", "h1"),
        ("{{zone}}", "a"),
        ("{{ip}}", "127.0.0.1"),
        ("{{port_range.0}}", "7000"),
        ("{{listen.front}}", "127.0.0.1:1"),
        ("{{listen.ready}}", "127.0.0.1:2"),
        ("{{provider.address}}", "127.0.0.1:3"),
        ("{{bounds.retry_budget}}", "0.2"),
        ("{{bounds.retry_slack}}", "58"),
        ("{{bounds.grace_s}}", "8"),
        ("{{bounds.budget_window_s}}", "10"),
        ("{{bounds.ceiling_window_s}}", "5"),
        ("{{bounds.ceiling_overage}}", "1.1"),
        ("{{limits.max_fds}}", "4100"),
        ("{{limits.memory_mb}}", "260"),
        ("{{limits.cpu_share}}", "0.25"),
        ("{{bounds.lease_ms}}", "3000"),
        ("{{bounds.config_apply_ms}}", "2000"),
        ("{{bounds.drain_ms}}", "2000"),
    ];
    for (gap, word) in words {
        text = text.replace(gap, word);
    }
    assert!(!text.contains("{{"), "{text}");
    let settings = read(&text).unwrap();
    assert_eq!(settings.bounds.withdrawal, None);
}

#[test]
fn a_sample_of_none_is_refused() {
    let wrong = SETTINGS.replace("sample = 8", "sample = 0");
    assert_eq!(read(&wrong).unwrap_err(), 1);
}

proptest! {
    #[test]
    fn any_datagram_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_datagram_with_changed_bytes_is_read_or_refused(
        changes in proptest::collection::vec((any::<usize>(), any::<u8>()), 1..6),
        length in any::<usize>(),
    ) {
        let mut bytes = datagram();
        for (at, byte) in changes {
            let at = at % bytes.len();
            bytes[at] = byte;
        }
        bytes.truncate(length % (bytes.len() + 1));
        let _ = decode(&bytes);
    }

    /// Lengths that a datagram claims and does not hold take no memory.
    #[test]
    fn a_claimed_length_is_not_believed(rest in proptest::collection::vec(any::<u8>(), 0..20)) {
        // An array of 2^32 - 1 entries, as MessagePack writes it.
        let mut bytes = vec![0xdd, 0xff, 0xff, 0xff, 0xff];
        bytes.extend(rest);
        prop_assert!(decode(&bytes).is_err());
    }

    #[test]
    fn settings_with_a_changed_line_are_read_or_refused(at in 0usize..16, line in "[ -~]{0,40}") {
        let mut lines: Vec<&str> = SETTINGS.lines().collect();
        lines[at] = &line;
        if let Err(problems) = read(&lines.join("\n")) {
            prop_assert!(problems > 0, "a refusal says why");
        }
    }

    #[test]
    fn any_stream_is_cut_or_refused(pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..20)) {
        let mut splitter = Splitter::default();
        let mut passed = 0;
        let all: usize = pieces.iter().map(Vec::len).sum();
        for piece in pieces {
            if let Ok(Some(events)) = splitter.push(Bytes::from(piece)) {
                passed += events.len();
            }
        }
        prop_assert_eq!(passed + splitter.take_remainder().len(), all, "no byte is lost or made up");
    }
}

#[test]
fn an_event_without_an_end_is_refused_before_it_fills_the_memory() {
    let mut splitter = Splitter::default();
    let piece = Bytes::from(vec![b'x'; 64 * 1_024]);
    let refused = (0..64).any(|_| splitter.push(piece.clone()).is_err());
    assert!(refused);
    assert!(splitter.take_remainder().len() <= 2 << 20);
}
