//! Places that are kept for waiting tasks.

use crate::{Budget, Offer};
use beamhinge_core::types::{Attempt, MachineId, TaskId, Time};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Longest time from a stop to the start in its place that is told apart, ms.
const LONGEST_MS: u64 = 600_000;

/// A machine on which somebody was stopped for this task.
#[derive(Clone, Debug)]
struct Place {
    machine: MachineId,
    attempt: Attempt,
    asked: Time,
    /// Who was stopped for it, and has not been seen to end.
    owing: Vec<TaskId>,
    stops: u32,
}

/// What making room came to, since this holder's term began.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Tasks stopped for others.
    pub stops: u64,
    /// CPU seconds lost with them, as far as known.
    pub lost_cpu_s: f64,
    /// Places asked for, those in which the task started, and those given up.
    pub asked: u64,
    pub started: u64,
    pub lapsed: u64,
    /// Stops for places that were given up.
    pub in_vain: u64,
    /// From the stop to the start in its place, milliseconds.
    took_ms: Option<Histogram<u32>>,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            stops: 0,
            lost_cpu_s: 0.0,
            asked: 0,
            started: 0,
            lapsed: 0,
            in_vain: 0,
            took_ms: Histogram::new_with_bounds(1, LONGEST_MS, 2).ok(),
        }
    }
}

impl Figures {
    /// Seconds from a stop to the start in its place, at this quantile.
    pub fn took_s(&self, quantile: f64) -> f64 {
        self.took_ms
            .as_ref()
            .map_or(0.0, |h| h.value_at_quantile(quantile) as f64 / 1e3)
    }
}

/// Places that are open: one for each waiting task at most.
#[derive(Debug, Default)]
pub struct Places {
    open: BTreeMap<TaskId, Place>,
    budget: Budget,
    pub figures: Figures,
}

impl Places {
    /// How many more may be asked for that stop somebody. What a large task frees
    /// serves many small ones, so places that stop nobody are not counted: with
    /// them a burst got two large tasks' room, and had to wait for more.
    pub fn room(&self) -> usize {
        let stopping = self.open.values().filter(|p| p.stops > 0).count();
        self.budget.window().saturating_sub(stopping)
    }

    pub fn window(&self) -> usize {
        self.budget.window()
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// A place is kept for this attempt. One that stops nobody is kept in room
    /// that others' ends leave.
    pub fn ask(
        &mut self,
        now: Time,
        task: TaskId,
        attempt: Attempt,
        machine: MachineId,
        offer: &Offer,
    ) {
        let stops = offer.victims.len() as u32;
        self.figures.asked += 1;
        self.figures.stops += u64::from(stops);
        self.figures.lost_cpu_s += offer.loss;
        let owing = offer.victims.iter().map(|v| v.task).collect();
        self.open.insert(
            task,
            Place {
                machine,
                attempt,
                asked: now,
                owing,
                stops,
            },
        );
    }

    /// Whether this attempt's place is still to come: someone has yet to end.
    pub fn owed(&self, task: TaskId, attempt: Attempt) -> bool {
        self.open
            .get(&task)
            .is_some_and(|p| p.attempt == attempt && !p.owing.is_empty())
    }

    /// A task is off a machine: who waits for that waits for one less.
    pub fn ended(&mut self, machine: MachineId, task: TaskId) {
        for p in self.open.values_mut().filter(|p| p.machine == machine) {
            p.owing.retain(|t| *t != task);
        }
    }

    /// The task was seen on its machine.
    pub fn started(&mut self, now: Time, task: TaskId, attempt: Attempt) {
        if self.open.get(&task).is_none_or(|p| p.attempt != attempt) {
            return;
        }
        let Some(place) = self.open.remove(&task) else {
            return;
        };
        self.figures.started += 1;
        if let Some(h) = &mut self.figures.took_ms {
            h.saturating_record(((now.since(place.asked) * 1e3) as u64).max(1));
        }
        self.budget.started();
    }

    /// The task does not want its place any more, or cannot have it.
    /// True when others were stopped for it.
    pub fn lapsed(&mut self, now: Time, task: TaskId, attempt: Attempt) -> bool {
        if self.open.get(&task).is_none_or(|p| p.attempt != attempt) {
            return false;
        }
        let Some(place) = self.open.remove(&task) else {
            return false;
        };
        self.figures.lapsed += 1;
        self.figures.in_vain += u64::from(place.stops);
        if place.stops > 0 {
            self.budget.lapsed(now, place.asked);
        }
        place.stops > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Resident;
    use beamhinge_core::types::JobId;

    #[test]
    fn a_place_ends_once_in_a_start_or_in_vain() {
        let at = |s: f64| Time::default().plus(100.0 + s);
        let task = |index| TaskId {
            job: JobId::parse("job-1").expect("an id"),
            index,
        };
        let m = MachineId::parse("n-000001").expect("a name");
        let offer = |n: u32| Offer {
            loss: 3.0,
            victims: (0..n)
                .map(|i| Resident {
                    task: task(100 + i),
                    size: [1.0, 0.0, 1.0],
                    loss: 1.0,
                    who: 0,
                })
                .collect(),
        };
        let mut p = Places::default();
        let room = p.room();
        p.ask(at(0.0), task(0), Attempt(5), m, &offer(2));
        p.ask(at(0.0), task(1), Attempt(6), m, &offer(1));
        assert_eq!((p.room(), p.open()), (room - 2, 2));
        p.ask(at(0.0), task(2), Attempt(7), m, &offer(0));
        assert_eq!((p.room(), p.open()), (room - 2, 3), "it stops nobody");
        assert!(!p.lapsed(at(0.1), task(2), Attempt(7)));
        assert_eq!(p.window(), room, "nor does it tell anything");
        assert!(p.owed(task(0), Attempt(5)) && !p.owed(task(0), Attempt(4)));
        p.ended(m, task(100));
        assert!(p.owed(task(0), Attempt(5)), "another has yet to end");
        p.ended(m, task(101));
        assert!(!p.owed(task(0), Attempt(5)));
        // What is told of another attempt changes nothing.
        p.started(at(1.0), task(0), Attempt(4));
        p.started(at(1.0), task(0), Attempt(5));
        p.started(at(2.0), task(0), Attempt(5));
        p.lapsed(at(2.0), task(0), Attempt(5));
        p.lapsed(at(2.0), task(1), Attempt(6));
        let f = &p.figures;
        assert_eq!(
            (f.asked, f.started, f.lapsed, f.stops, f.in_vain),
            (3, 1, 2, 3, 1)
        );
        assert!((f.took_s(0.5) - 1.0).abs() < 0.05);
        assert_eq!(p.open(), 0);
        assert!(p.room() < room, "a place in vain narrows the window");
    }
}
