//! Whether the store was away, or this host alone was cut off from it.

mod site;

use front::contact::{Ages, Contact};
use proptest::prelude::*;
use rstest::rstest;
use site::{HEARTBEAT, at};
use unit::{Span, Time};

/// Hears from the store each 400 ms, over a span of milliseconds.
fn hears(contact: &mut Contact, from: u64, until: u64) {
    for ms in (from..=until).step_by(400) {
        contact.answered(at(ms), at(ms));
    }
}

/// A host that heard from the store until 2 s and from 14 s on, as one that was cut off for twelve seconds.
fn cut_off() -> Contact {
    let mut contact = Contact::new(HEARTBEAT);
    hears(&mut contact, 0, 2_000);
    contact.failed();
    hears(&mut contact, 14_000, 14_000);
    contact
}

#[test]
fn a_host_without_others_takes_a_long_silence_for_an_outage() {
    let contact = cut_off();
    assert!(contact.may_reappear(at(14_100)));
    assert!(contact.may_reappear(at(15_900)));
    assert!(!contact.may_reappear(at(16_100)));
}

/// A host that heard from the store from one time to another, in milliseconds.
fn in_touch(from: u64, until: u64) -> Contact {
    let mut contact = Contact::new(HEARTBEAT);
    hears(&mut contact, from, until);
    contact
}

/// Takes in at a time what another host tells then.
fn tell(contact: &mut Contact, other: &Contact, ms: u64) {
    if let Some(word) = other.ages(at(ms)) {
        contact.merge(word, at(ms));
    }
}

/// The pattern of a cut of one host: whoever was in touch says so within some rounds of sums.
#[rstest]
#[case::before_the_return(13_600)]
#[case::after_the_return(14_400)]
fn what_vanished_while_this_host_alone_was_cut_off_does_not_return(#[case] told: u64) {
    let mut contact = cut_off();
    tell(&mut contact, &in_touch(0, told), told);
    assert!(!contact.may_reappear(at(told.max(14_000) + 100)));
}

#[test]
fn others_that_heard_nothing_either_settle_nothing() {
    let mut contact = cut_off();
    tell(&mut contact, &Contact::new(HEARTBEAT), 14_100);
    tell(&mut contact, &in_touch(13_600, 14_400), 14_400);
    assert_eq!(contact.since_recovery(at(14_500)), Some(Span::from_ms(900)));
}

#[test]
fn a_host_that_heard_of_the_store_only_before_settles_nothing() {
    let mut contact = cut_off();
    tell(&mut contact, &in_touch(0, 11_600), 14_100);
    assert!(
        contact.may_reappear(at(14_200)),
        "it hears nothing since 11.6 s"
    );
}

#[test]
fn runs_of_two_hosts_that_meet_are_one() {
    let mut contact = cut_off();
    tell(&mut contact, &in_touch(0, 8_000), 14_100);
    assert!(contact.may_reappear(at(14_200)));
    tell(&mut contact, &in_touch(7_000, 14_200), 14_200);
    assert!(!contact.may_reappear(at(14_300)));
}

/// An entry goes after three heartbeats that are missed, so that a shorter silence lapses none: a watch that
/// is cut with a history that is dropped.
#[rstest]
#[case::short(4_300, false)]
#[case::long(4_500, true)]
fn a_silence_of_less_than_two_heartbeats_is_no_outage(#[case] back: u64, #[case] outage: bool) {
    let mut contact = Contact::new(HEARTBEAT);
    hears(&mut contact, 0, 2_000);
    contact.failed();
    contact.answered(at(back), at(back));
    assert_eq!(contact.may_reappear(at(back + 10)), outage);
}

/// The store held the question all the time: it was there.
#[test]
fn a_watch_that_waited_is_no_silence() {
    let mut contact = Contact::new(HEARTBEAT);
    contact.answered(at(0), at(10));
    contact.answered(at(20), at(3_020));
    contact.answered(at(3_030), at(6_030));
    assert!(!contact.may_reappear(at(6_031)));
    assert_eq!(contact.since_recovery(at(6_031)), None);
}

#[test]
fn a_start_is_no_return() {
    let mut contact = Contact::new(HEARTBEAT);
    contact.failed();
    contact.answered(at(9_000), at(9_000));
    assert!(!contact.may_reappear(at(9_001)));
}

proptest! {
    /// Hosts that hear from the store at different times through one outage of it: none takes an entry that may
    /// still come back for gone, whatever they tell each other and however long that takes.
    #[test]
    fn after_an_outage_of_the_store_no_host_gives_a_replica_up_too_early(
        starts in proptest::collection::vec((0u64..400, 0u64..1_500), 2..6),
        outage in 2_500u64..20_000,
        delays in proptest::collection::vec(0u64..350, 40),
    ) {
        let end = 10_000 + outage;
        let hosts: Vec<Vec<Time>> = starts
            .iter()
            .map(|(phase, back)| {
                let before = (*phase..10_000).step_by(400);
                let after = (end + back..end + 6_000).step_by(400);
                before.chain(after).map(at).collect()
            })
            .collect();
        let mut contacts: Vec<Contact> = hosts.iter().map(|_| Contact::new(HEARTBEAT)).collect();
        let mut words: Vec<(Time, Option<Ages>)> = Vec::new();
        for ms in (0..end + 4_000).step_by(100) {
            let now = at(ms);
            for (contact, heard) in contacts.iter_mut().zip(&hosts) {
                for moment in heard.iter().filter(|t| **t <= now && now.since(**t) < Span::from_ms(100)) {
                    contact.answered(*moment, *moment);
                }
                for (_, word) in words.iter().filter(|(due, _)| *due <= now) {
                    if let Some(word) = word {
                        contact.merge(*word, now);
                    }
                }
                let answered = heard.iter().any(|t| *t >= at(end) && *t <= now);
                if answered && ms < end + 1_500 {
                    prop_assert!(contact.may_reappear(now), "at {ms}, the store was back at {end}");
                }
            }
            words.retain(|(due, _)| *due > now);
            for (at_host, contact) in contacts.iter().enumerate() {
                let delay = Span::from_ms(delays[(ms as usize / 100 + at_host) % delays.len()]);
                words.push((now + delay, contact.ages(now)));
            }
        }
    }
}
