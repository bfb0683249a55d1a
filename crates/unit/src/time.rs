//! Points in time and lengths of time.

use crate::{ParseError, split_unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Mul, Sub};
use std::str::FromStr;
use std::time::Duration;

/// Point in time: microseconds on the reader's own monotonic clock.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Time(pub u64);

/// Length of time in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Time passed since an earlier point, zero if that point lies ahead.
    pub const fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// Makes a span from milliseconds.
    pub const fn from_ms(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// Makes a span from seconds.
    pub const fn from_secs(secs: u64) -> Span {
        Span(secs * 1_000_000)
    }

    /// Makes a span from seconds with a fraction; what is longer than can be told is the longest.
    pub fn from_secs_f64(secs: f64) -> Span {
        Span((secs * 1e6) as u64)
    }

    /// The span in seconds, with its fraction.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span in milliseconds, with its fraction.
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// The span as the standard library has it.
    pub const fn std(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Difference that stops at zero.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Span {
        Span(duration.as_micros() as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            us if us >= 1_000_000 => write!(f, "{:.2} s", self.secs()),
            us if us >= 1_000 => write!(f, "{:.1} ms", self.ms()),
            us => write!(f, "{us} µs"),
        }
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Span, ParseError> {
        let factor = |unit: &str| match unit {
            "us" => Some(1),
            "ms" => Some(1_000),
            "s" => Some(1_000_000),
            "min" => Some(60_000_000),
            "h" => Some(3_600_000_000),
            _ => None,
        };
        split_unit(text)
            .and_then(|(number, unit)| number.checked_mul(factor(unit)?))
            .map(Span)
            .ok_or_else(|| {
                ParseError(format!(
                    "'{text}' is not a length of time; write a whole number with us, ms, s, min or h, such as 1600ms."
                ))
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reads_and_shows_spans() {
        assert_eq!("1600ms".parse(), Ok(Span::from_ms(1600)));
        assert_eq!("2 min".parse(), Ok(Span::from_secs(120)));
        assert_eq!(Span::from_ms(1600).to_string(), "1.60 s");
        assert!("33".parse::<Span>().is_err());
    }

    #[test]
    fn differences_stop_at_zero() {
        assert_eq!(Time(5).since(Time(9)), Span::ZERO);
    }
}
