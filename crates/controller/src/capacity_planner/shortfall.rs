//! Simulates when queued tasks would start on the capacity that is free now or becomes free later,
//! and computes the capacity missing for those that would start too late. A task needs all its CPUs
//! on one machine, in a zone in which it may be placed.

use crate::eligibility::ZoneScope;
use crate::supply::FreePiece;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Maximum number of tasks in one simulation; bounds CPU time.
const MAX_SIMULATED_TASKS: u32 = 1_500;
/// Maximum number of pieces of capacity considered in one simulation; bounds CPU time.
const MAX_CONSIDERED_PIECES: u32 = 50_000;
/// A machine is not rented for a task whose latest start is within this fraction of the setup time:
/// the machine would be up too late.
const MIN_SETUP_FRACTION: f64 = 0.7;

/// Order in which queued tasks get capacity; lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// `u8::MAX` minus the job's priority.
    pub(super) inverse_priority: u8,
    /// Whether the job cannot meet its deadline; late jobs come after others of their priority.
    pub(super) late: bool,
}

/// Tasks of one job that wait for capacity of one machine type.
#[derive(Clone, Debug)]
pub(super) struct QueuedTasks {
    pub(super) rank: QueueRank,
    /// Zones in which they may be placed.
    pub(super) zones: ZoneScope,
    /// Time until the deadline, seconds; minus the age for jobs without a deadline. Lower values
    /// come first within a rank.
    pub(super) time_to_deadline_s: f64,
    /// CPUs required by one task.
    pub(super) cpus: f64,
    pub(super) count: u32,
    pub(super) run_s: f64,
    /// Latest acceptable start, seconds from now; `None` if the tasks need not start by any time.
    pub(super) latest_start_s: Option<f64>,
    /// Time until a machine rented now is up, seconds.
    pub(super) setup_s: f64,
}

/// Converts seconds to milliseconds, or CPUs to thousandths of a CPU. Integers, unlike floats, can
/// be ordered in a heap.
fn thousandths(x: f64) -> u64 {
    (x.max(0.0) * 1e3) as u64
}

/// CPUs that are free on a machine from some time on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpus {
    /// Milliseconds from now; `u64::MAX` if they never become free.
    at: u64,
    /// Thousandths of a CPU.
    cpus: u64,
    machine: usize,
}

/// Free capacity of one machine type, by zone.
struct CapacityTimeline {
    /// Pieces by the time from which they are free, by index of the zone.
    zones: Vec<BinaryHeap<Reverse<FreeCpus>>>,
    /// Pieces that were too small for an earlier task, by thousandths of a CPU and machine: the
    /// time from which each is free, and the index of its zone.
    fragments: BTreeMap<(u64, usize), (u64, usize)>,
    /// The size of the fragment of each machine, thousandths of a CPU; 0 without one.
    fragment_sizes: Vec<u64>,
    considered: u32,
}

/// Capacity allocated to a task.
#[derive(Clone, Copy)]
struct Allocated {
    /// When all of it is free, milliseconds from now.
    at: u64,
    machine: usize,
    zone: usize,
}

impl CapacityTimeline {
    fn new(pieces: &[FreePiece], zone_count: usize) -> CapacityTimeline {
        let mut zones: Vec<Vec<Reverse<FreeCpus>>> = vec![Vec::new(); zone_count];
        let mut machine_count = 0;
        for piece in pieces {
            machine_count = machine_count.max(piece.machine + 1);
            if let Some(zone) = zones.get_mut(piece.zone) {
                zone.push(Reverse(FreeCpus {
                    at: thousandths(piece.at_s),
                    cpus: thousandths(piece.cpus),
                    machine: piece.machine,
                }));
            }
        }
        CapacityTimeline {
            zones: zones.into_iter().map(BinaryHeap::from).collect(),
            fragments: BTreeMap::new(),
            fragment_sizes: vec![0; machine_count],
            considered: 0,
        }
    }

    fn add(&mut self, zone: usize, free: FreeCpus) {
        if let Some(heap) = self.zones.get_mut(zone).filter(|_| free.cpus > 0) {
            heap.push(Reverse(free));
        }
    }

