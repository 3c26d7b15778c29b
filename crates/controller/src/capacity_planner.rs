//! The capacity planner computes the target number of machines of each type from the open jobs, the
//! observed spot market and the learner's weights.
//!
//! It extends the paper's policy (see `docs/design.md`) in three ways:
//! - If the objective of a class bounds the finish time of its jobs, that bound is their deadline.
//! - The policy's on-demand share is required capacity. It is rented on demand only where the spot
//!   market refuses it.
//! - Tasks run one after another on the same slot as far as their deadline allows, because booting
//!   a machine costs as much as running a task.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `arrivals` | arrival statistics of classes whose jobs may not wait, for standby capacity |
//! | `coverage` | assigns demand to the machines on which the scheduler may place it |
//! | `shortfall` | capacity missing for tasks that would otherwise start too late |
//! | `record` | format of the stored record |
//! | `persistence` | reads and writes of the record |
//!
//! Invariant: the parameters of a job are drawn and its owned machines assigned once, when the job
//! is first seen; both stay the same until the job ends.

use crate::eligibility::ZoneScope;
use crate::split::{
    self, Demand, Learner, MachineType, Market, MarketObservation, PolicyParameters,
    RefusedMarkets, ReplayedJob, TypeChoice,
};
use crate::supply::{RoomQuery, Supply};
use arrivals::Arrivals;
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{FencingToken, JobId, Time};
use coverage::{Coverage, Group, GroupCoverage, GroupKey};
use persistence::RecordSync;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shortfall::{shortfall_cpus, QueueRank, QueuedTasks};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

mod arrivals;
mod coverage;
mod persistence;
mod record;
mod shortfall;

/// Length of one update, slots (Len in the paper).
const UPDATE_LEN: f64 = 3.0;
/// Maximum number of market observations kept for replays.
const MAX_MARKET_HISTORY: usize = 240;
/// Standby capacity of a class whose jobs may not wait, as a multiple of its highest recent load.
const STANDBY_FACTOR: f64 = 1.4;
/// Longest job window that the learner takes into account, slots.
const MAX_WINDOW: f64 = 720.0;
/// Safety factor on the boot time that a split assumes.
const BOOT_MARGIN: f64 = 1.2;

/// State of a job whose work is split over owned, spot and on-demand machines.
#[derive(Clone, Debug)]
struct SplitJob {
    /// Index of the job's parameters in the learner's grid.
    parameters: usize,
    /// Owned machines assigned to the job.
    owned: f64,
    /// The job as it arrived. Its window is set to 0 once the learner has replayed it.
    replayed: ReplayedJob,
    arrived_at: Time,
    /// Whether the job was open in the latest planning run.
    open: bool,
}

/// Target capacity of one machine type, in machines. `spot`, `timely` and `on_demand` include the
/// parts of existing machines that no waiting task can use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetCapacity {
    /// Demand of all jobs that may run on spot machines.
    pub spot_demand: f64,
    /// Capacity worth renting at the spot price.
    pub spot: f64,
    /// The part of `spot` for jobs that can still meet their deadline.
    pub timely: f64,
    /// Standby capacity for classes whose jobs may not wait.
    pub standby: f64,
    /// Capacity required beyond the machines that are up, booting or requested.
    pub shortfall: f64,
    /// Capacity for jobs that may not run on spot machines.
    pub on_demand: f64,
    /// Whether some job waits that no machine admits: one that exists, boots or is requested.
    pub unserved: bool,
}

/// Capacity that is missing in certain zones, because jobs are limited to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonalTarget {
    /// Index into the machine types.
    pub machine_type: usize,
    /// The zones.
    pub zones: ZoneScope,
    /// The missing capacity.
    pub missing: TargetCapacity,
}

/// Result of one planning run.
#[derive(Default)]
pub struct CapacityTargets {
    /// Target capacity by machine type, for all zones together.
    pub by_type: BTreeMap<usize, TargetCapacity>,
    /// Capacity that is missing in certain zones; `by_type` includes it.
    pub zonal: Vec<ZonalTarget>,
    /// Number of existing machines that jobs need which are limited to their zone.
    pub needed_in_zone: BTreeMap<Market, u32>,
}

