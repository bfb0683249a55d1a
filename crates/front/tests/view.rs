//! The view never applies older updates, and does not take an outage of the store for removals.

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
        sequence: beat,
        ..site::entry("i-1")
    }
}

#[test]
fn older_updates_are_ignored() {
    let mut view = View::new(HEARTBEAT);
    assert_eq!(
        view.put(entry(5, false), 10),
        Some(Update::Added("i-1".into()))
    );
    assert_eq!(view.put(entry(6, true), 9), None, "an older revision");
    assert_eq!(
        view.put(entry(4, true), 11),
        None,
        "a stale entry at a newer revision"
    );
    assert!(!view.get("i-1").unwrap().entry.leaving);
}

#[test]
fn leaving_is_not_revoked() {
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
fn a_restarted_replica_is_not_leaving() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 50, true), 10);
    let restarted = Some(Update::Restarted("i-1".into()));
    assert_eq!(view.put(incarnation(2_000, 1, false), 11), restarted);
    assert!(!view.get("i-1").unwrap().entry.leaving);
    let leaves = Some(Update::Leaving("i-1".into()));
    assert_eq!(view.put(incarnation(2_000, 2, true), 12), leaves);
}

#[test]
fn a_late_entry_of_an_earlier_incarnation_is_ignored() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 50, false), 10);
    view.put(incarnation(2_000, 2, true), 11);
    assert_eq!(view.put(incarnation(1_000, 51, false), 12), None);
    let replica = &view.get("i-1").unwrap().entry;
    assert_eq!((replica.incarnation, replica.leaving), (Some(2_000), true));
}

/// Guards against an incarnation that is ignored because the replica's clock was set back before
/// its start.
#[test]
fn an_unknown_earlier_start_is_a_new_incarnation() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(5_000, 50, false), 10);
    let restarted = Some(Update::Restarted("i-1".into()));
    assert_eq!(view.put(incarnation(3_000, 1, true), 11), restarted);
    assert!(view.get("i-1").unwrap().entry.leaving);
}

#[test]
fn a_removal_applies_while_the_store_is_reachable() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    assert_eq!(
        view.remove("i-1", 11, at(0)),
        Some(Update::Removed("i-1".into()))
    );
    assert_eq!(
        view.put(entry(1, false), 10),
        None,
        "an older update restores nothing"
    );
    assert!(view.get("i-1").is_none());
}

#[test]
fn an_entry_that_lapses_in_an_outage_is_kept_until_the_store_returns() {
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
fn an_entry_that_reappears_in_time_was_never_removed() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    view.contact.answered(at(0), at(0));
    view.contact.failed();
    view.remove("i-1", 11, at(100));
    view.contact.answered(at(5_000), at(5_000));
    view.put(entry(2, false), 12);
    assert!(view.expire(at(9_000)).is_empty());
    assert_eq!(view.get("i-1").unwrap().missing_since, None);
}

#[rstest]
#[case::absent(&[], true)]
#[case::present(&["i-1"], false)]
fn a_full_listing_removes_absent_replicas(#[case] present: &[&str], #[case] is_removed: bool) {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 10);
    let present: Vec<_> = present.iter().map(|p| (*p).into()).collect();
    let updates = view.reconcile(&present, 20, at(0));
    assert_eq!(!updates.is_empty(), is_removed);
}

#[test]
fn a_listing_older_than_an_entry_does_not_remove_it() {
    let mut view = View::new(HEARTBEAT);
    view.put(entry(1, false), 21);
    assert!(view.reconcile(&[], 20, at(0)).is_empty());
}

/// Guards against a departure that is forgotten when the entry lapses and returns, is overwritten,
/// or does not show it.
#[test]
fn a_departure_outlives_the_entry() {
    let mut view = View::new(HEARTBEAT);
    let id = "i-1".into();
    view.put(incarnation(7, 1, false), 10);
    assert!(view.record_departure(&id, Some(7), Origin::Answer, at(0)));
    assert!(
        !view.record_departure(&id, Some(7), Origin::Answer, at(1)),
        "it is known already"
    );
    let leaves = |view: &View| view.get("i-1").unwrap().entry.leaving;
    assert!(leaves(&view));
    view.put(incarnation(7, 2, false), 11);
    assert!(leaves(&view), "its entry does not show the departure");
    view.mark_overwritten("i-1", 12);
    view.put(incarnation(7, 3, false), 13);
    assert!(leaves(&view), "its entry was overwritten for a while");
    view.remove("i-1", 14, at(2));
    view.expire(at(60_000));
    assert!(view.get("i-1").is_none());
    view.put(incarnation(7, 4, false), 15);
    assert!(leaves(&view), "its entry was missing for a while");
    view.put(incarnation(8, 1, false), 16);
    assert!(!leaves(&view), "this is another incarnation");
    assert!(
        !view.record_departure(&id, Some(7), Origin::Answer, at(3)),
        "a late answer"
    );
    assert!(!leaves(&view));
}

