//! The view of replicas never goes backwards, and outages of the store are no departures.

mod site;

use front::view::{Origin, Update, View};
use platform::replica::Entry;
use proptest::prelude::*;
use rstest::rstest;
use site::{HEARTBEAT, at};

fn entry(beat: u64, leaving: bool) -> Entry {
    Entry {
        service: "llm".into(),
        leaving,
        beat,
        ..site::entry("i-1")
    }
}

#[test]
fn older_news_change_nothing() {
    let mut view = View::new(HEARTBEAT);
    assert_eq!(
        view.put(entry(5, false), 10),
        Some(Update::Added("i-1".into()))
    );
    assert_eq!(view.put(entry(6, true), 9), None, "an older revision");
    assert_eq!(
        view.put(entry(4, true), 11),
        None,
        "an old writing at a newer revision"
    );
    assert!(!view.get("i-1").unwrap().entry.leaving);
}

#[test]
fn leaving_counts_at_once_and_is_not_taken_back() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    assert_eq!(
        view.put(entry(2, true), 11),
        Some(Update::Leaving("i-1".into()))
    );
    view.put(entry(3, false), 12);
    assert!(view.get("i-1").unwrap().entry.leaving);
}

fn incarnation(started: u64, beat: u64, leaving: bool) -> Entry {
    Entry {
        incarnation: Some(started),
        ..entry(beat, leaving)
    }
}

#[test]
fn a_replica_that_starts_again_counts_anew() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 50, true), 10);
    let restarted = Some(Update::Restarted("i-1".into()));
    assert_eq!(view.put(incarnation(2_000, 1, false), 11), restarted);
    assert!(!view.get("i-1").unwrap().entry.leaving);
    let leaves = Some(Update::Leaving("i-1".into()));
    assert_eq!(view.put(incarnation(2_000, 2, true), 12), leaves);
}

#[test]
fn a_late_writing_of_an_earlier_incarnation_changes_nothing() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 50, false), 10);
    view.put(incarnation(2_000, 2, true), 11);
    assert_eq!(view.put(incarnation(1_000, 51, false), 12), None);
    let seen = &view.get("i-1").unwrap().entry;
    assert_eq!((seen.incarnation, seen.leaving), (Some(2_000), true));
}

/// A replica's start is told by its own clock, which may have been stepped back between two starts.
#[test]
fn a_start_that_seems_earlier_and_was_never_seen_is_a_new_one() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(5_000, 50, false), 10);
    let restarted = Some(Update::Restarted("i-1".into()));
    assert_eq!(view.put(incarnation(3_000, 1, true), 11), restarted);
    assert!(view.get("i-1").unwrap().entry.leaving);
}

#[test]
fn a_removal_is_a_departure_while_the_store_is_there() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    assert_eq!(
        view.remove("i-1", 11, at(0)),
        Some(Update::Removed("i-1".into()))
    );
    assert_eq!(
        view.put(entry(1, false), 10),
        None,
        "older news bring nothing back"
    );
    assert!(view.get("i-1").is_none());
}

#[test]
fn an_entry_that_lapses_in_an_outage_stays_until_after_the_return() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    view.contact.answered(at(0), at(0));
    view.contact.failed();
    view.contact.answered(at(5_000), at(5_000));
    assert_eq!(
        view.remove("i-1", 11, at(5_100)),
        Some(Update::Missing("i-1".into()))
    );
    assert!(view.expire(at(6_900)).is_empty());
    assert!(view.get("i-1").is_some());
    assert_eq!(view.expire(at(7_100)), [Update::Removed("i-1".into())]);
}

#[test]
fn an_entry_that_is_back_in_time_was_never_gone() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    view.contact.answered(at(0), at(0));
    view.contact.failed();
    view.remove("i-1", 11, at(100));
    view.contact.answered(at(5_000), at(5_000));
    view.put(entry(2, false), 12);
    assert!(view.expire(at(9_000)).is_empty());
    assert_eq!(view.get("i-1").unwrap().missing, None);
}

#[rstest]
#[case::absent(&[], true)]
#[case::present(&["i-1"], false)]
fn a_whole_range_tells_what_left_in_the_gap(#[case] present: &[&str], #[case] gone: bool) {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    let present: Vec<_> = present.iter().map(|p| (*p).into()).collect();
    let news = view.reconcile(&present, 20, at(0));
    assert_eq!(!news.is_empty(), gone);
}