/// Inputs of one planning run.
pub struct PlanInputs<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Demand of all open jobs.
    pub demands: &'a [Demand],
    /// The machine types that can be rented.
    pub machine_types: &'a [MachineType],
    /// The platform's settings.
    pub settings: &'a Settings,
    /// CPUs of all owned machines.
    pub owned_cpus: f64,
    /// The machines that exist, boot or are requested.
    pub supply: &'a Supply,
    /// Markets that recently refused a request.
    pub refused: &'a RefusedMarkets,
}

/// One pair of the learner's parameters, with its weight and use.
#[derive(Clone, Copy, Debug)]
pub struct ParameterUse {
    /// The pair of parameters.
    pub parameters: PolicyParameters,
    /// Weight of the pair; the weights of all pairs sum to 1.
    pub weight: f64,
    /// Number of open jobs that drew the pair.
    pub jobs: u32,
}

/// The deadline of a deadline array, seconds from its submission: the earlier one of the user's
/// deadline and the finish objective of its class. `None` if it has neither, and for other jobs.
fn deadline_s(demand: &Demand, settings: &Settings) -> Option<f64> {
    let objective = settings.tightest_objective_s("finished", &demand.class);
    let deadline = demand
        .deadline_s
        .into_iter()
        .chain(objective)
        .min_by(f64::total_cmp);
    deadline.filter(|_| demand.deadline_array)
}

/// The times from which a split is computed.
struct Timing {
    /// Time until the deadline, seconds.
    window_s: f64,
    /// Time to fetch the image, seconds.
    fetch_s: f64,
    /// Time until a machine rented now can start a task, seconds.
    setup_s: f64,
    /// Remaining work, task-slots.
    work: f64,
    /// Window in which the remaining work can run, slots.
    usable_window: f64,
}

fn timing(demand: &Demand, machine_type: &MachineType, deadline_s: f64, slot_s: f64) -> Timing {
    let window_s = deadline_s - demand.age_s;
    let fetch_s = if machine_type.fetch_gb_per_s > 0.0 {
        demand.image_gb / machine_type.fetch_gb_per_s
    } else {
        0.0
    };
    let setup_s = machine_type.boot_s * BOOT_MARGIN + fetch_s;
    // Tasks that are not placed yet may first have to wait for a machine to boot.
    let usable_s = if demand.waiting() > 0 {
        window_s - setup_s
    } else {
        window_s
    };
    Timing {
        window_s,
        fetch_s,
        setup_s,
        work: f64::from(demand.remaining_tasks) * demand.run_s / slot_s,
        usable_window: usable_s / slot_s,
    }
}

/// Inputs and intermediate results of one planning run.
struct Plan<'a> {
    now: Time,
    machine_types: &'a [MachineType],
    settings: &'a Settings,
    supply: &'a Supply,
    refused: &'a RefusedMarkets,
    /// For each type, whether some job fits no other type.
    exclusive: Vec<bool>,
    /// CPUs of owned machines that are not assigned to an open job.
    unassigned_owned_cpus: f64,
    targets: BTreeMap<usize, TargetCapacity>,
    groups: BTreeMap<GroupKey, Group>,
    queues: BTreeMap<usize, Vec<QueuedTasks>>,
    /// Number of open tasks of each class whose jobs may not wait.
    open_tasks: BTreeMap<Rc<str>, f64>,
}

