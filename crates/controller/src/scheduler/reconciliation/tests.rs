use super::lease_expiry::MAX_REMOVED_MACHINES;
use super::*;
use crate::calls::SchedulerCall;
use crate::event_log::EventLog;
use crate::job_store::{JobSpec, JobState};
use crate::scheduler::allocation::{Allocation, TaskPhase, TaskState};
use crate::scheduler::persistence::RecoveryLoad;
use crate::split::tests::c8;
use crate::split::Resources;
use crate::worker_protocol::{CommandVerb, ExitCause, ReportedStatus, ReportedTask};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{Attempt, FencingToken, JobId, Revision, TaskId};
use beamhinge_core::wire;
use beamhinge_priority_aging::AgingPolicy;
use std::rc::Rc;

const NOW: f64 = 10.0;

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

fn job_id(id: &str) -> JobId {
    JobId::parse(id).expect("valid job id")
}

/// A cancelled job, and the scheduler of a controller that acquired leadership a second ago.
fn scheduler_with_cancelled_job(id: &str) -> (JobStore, Scheduler) {
    let body = serde_json::json!({"c": "class", "o": "one", "k": "batch", "u": "standard",
        "n": 4, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "oz": false,
        "ap": false, "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    let spec: Rc<JobSpec> = Rc::new(serde_json::from_value(body).expect("valid job specification"));
    let mut job_store = JobStore::default();
    job_store.on_committed(job_id(id), Revision(5), JobState::Open, Some(spec.clone()));
    let text = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("t", text).expect("valid sample settings");
    let policy = AgingPolicy::new(Default::default());
    let event_log = EventLog::new(false);
    let active_directives = Rc::default();
    let mut scheduler = Scheduler::new(
        &settings,
        FencingToken(9),
        active_directives,
        event_log,
        policy,
        at(NOW - 1.0),
    );
    scheduler.sync_job(at(NOW - 1.0), job_id(id), &job_store);
    job_store.on_committed(job_id(id), Revision(7), JobState::Cancelled, Some(spec));
    (job_store, scheduler)
}

fn report(sequence: u64, fencing_token: u64, reported_tasks: &[&str]) -> WorkerReport {
    let task = |task_name: &&str| ReportedTask {
        task: (*task_name).to_string(),
        attempt: 3,
        status: ReportedStatus::Running,
        cause: None,
    };
    WorkerReport {
        host: "n-000001".into(),
        endpoint: "10.0.0.9:9000".into(),
        machine_type: "c8".into(),
        zone: "north".into(),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token,
        reclaim_in_s: None,
        reported_tasks: reported_tasks.iter().map(task).collect(),
    }
}

fn killed(commands: &[WorkerCommand]) -> Vec<&str> {
    let kills = commands
        .iter()
        .filter(|command| command.verb == CommandVerb::Kill && command.grace_period_s == Some(0.0));
    kills.map(|command| command.task.as_str()).collect()
}

/// A leader that had not loaded the placement pages, or whose fencing token the worker had not
/// reported yet, renewed the leases of cancelled tasks without killing them, for H from its
/// leadership acquisition.
#[test]
fn answer_that_renews_a_lease_kills_tasks_of_cancelled_jobs() {
    for (loaded, fencing_token) in [(false, 4), (false, 9), (true, 4)] {
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        scheduler.loaded = loaded;
        let incoming = report(1, fencing_token, &["job-1/0", "job-1/2", "job-2/0"]);
        let commands = scheduler.on_report(at(NOW), &incoming, &[], &job_store);
        assert_eq!(
            killed(&commands),
            ["job-1/0", "job-1/2"],
            "{loaded} {fencing_token}"
        );
        // Unknown jobs and jobs that are still open are not affected.
        assert_eq!(commands.len(), 2);
        scheduler.faults.late_cancellation_stops = true;
        let incoming = report(2, fencing_token, &["job-1/0"]);
        assert!(scheduler
            .on_report(at(NOW + 1.0), &incoming, &[], &job_store)
            .is_empty());
    }
}

/// A `run` command was lost and its job was cancelled before the worker reported again. The
/// allocation, whose `run` was never sent again, stayed, and its machine and its job with it.
#[test]
fn allocation_to_be_stopped_whose_run_was_lost_is_released() {
    for fault_injected in [false, true] {
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        (scheduler.loaded, scheduler.faults.stop_of_lost_run_kept) = (true, fault_injected);
        scheduler.on_report(at(NOW), &report(1, 9, &[]), &[], &job_store);
        let id = MachineId::parse("n-000001").expect("valid machine id");
        let task = TaskId {
            job: job_id("job-1"),
            index: 0,
        };
        let resources = Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        };
        let mut allocation = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
        allocation.state = TaskState::RunSent(ReportVersion {
            incarnation: 1,
            sequence: 1,
        });
        scheduler
            .machines
            .get_mut(&id)
            .expect("known")
            .resident
            .allocations
            .insert(task, allocation);
        scheduler.sync_job(at(NOW), task.job, &job_store);
        let still_allocated = |scheduler: &Scheduler| {
            scheduler
                .machine(id)
                .is_some_and(|machine| !machine.is_empty())
        };
        assert!(
            still_allocated(&scheduler),
            "the run command may have arrived"
        );
        scheduler.on_report(at(NOW + 1.0), &report(2, 9, &[]), &[], &job_store);
        assert_eq!(still_allocated(&scheduler), fault_injected);
    }
}

/// Guard 3: until the worker has reported this term's fencing token, an earlier leader may still
/// send the commands for its placement pages, so a task that a report does not list may still
/// start. A report that is not newer than the last one proves nothing, even with this term's token.
#[test]
fn unlisted_task_is_released_only_with_current_token_and_newer_report() {
    let id = MachineId::parse("n-000001").expect("valid machine id");
    let task = TaskId {
        job: job_id("job-1"),
        index: 0,
    };
    // Incarnation, sequence and fencing token of the report; whether the task is released.
    let cases = [
        ((1, 8, 4), false),
        ((2, 1, 4), false),
        ((1, 7, 9), false),
        ((1, 8, 9), true),
    ];
    for (fault_injected, absence_proof_without_token, old_reports) in [
        (false, false, false),
        (true, true, false),
        (true, false, true),
    ] {
        for ((incarnation, sequence, fencing_token), expect_released) in cases {
            let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
            scheduler.loaded = true;
            (
                scheduler.faults.absence_proof_without_token,
                scheduler.faults.stale_reports_accepted,
            ) = (absence_proof_without_token, old_reports);
            scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
            let resources = Resources {
                cpus: 1.0,
                gpus: 0.0,
                memory_gb: 1.0,
            };
            let mut allocation = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
            allocation.state = TaskState::Inherited;
            scheduler
                .machines
                .get_mut(&id)
                .expect("known")
                .resident
                .allocations
                .insert(task, allocation);
            let mut incoming = report(sequence, fencing_token, &[]);
            incoming.incarnation = incarnation;
            scheduler.on_report(at(NOW + 1.0), &incoming, &[], &job_store);
            let is_empty = scheduler.machine(id).is_some_and(Machine::is_empty);
            let accepted_by_fault = (absence_proof_without_token && fencing_token == 4)
                || (old_reports && sequence == 7);
            assert_eq!(
                is_empty,
                expect_released || (fault_injected && accepted_by_fault),
                "{incarnation} {sequence} {fencing_token} {absence_proof_without_token} {old_reports}"
            );
        }
    }
}

/// Reports with numbers near their limits, from an unknown machine or with malformed task ids
/// release nothing and start nothing.
#[test]
fn report_with_extreme_numbers_or_unknown_names_releases_nothing() {
    let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
    scheduler.loaded = true;
    let mut last_report = report(
        u64::MAX,
        9,
        &["job-1/0", "job-1/4294967295", "nonsense", "job-1/-1"],
    );
    last_report.incarnation = u64::MAX;
    assert_eq!(
        killed(&scheduler.on_report(at(NOW), &last_report, &[], &job_store)).len(),
        2
    );
    for (incarnation, sequence) in [(u64::MAX, u64::MAX), (u64::MAX, 0), (0, u64::MAX), (0, 0)] {
        let mut old_report = report(sequence, 9, &[]);
        old_report.incarnation = incarnation;
        assert!(scheduler
            .on_report(at(NOW + 1.0), &old_report, &[], &job_store)
            .is_empty());
    }
    let id = MachineId::parse("n-000001").expect("valid machine id");
    assert_eq!(
        scheduler.machine(id).expect("known").resident.orphans.len(),
        2,
        "no orphan task was released"
    );
    let mut unknown_machine_report = report(1, 9, &[]);
    unknown_machine_report.host = "nobody".into();
    assert!(scheduler
        .on_report(at(NOW), &unknown_machine_report, &[], &job_store)
        .is_empty());
    assert_eq!(scheduler.machines.len(), 1);
}

/// Guards against an answer that is too long for a worker to accept: the worker would repeat its
/// report and get the same answer again.
#[test]
fn longest_answer_fits_body_limit() {
    let task = TaskId::parse("job-123456789012345678/99999").expect("valid task id");
    let commands: Vec<WorkerCommand> = (0..MAX_COMMANDS)
        .map(|_| WorkerCommand::kill(task, Attempt(u64::MAX), 12.5))
        .collect();
    let body = wire::encode(&commands);
    let value: ciborium::Value = wire::decode(&body).expect("valid encoding");
    assert!(
        wire::json_len(&value) + 100 < wire::MAX_BODY_BYTES,
        "{}",
        wire::json_len(&value)
    );
}

fn machine_id() -> MachineId {
    MachineId::parse("n-000001").expect("valid machine id")
}

fn allocation(state: TaskState) -> Allocation {
    let resources = Resources {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
    };
    let mut allocation = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
    allocation.state = state;
    allocation
}

/// Guard 3: the first report that a new leader gets from a machine may be an old one. It is
/// answered but is not a heartbeat. The worker's next report is, and so is a report with this
/// term's fencing token.
#[test]
fn first_report_without_current_token_is_not_a_heartbeat() {
    let last_heartbeat = |scheduler: &Scheduler| {
        scheduler
            .machine(machine_id())
            .is_some_and(|machine| machine.liveness.last_heartbeat.is_some())
    };
    for (loaded, fault_injected) in [(false, false), (true, false), (true, true)] {
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        (scheduler.loaded, scheduler.faults.first_report_proves_life) = (loaded, fault_injected);
        scheduler.on_report(at(NOW), &report(5, 4, &[]), &[], &job_store);
        assert_eq!(last_heartbeat(&scheduler), fault_injected);
        // Several delayed reports arrive at once.
        scheduler.on_report(at(NOW + 0.01), &report(6, 4, &[]), &[], &job_store);
        assert_eq!(last_heartbeat(&scheduler), fault_injected);
        let machine = scheduler.machine(machine_id()).expect("known");
        assert!(
            machine.liveness.last_answered.is_some(),
            "an answer may have renewed its lease"
        );
        scheduler.on_report(at(NOW + 0.5), &report(7, 4, &[]), &[], &job_store);
        assert!(last_heartbeat(&scheduler), "the worker's next report");
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        scheduler.on_report(at(NOW), &report(5, 9, &[]), &[], &job_store);
        assert!(
            last_heartbeat(&scheduler),
            "a report that carries this term's token"
        );
    }
}

/// Guard 3: a report from before the placement pages were loaded still counts as the newest. An
/// older report after the load releases nothing, even with this term's fencing token.
#[test]
fn report_before_load_makes_older_reports_stale() {
    let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
    scheduler.on_report(at(NOW), &report(8, 9, &[]), &[], &job_store);
    let load = RecoveryLoad {
        pages: Vec::new(),
        progress: Vec::new(),
        stage: SchedulerCall::Progress,
        in_flight: false,
        after: None,
    };
    scheduler.restore(at(NOW), &load, &job_store);
    assert!(scheduler.loaded);
    let task = TaskId {
        job: job_id("job-1"),
        index: 0,
    };
    let machine = scheduler.machines.get_mut(&machine_id()).expect("known");
    machine
        .resident
        .allocations
        .insert(task, allocation(TaskState::Inherited));
    scheduler.on_report(at(NOW + 0.1), &report(7, 9, &[]), &[], &job_store);
    assert!(!scheduler.machine(machine_id()).expect("known").is_empty());
    scheduler.on_report(at(NOW + 1.0), &report(9, 9, &[]), &[], &job_store);
    assert!(scheduler.machine(machine_id()).expect("known").is_empty());
}

/// Guard 3: a machine that reaches no controller responds to direct commands. The body of such a
/// response counts as a newer report according to its fencing token, incarnation and sequence. It
/// renews no lease and does not show that the answer to the machine's last report was dropped.
#[test]
fn direct_response_of_unreachable_machine_proves_only_what_it_lists() {
    // State of the allocation; incarnation, sequence and fencing token of the response; whether the
    // task is released.
    let observed = TaskState::Observed(TaskPhase::Running);
    let run_sent = TaskState::RunSent(ReportVersion {
        incarnation: 1,
        sequence: 7,
    });
    let cases = [
        (observed, (1, 9, 9), true),
        (TaskState::Inherited, (1, 9, 9), true),
        (observed, (2, 1, 9), true),
        (observed, (1, 7, 9), false),
        (observed, (0, u64::MAX, 9), false),
        (observed, (1, 9, 4), false),
        (run_sent, (1, 9, 9), false),
        (run_sent, (2, 1, 9), false),
    ];
    for fault_injected in [false, true] {
        for (state, (incarnation, sequence, fencing_token), expect_released) in cases {
            let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
            scheduler.loaded = true;
            scheduler.faults.direct_reply_absence_ends_task = fault_injected;
            scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
            let task = TaskId {
                job: job_id("job-1"),
                index: 0,
            };
            let machine = scheduler.machines.get_mut(&machine_id()).expect("known");
            machine.resident.allocations.insert(task, allocation(state));
            let mut incoming = report(sequence, fencing_token, &[]);
            incoming.incarnation = incarnation;
            // A reachable machine sends the same in its reports, which are answered.
            scheduler.on_direct_response(at(NOW + 0.5), &incoming, &job_store);
            assert!(!scheduler.machine(machine_id()).expect("known").is_empty());
            let after_timeout = at(NOW + scheduler.report_timeout_s() + 1.0);
            scheduler.on_direct_response(after_timeout, &incoming, &job_store);
            let machine = scheduler.machine(machine_id()).expect("known");
            let remaining = machine.resident.allocations.get(&task).map(|a| a.state);
            // With the injected fault the task is released, or its `run` counts as lost, and it is
            // placed elsewhere while the `run` may still arrive.
            let still_allocated = !(expect_released || fault_injected && state == run_sent);
            assert_eq!(
                remaining == Some(state),
                still_allocated,
                "{state:?} {incarnation} {sequence} {fault_injected}"
            );
            assert_eq!(
                remaining.is_none(),
                expect_released || (fault_injected && state == run_sent && incarnation == 2)
            );
            assert_eq!(machine.liveness.last_answered, Some(at(NOW)), "not renewed");
            assert_eq!(machine.liveness.last_heartbeat, Some(at(NOW)));
            // A report that was sent earlier is still answered, but its task list is outdated.
            if expect_released && incarnation == 1 {
                let earlier_report = report(8, 9, &["job-1/0"]);
                assert_eq!(
                    killed(&scheduler.on_report(after_timeout, &earlier_report, &[], &job_store)),
                    ["job-1/0"]
                );
                let machine = scheduler.machine(machine_id()).expect("known");
                assert!(
                    machine.is_empty() && machine.liveness.last_answered == Some(after_timeout)
                );
            }
        }
    }
}

/// Unreachable machines with tasks are probed, and the kills of their tasks are repeated.
#[test]
fn unreachable_machine_with_tasks_is_probed() {
    let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
    scheduler.loaded = true;
    scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
    let after_timeout = at(NOW + scheduler.report_timeout_s() + 0.1);
    assert!(
        scheduler.probe_calls(after_timeout).next().is_none(),
        "the machine has no tasks"
    );
    let task = TaskId {
        job: job_id("job-1"),
        index: 0,
    };
    let mut allocation = allocation(TaskState::Observed(TaskPhase::Checkpointing));
    allocation.kill_grace_s = Some(0.0);
    let machine = scheduler.machines.get_mut(&machine_id()).expect("known");
    machine.resident.allocations.insert(task, allocation);
    assert!(
        scheduler.probe_calls(at(NOW + 1.0)).next().is_none(),
        "the machine is reachable"
    );
    let calls: Vec<_> = scheduler.probe_calls(after_timeout).collect();
    let [call] = calls.as_slice() else {
        panic!("{calls:?}")
    };
    assert_eq!(
        (call.machine, call.incarnation, killed(&call.commands)),
        (machine_id(), 1, vec!["job-1/0"])
    );
}

/// An orphan task counts for its team and on its machine until it is no longer listed, even when
/// its job has ended and the record of the job has no specification any more.
#[test]
fn orphan_of_ended_job_counts_until_it_is_no_longer_listed() {
    let text = beamhinge_core::settings::SAMPLE;
    let mut settings = Settings::parse("t", text).expect("valid sample settings");
    settings.params.teams[0].name = "one".into();
    let (mut job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
    (scheduler.loaded, scheduler.team_names[0]) = (true, "one".into());
    let machine_types = [c8()];
    let used_cpus = |scheduler: &Scheduler, now| {
        scheduler
            .begin_cycle(now, &settings, &machine_types)
            .team_usage[0]
            .cpus
    };
    scheduler.on_report(
        at(NOW),
        &report(7, 9, &["job-1/0", "job-1/2"]),
        &machine_types,
        &job_store,
    );
    assert_eq!(used_cpus(&scheduler, at(NOW)), 2.0);
    let free_cpus = |scheduler: &Scheduler| {
        scheduler
            .machine(machine_id())
            .expect("known")
            .free(&machine_types)
            .cpus
    };
    assert_eq!(free_cpus(&scheduler), 6.0);
    scheduler.on_report(
        at(NOW + 1.0),
        &report(8, 9, &["job-1/2"]),
        &machine_types,
        &job_store,
    );
    assert_eq!(
        (used_cpus(&scheduler, at(NOW)), free_cpus(&scheduler)),
        (1.0, 7.0)
    );
    // For a completed job only its final state is stored, so the machine counts as full.
    job_store.on_committed(job_id("job-3"), Revision(8), JobState::Done, None);
    scheduler.on_report(
        at(NOW + 2.0),
        &report(9, 9, &["job-3/0"]),
        &machine_types,
        &job_store,
    );
    assert!(free_cpus(&scheduler) < 0.0);
    scheduler.on_report(
        at(NOW + 3.0),
        &report(10, 9, &[]),
        &machine_types,
        &job_store,
    );
    assert_eq!(
        (used_cpus(&scheduler, at(NOW)), free_cpus(&scheduler)),
        (0.0, 8.0)
    );
}

/// A cancelled task is killed immediately in any state, without a grace period, since its results
/// are not needed.
#[test]
fn cancelled_task_that_fetches_or_checkpoints_is_killed_at_once() {
    for status in ["pulling", "running", "saving", "a state of a later version"] {
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        scheduler.loaded = true;
        let mut incoming = report(7, 9, &["job-1/0"]);
        incoming.reported_tasks[0].status = ReportedStatus::from(status.to_string());
        let task = TaskId {
            job: job_id("job-1"),
            index: 0,
        };
        for (sequence, known) in [(7, false), (8, true)] {
            if known {
                // The task was preempted with a grace period before its job was cancelled.
                let mut allocation = allocation(TaskState::Observed(TaskPhase::Checkpointing));
                allocation.kill_grace_s = Some(4.0);
                let machine = scheduler.machines.get_mut(&machine_id()).expect("known");
                machine.resident.allocations.insert(task, allocation);
            }
            incoming.sequence = sequence;
            let commands =
                scheduler.on_report(at(NOW + sequence as f64), &incoming, &[], &job_store);
            assert_eq!(killed(&commands), ["job-1/0"], "{status}");
            assert_eq!(commands.len(), 1);
        }
    }
}

/// A machine that reaches no controller after a failover gets this term's fencing token in a
/// direct command. Its response carries the token and proves the same as a report; cancelled tasks
/// on the machine are stopped.
#[test]
fn direct_response_ends_inherited_allocations_it_does_not_list() {
    for (fencing_token, listed, loaded) in [
        (9, false, true),
        (9, true, true),
        (4, false, true),
        (9, false, false),
    ] {
        let (job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
        let task = TaskId {
            job: job_id("job-1"),
            index: 0,
        };
        let mut allocation = allocation(TaskState::Inherited);
        allocation.kill_grace_s = Some(0.0);
        let mut machine = Machine::new(at(NOW));
        machine.resident.allocations.insert(task, allocation);
        scheduler.machines.insert(machine_id(), machine);
        scheduler.loaded = loaded;
        assert!(
            scheduler.probe_calls(at(NOW + 60.0)).next().is_none(),
            "the endpoint of the machine is unknown"
        );
        let incoming = report(5, fencing_token, if listed { &["job-1/0"] } else { &[] });
        scheduler.on_direct_response(at(NOW), &incoming, &job_store);
        let machine = scheduler.machine(machine_id()).expect("known");
        assert_eq!(machine.is_empty(), loaded && fencing_token == 9 && !listed);
        assert!(
            machine.liveness.last_heartbeat.is_none()
                && machine.liveness.last_answered.is_none()
                && !machine.acknowledgement.has_reported_current_token,
            "the machine stays unreachable"
        );
        let calls: Vec<_> = scheduler.probe_calls(at(NOW)).collect();
        assert_eq!(calls.len(), usize::from(listed));
        assert!(calls
            .iter()
            .all(|call| killed(&call.commands) == ["job-1/0"]));
        // A response of an earlier term changes nothing, and neither does one that is not newer.
        let remaining = scheduler
            .machine(machine_id())
            .expect("known")
            .resident
            .allocations
            .len();
        scheduler.on_direct_response(at(NOW), &report(5, 9, &[]), &job_store);
        assert_eq!(
            scheduler
                .machine(machine_id())
                .expect("known")
                .resident
                .allocations
                .len(),
            match loaded {
                true if fencing_token == 4 => 0,
                _ => remaining,
            }
        );
    }
}

/// A leader that does not know which quotas are in force sends no `run`, because its allocations
/// may exceed a limit that was lowered in the meantime.
#[test]
fn run_on_outdated_configuration_is_not_sent() {
    let (_, mut scheduler) = scheduler_with_cancelled_job("job-1");
    let now = at(NOW);
    assert!(
        scheduler.may_run(now),
        "the configuration was never changed"
    );
    scheduler.set_configuration_condition(None, Some(now.plus(7.0)));
    assert!(scheduler.may_run(now.plus(6.9)) && !scheduler.may_run(now.plus(7.0)));
}

/// After a fleet of 8,192 machines was replaced as a whole, delayed copies of reports from any of
/// the machines are recognised. With a bound of 4,096 those of the lowest numbers were not.
#[test]
fn removed_machines_of_a_large_fleet_are_remembered_within_a_bound() {
    let (_, mut scheduler) = scheduler_with_cancelled_job("job-1");
    let id = |n: usize| MachineId::parse(&format!("n-{n:06}")).expect("valid machine name");
    (0..8_192).for_each(|n| scheduler.on_machine_removed(at(NOW), id(n)));
    assert!((0..8_192).all(|n| scheduler.removed_machines.contains(&id(n))));
    (0..MAX_REMOVED_MACHINES + 100).for_each(|n| scheduler.on_machine_removed(at(NOW), id(n)));
    assert_eq!(scheduler.removed_machines.len(), MAX_REMOVED_MACHINES);
    assert!(scheduler
        .removed_machines
        .contains(&id(MAX_REMOVED_MACHINES + 99)));
}

/// The wire encoding of a command with each verb that workers know.
#[test]
fn commands_keep_their_wire_form() {
    let (mut job_store, mut scheduler) = scheduler_with_cancelled_job("job-1");
    let spec = job_store
        .get(job_id("job-1"))
        .and_then(|entry| entry.spec.clone());
    job_store.on_committed(job_id("job-2"), Revision(6), JobState::Open, spec);
    scheduler.sync_job(at(NOW), job_id("job-2"), &job_store);
    scheduler.loaded = true;
    scheduler.on_report(at(NOW), &report(1, 9, &[]), &[], &job_store);
    let task = TaskId {
        job: job_id("job-2"),
        index: 0,
    };
    let machine = scheduler.machines.get_mut(&machine_id()).expect("known");
    machine
        .resident
        .allocations
        .insert(task, allocation(TaskState::Committed));
    let mut incoming = report(2, 9, &["job-1/0", "job-3/0"]);
    incoming.reported_tasks[1].status = ReportedStatus::Exited;
    incoming.reported_tasks[1].cause = Some(ExitCause::Stopped);
    let mut golden = crate::golden::Golden::new("tests/golden/orders.hex");
    let commands = scheduler.on_report(at(NOW + 1.0), &incoming, &[], &job_store);
    assert_eq!(
        commands
            .iter()
            .map(|command| command.verb.to_string())
            .collect::<Vec<_>>(),
        ["kill", "clear", "run"]
    );
    for command in commands {
        golden.bytes(
            &command.verb.to_string(),
            &beamhinge_core::wire::encode(&command),
        );
    }
    golden.check();
}

/// Two tasks on each of 8,192 machines are preempted once each, and none of these preemptions is
/// forgotten. With a bound of 4,096 the other tasks could be preempted again immediately.
#[test]
fn preemptions_of_a_large_fleet_are_remembered() {
    let (_, mut scheduler) = scheduler_with_cancelled_job("job-1");
    let task = |index: usize| TaskId {
        job: job_id("job-1"),
        index: index as u32,
    };
    (0..2 * 8_192).for_each(|n| scheduler.preemption_history.record(task(n)));
    assert!(
        (0..2 * 8_192).all(|n| !scheduler
            .preemption_history
            .may_preempt(task(n), 1.0, 1, 60.0))
    );
}
