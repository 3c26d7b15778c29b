//! Small types for ids, versions and times, so that a stamp is never taken for
//! a token nor a job for a machine.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// Steady time since the process began.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Time(u64);

impl Time {
    pub fn from_micros(us: u64) -> Time {
        Time(us)
    }
    /// Seconds passed since `earlier`; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 / 1e6
    }
    /// Signed seconds from now until `self`.
    pub fn until(self, now: Time) -> f64 {
        (self.0 as f64 - now.0 as f64) / 1e6
    }
    pub fn plus(self, seconds: f64) -> Time {
        Time(self.0.saturating_add((seconds.max(0.0) * 1e6) as u64))
    }
    pub fn minus(self, seconds: f64) -> Time {
        Time(self.0.saturating_sub((seconds.max(0.0) * 1e6) as u64))
    }
    pub fn duration_until(self, later: Time) -> Duration {
        Duration::from_micros(later.0.saturating_sub(self.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, d: Duration) -> Time {
        Time(self.0 + d.as_micros() as u64)
    }
}

/// Milliseconds of the time of day; comparable between processes only within
/// the platform's skew bound, so no rule ever rests on it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct WallMs(pub u64);

/// Version of one key of the state service; 0 says that the key is absent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct Revision(pub u64);

/// A holder's token: the revision of the transaction that took the block.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash)]
pub struct FencingToken(pub u64);

/// An id of the form `<prefix>-<digits>`. Digits are kept as written, zeros
/// included, in a value that is cheap to copy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId {
    number: u64,
    width: u8,
}

/// A machine's name as the cloud gives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct MachineId {
    number: u64,
    width: u8,
}

/// Names that a row may stand for.
const MAX_IN_A_ROW: u64 = 100_000;

fn digits(text: &str) -> Option<(u64, u8)> {
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    Some((text.parse().ok()?, text.len() as u8))
}

impl JobId {
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
    pub fn parse(text: &str) -> Option<MachineId> {
        let (number, width) = digits(text.strip_prefix("n-")?)?;
        Some(MachineId { number, width })
    }
    pub fn number(self) -> u64 {
        self.number
    }
    /// The name that follows, of the same length.
    pub fn next(self) -> MachineId {
        MachineId {
            number: self.number + 1,
            width: self.width,
        }
    }
    /// All names from this one to `last`; bounded, and none when they differ in
    /// length.
    pub fn range_to(self, last: MachineId) -> impl Iterator<Item = MachineId> {
        let to = if self.width == last.width {
            last.number + 1
        } else {
            0
        };
        let to = to.min(self.number.saturating_add(MAX_IN_A_ROW));
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
    pub job: JobId,
    pub index: u32,
}

impl TaskId {
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

/// An attempt at a task. Never used twice: its upper part is the holder's
/// token, which no two processes share, so no counter has to be stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Attempt(pub u64);

/// A call made to one of the outside services.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallId(pub u64);

/// An open request of a client of ours that waits for its answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId {
    pub slot: usize,
    pub generation: u64,
}

#[cfg(test)]
mod tests;
