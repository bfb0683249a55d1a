//! The store comes back from copies some seconds old; the operator and the replicas write again what was lost.

use crate::site::Site;
use platform_standin::replica::Replica;
use platform_standin::store::Copy;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;
use tokio::time::Instant;

/// Average number of steps between two copies that are taken.
const STEPS_PER_COPY: u32 = 12;

/// Age of a copy when the store comes back from it, in milliseconds.
const AGE_MS: std::ops::Range<u64> = 300..4_000;

/// Time until what was lost is written again, in milliseconds.
const REWRITTEN_AFTER_MS: std::ops::Range<u64> = 100..1_500;

/// Time after which the entries of replicas that do not write have lapsed.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);

/// Copy that the store will come back from, or has come back from.
enum Phase {
    /// It comes back at that time.
    Taken(Copy, Instant),
    /// The operator and the replicas with these indices write again at that time.
    Back(Vec<usize>, Instant),
    /// The entries of all others lapse at that time.
    Rewritten(Vec<usize>, Instant),
}

/// Copies of the store.
#[derive(Default)]
pub struct Copies {
    phase: Option<Phase>,
}

impl Copies {
    /// Takes a copy at random, or goes on with the last one if it is due.
    pub fn change(&mut self, site: &mut Site, rng: &mut SmallRng) {
        let age = Duration::from_millis(rng.random_range(AGE_MS));
        let rewritten_after = Duration::from_millis(rng.random_range(REWRITTEN_AFTER_MS));
        let is_taken = rng.random_ratio(1, STEPS_PER_COPY);
        let now = Instant::now();
        self.phase = match self.phase.take() {
            None if is_taken => Some(Phase::Taken(site.store.copy(), now + age)),
            None => None,
            Some(phase) => self.advance(site, phase, now, rewritten_after),
        };
    }

    /// Completes the last copy, whatever its time.
    pub fn end(&mut self, site: &mut Site) {
        let mut time = Instant::now();
        while let Some(phase) = self.phase.take() {
            // Each phase ends after the one before.
            time += LAPSE_TIME * 2;
            self.phase = match phase {
                Phase::Taken(..) => None,
                phase => self.advance(site, phase, time, Duration::ZERO),
            };
        }
    }

    fn advance(
        &self,
        site: &mut Site,
        phase: Phase,
        now: Instant,
        rewritten_after: Duration,
    ) -> Option<Phase> {
        match phase {
            Phase::Taken(copy, due) if now >= due => {
                site.record_disturbance();
                let is_listed = |n: &usize| site.store.get(&site.replicas[*n].key()).is_some();
                let listed = (0..site.replicas.len()).filter(is_listed).collect();
                site.store.restore(&copy);
                Some(Phase::Back(listed, now + rewritten_after))
            }
            Phase::Back(listed, due) if now >= due => {
                site.record_disturbance();
                site.rewrite_config();
                let up = listed.iter().map(|n| &site.replicas[*n]);
                up.filter(|r| !r.is_down()).for_each(Replica::write_entry);
                Some(Phase::Rewritten(listed, now + LAPSE_TIME))
            }
            Phase::Rewritten(listed, due) if now >= due => {
                let known = listed.iter().max().map_or(0, |last| last + 1);
                let is_silent = |n: &usize| !listed.contains(n) || site.replicas[*n].is_down();
                let lapsed = (0..known).filter(is_silent);
                lapsed.for_each(|n| site.replicas[n].remove_entry());
                None
            }
            phase => Some(phase),
        }
    }
}
