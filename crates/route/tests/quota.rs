//! Account quotas over many hosts, simulated in virtual time with partitions, restarts, message loss and leader changes.
//! Guards against an account exceeding its limit in any window, and against refusals within the limit.

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::quota::{FALLBACK_DURATION, FALLBACK_FRACTION, Limit, Limiter, Share, Tolerance, Units};
use rstest::rstest;
use std::collections::VecDeque;
use unit::{Name, Span, Time};

const TOLERANCE: Tolerance = Tolerance {
    window: Span::from_secs(8),
    overage: 0.1,
    slack: 11_000.0,
};

/// Time without a heartbeat after which the limiter reserves the share of a host.
const HEARTBEAT_TIMEOUT_S: f64 = 0.7;

/// Time without a limiter after a failure, in ms: lease and election.
const FAILOVER_MS: (u64, u64) = (3_000, 4_500);

/// Length and step of a simulation.
const LENGTH_MS: u64 = 40_000;
const STEP_MS: u64 = 5;

/// Time from which refusals count, since a limiter starts with empty buckets.
const WARM_UP_MS: u64 = 5_000;

/// Injected faults.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Fraction of the hosts that are partitioned from the limiter at a random time.
    partitioned: f64,
    partition_ms: u64,
    /// Fraction of lost requests to the limiter, and of lost answers.
    loss: f64,
    /// Number of limiter failures.
    failovers: u32,
    /// Number of host restarts.
    restarts: u32,
    /// Fraction of admitted requests that do not run and are refunded.
    refused: f64,
    /// Factor on the limit in the second half; 0 for no change.
    lowered: f64,
}

/// Traffic of an account.
#[derive(Debug, Clone, Copy)]
struct Load {
    rate: f64,
    /// Burst, in seconds of the rate.
    burst_s: f64,
    hosts: usize,
    /// Demand as a multiple of the rate in the first and second half.
    demand: (f64, f64),
}

struct Host {
    name: Name,
    share: Share,
    /// Weight of its share of the traffic.
    weight: f64,
    partitioned_until: u64,
}

/// Result of a simulation.
struct Outcome {
    /// Time and units of the requests that ran.
    ran: Vec<(u64, f64)>,
    requested: f64,
    refused: f64,
}

fn at(ms: u64) -> Time {
    Time(3_600_000_000) + Span::from_ms(ms)
}

/// Units that an account without alternatives asks for.
fn units<'a>(account: &'a Name, limit: Limit, host: &'a Name, count: f64) -> Units<'a, Name> {
    Units {
        subject: account,
        limit,
        host,
        count,
        reserved: 0.0,
        will_retry: true,
    }
}

