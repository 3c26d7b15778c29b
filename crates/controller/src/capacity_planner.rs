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
//! | `plan` | one planning run: demand, supply and targets |
//! | `coverage` | assigns demand to the machines on which the scheduler may place it |
//! | `shortfall` | capacity missing for tasks that would otherwise start too late |
//! | `record` | format of the stored record |
//! | `persistence` | reads and writes of the record |
//!
//! Invariant: the parameters of a job are drawn and its owned machines assigned once, when the job
//! is first seen; both stay the same until the job ends.

use crate::eligibility::ZoneScope;
use crate::split::{
    self, Demand, Learner, MachineType, MarketObservation, PolicyParameters, ReplayedJob,
    TypeChoice,
};
use arrivals::Arrivals;
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{FencingToken, JobId, Time};
use coverage::{Group, GroupKey};
use persistence::RecordSync;
use plan::{tasks_per_machine, Plan};
pub use plan::{CapacityTargets, PlanInputs, TargetCapacity, ZonalTarget};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shortfall::{QueueRank, QueuedTasks};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

mod arrivals;
mod coverage;
mod persistence;
mod plan;
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
                let resources = demand.resources;
                let (index, zones) = (choice.machine_type, ZoneScope::Any);
                plan.merge_group(
                    GroupKey::new(index, &zones, demand.spot, true, &resources),
                    Group {
                        resources,
                        fit: tasks_per_machine(choice),
                        machines,
                        timely: 0.0,
                    },
                );
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
