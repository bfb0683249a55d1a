//! Backoff from a replica and the ramp-up afterwards.

use proptest::prelude::*;
use route::backoff::Backoff;
use unit::{Span, Time};

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(ms)
}

#[test]
fn ramp_up_allows_one_then_two_then_four_requests() {
    let mut backoff = Backoff::new(Span::from_ms(1_000), at(0));
    assert_eq!(backoff.wait(at(400)), Some(Span::from_ms(600)));
    let mut sent = Vec::new();
    for ms in (1_000..2_000).step_by(10) {
        while backoff.wait(at(ms)).is_none() && !backoff.is_over(at(ms)) {
            backoff.record_sent(at(ms));
            sent.push(ms);
        }
    }
    assert_eq!(sent, [1_000, 1_300, 1_300, 1_600, 1_600, 1_600, 1_600]);
    assert!(backoff.is_over(at(1_900)));
}

#[test]
fn waits_account_for_queued_requests() {
    let mut backoff = Backoff::new(Span::from_ms(1_000), at(0));
    let waits = [1_000, 1_300, 1_300, 1_600, 1_600, 1_600, 1_600, 1_900];
    for wait in waits {
        assert_eq!(backoff.wait(at(0)), Some(Span::from_ms(wait)));
        backoff.count_waiting(true);
    }
    for _ in waits {
        backoff.count_waiting(false);
    }
    assert_eq!(backoff.wait(at(0)), Some(Span::from_ms(1_000)));
}

proptest! {
    /// No request is sent before any requested backoff ends, and requests resume soon after the last one.
    #[test]
    fn nothing_is_sent_during_backoff(
        steps in proptest::collection::vec((0u64..900, 0u64..4_000, any::<bool>()), 1..40),
    ) {
        let mut now = 0;
        let mut backoff: Option<Backoff> = None;
        let mut ends = Vec::new();
        for (elapsed, duration, extends) in steps {
            now += elapsed;
            if extends {
                let duration = Span::from_ms(duration);
                match &mut backoff {
                    Some(backoff) => backoff.extend(duration, at(now)),
                    None => backoff = Some(Backoff::new(duration, at(now))),
                }
                ends.push(at(now) + duration);
            }
            let last = ends.iter().max().copied().unwrap_or(Time(0));
            if let Some(backoff) = &mut backoff {
                let may_send = backoff.wait(at(now)).is_none();
                prop_assert!(!may_send || at(now) >= last, "sent during backoff");
                prop_assert!(may_send || at(now) < last + Span::from_ms(900) || extends);
                if may_send {
                    backoff.record_sent(at(now));
                }
            }
        }
    }
}