fn simulate(load: Load, faults: Faults, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let account: Name = "mine".into();
    let mut hosts: Vec<Host> = (0..load.hosts)
        .map(|i| Host {
            name: format!("h{i}").into(),
            share: Share::new(TOLERANCE),
            weight: rng.random_range(0.1f64..1.0).powi(3),
            partitioned_until: 0,
        })
        .collect();
    let weights: f64 = hosts.iter().map(|h| h.weight).sum();
    let mut random_times = |count: u32| -> Vec<u64> {
        (0..count)
            .map(|_| rng.random_range(2_000..LENGTH_MS - 8_000))
            .collect()
    };
    let (failovers, restarts) = (
        random_times(faults.failovers),
        random_times(faults.restarts),
    );
    let partition_at = random_times(1)[0];
    let mut limiter = Some(Limiter::new(TOLERANCE, at(0)));
    let mut recovers_at = 0;
    let mut outcome = Outcome {
        ran: Vec::new(),
        requested: 0.0,
        refused: 0.0,
    };
    // Pending refunds: due time, host, units, time of the grant.
    let mut refunds: VecDeque<(u64, usize, f64, u64)> = VecDeque::new();
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = at(ms);
        let happens = |times: &[u64]| times.iter().any(|m| (ms..ms + STEP_MS).contains(m));
        if happens(&failovers) {
            limiter = None;
            recovers_at = ms + rng.random_range(FAILOVER_MS.0..FAILOVER_MS.1);
        }
        if limiter.is_none() && ms >= recovers_at {
            limiter = Some(Limiter::new(TOLERANCE, now));
        }
        if happens(&[partition_at]) {
            for host in hosts.iter_mut() {
                if rng.random_bool(faults.partitioned) {
                    host.partitioned_until = ms + faults.partition_ms;
                }
            }
        }
        if happens(&restarts) {
            let index = rng.random_range(0..hosts.len());
            hosts[index].share = Share::new(TOLERANCE);
        }
        let half = ms >= LENGTH_MS / 2;
        let factor = if half && faults.lowered > 0.0 {
            faults.lowered
        } else {
            1.0
        };
        let limit = Limit {
            rate: load.rate * factor,
            burst: load.rate * load.burst_s * factor,
        };
        while refunds.front().is_some_and(|(due, ..)| *due <= ms) {
            let (_, index, count, granted_at) = refunds.pop_front().unwrap();
            let host = &mut hosts[index];
            host.share.refund(count, at(granted_at));
            if let Some(limiter) = limiter.as_mut().filter(|_| ms >= host.partitioned_until) {
                let units = units(&account, limit, &host.name, count);
                limiter.refund(units, at(granted_at), now);
            }
        }
        let demand = if half { load.demand.1 } else { load.demand.0 };
        for (index, host) in hosts.iter_mut().enumerate() {
            let reaches = ms >= host.partitioned_until;
            // Hosts send several heartbeats per second.
            if let Some(limiter) = limiter.as_mut().filter(|_| reaches && ms % 150 == 0) {
                limiter.record_heartbeat(&host.name, now);
            }
            let units_a_step = demand * load.rate * host.weight / weights * STEP_MS as f64 / 1e3;
            let count = rng.random_range(400.0..2_900.0);
            if !rng.random_bool((units_a_step / count).min(1.0)) {
                continue;
            }
            let counted = if ms >= WARM_UP_MS { count } else { 0.0 };
            outcome.requested += counted;
            let units = units(&account, limit, &host.name, count);
            let unreported = host.share.unreported();
            let arrives = reaches && !rng.random_bool(faults.loss);
            let answer = limiter.as_mut().filter(|_| arrives).map(|limiter| {
                limiter.record_local_use(
                    Units {
                        count: unreported,
                        ..units
                    },
                    now,
                );
                limiter.acquire(units, now)
            });
            let answer = answer.filter(|_| !rng.random_bool(faults.loss));
            let runs = match answer {
                Some(answer) => {
                    host.share.record_answer(now, unreported);
                    if let Ok(usage) = answer {
                        host.share.record_grant(count, usage, now);
                    }
                    answer.is_ok()
                }
                None => host.share.acquire_local(limit, count, now).is_ok(),
            };
            match runs {
                true if answer.is_some() && rng.random_bool(faults.refused) => {
                    let due = ms + rng.random_range(5..450);
                    let position = refunds.partition_point(|(other, ..)| *other <= due);
                    refunds.insert(position, (due, index, count, ms));
                }
                true => outcome.ran.push((ms, count)),
                false => outcome.refused += counted,
            }
        }
    }
    outcome
}

/// Maximum units in any window between `from` and `until`.
fn max_in_any_window(ran: &[(u64, f64)], from: u64, until: u64) -> f64 {
    let window = TOLERANCE.window.ms() as u64;
    let (mut first, mut sum, mut max) = (0, 0.0, 0.0f64);
    let within: Vec<_> = ran
        .iter()
        .filter(|(ms, _)| (from..until).contains(ms))
        .collect();
    for (ms, count) in within.iter().copied() {
        sum += count;
        while within[first].0 + window <= *ms {
            sum -= within[first].1;
            first += 1;
        }
        max = max.max(sum);
    }
    max
}

fn allowed(load: Load, factor: f64) -> f64 {
    let window = load.rate * factor * TOLERANCE.window.secs();
    let limit = window + load.rate * factor * load.burst_s;
    limit * (1.0 + TOLERANCE.overage) + TOLERANCE.slack
}

fn check_limits(load: Load, faults: Faults, seed: u64) -> Result<(), String> {
    let outcome = simulate(load, faults, seed);
    let max = max_in_any_window(&outcome.ran, 0, LENGTH_MS);
    if max > allowed(load, 1.0) {
        return Err(format!(
            "{max} units in a window, allowed {}",
            allowed(load, 1.0)
        ));
    }
    if faults.lowered > 0.0 {
        // A lower limit is enforced one window after it takes effect.
        let from = LENGTH_MS / 2 + TOLERANCE.window.ms() as u64;
        let max = max_in_any_window(&outcome.ran, from, LENGTH_MS);
        let allowed = allowed(load, faults.lowered);
        if max > allowed {
            return Err(format!(
                "{max} units in a window after the limit was lowered, allowed {allowed}"
            ));
        }
    }
    Ok(())
}

