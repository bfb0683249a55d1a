//! Streams are cut into whole events, however the bytes come.

use bytes::Bytes;
use front::events::Splitter;
use proptest::prelude::*;

fn stream() -> Vec<u8> {
    let events = (1..=9).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n * 3)));
    events.collect::<String>().into_bytes()
}

proptest! {
    #[test]
    fn any_cut_gives_the_same_events(cuts in proptest::collection::vec(0usize..300, 0..12)) {
        let bytes = stream();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.push(0);
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            let piece = Bytes::copy_from_slice(&bytes[pair[0]..pair[1]]);
            if let Some(events) = splitter.push(piece).unwrap() {
                prop_assert!(events.ends_with(b"\n\n"));
                out.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(out, bytes);
        prop_assert_eq!(splitter.last_id(), Some(9));
        prop_assert!(!splitter.is_partial());
    }
}

#[test]
fn a_partial_event_is_kept_back() {
    let mut splitter = Splitter::default();
    let piece = Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda");
    let events = splitter.push(piece).unwrap().unwrap();
    assert_eq!(&events[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.is_partial());
}
