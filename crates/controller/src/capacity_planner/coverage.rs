//! Assigns the demand of all jobs to the machines that exist, boot or are requested. A job is
//! assigned only to machines on which the scheduler may place it and on which a whole task has
//! room.
//!
//! Tasks that occupy a machine for long stay on it. All other demand is divided freely, in
//! fractions of a machine, and the demand that fewer machines admit is assigned first.

use crate::eligibility::ZoneScope;
use crate::split::{MachineClass, Resources};
use crate::supply::{Room, RoomQuery, Supply};
use std::collections::BTreeMap;

/// Fractions of a machine below this are rounding errors.
pub(super) const MIN_FRACTION: f64 = 1e-6;

/// Demand is merged into one group if it agrees in this key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey {
    /// Index of the machine type that was chosen for it.
    pub(super) machine_type: usize,
    /// Zones in which its tasks may be placed.
    pub(super) zones: ZoneScope,
    /// Whether its tasks may run on spot machines.
    pub(super) spot: bool,
    /// Whether it is standby capacity, which gets what the jobs leave.
    pub(super) standby: bool,
    /// Resources of one task, thousandths.
    milli_resources: [u64; 3],
}

impl GroupKey {
    pub(super) fn new(
        machine_type: usize,
        zones: &ZoneScope,
        spot: bool,
        standby: bool,
        resources: &Resources,
    ) -> GroupKey {
        let milli = |x: f64| (x * 1e3).round() as u64;
        GroupKey {
            machine_type,
            zones: zones.clone(),
            spot,
            standby,
            milli_resources: [resources.cpus, resources.gpus, resources.memory_gb].map(milli),
        }
    }
}

/// Demand of tasks that the same machines admit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group {
    /// Resources of one task.
    pub(super) resources: Resources,
    /// Number of tasks that fit one empty machine.
    pub(super) fit: f64,
    /// Demand, machines.
    pub(super) machines: f64,
    /// The part of it for jobs that can still meet their deadline, machines.
    pub(super) timely: f64,
}

/// Result of the assignment for one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct GroupCoverage {
    /// Demand that no machine can take, machines.
    pub(super) uncovered: f64,
    /// Whether any machine admits a task of the group.
    pub(super) has_room: bool,
}

/// Result of the assignment.
#[derive(Default)]
pub(super) struct Coverage {
    pub(super) groups: BTreeMap<GroupKey, GroupCoverage>,
    /// Parts of machines that are not available to further demand, by class, machines: occupied by
    /// lasting tasks, or too small for any waiting task.
    pub(super) occupied: BTreeMap<MachineClass, f64>,
    /// Number of machines without lasting tasks that groups limited to certain zones need, by class
    /// and index of the zone.
    pub(super) needed_in_zone: BTreeMap<(MachineClass, usize), f64>,
}

/// A room and the part of it that is not assigned, machines.
struct OpenRoom<'a> {
    room: &'a Room,
    left: f64,
}

impl OpenRoom<'_> {
    /// The part that a group can take, machines.
    fn available(&self, group: &Group) -> f64 {
        let slots = f64::from(self.room.slots(&group.resources));
        let usable = (slots / group.fit).min(self.room.vacancy.fraction);
        (usable * f64::from(self.room.machines)).min(self.left)
    }
}

/// Assigns the groups to the supply.
pub(super) fn assign(groups: &BTreeMap<GroupKey, Group>, supply: &Supply) -> Coverage {
    let mut rooms: Vec<OpenRoom> = supply
        .rooms()
        .map(|room| OpenRoom {
            room,
            left: room.vacancy.fraction * f64::from(room.machines),
        })
        .collect();
    // Occupied machines are filled first, so that others stay free for tasks that need more room;
    // then spot machines, so that others stay free for jobs that do not tolerate them.
    rooms.sort_by_key(|open| (open.room.is_whole(), !open.room.class.spot));
    let mut coverage = Coverage::default();
    for (key, group) in in_order_of_choice(groups, supply) {
        let covered = assign_group(key, group, supply, &mut rooms, &mut coverage);
        coverage.groups.insert(key.clone(), covered);
    }
    for open in rooms.iter().filter(|open| !open.room.is_whole()) {
        let machines = f64::from(open.room.machines);
        let taken = machines * open.room.vacancy.fraction - open.left;
        *coverage.occupied.entry(open.room.class).or_default() += machines - taken;
    }
    coverage
}

fn query<'a>(key: &'a GroupKey, group: &'a Group) -> RoomQuery<'a> {
    RoomQuery {
        machine_type: key.machine_type,
        zones: &key.zones,
        spot: key.spot,
        resources: &group.resources,
    }
}

/// The groups in the order in which they are assigned: jobs before standby capacity, and those
/// first that fewer machines admit.
fn in_order_of_choice<'a>(
    groups: &'a BTreeMap<GroupKey, Group>,
    supply: &Supply,
) -> Vec<(&'a GroupKey, &'a Group)> {
    let machines_admitting = |key: &GroupKey, group: &Group| -> u32 {
        let admitting = supply
            .rooms()
            .filter(|room| supply.admits(room, &query(key, group)));
        admitting.map(|room| room.machines).sum()
    };
    let mut ordered: Vec<(bool, u32, &GroupKey, &Group)> = groups
        .iter()
        .map(|(key, group)| (key.standby, machines_admitting(key, group), key, group))
        .collect();
    ordered.sort_by_key(|(standby, machines, key, _)| (*standby, *machines, *key));
    ordered
        .into_iter()
        .map(|(_, _, key, group)| (key, group))
        .collect()
}

fn assign_group(
    key: &GroupKey,
    group: &Group,
    supply: &Supply,
    rooms: &mut [OpenRoom],
    coverage: &mut Coverage,
) -> GroupCoverage {
    let query = query(key, group);
    let mut covered = GroupCoverage {
        uncovered: group.machines,
        has_room: false,
    };
    for open in rooms.iter_mut() {
        if !supply.admits(open.room, &query) {
            continue;
        }
        covered.has_room = true;
        let taken = open.available(group).min(covered.uncovered).max(0.0);
        open.left -= taken;
        covered.uncovered -= taken;
        if key.zones != ZoneScope::Any && open.room.is_whole() {
            let market = (open.room.class, open.room.zone);
            *coverage.needed_in_zone.entry(market).or_default() += taken;
        }
    }
    if covered.uncovered < MIN_FRACTION {
        covered.uncovered = 0.0;
    }
    covered
}
