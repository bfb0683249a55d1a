//! Rests that a replica asks one host for, and the return after them.

use proptest::prelude::*;
use route::backoff::Backoff;
use unit::{Span, Time};

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(ms)
}

#[test]
fn the_return_is_one_then_two_then_four_requests() {
    let mut rest = Backoff::new(Span::from_ms(1_000), at(0));
    assert_eq!(rest.wait(at(400)), Some(Span::from_ms(600)));
    let mut sent = Vec::new();
    for ms in (1_000..2_000).step_by(10) {
        while rest.wait(at(ms)).is_none() && !rest.is_over(at(ms)) {
            rest.record_sent(at(ms));
            sent.push(ms);
        }
    }
    assert_eq!(sent, [1_000, 1_300, 1_300, 1_600, 1_600, 1_600, 1_600]);
    assert!(rest.is_over(at(1_900)));
}

#[test]
fn those_that_wait_have_their_turns_one_behind_the_other() {
    let mut rest = Backoff::new(Span::from_ms(1_000), at(0));
    let turns = [1_000, 1_300, 1_300, 1_600, 1_600, 1_600, 1_600, 1_900];
    for turn in turns {
        assert_eq!(rest.wait(at(0)), Some(Span::from_ms(turn)));
        rest.count_waiting(true);
    }
    for _ in turns {
        rest.count_waiting(false);
    }
    assert_eq!(rest.wait(at(0)), Some(Span::from_ms(1_000)));
}

proptest! {
    /// Whatever a replica asks for, nothing is sent within any of the times, and it is used again soon after the last.
    #[test]
    fn nothing_is_sent_within_a_rest(
        steps in proptest::collection::vec((0u64..900, 0u64..4_000, any::<bool>()), 1..40),
    ) {
        let mut now = 0;
        let mut rest: Option<Backoff> = None;
        let mut ends = Vec::new();
        for (passed, time, asks) in steps {
            now += passed;
            if asks {
                let time = Span::from_ms(time);
                match &mut rest {
                    Some(rest) => rest.extend(time, at(now)),
                    None => rest = Some(Backoff::new(time, at(now))),
                }
                ends.push(at(now) + time);
            }
            let last = ends.iter().max().copied().unwrap_or(Time(0));
            if let Some(rest) = &mut rest {
                let may_send = rest.wait(at(now)).is_none();
                prop_assert!(!may_send || at(now) >= last, "within a rest");
                prop_assert!(may_send || at(now) < last + Span::from_ms(900) || asks);
                if may_send {
                    rest.record_sent(at(now));
                }
            }
        }
    }
}