/// Update about one replica.
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
    /// In any order of updates, an incarnation that announced its departure is always leaving, and
    /// one that did not, in an answer or in its entry, is not leaving while its entry is valid.
    #[test]
    fn a_departure_applies_to_its_incarnation_only(events in events()) {
        let mut view = View::new(HEARTBEAT);
        let id = "i-1".into();
        let mut departed: Option<u64> = None;
        let mut announced: Vec<u64> = Vec::new();
        let (mut revision, mut now, mut is_valid) = (1, 0, true);
        for event in events {
            revision += 1;
            match event {
                Event::Answer(of) => {
                    let current = view.get("i-1").map(|s| s.entry.incarnation);
                    let is_new = view.record_departure(&id, Some(of), Origin::Answer, at(now));
                    let is_late = current.is_some_and(|known| known != Some(of));
                    prop_assert!(!(is_new && is_late), "a late answer counts as new");
                    if !is_late {
                        // A replica runs one incarnation at a time: a later announcement is from a
                        // later one.
                        departed = Some(of);
                    }
                }
                Event::Entry(of, leaving) => {
                    view.put(incarnation(of, revision, leaving), revision);
                    let replica = view.get("i-1").filter(|s| s.revision == revision);
                    // A stale entry does not replace an invalid one.
                    let is_newest = replica.is_some_and(|s| s.entry.incarnation == Some(of));
                    is_valid |= is_newest;
                    if leaving && is_newest {
                        announced.push(of);
                    }
                }
                Event::Overwritten => {
                    view.mark_overwritten("i-1", revision);
                    is_valid = false;
                }
                Event::Removed => {
                    view.remove("i-1", revision, at(now));
                }
                Event::Passed(ms) => {
                    now += ms;
                    view.expire(at(now));
                }
            }
            if let Some(replica) = view.get("i-1") {
                let of = replica.entry.incarnation.unwrap();
                prop_assert!(
                    departed != Some(of) || replica.entry.leaving,
                    "{of} announced its departure and is not leaving"
                );
                if departed != Some(of) && !announced.contains(&of) && is_valid {
                    prop_assert!(!replica.entry.leaving, "{of} never announced a departure");
                }
            }
        }
    }
}

/// Guards against all hosts of a large fleet telling a new leader what stands in the store; those that read for others do.
#[test]
fn a_departure_in_an_entry_is_told_by_few() {
    let mut view = View::new(HEARTBEAT);
    let (told, answered): (unit::Name, unit::Name) = ("i-1".into(), "i-2".into());
    for id in [&told, &answered] {
        view.put(
            Entry {
                id: id.clone(),
                ..entry(1, true)
            },
            10,
        );
    }
    view.record_departure(&told, None, Origin::Leader, at(0));
    view.record_departure(&answered, None, Origin::Answer, at(0));
    assert_eq!(view.departures(false).len(), 2);
    for id in [&told, &answered] {
        assert!(!view.record_departure(id, None, Origin::Entry, at(1)));
    }
    assert_eq!(view.departures(false), [(answered.clone(), None)]);
    assert_eq!(view.departures(true).len(), 2);
    assert_eq!(view.take_unannounced_departures(false), [(answered, None)]);
}

/// Revision of the store after it has come back from a copy so many times.
fn in_era(era: u64, revision: u64) -> u64 {
    (era << 40) + revision
}

/// Guards against an entry of the past, which a store holds after it has come back from a copy: of the same incarnation, or of
/// one before that this host has not seen.
#[rstest]
#[case::of_the_same_incarnation(2_000, 6)]
#[case::of_an_earlier_incarnation(1_000, 90)]
fn an_entry_from_a_copy_does_not_go_back(#[case] started: u64, #[case] beat: u64) {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(2_000, 7, true), in_era(1, 50));
    assert_eq!(
        view.put(incarnation(started, beat, false), in_era(2, 20)),
        None
    );
    let replica = &view.get("i-1").unwrap().entry;
    assert_eq!((replica.incarnation, replica.leaving), (Some(2_000), true));
    let restarted = view.put(incarnation(3_000, 1, false), in_era(2, 22));
    assert_eq!(restarted, Some(Update::Restarted("i-1".into())));
}

/// Guards against a replica that has gone and is used again since a copy lists it, and against one that lives and is never
/// used again.
#[rstest]
#[case::it_has_gone(false)]
#[case::it_writes(true)]
fn a_removed_replica_returns_from_a_copy_only_if_it_lives(#[case] writes: bool) {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 7, false), in_era(1, 50));
    view.remove("i-1", in_era(1, 51), at(0));
    assert_eq!(view.put(incarnation(1_000, 6, false), in_era(2, 20)), None);
    assert_eq!(view.expire(at(100)), []);
    let added = Some(Update::Added("i-1".into()));
    if writes {
        assert_eq!(view.put(incarnation(1_000, 8, false), in_era(2, 30)), added);
        return;
    }
    assert_eq!(view.remove("i-1", in_era(2, 31), at(3_000)), None);
    assert_eq!(view.expire(at(10_000)), []);
    assert!(view.get("i-1").is_none());
}

/// Guards against a replica that lives without a change of its entry, and is never used again after a copy.
#[test]
fn a_removed_replica_that_stays_listed_is_used_again() {
    let mut view = View::new(HEARTBEAT);
    view.put(incarnation(1_000, 7, false), in_era(1, 50));
    view.remove("i-1", in_era(1, 51), at(0));
    view.put(incarnation(1_000, 6, false), in_era(2, 20));
    assert_eq!(view.expire(at(100)), []);
    assert_eq!(view.expire(at(3_000)), []);
    assert_eq!(view.expire(at(6_000)), [Update::Added("i-1".into())]);
}
