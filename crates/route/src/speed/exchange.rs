//! Exchange of levels between hosts: samples go to the leader, which sends the levels to all.

use super::estimator::Estimator;
use serde::{Deserialize, Serialize};
use std::ops::Bound::{Excluded, Unbounded};
use unit::Time;

/// What a level measures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Factor of a replica within about a second.
    #[serde(rename = "r")]
    Recent,
    /// Factor of a replica over many seconds.
    #[serde(rename = "l")]
    Lasting,
    /// Prompt tokens prefilled per millisecond.
    #[serde(rename = "p")]
    Prefill,
    /// Duration of a decode step in microseconds.
    #[serde(rename = "s")]
    Step,
    /// Time from the first token to the last, in milliseconds.
    #[serde(rename = "d")]
    Decode,
    /// Time to first token besides prefill, in microseconds.
    #[serde(rename = "f")]
    Start,
}

impl Kind {
    /// Mean as it is sent: the mean of decode times is not one of logarithms, since they add up to the demand.
    fn packed(self, mean: f64) -> f64 {
        match self {
            Kind::Decode => mean.max(1.0).ln(),
            _ => mean,
        }
    }

    fn unpacked(self, mean: f64) -> f64 {
        match self {
            Kind::Decode => mean.exp(),
            _ => mean,
        }
    }
}

/// Level or new samples of one replica or model: kind, hash of its name, thousandths of a natural logarithm, and
/// quarters of the weight.
///
/// A collision of hashes merges two replicas or models, which only makes routing less accurate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row(Kind, u32, i16, u8);

/// Units of a row's value.
const VALUE_UNITS: f64 = 1_000.0;

/// Units of a row's weight.
const WEIGHT_UNITS: f64 = 4.0;

/// Change of a mean, as a logarithm, from which hosts are told at once.
const NOTABLE_CHANGE: f64 = 0.05;

/// Growth of a weight from which hosts are told at once.
const NOTABLE_GROWTH: f64 = 1.5;

impl Row {
    pub(super) fn new(key: (Kind, u32), mean: f64, weight: f64) -> Row {
        let mean = key.0.packed(mean);
        let weight = (weight * WEIGHT_UNITS).ceil() as u8;
        Row(key.0, key.1, (mean * VALUE_UNITS).round() as i16, weight)
    }

    /// What is measured, and hash of the name.
    pub fn key(&self) -> (Kind, u32) {
        (self.0, self.1)
    }

    pub(super) fn mean(&self) -> f64 {
        self.0.unpacked(f64::from(self.2) / VALUE_UNITS)
    }

    pub(super) fn weight(&self) -> f64 {
        f64::from(self.3) / WEIGHT_UNITS
    }
}

impl Estimator {
    /// Samples since the last call, at most `max` rows; the rest is kept for the next call.
    pub fn take_samples(&mut self, max: usize) -> Vec<Row> {
        let keys: Vec<_> = self.unreported.keys().take(max).copied().collect();
        let row = |key| {
            let (mean, weight) = self.unreported.remove(&key)?;
            Some(Row::new(key, mean, weight))
        };
        keys.into_iter().filter_map(row).collect()
    }

    /// Drops the samples that were not reported: this host is the leader, or knows none.
    pub fn drop_samples(&mut self) {
        self.unreported.clear();
    }

    /// Adds samples of another host.
    pub fn merge_samples(&mut self, rows: &[Row], now: Time) {
        for row in rows {
            self.add(row.key(), row.mean(), row.weight(), now);
        }
    }

    /// Rows for all hosts: up to `max` that changed notably, and up to `max` of the others in turn, so that all are
    /// known again after lost datagrams and at new hosts.
    pub fn take_rows(&mut self, max: usize, now: Time) -> Vec<Row> {
        self.expire(now);
        let mut keys = self.take_notable(max, now);
        keys.extend(self.take_turn(max));
        let mut rows = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(level) = self.levels.get_mut(&key) else {
                continue;
            };
            let weight = level.weight(now);
            level.sent = Some((level.mean, weight));
            rows.push(Row::new(key, level.mean, weight));
        }
        rows
    }

    /// Takes the keys of levels that changed notably since they were last sent.
    fn take_notable(&mut self, max: usize, now: Time) -> Vec<(Kind, u32)> {
        let levels = &self.levels;
        let is_notable = |key: &(Kind, u32)| {
            let Some(level) = levels.get(key) else {
                return false;
            };
            level.sent.is_none_or(|(mean, weight)| {
                (key.0.packed(level.mean) - key.0.packed(mean)).abs() > NOTABLE_CHANGE
                    || level.weight(now) > weight * NOTABLE_GROWTH
            })
        };
        self.changed.retain(is_notable);
        let keys: Vec<_> = self.changed.iter().take(max).copied().collect();
        for key in &keys {
            self.changed.remove(key);
        }
        keys
    }

    /// Next keys in turn.
    fn take_turn(&mut self, max: usize) -> Vec<(Kind, u32)> {
        let from = self.turn.map_or(Unbounded, Excluded);
        let next = self.levels.range((from, Unbounded)).take(max);
        let keys: Vec<_> = next.map(|(key, _)| *key).collect();
        self.turn = keys.last().copied().filter(|_| keys.len() == max);
        keys
    }

    /// Applies rows of the leader, which hold the samples of all hosts.
    pub fn apply_rows(&mut self, rows: &[Row], now: Time) {
        for row in rows {
            let level = self.level_mut(row.key());
            level.replace(row.mean(), row.weight(), now);
        }
    }
}
