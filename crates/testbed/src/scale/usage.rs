//! Processor time and memory of processes, from `/proc`.

use procfs::process::Process;
use procfs::{Current, Meminfo};
use rustix::process::{getrlimit, Resource};
use serde::Serialize;
use std::collections::BTreeMap;

/// Resource usage of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct Usage {
    /// Processor time since the process started, seconds.
    pub cpu_s: f64,
    /// Resident memory, MB.
    pub resident_mb: f64,
}

const MB: f64 = 1024.0 * 1024.0;

/// Resource usage of a process; `None` if it can't be read, as after the process has exited.
pub(super) fn process_usage(pid: u32) -> Option<Usage> {
    let process = Process::new(i32::try_from(pid).ok()?).ok()?;
    let stat = process.stat().ok()?;
    let ticks = procfs::ticks_per_second() as f64;
    Some(Usage {
        cpu_s: (stat.utime + stat.stime) as f64 / ticks,
        resident_mb: stat.rss as f64 * procfs::page_size() as f64 / MB,
    })
}

/// Total memory of this computer, MB; 0 if it can't be read.
pub(super) fn machine_memory_mb() -> f64 {
    Meminfo::current().map_or(0.0, |m| m.mem_total as f64 / MB)
}

/// Limit of open files per process; `None` if there is no limit.
pub(super) fn file_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Processor time of processes between successive samples.
#[derive(Default)]
pub(super) struct CpuMeter {
    last: BTreeMap<u32, f64>,
}

impl CpuMeter {
    /// Processor seconds since the last sample of the process; 0 at its first sample.
    pub(super) fn cpu_since_last_sample(&mut self, pid: u32, usage: Usage) -> f64 {
        let before = self.last.insert(pid, usage.cpu_s);
        before.map_or(0.0, |b| (usage.cpu_s - b).max(0.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_of_this_process_is_measured() {
        let usage = process_usage(std::process::id()).expect("present");
        assert!(usage.resident_mb > 0.5, "{usage:?}");
        assert!(machine_memory_mb() > usage.resident_mb);
        assert!(process_usage(u32::MAX).is_none());
        let mut meter = CpuMeter::default();
        assert_eq!(
            meter.cpu_since_last_sample(
                1,
                Usage {
                    cpu_s: 3.0,
                    resident_mb: 1.0
                }
            ),
            0.0
        );
        assert_eq!(
            meter.cpu_since_last_sample(
                1,
                Usage {
                    cpu_s: 3.5,
                    resident_mb: 1.0
                }
            ),
            0.5
        );
    }
}
