//! Machines that exist, boot or are requested, as room for tasks: where they are, and what tasks
//! that run for long leave free on each. A task needs its whole room on one machine.

use crate::eligibility::ZoneScope;
use crate::split::{tasks_that_fit, MachineClass, MachineType, Resources};
use beamhinge_core::types::JobId;
use std::collections::BTreeMap;

/// A task that ends later than this, seconds, occupies its part of the machine: others do not wait
/// for its end.
pub const MAX_WAIT_FOR_EXIT_S: f64 = 90.0;
/// Fractions of a machine are compared in this unit.
const FRACTION_UNIT: f64 = 1e6;

/// CPUs of one machine that become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FreePiece {
    /// Number of the machine, unique within the supply.
    pub machine: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Seconds from now until they are free.
    pub at_s: f64,
    /// Number of CPUs.
    pub cpus: f64,
}

/// What tasks that occupy a machine for long leave free on it.
#[derive(Clone, Debug)]
pub struct Vacancy {
    /// Resources without those of lasting tasks.
    pub room: Resources,
    /// The fraction of the machine that lasting tasks leave, from 0 to 1.
    pub fraction: f64,
}

impl Vacancy {
    /// A machine without lasting tasks.
    pub fn whole(machine_type: &MachineType) -> Vacancy {
        Vacancy {
            room: machine_type.capacity(),
            fraction: 1.0,
        }
    }

    /// Takes away the resources of a lasting task.
    pub fn occupy(&mut self, machine_type: &MachineType, resources: &Resources) {
        self.room.sub(resources);
        let fit = f64::from(machine_type.max_tasks(resources).max(1));
        self.fraction = (self.fraction - 1.0 / fit).max(0.0);
    }
}

/// Machines of one class and zone with equal vacancies.
#[derive(Clone, Debug)]
pub struct Room {
    /// Their class.
    pub class: MachineClass,
    /// Index of their zone.
    pub zone: usize,
    /// What is vacant on each of them.
    pub vacancy: Vacancy,
    /// Number of machines.
    pub machines: u32,
}

impl Room {
    /// Whether no lasting task occupies these machines.
    pub fn is_whole(&self) -> bool {
        self.vacancy.fraction >= 1.0
    }

    /// Number of tasks that have room on each of these machines at once.
    pub fn slots(&self, resources: &Resources) -> u32 {
        tasks_that_fit(&self.vacancy.room, resources)
    }
}

/// Rooms are merged if they agree in this key.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RoomKey {
    class: MachineClass,
    zone: usize,
    vacancy: [i64; 4],
}

/// What a group of tasks requires of a machine.
#[derive(Clone, Copy, Debug)]
pub struct RoomQuery<'a> {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Zones in which the tasks may be placed.
    pub zones: &'a ZoneScope,
    /// Whether they may run on spot machines.
    pub spot: bool,
    /// Resources of one task.
    pub resources: &'a Resources,
}

/// All machines that exist, boot or are requested.
#[derive(Default)]
pub struct Supply {
    zones: Vec<String>,
    rooms: BTreeMap<RoomKey, Room>,
    pieces: BTreeMap<usize, Vec<FreePiece>>,
    machines: usize,
    /// Number of lasting tasks on these machines, by job.
    lasting_tasks: BTreeMap<JobId, u32>,
}

impl Supply {
    /// Index of a zone.
    pub fn zone_index(&mut self, zone: &str) -> usize {
        let known = self.zones.iter().position(|known| known == zone);
        known.unwrap_or_else(|| {
            self.zones.push(zone.to_string());
            self.zones.len() - 1
        })
    }

    /// Names of the zones, by index.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// All rooms.
    pub fn rooms(&self) -> impl Iterator<Item = &Room> {
        self.rooms.values()
    }

    /// Pieces of the machines of one type.
    pub fn pieces(&self, machine_type: usize) -> &[FreePiece] {
        self.pieces.get(&machine_type).map_or(&[], Vec::as_slice)
    }

    /// Number of the job's tasks that occupy machines for long.
    pub fn lasting_tasks(&self, job: JobId) -> u32 {
        self.lasting_tasks.get(&job).copied().unwrap_or(0)
    }

    /// Counts one lasting task of a job.
    pub fn add_lasting_task(&mut self, job: JobId) {
        *self.lasting_tasks.entry(job).or_default() += 1;
    }

    /// Adds one machine with the CPUs that become free on it, as pairs of the seconds until they
    /// are free and their number.
    pub fn add_machine(
        &mut self,
        class: MachineClass,
        zone: &str,
        vacancy: Vacancy,
        free: impl IntoIterator<Item = (f64, f64)>,
    ) {
        let zone = self.zone_index(zone);
        let machine = self.machines;
        self.machines += 1;
        let pieces = self.pieces.entry(class.machine_type).or_default();
        pieces.extend(free.into_iter().map(|(at_s, cpus)| FreePiece {
            machine,
            zone,
            at_s,
            cpus,
        }));
        let rounded = |x: f64| (x * FRACTION_UNIT) as i64;
        let room = &vacancy.room;
        let key = RoomKey {
            class,
            zone,
            vacancy: [room.cpus, room.gpus, room.memory_gb, vacancy.fraction].map(rounded),
        };
        let room = self.rooms.entry(key).or_insert(Room {
            class,
            zone,
            vacancy,
            machines: 0,
        });
        room.machines += 1;
    }

    /// Whether the scheduler may place one of the tasks on machines of this room, now or after
    /// tasks have ended that do not last.
    pub fn admits(&self, room: &Room, query: &RoomQuery) -> bool {
        room.class.machine_type == query.machine_type
            && (query.spot || !room.class.spot)
            && query.resources.fits(&room.vacancy.room)
            && self
                .zones
                .get(room.zone)
                .is_some_and(|zone| query.zones.contains(zone))
    }

    /// Whether any machine admits one of the tasks.
    pub fn has_room(&self, query: &RoomQuery) -> bool {
        self.rooms().any(|room| self.admits(room, query))
    }
}
