//! Limits that replicas name, over all hosts, played in virtual time: hosts hear of a limit in answers and from each other,
//! begin, are cut off and stand still, while the host that gives out dies and is replaced or cannot renew its term.
//!
//! The pattern is that of a replica in need of a service: it names 0 to 12 requests a second, another number from one moment to
//! the next, while many hosts have more requests for it than it takes.

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::quota::{Advertisement, Estimate, Limiter, REPLICA_TOLERANCE, Share, Units};
use rstest::rstest;
use std::collections::BTreeMap;
use unit::{Name, Span, Time};

const STEP_MS: u64 = 5;
const LENGTH_MS: u64 = 30_000;

/// When the replica names a limit for the first time.
const NAMED_MS: u64 = 4_000;

/// Time after that from which all hosts must know.
const BOUND_MS: u64 = 3_000;

/// Time after which a host that has passed on an answer with a limit is bound by it.
const TOLD_MS: u64 = 500;

const WINDOW_MS: u64 = 4_000;

/// Time without anybody who gives out after one died: the lease, and the election.
const GAP_MS: std::ops::Range<u64> = 3_000..4_500;

/// Pause between two tellings of all that is known.
const ROUND_MS: u64 = 250;

/// Who decides which host sends a request to the replica.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// The leader gives each request out; hosts go on by shares without it.
    Leader,
    /// Each host has an equal part, of the limit over the hosts that it knows of.
    EqualParts,
    /// One host sends all to the replica; others pass requests on to it. The next one takes over when it is silent.
    OneHost,
}

#[derive(Debug, Clone, Copy)]
struct Load {
    hosts: usize,
    /// Requests a second for the replica's model at all hosts.
    demand: f64,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, Default)]
struct Trouble {
    /// Part of the hosts that are cut off from the one that gives out, at some moment, for how long in ms.
    cut: f64,
    cut_ms: u64,
    /// Part of the datagrams that are lost.
    lost: f64,
    /// Times that the one that gives out dies.
    deaths: u32,
    /// Hosts that are restarted.
    restarts: u32,
    /// Time for which the one that gives out cannot renew its term, in ms; another one begins in the middle of it.
    doubt_ms: u64,
    /// Part of the grants that are not used, and given back.
    unsent: f64,
}

struct Host {
    name: Name,
    notice: Option<Advertisement>,
    outlook: Option<Estimate>,
    share: Share,
    /// Its own bucket, in the way of equal parts.
    part: f64,
    cut_until: u64,
    /// When it first passed on an answer that named a limit.
    told: Option<u64>,
    rank: u8,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrives { host: usize },
    Answers { host: usize, rate: Option<f64> },
    Heard { from: usize, notice: Advertisement },
    Told { host: usize, notice: Advertisement },
    Back { host: usize, given: u64 },
}

/// What a replica takes, from when on; none where it names nothing.
type Named = Vec<(u64, Option<f64>)>;

fn named_at(named: &Named, ms: u64) -> Option<f64> {
    let at = named.iter().rev().find(|(from, _)| *from <= ms);
    at.and_then(|(_, rate)| *rate)
}

#[derive(Default)]
struct Outcome {
    /// When requests of hosts that were told arrived.
    arrived: Vec<u64>,
    /// When any arrived.
    all: Vec<u64>,
    asked: u64,
    questions: u64,
}

fn at(ms: u64) -> Time {
    Time(3_600_000_000) + Span::from_ms(ms)
}

/// One history, and what is to happen in it yet.
struct Play {
    way: Way,
    load: Load,
    trouble: Trouble,
    named: Named,
    rng: SmallRng,
    hosts: Vec<Host>,
    limiter: Option<Limiter<u32>>,
    /// One that cannot renew its term and gives out a half, to the hosts that do not know the next one.
    in_doubt: Option<Limiter<u32>>,
    doubt_until: u64,
    returns_at: u64,
    leader_notice: Option<Advertisement>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    outcome: Outcome,
}

