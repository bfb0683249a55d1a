//! Telling a store outage from a partition of this host alone.

mod site;

use front::contact::{Ages, Contact};
use proptest::prelude::*;
use rstest::rstest;
use site::{HEARTBEAT, at};
use unit::{Span, Time};

/// Records an answer of the store every 400 ms over a range of milliseconds.
fn record_answers(contact: &mut Contact, from: u64, until: u64) {
    for ms in (from..=until).step_by(400) {
        contact.answered(at(ms), at(ms));
    }
}

/// Contact of a host that heard from the store until 2 s and from 14 s on.
fn partitioned() -> Contact {
    let mut contact = Contact::new(HEARTBEAT);
    record_answers(&mut contact, 0, 2_000);
    contact.failed();
    record_answers(&mut contact, 14_000, 14_000);
    contact
}

#[test]
fn long_silence_without_other_hosts_counts_as_outage() {
    let contact = partitioned();
    assert!(contact.may_reappear(at(14_100)));
    assert!(contact.may_reappear(at(15_900)));
    assert!(!contact.may_reappear(at(16_100)));
}

/// Contact of a host that heard from the store over a range of milliseconds.
fn connected(from: u64, until: u64) -> Contact {
    let mut contact = Contact::new(HEARTBEAT);
    record_answers(&mut contact, from, until);
    contact
}

/// Merges another host's uptime as of `ms`.
fn report(contact: &mut Contact, other: &Contact, ms: u64) {
    if let Some(ages) = other.ages(at(ms)) {
        contact.merge(ages, at(ms));
    }
}

/// Hosts that stayed in contact report so within a few rounds, before or after this host's return.
#[rstest]
#[case::before_recovery(13_600)]
#[case::after_recovery(14_400)]
fn entries_that_vanish_while_only_this_host_is_cut_off_are_gone(#[case] reported: u64) {
    let mut contact = partitioned();
    report(&mut contact, &connected(0, reported), reported);
    assert!(!contact.may_reappear(at(reported.max(14_000) + 100)));
}

#[test]
fn hosts_that_were_cut_off_too_prove_no_uptime() {
    let mut contact = partitioned();
    report(&mut contact, &Contact::new(HEARTBEAT), 14_100);
    report(&mut contact, &connected(13_600, 14_400), 14_400);
    assert_eq!(contact.since_recovery(at(14_500)), Some(Span::from_ms(900)));
}

#[test]
fn uptime_that_ended_before_the_recovery_proves_nothing() {
    let mut contact = partitioned();
    report(&mut contact, &connected(0, 11_600), 14_100);
    assert!(contact.may_reappear(at(14_200)), "no contact since 11.6 s");
}

#[test]
fn overlapping_uptimes_of_two_hosts_are_joined() {
    let mut contact = partitioned();
    report(&mut contact, &connected(0, 8_000), 14_100);
    assert!(contact.may_reappear(at(14_200)));
    report(&mut contact, &connected(7_000, 14_200), 14_200);
    assert!(!contact.may_reappear(at(14_300)));
}

/// An entry lapses after three missed heartbeats, so a shorter silence, as after a compacted watch,
/// lapses none.
#[rstest]
#[case::short(4_300, false)]
#[case::long(4_500, true)]
fn silence_shorter_than_two_heartbeats_is_no_outage(#[case] recovery: u64, #[case] outage: bool) {
    let mut contact = Contact::new(HEARTBEAT);
    record_answers(&mut contact, 0, 2_000);
    contact.failed();
    contact.answered(at(recovery), at(recovery));
    assert_eq!(contact.may_reappear(at(recovery + 10)), outage);
}

/// The store held the watch open the whole time: it was up.
#[test]
fn idle_watch_is_no_silence() {
    let mut contact = Contact::new(HEARTBEAT);
    contact.answered(at(0), at(10));
    contact.answered(at(20), at(3_020));
    contact.answered(at(3_030), at(6_030));
    assert!(!contact.may_reappear(at(6_031)));
    assert_eq!(contact.since_recovery(at(6_031)), None);
}

#[test]
fn first_contact_is_no_recovery() {
    let mut contact = Contact::new(HEARTBEAT);
    contact.failed();
    contact.answered(at(9_000), at(9_000));
    assert!(!contact.may_reappear(at(9_001)));
}

proptest! {
    /// Hosts that hear from the store at different times around an outage must not take an entry
    /// for gone that may still reappear, whatever they report to each other and with whatever
    /// delay.
    #[test]
    fn no_host_drops_replicas_too_early_after_a_store_outage(
        starts in proptest::collection::vec((0u64..400, 0u64..1_500), 2..6),
        outage in 2_500u64..20_000,
        delays in proptest::collection::vec(0u64..350, 40),
    ) {
        let end = 10_000 + outage;
        let answers: Vec<Vec<Time>> = starts
            .iter()
            .map(|(phase, recovery_delay)| {
                let before = (*phase..10_000).step_by(400);
                let after = (end + recovery_delay..end + 6_000).step_by(400);
                before.chain(after).map(at).collect()
            })
            .collect();
        let mut contacts: Vec<Contact> = answers.iter().map(|_| Contact::new(HEARTBEAT)).collect();
        let mut reports: Vec<(Time, Option<Ages>)> = Vec::new();
        for ms in (0..end + 4_000).step_by(100) {
            let now = at(ms);
            for (contact, own_answers) in contacts.iter_mut().zip(&answers) {
                for answer in own_answers.iter().filter(|t| **t <= now && now.since(**t) < Span::from_ms(100)) {
                    contact.answered(*answer, *answer);
                }
                for (_, ages) in reports.iter().filter(|(due, _)| *due <= now) {
                    if let Some(ages) = ages {
                        contact.merge(*ages, now);
                    }
                }
                let has_answer = own_answers.iter().any(|t| *t >= at(end) && *t <= now);
                if has_answer && ms < end + 1_500 {
                    prop_assert!(contact.may_reappear(now), "at {ms}, the store was back at {end}");
                }
            }
            reports.retain(|(due, _)| *due > now);
            for (host, contact) in contacts.iter().enumerate() {
                let delay = Span::from_ms(delays[(ms as usize / 100 + host) % delays.len()]);
                reports.push((now + delay, contact.ages(now)));
            }
        }
    }
}
