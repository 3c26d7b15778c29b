//! Distinct types for identifiers, revisions and times, so that the compiler rejects a revision
//! used as a fencing token or a job id used as a machine id.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// Monotonic time in microseconds since an origin that differs between processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Time(u64);

impl Time {
    /// The time `us` microseconds after the origin.
    pub fn from_micros(us: u64) -> Time {
        Time(us)
    }
    /// Seconds elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
    /// Seconds from `now` until `self`; negative if `self` is in the past.
    pub fn until(self, now: Time) -> f64 {
        (self.0 as f64 - now.0 as f64) / 1e6
    }
    /// The time `seconds` later; a negative duration counts as zero.
    pub fn plus(self, seconds: f64) -> Time {
        Time(self.0.saturating_add((seconds.max(0.0) * 1e6) as u64))
    }
    /// The time `seconds` earlier, but not before the origin; a negative duration counts as zero.
    pub fn minus(self, seconds: f64) -> Time {
        Time(self.0.saturating_sub((seconds.max(0.0) * 1e6) as u64))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, d: Duration) -> Time {
        Time(self.0 + d.as_micros() as u64)
    }
}

/// Wall-clock time, milliseconds since the Unix epoch.
///
/// Comparable between processes only within the platform's clock skew, so no safety rule depends
/// on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct WallMs(pub u64);

/// Revision of one key of the key-value store; 0 means that the key is absent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Revision(pub u64);

/// A leader's fencing token: the revision of the transaction that acquired leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct FencingToken(pub u64);

/// Id of a job, `job-<digits>`.
///
/// The value is cheap to copy and preserves the digits as written, including leading zeros.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId {
    number: u64,
    width: u8,
}

/// Name of a machine as assigned by the cloud, `n-<digits>`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct MachineId {
    number: u64,
    width: u8,
}

/// Maximum number of names that [`MachineId::range_to`] yields.
const MAX_RANGE_LENGTH: u64 = 100_000;

/// Parses 1 to 18 decimal digits; returns their value and their count, or `None` for other text.
fn parse_digits(text: &str) -> Option<(u64, u8)> {
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((text.parse().ok()?, text.len() as u8))
}

impl JobId {
    /// Parses an id; `None` if the text is not of the form `job-<digits>` with 1 to 18 digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let (number, width) = parse_digits(text.strip_prefix("job-")?)?;
        Some(JobId { number, width })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:0w$}", self.number, w = self.width as usize)
    }
}

impl MachineId {
    /// Parses a name; `None` if the text is not of the form `n-<digits>` with 1 to 18 digits.
    pub fn parse(text: &str) -> Option<MachineId> {
        let (number, width) = parse_digits(text.strip_prefix("n-")?)?;
        Some(MachineId { number, width })
    }
    /// The numeric value of the digits.
    pub fn number(self) -> u64 {
        self.number
    }
    /// The next name in numeric order, padded to the same number of digits.
    pub fn next(self) -> MachineId {
        MachineId {
            number: self.number + 1,
            width: self.width,
        }
    }
    /// Iterates over the names from this one to `last`, both included, at most 100,000; empty if
    /// the two names differ in their number of digits.
    pub fn range_to(self, last: MachineId) -> impl Iterator<Item = MachineId> {
        let end = if self.width == last.width {
            last.number + 1
        } else {
            0
        };
        let end = end.min(self.number.saturating_add(MAX_RANGE_LENGTH));
        (self.number..end).map(move |number| MachineId {
            number,
            width: self.width,
        })
    }
}

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "n-{:0w$}", self.number, w = self.width as usize)
    }
}

/// Id of one task of a job, written as `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses an id; `None` if the text is not of the form `job-<digits>/<index>`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        let (index, _) = parse_digits(index)?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: u32::try_from(index).ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Number of one attempt to run a task; never reused.
///
/// The upper bits are the leader's fencing token, which no two processes share, so no counter has
/// to be stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Attempt(pub u64);

/// Identifies a call to an external service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// Identifies a client request that has not been answered yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId {
    /// Index of the connection in the event loop's connection table.
    pub slot: usize,
    /// Distinguishes the connection from earlier ones in the same slot.
    pub generation: u64,
}

#[cfg(test)]
mod tests;