const REPLICA: u32 = 7;

impl Play {
    fn new(way: Way, load: Load, trouble: Trouble, named: Named, seed: u64) -> Play {
        let host = |i| Host {
            name: format!("h{i}").into(),
            notice: None,
            outlook: None,
            share: Share::new(REPLICA_TOLERANCE),
            part: 0.0,
            cut_until: 0,
            told: None,
            rank: (i % 4) as u8,
        };
        Play {
            way,
            load,
            trouble,
            named,
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..load.hosts).map(host).collect(),
            limiter: Some(Limiter::new(REPLICA_TOLERANCE, at(0))),
            in_doubt: None,
            doubt_until: 0,
            returns_at: 0,
            leader_notice: None,
            events: BTreeMap::new(),
            number: 0,
            outcome: Outcome::default(),
        }
    }

    fn after(&mut self, ms: u64, delay: std::ops::Range<u64>, event: Event) {
        let due = ms + self.rng.random_range(delay);
        self.number += 1;
        self.events.insert((due, self.number), event);
    }

    fn play(mut self) -> Outcome {
        let mut moments = |count: u32| -> Vec<u64> {
            let moment = |_| self.rng.random_range(2_000..LENGTH_MS - 6_000);
            (0..count).map(moment).collect()
        };
        let (deaths, restarts) = (moments(self.trouble.deaths), moments(self.trouble.restarts));
        let (cut_at, doubt_at) = (moments(1)[0], moments(1)[0]);
        for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            let happens = |at: u64| (ms..ms + STEP_MS).contains(&at);
            if deaths.iter().any(|m| happens(*m)) {
                self.limiter = None;
                self.returns_at = ms + self.rng.random_range(GAP_MS);
            }
            if self.trouble.doubt_ms > 0 && happens(doubt_at) {
                self.in_doubt = self.limiter.take();
                self.doubt_until = ms + self.trouble.doubt_ms;
                self.returns_at = ms + self.trouble.doubt_ms / 2;
            }
            if ms >= self.doubt_until {
                self.in_doubt = None;
            }
            if self.limiter.is_none() && ms >= self.returns_at {
                self.limiter = Some(Limiter::new(REPLICA_TOLERANCE, at(ms)));
            }
            if happens(cut_at) {
                for host in &mut self.hosts {
                    if self.rng.random_bool(self.trouble.cut) {
                        host.cut_until = ms + self.trouble.cut_ms;
                    }
                }
            }
            for _ in restarts.iter().filter(|m| happens(**m)) {
                let index = self.rng.random_range(0..self.hosts.len());
                let host = &mut self.hosts[index];
                (host.notice, host.outlook, host.told) = (None, None, None);
                host.share = Share::new(REPLICA_TOLERANCE);
                host.part = 0.0;
            }
            while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= ms) {
                let event = entry.remove();
                self.handle(event, ms);
            }
            if ms % ROUND_MS == 0 {
                self.round(ms);
            }
            self.requests(ms);
        }
        self.outcome
    }

    fn lost(&mut self) -> bool {
        self.trouble.lost > 0.0 && self.rng.random_bool(self.trouble.lost)
    }

    /// Whether a host reaches the one that gives out.
    fn reaches(&self, host: usize, ms: u64) -> bool {
        ms >= self.hosts[host].cut_until
    }

    /// Hosts tell what they heard, and the one that gives out tells all.
    fn round(&mut self, ms: u64) {
        for index in 0..self.hosts.len() {
            if !self.reaches(index, ms) {
                continue;
            }
            if let Some(limiter) = &mut self.limiter {
                limiter.record_heartbeat(&self.hosts[index].name, at(ms));
            }
            if let Some(notice) = self.hosts[index].notice
                && self.hosts[index].told.is_some()
                && !self.lost()
            {
                self.after(
                    ms,
                    1..30,
                    Event::Heard {
                        from: index,
                        notice,
                    },
                );
            }
        }
        self.tell(ms);
    }

    fn tell(&mut self, ms: u64) {
        let Some(notice) = self.leader_notice.filter(|_| self.limiter.is_some()) else {
            return;
        };
        for host in 0..self.hosts.len() {
            if self.reaches(host, ms) && !self.lost() {
                self.after(ms, 1..30, Event::Told { host, notice });
            }
        }
    }

    fn handle(&mut self, event: Event, ms: u64) {
        match event {
            Event::Arrives { host } => {
                self.outcome.all.push(ms);
                let is_told = |at: u64| at + TOLD_MS <= ms;
                if self.hosts[host].told.is_some_and(is_told) {
                    self.outcome.arrived.push(ms);
                }
                let rate = named_at(&self.named, ms);
                self.after(ms, 1..150, Event::Answers { host, rate });
            }
            Event::Answers { host, rate } => {
                let known = &mut self.hosts[host].notice;
                match rate {
                    Some(rate) => {
                        *known = Some(Advertisement::new(rate, at(ms)));
                        self.hosts[host].told.get_or_insert(ms);
                    }
                    None => {
                        if let Some(notice) = known {
                            notice.withdraw(at(ms));
                        }
                    }
                }
                if let Some(notice) = self.hosts[host].notice
                    && self.reaches(host, ms)
                    && !self.lost()
                {
                    self.after(ms, 1..30, Event::Heard { from: host, notice });
                }
            }
            Event::Heard { from, notice } => {
                if self.reaches(from, ms) && self.limiter.is_some() {
                    let is_news = match &mut self.leader_notice {
                        Some(known) => known.merge(&notice),
                        none => {
                            *none = Some(notice);
                            true
                        }
                    };
                    if is_news {
                        self.tell(ms);
                    }
                }
            }
            Event::Told { host, notice } => match &mut self.hosts[host].notice {
                Some(known) => {
                    known.merge(&notice);
                }
                none => *none = Some(notice),
            },
            Event::Back { host, given } => {
                self.hosts[host].share.refund(1.0, at(given));
                let (Some(notice), true) = (self.hosts[host].notice, self.reaches(host, ms)) else {
                    return;
                };
                if let Some(limiter) = &mut self.limiter {
                    let units = units(&self.hosts[host].name, &notice, 1.0, 1.0);
                    limiter.refund(units, at(given), at(ms));
                }
            }
        }
    }

    /// Requests that come in a step.
    fn requests(&mut self, ms: u64) {
        let mut expected = self.load.demand * STEP_MS as f64 / 1e3;
        while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            let host = self.rng.random_range(0..self.hosts.len());
            self.outcome.asked += 1;
            if self.may_send(host, ms) {
                if self.rng.random_bool(self.trouble.unsent) {
                    self.after(ms, 5..450, Event::Back { host, given: ms });
                } else {
                    self.after(ms, 1..40, Event::Arrives { host });
                }
            }
        }
    }

    /// Whether a request of a host goes to the replica.
    fn may_send(&mut self, index: usize, ms: u64) -> bool {
        let now = at(ms);
        let notice = self.hosts[index].notice;
        let Some(notice) = notice.filter(|notice| !notice.is_expired(now)) else {
            return true;
        };
        match self.way {
            Way::Leader => self.ask(index, &notice, ms),
            Way::EqualParts => {
                let rate = notice.limit(1.0).rate / self.hosts.len() as f64;
                let host = &mut self.hosts[index];
                let since = ms.saturating_sub(host.told.unwrap_or(ms).max(host.part as u64));
                let may = since as f64 / 1e3 * rate >= 1.0;
                if may {
                    host.part = ms as f64;
                }
                may
            }
            // The same bucket, which no lost datagram and no cut keeps from its requests: the best that one host can do.
            Way::OneHost => match &mut self.limiter {
                Some(limiter) => {
                    self.outcome.questions += 1;
                    let units = units(&self.hosts[0].name, &notice, 1.0, 1.0);
                    limiter.acquire(units, now).is_ok()
                }
                None => false,
            },
        }
    }

    fn ask(&mut self, index: usize, notice: &Advertisement, ms: u64) -> bool {
        let now = at(ms);
        let kept = 0.3 * f64::from(self.hosts[index].rank + 1);
        let limit = notice.limit(1.0);
        let outlook = self.hosts[index].outlook;
        if outlook.is_some_and(|o| o.wait(1.0 + kept, REPLICA_TOLERANCE, limit, now) > Span::ZERO) {
            return false;
        }
        let arrives = self.reaches(index, ms) && !self.lost();
        let knows_next = self.rng.random_bool(0.5) || self.in_doubt.is_none();
        let answer_lost = self.lost();
        let leader_notice = self.leader_notice.unwrap_or(*notice);
        let host = &mut self.hosts[index];
        let giver = match knows_next {
            true => self.limiter.as_mut().map(|l| (l, 1.0)),
            false => self.in_doubt.as_mut().map(|l| (l, 0.5)),
        };
        let untold = host.share.unreported();
        let answer = giver.filter(|_| arrives).map(|(limiter, part)| {
            self.outcome.questions += 1;
            limiter.record_local_use(units(&host.name, &leader_notice, part, untold), now);
            let one = Units {
                reserved: kept,
                ..units(&host.name, &leader_notice, part, 1.0)
            };
            limiter.acquire(one, now)
        });
        match answer.filter(|_| !answer_lost) {
            Some(Ok(given)) => {
                host.share.record_answer(now, untold);
                host.share.record_grant(1.0, given, now);
                host.outlook = Some(Estimate::new(given.available, now));
                true
            }
            Some(Err(over)) => {
                host.share.record_answer(now, untold);
                host.outlook = Some(Estimate::after_refusal(over, now));
                false
            }
            None => {
                host.outlook = Some(Estimate::without_answer(REPLICA_TOLERANCE, now));
                host.share.acquire_local(limit, 1.0, now).is_ok()
            }
        }
    }
}

