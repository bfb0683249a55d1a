//! Amounts of memory.

use crate::{ParseError, split_unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

/// Amount of memory in bytes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Bytes(pub u64);

const KB: u64 = 1_000;
const MB: u64 = 1_000 * KB;
const GB: u64 = 1_000 * MB;

impl Bytes {
    /// Makes an amount from gigabytes (10^9 bytes).
    pub const fn from_gb(gb: u64) -> Self {
        Bytes(gb * GB)
    }

    /// Makes an amount from megabytes (10^6 bytes).
    pub const fn from_mb(mb: u64) -> Self {
        Bytes(mb * MB)
    }

    /// Difference that stops at zero.
    pub const fn saturating_sub(self, other: Bytes) -> Bytes {
        Bytes(self.0.saturating_sub(other.0))
    }
}

impl Add for Bytes {
    type Output = Bytes;
    fn add(self, other: Bytes) -> Bytes {
        Bytes(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Bytes {
    fn add_assign(&mut self, other: Bytes) {
        *self = *self + other;
    }
}

impl Sum for Bytes {
    fn sum<I: Iterator<Item = Bytes>>(items: I) -> Bytes {
        items.fold(Bytes(0), Add::add)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.0 as f64;
        match self.0 {
            b if b >= GB => write!(f, "{:.1} GB", value / GB as f64),
            b if b >= MB => write!(f, "{:.1} MB", value / MB as f64),
            b if b >= KB => write!(f, "{:.1} KB", value / KB as f64),
            b => write!(f, "{b} B"),
        }
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Bytes, ParseError> {
        let factor = |unit: &str| match unit {
            "B" => Some(1),
            "KB" => Some(KB),
            "MB" => Some(MB),
            "GB" => Some(GB),
            _ => None,
        };
        split_unit(text)
            .and_then(|(number, unit)| number.checked_mul(factor(unit)?))
            .map(Bytes)
            .ok_or_else(|| {
                ParseError(format!(
                    "'{text}' is not an amount of memory; write a whole number with B, KB, MB or GB, such as 24GB."
                ))
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_and_shows_amounts() {
        assert_eq!("24GB".parse(), Ok(Bytes::from_gb(24)));
        assert_eq!("300 MB".parse(), Ok(Bytes::from_mb(300)));
        assert_eq!(Bytes::from_mb(1500).to_string(), "1.5 GB");
        assert!("24".parse::<Bytes>().is_err());
        assert!("99999999999GB".parse::<Bytes>().is_err());
    }
}
