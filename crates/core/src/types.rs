//! Identifiers, revisions and times as types of their own, so that a revision is never taken for
//! a fencing token nor a job for a machine.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// Monotonic time, microseconds since an origin that differs between processes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Time(u64);

impl Time {
    /// The time `us` microseconds after the origin.
    pub fn from_micros(us: u64) -> Time {
        Time(us)
    }
    /// Seconds passed since `earlier`; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
    /// Signed seconds from `now` until `self`.
    pub fn until(self, now: Time) -> f64 {
        (self.0 as f64 - now.0 as f64) / 1e6
    }
    /// The time `seconds` later; a negative amount counts as zero.
    pub fn plus(self, seconds: f64) -> Time {
        Time(self.0.saturating_add((seconds.max(0.0) * 1e6) as u64))
    }
    /// The time `seconds` earlier, at the least the origin; a negative amount counts as zero.
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

/// Milliseconds of the time of day.
///
/// Comparable between processes only within the platform's clock skew, so no safety rule rests on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct WallMs(pub u64);

/// Revision of one key of the key-value store; 0 means that the key is absent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Revision(pub u64);

/// A leader's fencing token: the revision of the transaction that acquired leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct FencingToken(pub u64);

/// A job's id, `job-<digits>`.
///
/// The digits are kept as written, leading zeros included, in a value that is cheap to copy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId {
    number: u64,
    width: u8,
}

/// A machine's name as the cloud gives it, `n-<digits>`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct MachineId {
    number: u64,
    width: u8,
}

/// Most names in a [`MachineId::range_to`].
const MAX_RANGE: u64 = 100_000;

/// Reads up to 18 digits: their value, and how many there are.
fn digits(text: &str) -> Option<(u64, u8)> {
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((text.parse().ok()?, text.len() as u8))
}

impl JobId {
    /// Reads an id; `None` if the text is not of the form `job-<digits>` with 1 to 18 digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let (number, width) = digits(text.strip_prefix("job-")?)?;
        Some(JobId { number, width })
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:0w$}", self.number, w = self.width as usize)
    }
}

impl MachineId {
    /// Reads a name; `None` if the text is not of the form `n-<digits>` with 1 to 18 digits.
    pub fn parse(text: &str) -> Option<MachineId> {
        let (number, width) = digits(text.strip_prefix("n-")?)?;
        Some(MachineId { number, width })
    }
    /// The number that the digits stand for.
    pub fn number(self) -> u64 {
        self.number
    }
    /// The name that follows, with as many digits.
    pub fn next(self) -> MachineId {
        MachineId {
            number: self.number + 1,
            width: self.width,
        }
    }
    /// All names from this one to `last`, at most 100,000; none if they differ in length.
    pub fn range_to(self, last: MachineId) -> impl Iterator<Item = MachineId> {
        let to = if self.width == last.width {
            last.number + 1
        } else {
            0
        };
        let to = to.min(self.number.saturating_add(MAX_RANGE));
        (self.number..to).map(move |number| MachineId {
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

/// One task of a job, written `job-000412/3`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads an id; `None` if the text is not of the form `job-<digits>/<index>`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        let (index, _) = digits(index)?;
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

/// An attempt at a task, never used twice.
///
/// Its upper part is the leader's fencing token, which no two processes share, so no counter has to
/// be stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Attempt(pub u64);

/// A call made to one of the outside services.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// An open request of a client that waits for its answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId {
    /// Place of the connection in the event loop's table.
    pub slot: usize,
    /// Tells the connection from earlier ones in the same place.
    pub generation: u64,
}

#[cfg(test)]
mod tests;