fn units<'a>(host: &'a Name, notice: &Advertisement, part: f64, count: f64) -> Units<'a, u32> {
    Units {
        subject: &REPLICA,
        limit: notice.limit(part),
        host,
        count,
        reserved: 0.0,
        will_retry: false,
    }
}

/// The most that may arrive in the window that ends at a moment: by the greatest limit that was named in it, or up to a bound
/// before; none where it named nothing for a while in that time.
fn allowed(named: &Named, ms: u64) -> Option<f64> {
    let from = ms.saturating_sub(WINDOW_MS + BOUND_MS);
    let mut rates = (from..=ms).step_by(10).map(|at| named_at(named, at));
    let greatest = rates.try_fold(0.0f64, |most, rate| Some(most.max(rate?)))?;
    Some(greatest * 4.0 * 1.5 + 5.0)
}

/// Requests that arrived in the window that ends with the one of that index.
fn in_window(arrived: &[u64], index: usize) -> usize {
    let end = arrived[index];
    let since = arrived[..=index].iter().rev();
    since.take_while(|at| **at + WINDOW_MS > end).count()
}

fn holds(outcome: &Outcome, named: &Named) -> Result<(), String> {
    for (index, end) in outcome.arrived.iter().enumerate() {
        let Some(allowed) = allowed(named, *end) else {
            continue;
        };
        let count = in_window(&outcome.arrived, index);
        if count as f64 > allowed {
            return Err(format!("{count} of {allowed} in the window to {end} ms"));
        }
    }
    Ok(())
}