impl Plan<'_> {
    fn target(&mut self, machine_type: usize) -> &mut TargetCapacity {
        self.targets.entry(machine_type).or_default()
    }

    fn enqueue(&mut self, machine_type: usize, tasks: QueuedTasks) {
        self.queues.entry(machine_type).or_default().push(tasks);
    }

    /// The machine type for a job: the cheapest one. If all its markets refuse requests and no
    /// machine of it has room for the job, the cheapest type that can be rented.
    fn choose_type(&self, demand: &Demand) -> Option<TypeChoice> {
        let choice = split::cheapest_type(self.machine_types, demand, &self.exclusive)?;
        let is_refused = |index: usize, machine_type: &MachineType| {
            demand.is_refused(index, &machine_type.zones, self.refused)
        };
        let chosen = self.machine_types.get(choice.machine_type)?;
        let waits_in_vain = demand.waiting() > 0
            && is_refused(choice.machine_type, chosen)
            && !self.supply.has_room(&RoomQuery {
                machine_type: choice.machine_type,
                zones: &demand.zones,
                spot: demand.spot,
                resources: &demand.resources,
            });
        if !waits_in_vain {
            return Some(choice);
        }
        let rentable: Vec<MachineType> = self
            .machine_types
            .iter()
            .enumerate()
            .map(|(index, machine_type)| MachineType {
                zones: if is_refused(index, machine_type) {
                    Vec::new()
                } else {
                    machine_type.zones.clone()
                },
                ..machine_type.clone()
            })
            .collect();
        split::cheapest_type(&rentable, demand, &self.exclusive).or(Some(choice))
    }

    /// Adds the slots that a job needs at once, `timely` of them for a job that can still meet its
    /// deadline. Slots of lasting tasks stay where they are and need no other machine.
    fn add_slots(&mut self, demand: &Demand, choice: TypeChoice, slots: f64, timely: bool) {
        let lasting = f64::from(self.supply.lasting_tasks(demand.job));
        let movable = (slots - lasting).max(0.0);
        let waiting = (slots - f64::from(demand.placed_tasks)).clamp(0.0, movable);
        self.add_group(demand, choice, &demand.zones, waiting, timely);
        self.add_group(
            demand,
            choice,
            &demand.placed_zones,
            movable - waiting,
            timely,
        );
    }

    fn add_group(
        &mut self,
        demand: &Demand,
        choice: TypeChoice,
        zones: &ZoneScope,
        slots: f64,
        timely: bool,
    ) {
        if slots <= 0.0 {
            return;
        }
        let machines = slots / tasks_per_machine(choice);
        let timely = if timely { machines } else { 0.0 };
        let target = self.target(choice.machine_type);
        if demand.spot {
            target.spot += machines;
            target.timely += timely;
        } else {
            target.on_demand += machines;
        }
        self.add_to_group(demand, choice, zones, false, (machines, timely));
    }

    /// Adds demand to its group, in machines: all of it, and its timely part.
    fn add_to_group(
        &mut self,
        demand: &Demand,
        choice: TypeChoice,
        zones: &ZoneScope,
        standby: bool,
        (machines, timely): (f64, f64),
    ) {
        let resources = demand.resources;
        let (index, spot) = (choice.machine_type, demand.spot);
        let key = GroupKey::new(index, zones, spot, standby, &resources);
        let group = self.groups.entry(key).or_insert(Group {
            resources,
            fit: tasks_per_machine(choice),
            machines: 0.0,
            timely: 0.0,
        });
        group.machines += machines;
        group.timely += timely;
    }

    /// Adds a job without a deadline: it needs capacity for all its tasks, in order of arrival.
    fn add_job_without_deadline(&mut self, demand: &Demand, choice: TypeChoice, boot_s: f64) {
        let slots = f64::from(demand.remaining_tasks);
        self.target(choice.machine_type).spot_demand += slots / tasks_per_machine(choice);
        self.add_slots(demand, choice, slots, false);
        self.enqueue(
            choice.machine_type,
            QueuedTasks {
                rank: QueueRank {
                    inverse_priority: u8::MAX - demand.priority,
                    late: false,
                },
                zones: demand.zones.clone(),
                time_to_deadline_s: -demand.age_s,
                cpus: demand.resources.cpus,
                count: demand.waiting(),
                run_s: demand.run_s.max(1.0),
                latest_start_s: Some(boot_s),
                setup_s: boot_s,
            },
        );
    }

    /// The shortfall of each machine type in machines, by the zones in which the waiting tasks may
    /// be placed.
    fn shortfalls(&mut self) -> BTreeMap<(usize, ZoneScope), f64> {
        let mut shortfalls = BTreeMap::new();
        for (machine_type, mut queue) in std::mem::take(&mut self.queues) {
            let cpus = self.machine_types.get(machine_type).map_or(0.0, |t| t.cpus);
            if cpus > 0.0 {
                let pieces = self.supply.pieces(machine_type);
                let missing_cpus = shortfall_cpus(pieces, self.supply.zones(), &mut queue);
                shortfalls.extend(
                    missing_cpus
                        .into_iter()
                        .map(|(zones, missing)| ((machine_type, zones), missing / cpus)),
                );
            }
        }
        shortfalls
    }

    /// Compares the demand with the supply and completes the targets.
    fn into_targets(mut self) -> CapacityTargets {
        let shortfalls = self.shortfalls();
        let coverage = coverage::assign(&self.groups, self.supply);
        for (class, machines) in &coverage.occupied {
            let target = self.target(class.machine_type);
            if class.spot {
                target.spot += machines;
                target.timely += machines;
            } else {
                target.on_demand += machines;
            }
        }
        let mut zonal: BTreeMap<(usize, ZoneScope), TargetCapacity> = BTreeMap::new();
        for (key, covered) in &coverage.groups {
            if let Some(group) = self.groups.get(key).copied().filter(|_| !key.standby) {
                let missing = match &key.zones {
                    ZoneScope::Any => self.target(key.machine_type),
                    ZoneScope::Only(_) => zonal
                        .entry((key.machine_type, key.zones.clone()))
                        .or_default(),
                };
                add_missing(missing, key, &group, covered);
            }
        }
        for ((machine_type, zones), shortfall) in shortfalls {
            let missing = match zones {
                ZoneScope::Any => self.target(machine_type),
                ZoneScope::Only(_) => zonal.entry((machine_type, zones)).or_default(),
            };
            missing.shortfall += shortfall;
        }
        CapacityTargets {
            by_type: self.targets,
            zonal: zonal
                .into_iter()
                .filter(|(_, missing)| *missing != TargetCapacity::default())
                .map(|((machine_type, zones), missing)| ZonalTarget {
                    machine_type,
                    zones,
                    missing,
                })
                .collect(),
            needed_in_zone: needed_in_zone(&coverage, self.supply),
        }
    }
}