    /// Allocates the capacity of one machine that becomes free first; `None` if no machine in
    /// these zones ever has enough. A surplus is returned to the timeline.
    fn allocate(&mut self, cpus: u64, zones: &[usize]) -> Option<Allocated> {
        self.reconsider_fragments(cpus);
        while let Some((zone, free)) = self.pop_first(zones) {
            let FreeCpus { at, machine, .. } = free;
            if at == u64::MAX {
                return None;
            }
            let total = free.cpus + self.take_fragment(machine);
            if total >= cpus {
                let surplus = total - cpus;
                let free = FreeCpus {
                    at,
                    cpus: surplus,
                    machine,
                };
                self.add(zone, free);
                return Some(Allocated { at, machine, zone });
            }
            self.fragments.insert((total, machine), (at, zone));
            self.set_fragment_size(machine, total);
        }
        None
    }

    /// Removes the piece that becomes free first in these zones.
    fn pop_first(&mut self, zones: &[usize]) -> Option<(usize, FreeCpus)> {
        let heads = zones.iter().filter_map(|zone| {
            let Reverse(free) = self.zones.get(*zone)?.peek()?;
            Some((*free, *zone))
        });
        let (_, zone) = heads.min()?;
        self.considered += 1;
        let Reverse(free) = self.zones.get_mut(zone)?.pop()?;
        Some((zone, free))
    }

    fn set_fragment_size(&mut self, machine: usize, cpus: u64) {
        if let Some(size) = self.fragment_sizes.get_mut(machine) {
            *size = cpus;
        }
    }

    /// Removes the fragment of a machine and returns its size, thousandths of a CPU.
    fn take_fragment(&mut self, machine: usize) -> u64 {
        let cpus = self.fragment_sizes.get(machine).copied().unwrap_or(0);
        if cpus > 0 {
            self.set_fragment_size(machine, 0);
            self.fragments.remove(&(cpus, machine));
        }
        cpus
    }

    /// Returns the fragments to the timeline that are large enough for a task.
    fn reconsider_fragments(&mut self, cpus: u64) {
        for ((cpus, machine), (at, zone)) in self.fragments.split_off(&(cpus, 0)) {
            self.set_fragment_size(machine, 0);
            self.add(zone, FreeCpus { at, cpus, machine });
        }
    }

    fn is_exhausted(&self) -> bool {
        self.considered > MAX_CONSIDERED_PIECES
    }
}

/// CPUs missing for tasks with a latest start, by the zones in which the tasks may be placed. A
/// task counts if it would start too late on the capacity that is free now or becomes free later,
/// and a machine rented now would be up in time.
pub(super) fn shortfall_cpus(
    pieces: &[FreePiece],
    zone_names: &[String],
    queue: &mut [QueuedTasks],
) -> BTreeMap<ZoneScope, f64> {
    let mut timeline = CapacityTimeline::new(pieces, zone_names.len());
    queue.sort_by(|a, b| {
        a.rank
            .cmp(&b.rank)
            .then(a.time_to_deadline_s.total_cmp(&b.time_to_deadline_s))
    });
    let mut shortfall: BTreeMap<ZoneScope, f64> = BTreeMap::new();
    let mut tasks = 0;
    for queued in queue.iter() {
        let cpus = thousandths(queued.cpus).max(1);
        let zones: Vec<usize> = (0..zone_names.len())
            .filter(|zone| queued.zones.contains(&zone_names[*zone]))
            .collect();
        for _ in 0..queued.count {
            tasks += 1;
            if tasks > MAX_SIMULATED_TASKS || timeline.is_exhausted() {
                return shortfall;
            }
            let allocated = timeline.allocate(cpus, &zones);
            let needs_new = needs_new_machine(queued, allocated.map(|a| a.at));
            if needs_new {
                *shortfall.entry(queued.zones.clone()).or_default() += queued.cpus;
            }
            if let Some(Allocated { at, machine, zone }) = allocated {
                // A task that will run on a newly rented machine leaves this capacity free.
                let busy = if needs_new {
                    0
                } else {
                    thousandths(queued.run_s)
                };
                let at = at.saturating_add(busy);
                timeline.add(zone, FreeCpus { at, cpus, machine });
            }
        }
    }
    shortfall
}

/// Whether a task that would start at `start` (milliseconds; `None` if never) starts too late, and
/// a machine rented now would be up earlier and not too late ([`MIN_SETUP_FRACTION`]).
fn needs_new_machine(queued: &QueuedTasks, start: Option<u64>) -> bool {
    let starts_after = |s: f64| start.is_none_or(|start| start > thousandths(s));
    queued.latest_start_s.is_some_and(|latest_s| {
        starts_after(latest_s)
            && starts_after(queued.setup_s)
            && latest_s > queued.setup_s * MIN_SETUP_FRACTION
    })
}