prop_compose! {
    fn load()(hosts in 1usize..60, demand in 0.5f64..80.0) -> Load {
        Load { hosts, demand }
    }
}

prop_compose! {
    fn trouble()(
        cut in prop_oneof![Just(0.0), 0.0f64..0.9],
        cut_ms in 500u64..12_000,
        lost in prop_oneof![Just(0.0), 0.0f64..0.4],
        deaths in 0u32..3,
        restarts in 0u32..8,
        doubt_ms in prop_oneof![Just(0u64), 2_000u64..12_000],
        unsent in prop_oneof![Just(0.0), 0.0f64..0.4],
    ) -> Trouble {
        Trouble { cut, cut_ms, lost, deaths, restarts, doubt_ms, unsent }
    }
}

prop_compose! {
    /// Limits that rise and fall, end, and come back within a second or later.
    fn named()(
        changes in prop::collection::vec(
            (200u64..6_000, prop_oneof![4 => (0.0f64..12.0).prop_map(Some), 1 => Just(None)]),
            0..6,
        ),
        first in prop_oneof![Just(0.0), 0.0f64..12.0],
    ) -> Named {
        let mut named = vec![(NAMED_MS, Some(first))];
        let mut from = NAMED_MS;
        for (after, rate) in changes {
            from += after;
            named.push((from, rate));
        }
        named
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No order of news, deaths, cuts, restarts and changes of a limit lets more reach a replica than it takes.
    #[test]
    fn a_limited_replica_never_gets_more_than_it_takes(
        load in load(),
        trouble in trouble(),
        named in named(),
        seed in any::<u64>(),
    ) {
        let play = Play::new(Way::Leader, load, trouble, named.clone(), seed);
        prop_assert_eq!(holds(&play.play(), &named), Ok(()));
    }
}

/// Share of the limit that is used from the bound on, in calm.
fn used(way: Way, hosts: usize, rate: f64, demand: f64, seed: u64) -> f64 {
    let named = vec![(NAMED_MS, Some(rate))];
    let load = Load { hosts, demand };
    let outcome = Play::new(way, load, Trouble::default(), named, seed).play();
    let from = NAMED_MS + BOUND_MS;
    let sent = outcome.all.iter().filter(|at| **at >= from).count();
    sent as f64 / (rate * (LENGTH_MS - from) as f64 / 1e3)
}

/// Under load half of a limit is used and more, also where an equal part would be one request in five minutes.
#[rstest]
#[case::few_hosts(3, 1.3)]
#[case::today(9, 1.0)]
#[case::many(70, 1.0)]
#[case::the_most(300, 1.0)]
#[case::a_larger_limit(300, 10.0)]
fn what_a_limit_allows_is_used(#[case] hosts: usize, #[case] rate: f64) {
    let mean = (0..10).map(|seed| used(Way::Leader, hosts, rate, rate * 3.0, seed));
    let mean = mean.sum::<f64>() / 10.0;
    assert!(mean >= 0.5, "{mean} of the limit was used");
}

/// What urgent requests use of a limit, others do not wait for: the least urgent get next to nothing while there are more urgent
/// ones than it takes, and all of it when there are none.
#[test]
fn the_more_urgent_go_first() {
    let (host, subject): (Name, u32) = ("h".into(), REPLICA);
    let notice = Advertisement::new(2.0, at(0));
    let mut limiter = Limiter::new(REPLICA_TOLERANCE, at(0));
    let mut give = |kept: f64, ms: u64| {
        let one = Units {
            subject: &subject,
            reserved: kept,
            ..units(&host, &notice, 1.0, 1.0)
        };
        limiter.acquire(one, at(ms)).is_ok()
    };
    let (mut urgent, mut later) = (0, 0);
    for ms in (10_000..20_000).step_by(100) {
        later += u32::from(give(1.2, ms));
        urgent += u32::from(give(0.3, ms));
    }
    assert!(urgent >= 18 && later <= 2, "{urgent} urgent, {later} later");
    let alone = (30_000..40_000).step_by(100).filter(|ms| give(1.2, *ms));
    let alone = alone.count();
    assert!(alone >= 18, "{alone} of the least urgent");
}

/// Hundreds of hosts that are given a request each now and then: only those of the last seconds are remembered.
#[test]
fn a_limiter_remembers_few_hosts_of_a_replica() {
    let notice = Advertisement::new(1.0, at(0));
    let mut limiter = Limiter::new(REPLICA_TOLERANCE, at(0));
    let mut given = 0;
    for second in 1..400 {
        let host: Name = format!("h{second}").into();
        let ms = second * 1_000;
        limiter.record_local_use(units(&host, &notice, 1.0, 0.0), at(ms));
        let answer = limiter.acquire(units(&host, &notice, 1.0, 1.0), at(ms));
        given += u32::from(answer.is_ok());
    }
    assert!(given > 100, "{given} hosts were given one");
    let hosts = limiter.host_count(&REPLICA);
    assert!(hosts <= 20, "{hosts} hosts are remembered");
}

/// The ways that were weighed, beside each other: share of a limit that is used in calm and in the 4 s after the one that gives out
/// has died, the most that came in the first second and in any window (of what was allowed), and questions a second.
#[test]
#[ignore = "a comparison, not a check"]
fn ways_beside_each_other() {
    println!(
        "hosts limit way          used  spread  after a death  first second  worst window  questions/s"
    );
    for (hosts, rate) in [
        (9, 1.0),
        (9, 10.0),
        (70, 1.0),
        (70, 10.0),
        (300, 1.0),
        (300, 10.0),
    ] {
        for way in [Way::Leader, Way::EqualParts, Way::OneHost] {
            compare(way, hosts, rate);
        }
    }
}

const SEEDS: u64 = 20;

fn compare(way: Way, hosts: usize, rate: f64) {
    let named: Named = vec![(NAMED_MS, Some(rate))];
    let load = Load {
        hosts,
        demand: rate * 3.0,
    };
    let death = Trouble {
        deaths: 1,
        ..Trouble::default()
    };
    let calm: Vec<f64> = (0..SEEDS)
        .map(|seed| used(way, hosts, rate, load.demand, seed))
        .collect();
    let mean = calm.iter().sum::<f64>() / SEEDS as f64;
    let spread = calm.iter().map(|u| (u - mean).powi(2)).sum::<f64>() / SEEDS as f64;
    let (mut first, mut worst, mut questions, mut after) = (0, 0.0f64, 0, 0.0);
    for seed in 0..SEEDS {
        let play = Play::new(way, load, Trouble::default(), named.clone(), seed).play();
        let in_first = |at: &&u64| (NAMED_MS..NAMED_MS + 1_000).contains(*at);
        first = first.max(play.all.iter().filter(in_first).count());
        questions += play.questions;
        for (index, end) in play.all.iter().enumerate() {
            if let Some(allowed) = allowed(&named, *end) {
                worst = worst.max(in_window(&play.all, index) as f64 / allowed);
            }
        }
        // The moment of the death is the first that the play draws.
        let dies = SmallRng::seed_from_u64(seed).random_range(2_000..LENGTH_MS - 6_000);
        let died = Play::new(way, load, death, named.clone(), seed).play();
        let from = dies.max(NAMED_MS + BOUND_MS);
        let later = died
            .all
            .iter()
            .filter(|at| (from..from + 4_000).contains(*at));
        after += later.count() as f64 / (rate * 4.0);
    }
    let per_s = questions as f64 / SEEDS as f64 / ((LENGTH_MS - NAMED_MS) as f64 / 1e3);
    println!(
        "{hosts:5} {rate:5} {:12} {mean:.2}  {:.3}   {:.2}           {first:3}           {worst:.2}          {per_s:.1}",
        format!("{way:?}"),
        spread.sqrt(),
        after / SEEDS as f64
    );
}