/// Adds the uncovered part of a group to the missing capacity. For groups that may use every zone,
/// the total target already includes it.
fn add_missing(
    missing: &mut TargetCapacity,
    key: &GroupKey,
    group: &Group,
    covered: &GroupCoverage,
) {
    missing.unserved |= group.machines > 0.0 && !covered.has_room;
    if key.zones == ZoneScope::Any {
        return;
    }
    if key.spot {
        missing.spot += covered.uncovered;
        missing.timely += covered.uncovered.min(group.timely);
    } else {
        missing.on_demand += covered.uncovered;
    }
}

/// The numbers of machines that jobs need which are limited to their zones.
fn needed_in_zone(coverage: &Coverage, supply: &Supply) -> BTreeMap<Market, u32> {
    let mut needed = BTreeMap::new();
    for ((class, zone), machines) in &coverage.needed_in_zone {
        if let Some(zone) = supply.zones().get(*zone) {
            needed.insert(Market::new(*class, zone), machines.ceil() as u32);
        }
    }
    needed
}

fn tasks_per_machine(choice: TypeChoice) -> f64 {
    f64::from(choice.fit.max(1))
}

/// Plans capacity during one term of leadership.
pub struct CapacityPlanner {
    learner: Learner,
    rng: SmallRng,
    slot_s: f64,
    update_s: f64,
    jobs: BTreeMap<JobId, SplitJob>,
    /// Splits that an earlier leader stored, until their jobs are seen: index of the parameters,
    /// and owned machines.
    restored_splits: BTreeMap<JobId, (usize, f64)>,
    market: VecDeque<(Time, MarketObservation)>,
    observed_at: Time,
    term_started_at: Time,
    /// Longest job window so far, slots, at most [`MAX_WINDOW`].
    max_window: f64,
    /// Arrivals by class, for classes whose jobs may not wait.
    arrivals: BTreeMap<Rc<str>, Arrivals>,
    /// The latest job of each of these classes.
    latest_demands: BTreeMap<Rc<str>, Demand>,
    record: RecordSync,
    /// Ratios of run time to estimate by class that an earlier leader learned; `None` until the
    /// record is read, and after the caller has taken them.
    pub restored_run_ratios: Option<BTreeMap<String, f64>>,
}