#[test]
fn a_range_read_before_an_entry_was_written_does_not_remove_it() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 21);
    assert!(view.reconcile(&[], 20, at(0)).is_empty());
}

/// Guards against a leaving replica that is used again because its entry changes: the entry lapses and returns, is
/// overwritten, or goes on saying that it stays.
#[test]
fn the_word_of_an_answer_outlives_the_entry() {
    let mut view = View::new(HEARTBEAT);
    let id = "i-1".into();
    view.put(incarnation(7, 1, false), 10);
    assert!(view.record_departure(&id, Some(7), Origin::Answer, at(0)));
    assert!(
        !view.record_departure(&id, Some(7), Origin::Answer, at(1)),
        "it is no news"
    );
    let leaves = |view: &View| view.get("i-1").unwrap().entry.leaving;
    assert!(leaves(&view));
    view.put(incarnation(7, 2, false), 11);
    assert!(leaves(&view), "its entry says that it stays");
    view.mark_overwritten("i-1", 12);
    view.put(incarnation(7, 3, false), 13);
    assert!(leaves(&view), "its entry was another writer's for a while");
    view.remove("i-1", 14, at(2));
    view.expire(at(60_000));
    assert!(view.get("i-1").is_none());
    view.put(incarnation(7, 4, false), 15);
    assert!(leaves(&view), "its entry was gone for a while");
    view.put(incarnation(8, 1, false), 16);
    assert!(!leaves(&view), "another incarnation is there");
    assert!(
        !view.record_departure(&id, Some(7), Origin::Answer, at(3)),
        "a late answer"
    );
    assert!(!leaves(&view));
}

/// What may become known of one replica.
#[derive(Debug, Clone)]
enum Event {
    Answer(u64),
    Entry(u64, bool),
    Overwritten,
    Removed,
    Passed(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (1..4u64).prop_map(Event::Answer),
        (1..4u64, proptest::bool::weighted(0.1))
            .prop_map(|(of, leaving)| Event::Entry(of, leaving)),
        Just(Event::Overwritten),
        Just(Event::Removed),
        (0..20_000u64).prop_map(Event::Passed),
    ];
    proptest::collection::vec(event, 0..40)
}

proptest! {
    /// Whatever order news come in, an incarnation that said in an answer that it leaves never counts as staying, and
    /// one that never said so, there or in its entry, is not counted as leaving while its entry can be read.
    #[test]
    fn a_word_holds_for_its_incarnation_and_for_no_other(events in events()) {
        let mut view = View::new(HEARTBEAT);
        let id = "i-1".into();
        let mut said: Option<u64> = None;
        let mut announced: Vec<u64> = Vec::new();
        let (mut revision, mut now, mut readable) = (1, 0, true);
        for event in events {
            revision += 1;
            match event {
                Event::Answer(of) => {
                    let current = view.get("i-1").map(|s| s.entry.incarnation);
                    let heard = view.record_departure(&id, Some(of), Origin::Answer, at(now));
                    let is_late = current.is_some_and(|known| known != Some(of));
                    prop_assert!(!(heard && is_late), "a late answer is news");
                    if !is_late {
                        // A replica runs one incarnation at a time: a later word is of a later one.
                        said = Some(of);
                    }
                }
                Event::Entry(of, leaving) => {
                    view.put(incarnation(of, revision, leaving), revision);
                    let seen = view.get("i-1").filter(|s| s.revision == revision);
                    // A late writing of an earlier incarnation does not replace what cannot be read.
                    let is_newest = seen.is_some_and(|s| s.entry.incarnation == Some(of));
                    readable |= is_newest;
                    if leaving && is_newest {
                        announced.push(of);
                    }
                }
                Event::Overwritten => {
                    view.mark_overwritten("i-1", revision);
                    readable = false;
                }
                Event::Removed => {
                    view.remove("i-1", revision, at(now));
                }
                Event::Passed(ms) => {
                    now += ms;
                    view.expire(at(now));
                }
            }
            if let Some(seen) = view.get("i-1") {
                let of = seen.entry.incarnation.unwrap();
                prop_assert!(
                    said != Some(of) || seen.entry.leaving,
                    "{of} said that it leaves and counts as staying"
                );
                if said != Some(of) && !announced.contains(&of) && readable {
                    prop_assert!(!seen.entry.leaving, "{of} never said so");
                }
            }
        }
    }
}