prop_compose! {
    fn load()(
        rate in 2_700.0f64..180_000.0,
        burst_s in prop_oneof![Just(1.0), 0.2f64..4.0],
        hosts in 1usize..40,
        before in 0.2f64..7.5,
        after in 0.2f64..7.5,
    ) -> Load {
        Load { rate, burst_s, hosts, demand: (before, after) }
    }
}

prop_compose! {
    fn faults()(
        partitioned in 0.0f64..0.6,
        partition_ms in 500u64..14_000,
        loss in prop_oneof![Just(0.0), 0.0f64..0.5],
        failovers in 0u32..3,
        restarts in 0u32..6,
        refused in prop_oneof![Just(0.0), 0.0f64..0.4],
        lowered in prop_oneof![Just(0.0), 0.2f64..1.0],
    ) -> Faults {
        Faults { partitioned, partition_ms, loss, failovers, restarts, refused, lowered }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_window_exceeds_the_limit_under_faults(
        load in load(),
        faults in faults(),
        seed in any::<u64>(),
    ) {
        prop_assert_eq!(check_limits(load, faults, seed), Ok(()));
    }
}

/// Two hosts lose contact with the limiter at once and nothing reaches it until they return.
#[test]
fn no_window_exceeds_the_limit_when_all_hosts_were_silent() {
    let load = Load {
        rate: 48943.16902126113,
        burst_s: 3.896170829510129,
        hosts: 2,
        demand: (0.8923531180935041, 5.178267664503668),
    };
    let faults = Faults {
        partitioned: 0.5403364525625345,
        partition_ms: 2_781,
        restarts: 2,
        refused: 0.2945664175663433,
        ..Faults::default()
    };
    assert_eq!(check_limits(load, faults, 8475697367072347884), Ok(()));
}

/// What a silent host may use from its share is reserved, whenever the limiter is asked next.
#[rstest]
#[case::still_silent(3_500, false)]
#[case::returned(3_500, true)]
#[case::share_ended(9_000, false)]
#[case::returned_after_its_share_ended(9_000, true)]
#[case::evicted(20_000, false)]
#[case::returned_after_its_eviction(20_000, true)]
fn the_share_of_a_silent_host_is_reserved(#[case] silence_ms: u64, #[case] returns: bool) {
    let (account, host, other): (Name, Name, Name) = ("mine".into(), "h".into(), "other".into());
    let limit = Limit {
        rate: 10_000.0,
        burst: 1_000_000.0,
    };
    let mut limiter = Limiter::new(TOLERANCE, at(0));
    let mut available_at = |host: &Name, count: f64, ms: u64| {
        let units = units(&account, limit, host, count);
        limiter.acquire(units, at(ms)).unwrap().available
    };
    let asks_at = 20_000;
    let before = available_at(&host, 1_000.0, asks_at);
    let asked_by = if returns { &host } else { &other };
    let after = available_at(asked_by, 0.0, asks_at + silence_ms);
    let silent_s = (silence_ms as f64 / 1e3 - HEARTBEAT_TIMEOUT_S).min(FALLBACK_DURATION.secs());
    let accrued_s = silence_ms as f64 / 1e3 - silent_s * FALLBACK_FRACTION;
    let accrued = after - before;
    assert!(
        (accrued - accrued_s * limit.rate).abs() < 1.0,
        "{accrued} units accrued, due are {accrued_s} seconds of the rate"
    );
}

/// The reserve of a new limiter for hosts that it does not know yet ends with their shares, even if it is first asked
/// later.
#[rstest]
#[case::during(3_000)]
#[case::after(8_000)]
fn a_new_limiter_reserves_shares_of_unknown_hosts(#[case] asked_ms: u64) {
    let (account, host): (Name, Name) = ("mine".into(), "h".into());
    let units = units(
        &account,
        Limit {
            rate: 10_000.0,
            burst: 1_000_000.0,
        },
        &host,
        0.0,
    );
    let asked = |times: &[u64]| {
        let mut limiter = Limiter::new(TOLERANCE, at(0));
        let answers = times.iter().map(|ms| limiter.acquire(units, at(*ms)));
        answers.last().unwrap().unwrap().available
    };
    let often: Vec<u64> = (1..=asked_ms / 10).map(|step| step * 10).collect();
    let difference = asked(&[asked_ms]) - asked(&often);
    assert!(
        difference.abs() < 100.0,
        "{difference} units more if it is asked once"
    );
}

/// Without faults, an account at 0.6 of its rate is refused at most 1% of its units; 3.5% for the smallest account, which
/// sends only one or two requests per second.
#[rstest]
#[case::smallest(2_700.0, 0.035)]
#[case::usual(22_000.0, 0.01)]
#[case::large(175_000.0, 0.01)]
fn an_account_within_its_limit_is_not_refused(#[case] rate: f64, #[case] max: f64) {
    let load = Load {
        rate,
        burst_s: 1.0,
        hosts: 20,
        demand: (0.6, 0.6),
    };
    let outcomes = (0..50).map(|seed| simulate(load, Faults::default(), seed));
    let (refused, requested) = outcomes.fold((0.0, 0.0), |(refused, requested), outcome| {
        (refused + outcome.refused, requested + outcome.requested)
    });
    assert!(
        refused <= requested * max,
        "{refused} of {requested} units refused"
    );
}

/// An account that sends 4.2 times its limit gets the full limit.
#[test]
fn an_account_over_its_limit_gets_its_limit() {
    let load = Load {
        rate: 100_000.0,
        burst_s: 1.0,
        hosts: 30,
        demand: (4.2, 4.2),
    };
    let outcome = simulate(load, Faults::default(), 7);
    let ran: f64 = outcome.ran.iter().map(|(_, count)| count).sum();
    let due = load.rate * LENGTH_MS as f64 / 1e3;
    assert!(
        ran > due * 0.98 && ran < due * 1.05,
        "{ran} units ran, limit {due}"
    );
}

/// Hosts partitioned from the limiter for 4 s keep serving from their shares.
#[test]
fn partitioned_hosts_use_their_shares() {
    let load = Load {
        rate: 100_000.0,
        burst_s: 1.0,
        hosts: 30,
        demand: (0.55, 0.55),
    };
    let partitioned = Faults {
        partitioned: 0.33,
        partition_ms: 4_000,
        ..Faults::default()
    };
    let outcome = simulate(load, partitioned, 3);
    let fraction = outcome.refused / outcome.requested;
    assert!(fraction < 0.02, "fraction {fraction} refused");
}

/// Between the failure of a limiter and its successor, most requests are admitted from shares.
#[test]
fn shares_bridge_a_limiter_failover() {
    let load = Load {
        rate: 100_000.0,
        burst_s: 1.0,
        hosts: 30,
        demand: (0.55, 0.55),
    };
    let failover = Faults {
        failovers: 1,
        ..Faults::default()
    };
    let outcome = simulate(load, failover, 5);
    let fraction = outcome.refused / outcome.requested;
    assert!(fraction < 0.03, "fraction {fraction} refused");
}

/// A restarted host has no share; otherwise each restart would give it another burst.
#[test]
fn a_restarted_host_has_no_share() {
    let mut share = Share::new(TOLERANCE);
    let limit = Limit {
        rate: 1e6,
        burst: 1e6,
    };
    assert_eq!(share.acquire_local(limit, 1.0, at(0)), Err(None));
}

/// A request larger than the limit of a whole window is refused without blocking the account.
#[test]
fn an_oversized_request_consumes_nothing() {
    let (account, host): (Name, Name) = ("mine".into(), "h".into());
    let limit = Limit {
        rate: 10_000.0,
        burst: 10_000.0,
    };
    let units = |count| units(&account, limit, &host, count);
    let mut limiter = Limiter::new(TOLERANCE, at(0));
    assert!(limiter.acquire(units(1e19), at(10_000)).is_err());
    assert!(limiter.acquire(units(1_600.0), at(10_000)).is_ok());
}

/// A refused request is admitted after the `retry_after` that was returned.
#[test]
fn retry_after_is_accurate() {
    let (account, host): (Name, Name) = ("mine".into(), "h".into());
    let limit = Limit {
        rate: 10_000.0,
        burst: 10_000.0,
    };
    let units = units(&account, limit, &host, 5_000.0);
    let mut limiter = Limiter::new(
        Tolerance {
            slack: 0.0,
            ..TOLERANCE
        },
        at(0),
    );
    limiter.acquire(units, at(0)).unwrap_err();
    let wait = limiter.acquire(units, at(400)).unwrap_err().retry_after;
    let retry_at = at(400) + wait;
    assert!(
        limiter.acquire(units, retry_at).is_ok(),
        "retry_after was {wait}"
    );
}
