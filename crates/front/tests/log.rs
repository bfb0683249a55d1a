//! Limits on the volume of logs.

use front::log::{self, Topic};
use std::cell::Cell;

/// Guards against losing the planner's lines when thousands of replicas are listed at once.
#[test]
fn each_topic_has_a_limit_of_its_own() {
    let log = log::open(1);
    let logged = |topic, lines: usize| {
        let count = Cell::new(0);
        for _ in 0..lines {
            log.rate_limited_by(topic, || count.set(count.get() + 1));
        }
        count.get()
    };
    assert!(logged(Topic::Replicas, 4_000) < 1_000);
    assert_eq!(logged(Topic::Planner, 50), 50);
    assert_eq!(logged(Topic::General, 50), 50);
}