impl CapacityPlanner {
    /// Creates a planner without history. Its random generator is seeded from the operators' seed
    /// and the fencing token, or randomly if the operators' seed is 0.
    pub fn new(operator: &OperatorSettings, token: FencingToken, now: Time) -> CapacityPlanner {
        let seed = if operator.seed == 0 {
            rand::random()
        } else {
            operator.seed ^ token.0
        };
        CapacityPlanner {
            learner: Learner::default(),
            rng: SmallRng::seed_from_u64(seed),
            slot_s: operator.update_s / UPDATE_LEN,
            update_s: operator.update_s,
            jobs: BTreeMap::new(),
            restored_splits: BTreeMap::new(),
            market: VecDeque::new(),
            observed_at: Time::default(),
            term_started_at: now,
            max_window: 0.0,
            arrivals: BTreeMap::new(),
            latest_demands: BTreeMap::new(),
            record: RecordSync::default(),
            restored_run_ratios: None,
        }
    }

    /// Records a market observation, at most once per update, and updates the learner from the jobs
    /// that are due for replay.
    pub fn observe_market(&mut self, now: Time, observation: MarketObservation) {
        if now.since(self.observed_at) < self.update_s {
            return;
        }
        self.observed_at = now;
        self.market.push_back((now, observation));
        if self.market.len() > MAX_MARKET_HISTORY {
            self.market.pop_front();
        }
        // A job is due for replay once the longest window has passed since it arrived.
        let (max_window, slot_s) = (self.max_window, self.slot_s);
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| now.since(job.arrived_at) / slot_s > max_window)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.learn_from(now, id);
        }
        self.jobs
            .retain(|_, job| job.open || now.since(job.arrived_at) / slot_s <= max_window);
        self.record.changed = true;
    }

    fn learn_from(&mut self, now: Time, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let deadline = job.arrived_at.plus(job.replayed.window * self.slot_s);
        let observed: Vec<MarketObservation> = self
            .market
            .iter()
            .filter(|(at, _)| *at >= job.arrived_at && *at <= deadline.plus(self.update_s))
            .map(|(_, observation)| *observation)
            .collect();
        if job.replayed.window > 0.0 && !observed.is_empty() {
            let elapsed = now.since(self.term_started_at) / self.slot_s;
            self.learner.learn(
                &job.replayed,
                UPDATE_LEN,
                &observed,
                elapsed,
                self.max_window,
            );
        }
        if job.open {
            // The job is still split, but is not replayed again.
            job.replayed.window = 0.0;
        }
    }

    /// Computes the target capacity of each machine type, and what is missing in certain zones.
    pub fn target_capacity(&mut self, inputs: &PlanInputs) -> CapacityTargets {
        let PlanInputs {
            now,
            demands,
            machine_types,
            settings,
            owned_cpus,
            supply,
            refused,
        } = *inputs;
        let mut unassigned_owned_cpus = owned_cpus;
        for demand in demands {
            if let Some(job) = self.jobs.get(&demand.job) {
                unassigned_owned_cpus -= job.owned * demand.resources.cpus;
            }
        }
        let mut plan = Plan {
            now,
            machine_types,
            settings,
            supply,
            refused,
            exclusive: split::exclusive_types(machine_types, demands),
            unassigned_owned_cpus,
            targets: BTreeMap::new(),
            groups: BTreeMap::new(),
            queues: BTreeMap::new(),
            open_tasks: BTreeMap::new(),
        };
        self.jobs.values_mut().for_each(|job| job.open = false);
        for demand in demands {
            self.add_demand(&mut plan, demand);
        }
        self.add_standby(&mut plan);
        plan.into_targets()
    }

    fn add_demand(&mut self, plan: &mut Plan, demand: &Demand) {
        let Some(choice) = plan.choose_type(demand) else {
            return;
        };
        let Some(machine_type) = plan.machine_types.get(choice.machine_type) else {
            return;
        };
        let remaining_tasks = f64::from(demand.remaining_tasks);
        plan.target(choice.machine_type);
        let may_wait = plan
            .settings
            .tightest_objective_s("wait", &demand.class)
            .is_none();
        if !may_wait {
            *plan.open_tasks.entry(demand.class.clone()).or_default() += remaining_tasks;
            self.latest_demands
                .insert(demand.class.clone(), demand.clone());
        }
        if !demand.spot {
            plan.add_slots(demand, choice, remaining_tasks, false);
            return;
        }
        match deadline_s(demand, plan.settings) {
            Some(deadline_s) => {
                let timing = timing(demand, machine_type, deadline_s, self.slot_s);
                self.add_split_job(plan, demand, choice, &timing, may_wait);
            }
            None => plan.add_job_without_deadline(demand, choice, machine_type.boot_s),
        }
    }

    /// Adds a job with a deadline. Waiting tasks in the on-demand part of its split must start in
    /// time, so they have a latest start and can add to the shortfall. All other waiting tasks,
    /// and all tasks of a late job, can wait for spot machines.
    fn add_split_job(
        &mut self,
        plan: &mut Plan,
        demand: &Demand,
        choice: TypeChoice,
        timing: &Timing,
        may_wait: bool,
    ) {
        let remaining_tasks = f64::from(demand.remaining_tasks);
        let late = timing.window_s < demand.run_s * 0.5;
        if !may_wait && !self.jobs.contains_key(&demand.job) {
            let arrivals = self.arrivals.entry(demand.class.clone()).or_default();
            arrivals.record(plan.now, remaining_tasks, demand.run_s + timing.fetch_s);
        }
        let (parameters, owned) = self.find_or_create_split(
            plan.now,
            demand,
            timing.window_s,
            &mut plan.unassigned_owned_cpus,
        );
        let spot_availability = self.learner.parameters(parameters).spot_availability;
        let parts = split::split(
            remaining_tasks,
            timing.work,
            timing.usable_window,
            UPDATE_LEN,
            spot_availability,
            owned,
        );
        let slots = slots_wanted(plan, demand, choice, timing, may_wait);
        plan.target(choice.machine_type).spot_demand += slots / tasks_per_machine(choice);
        plan.add_slots(demand, choice, slots, !late);
        let waiting = demand.waiting();
        let must_start = if late {
            0
        } else {
            (parts.on_demand.ceil() as u32).min(waiting)
        };
        let latest_start_s = timing.window_s - demand.run_s - timing.fetch_s;
        for (count, latest_start_s) in [
            (must_start, Some(latest_start_s)),
            (waiting - must_start, None),
        ] {
            plan.enqueue(
                choice.machine_type,
                QueuedTasks {
                    rank: QueueRank {
                        inverse_priority: u8::MAX - demand.priority,
                        late,
                    },
                    zones: demand.zones.clone(),
                    time_to_deadline_s: timing.window_s,
                    cpus: demand.resources.cpus,
                    count,
                    run_s: demand.run_s.max(1.0),
                    latest_start_s,
                    setup_s: timing.setup_s - timing.fetch_s,
                },
            );
        }
    }

    /// Adds standby capacity for classes whose jobs may not wait. Their next jobs arrive before a
    /// machine rented for them would have booted, so capacity for the highest recent load and a
    /// margin ([`STANDBY_FACTOR`]) is kept ready.
    fn add_standby(&mut self, plan: &mut Plan) {
        for (class, arrivals) in &mut self.arrivals {
            let Some(demand) = self.latest_demands.get(class) else {
                continue;
            };
            let choice = split::cheapest_type(plan.machine_types, demand, &plan.exclusive);
            let Some(choice) = choice else {
                continue;
            };
            let wanted = arrivals.max_load(plan.now) * STANDBY_FACTOR;
            let open = plan.open_tasks.get(class).copied().unwrap_or(0.0);
            if wanted > open && !arrivals.has_ended(plan.now) {
                let machines = (wanted - open) / tasks_per_machine(choice);
                plan.target(choice.machine_type).standby += machines;
                plan.add_to_group(demand, choice, &ZoneScope::Any, true, (machines, 0.0));
            }
        }
    }

    /// Explains how a job is split now; `None` for jobs that are not split.
    pub fn explain_split(
        &self,
        demand: &Demand,
        machine_types: &[MachineType],
        settings: &Settings,
    ) -> Option<Reason> {
        let job = self.jobs.get(&demand.job)?;
        let deadline_s = deadline_s(demand, settings)?;
        let exclusive = split::exclusive_types(machine_types, std::slice::from_ref(demand));
        let choice = split::cheapest_type(machine_types, demand, &exclusive)?;
        let machine_type = machine_types.get(choice.machine_type)?;
        let Timing {
            work,
            usable_window,
            ..
        } = timing(demand, machine_type, deadline_s, self.slot_s);
        let PolicyParameters {
            owned_availability,
            spot_availability,
        } = self.learner.parameters(job.parameters);
        let remaining_tasks = f64::from(demand.remaining_tasks);
        let parts = split::split(
            remaining_tasks,
            work,
            usable_window,
            UPDATE_LEN,
            spot_availability,
            job.owned,
        );
        let width = remaining_tasks - parts.owned;
        let work = (work - parts.owned * usable_window.max(0.0)).max(0.0);
        let finite = |x: f64| x.is_finite().then_some(x);
        Some(Reason::Split {
            beta0: owned_availability,
            beta: spot_availability,
            owned: parts.owned,
            spot: parts.spot,
            ordinary: parts.on_demand,
            slack: finite(split::slackness(width, work, usable_window)),
            nu: finite(split::spot_bids(
                width,
                work,
                usable_window,
                UPDATE_LEN,
                spot_availability,
            )),
            tail: split::final_on_demand(width, work, usable_window, UPDATE_LEN),
        })
    }

    /// Interval between updates, seconds.
    pub fn update_s(&self) -> f64 {
        self.update_s
    }

    /// All pairs of parameters, each with its weight and the number of open jobs that drew it.
    pub fn parameter_uses(&self) -> impl Iterator<Item = ParameterUse> + '_ {
        self.learner
            .weights()
            .into_iter()
            .enumerate()
            .map(|(index, weight)| {
                let drew = |job: &&SplitJob| job.open && job.parameters == index;
                ParameterUse {
                    parameters: self.learner.parameters(index),
                    weight,
                    jobs: self.jobs.values().filter(drew).count() as u32,
                }
            })
    }

    /// Returns the index of the job's parameters, and its owned machines. Both are set when the job
    /// is first seen: from the stored record if it holds them, otherwise by a draw.
    fn find_or_create_split(
        &mut self,
        now: Time,
        demand: &Demand,
        window_s: f64,
        unassigned_owned_cpus: &mut f64,
    ) -> (usize, f64) {
        if let Some(job) = self.jobs.get_mut(&demand.job) {
            job.open = true;
            return (job.parameters, job.owned);
        }
        let replayed = ReplayedJob {
            width: f64::from(demand.remaining_tasks),
            work: f64::from(demand.remaining_tasks) * demand.run_s / self.slot_s,
            window: (window_s / self.slot_s).max(0.0),
        };
        let (parameters, owned) = match self.restored_splits.remove(&demand.job) {
            Some(restored) => restored,
            None => self.draw(demand, &replayed, *unassigned_owned_cpus),
        };
        *unassigned_owned_cpus -= owned * demand.resources.cpus;
        self.max_window = self.max_window.max(replayed.window.min(MAX_WINDOW));
        let job = SplitJob {
            parameters,
            owned,
            replayed,
            arrived_at: now,
            open: true,
        };
        self.jobs.insert(demand.job, job);
        self.record.changed = true;
        (parameters, owned)
    }

    fn draw(
        &mut self,
        demand: &Demand,
        job: &ReplayedJob,
        unassigned_owned_cpus: f64,
    ) -> (usize, f64) {
        let parameters = self.learner.draw(self.rng.gen());
        let idle = if demand.resources.cpus > 0.0 {
            unassigned_owned_cpus.max(0.0) / demand.resources.cpus
        } else {
            0.0
        };
        let owned = split::owned_machines(
            job.width,
            job.work,
            job.window,
            UPDATE_LEN,
            self.learner.parameters(parameters).owned_availability,
            idle,
        );
        (parameters, owned)
    }
}

/// Number of slots that a job needs at once. One slot runs several tasks in sequence as far as the
/// deadline allows; a job that may not wait gets one slot for each task.
fn slots_wanted(
    plan: &Plan,
    demand: &Demand,
    choice: TypeChoice,
    timing: &Timing,
    may_wait: bool,
) -> f64 {
    let remaining_tasks = f64::from(demand.remaining_tasks);
    let boot_s = plan
        .machine_types
        .get(choice.machine_type)
        .map_or(0.0, |t| t.boot_s);
    let sequential = if may_wait {
        split::sequential_tasks(
            timing.window_s - timing.fetch_s - boot_s * 0.5,
            demand.run_s,
        )
    } else {
        1.0
    };
    (remaining_tasks / sequential)
        .ceil()
        .max(f64::from(demand.placed_tasks).min(remaining_tasks))
}

#[cfg(test)]
mod tests;
