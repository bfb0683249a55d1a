//! External input is parsed or rejected without a panic: datagrams, settings, and streams of replicas.

mod site;

use bytes::Bytes;
use front::events::Splitter;
use front::message::{Demand, Load, LoadReport, Message, PackedLoad, decode, encode};
use front::{Settings, settings};
use proptest::prelude::*;

/// Valid settings; tests replace single lines.
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
fn valid_settings_are_accepted() {
    assert_eq!(read(SETTINGS).unwrap().log.sample, 8);
}

/// Guards against placeholders of the deployment template that would be empty, and invalid, without accounts.
#[test]
fn the_template_is_valid_without_accounts() {
    let template = include_str!("../../../deploy/settings.ini");
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{#") {
        text.push_str(&rest[..start]);
        let name = &rest[start + 3..start + rest[start..].find("}}").unwrap()];
        let end = format!("{{{{/{name}}}}}");
        rest = &rest[rest.find(&end).unwrap() + end.len()..];
    }
    text.push_str(rest);
    let values = [
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
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    assert!(!text.contains("{{"), "{text}");
    let settings = read(&text).unwrap();
    assert_eq!(settings.bounds.withdrawal, None);
}

#[test]
fn a_sample_of_zero_is_rejected() {
    let invalid = SETTINGS.replace("sample = 8", "sample = 0");
    assert_eq!(read(&invalid).unwrap_err(), 1);
}

proptest! {
    #[test]
    fn arbitrary_datagrams_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn corrupted_datagrams_do_not_panic(
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

    /// A forged length must not cause an allocation.
    #[test]
    fn a_forged_length_is_rejected(rest in proptest::collection::vec(any::<u8>(), 0..20)) {
        // Array header with 2^32 - 1 entries in MessagePack.
        let mut bytes = vec![0xdd, 0xff, 0xff, 0xff, 0xff];
        bytes.extend(rest);
        prop_assert!(decode(&bytes).is_err());
    }

    #[test]
    fn settings_with_an_arbitrary_line_do_not_panic(at in 0usize..16, line in "[ -~]{0,40}") {
        let mut lines: Vec<&str> = SETTINGS.lines().collect();
        lines[at] = &line;
        if let Err(problems) = read(&lines.join("\n")) {
            prop_assert!(problems > 0, "a rejection names a problem");
        }
    }

    #[test]
    fn arbitrary_streams_keep_every_byte(pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..20)) {
        let mut splitter = Splitter::default();
        let mut passed = 0;
        let all: usize = pieces.iter().map(Vec::len).sum();
        for piece in pieces {
            if let Ok(Some(events)) = splitter.push(Bytes::from(piece)) {
                passed += events.len();
            }
        }
        prop_assert_eq!(passed + splitter.take_remainder().len(), all, "no byte is lost or added");
    }
}

#[test]
fn an_unterminated_event_is_rejected_at_the_size_limit() {
    let mut splitter = Splitter::default();
    let piece = Bytes::from(vec![b'x'; 64 * 1_024]);
    let rejected = (0..64).any(|_| splitter.push(piece.clone()).is_err());
    assert!(rejected);
    assert!(splitter.take_remainder().len() <= 2 << 20);
}
