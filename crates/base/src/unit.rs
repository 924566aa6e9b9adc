//! Versions, shares and durations with their units and text forms.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{id::Error, number::integer_newtypes};

integer_newtypes! {
    /// Generation of a published configuration; a higher one replaces a lower one.
    Generation(u64), "generation";
    /// Version of a service's index; higher is newer.
    Version(u64), "version";
    /// Position of a change in the platform's change history; higher is later.
    Revision(u64), "revision";
    /// Era of the platform's change history. A higher one begins when the platform comes back from
    /// an earlier copy of its data and gives revisions out again; 0 if it is not known.
    Era(u64), "era";
}

/// Position in the platform's change history across its eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

/// Requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// No requests.
    pub const ZERO: Rate = Rate(0.0);

    /// Creates a rate; what is not a number counts as 0, and the range is limited to that of finite
    /// numbers that are not negative.
    pub fn new(per_second: f64) -> Rate {
        if per_second.is_nan() { Rate::ZERO } else { Rate(per_second.clamp(0.0, f64::MAX)) }
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Parses a decimal number without a sign or an exponent.
impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate, Error> {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let per_second: Option<f64> = text.parse().ok().filter(|_| is_decimal);
        let allowed = "a decimal number that is not negative";
        let error = || Error { kind: "rate", input: text.to_owned(), allowed };
        per_second.map(Rate::new).ok_or_else(error)
    }
}

/// Share of a whole, from 0 to 1. Stored in parts per million, so that comparisons are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// Parts that a whole consists of.
    const PARTS_PER_WHOLE: u32 = 1_000_000;
    /// 0%.
    pub const ZERO: Share = Share(0);
    /// 100%.
    pub const ONE: Share = Share(Share::PARTS_PER_WHOLE);

    /// Returns `part` divided by `whole`, rounded down so that an incomplete part is never 100%.
    /// An empty whole gives 100%.
    pub fn new(part: u64, whole: u64) -> Share {
        if whole == 0 || part >= whole {
            return Share::ONE;
        }
        Share((u128::from(part) * u128::from(Share::PARTS_PER_WHOLE) / u128::from(whole)) as u32)
    }

    /// Converts a percentage, clamped to 0 to 100.
    pub fn from_percent(percent: f64) -> Share {
        Share((percent.clamp(0.0, 100.0) * f64::from(Share::PARTS_PER_WHOLE) / 100.0).round() as u32)
    }

    /// Returns the share as a number from 0 to 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(Share::PARTS_PER_WHOLE)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.as_f64() * 100.0)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Share, Error> {
        let percent = text.strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match percent {
            Some(p) if (0.0..=100.0).contains(&p) => Ok(Share::from_percent(p)),
            _ => Err(Error { kind: "share", input: text.to_owned(), allowed: "0% to 100%" }),
        }
    }
}

/// Duration with the text form of settings: `250 ms`, `5 s`, `2 min`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan(pub Duration);

impl fmt::Display for TimeSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.as_millis();
        match ms {
            _ if ms > 0 && ms.is_multiple_of(60_000) => write!(f, "{} min", ms / 60_000),
            _ if ms > 0 && ms.is_multiple_of(1_000) => write!(f, "{} s", ms / 1_000),
            _ => write!(f, "{ms} ms"),
        }
    }
}

impl FromStr for TimeSpan {
    type Err = Error;

    fn from_str(text: &str) -> Result<TimeSpan, Error> {
        let allowed = "a number with a unit of ms, s or min, such as 250 ms";
        let error = || Error { kind: "duration", input: text.to_owned(), allowed };
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic()).trim_end();
        let count: u64 = digits.parse().map_err(|_| error())?;
        let unit_ms = match text[digits.len()..].trim() {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            _ => return Err(error()),
        };
        let ms = count.checked_mul(unit_ms).ok_or_else(error)?;
        Ok(TimeSpan(Duration::from_millis(ms)))
    }
}
