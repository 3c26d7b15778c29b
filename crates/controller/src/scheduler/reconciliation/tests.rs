use super::silence::MAX_GONE_MACHINES;
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

fn job(id: &str) -> JobId {
    JobId::parse(id).expect("a job")
}

/// A job that was cancelled, and a placement that holds the block since a moment.
fn cancelled(id: &str) -> (JobStore, Scheduler) {
    let body = serde_json::json!({"c": "class", "o": "one", "k": "batch", "u": "standard",
        "n": 4, "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "oz": false,
        "ap": false, "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    let spec: Rc<JobSpec> = Rc::new(serde_json::from_value(body).expect("a description"));
    let mut job_store = JobStore::default();
    job_store.on_committed(job(id), Revision(5), JobState::Open, Some(spec.clone()));
    let text = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("t", text).expect("the sample is sound");
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
    scheduler.sync_job(at(NOW - 1.0), job(id), &job_store);
    job_store.on_committed(job(id), Revision(7), JobState::Cancelled, Some(spec));
    (job_store, scheduler)
}

fn report(sequence: u64, fencing_token: u64, reported_tasks: &[&str]) -> WorkerReport {
    let task = |p: &&str| ReportedTask {
        task: (*p).to_string(),
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
        .filter(|o| o.verb == CommandVerb::Kill && o.grace_period_s == Some(0.0));
    kills.map(|o| o.task.as_str()).collect()
}

/// A leader that had not loaded the pages, or whose token the worker had not shown
/// yet, renewed leases of cancelled tasks without a kill, for H from its own takeover.
#[test]
fn answer_that_renews_a_lease_kills_tasks_of_cancelled_jobs() {
    for (loaded, fencing_token) in [(false, 4), (false, 9), (true, 4)] {
        let (job_store, mut scheduler) = cancelled("job-1");
        scheduler.loaded = loaded;
        let incoming = report(1, fencing_token, &["job-1/0", "job-1/2", "job-2/0"]);
        let commands = scheduler.on_report(at(NOW), &incoming, &[], &job_store);
        assert_eq!(
            killed(&commands),
            ["job-1/0", "job-1/2"],
            "{loaded} {fencing_token}"
        );
        // What is not known, or runs still, is left alone.
        assert_eq!(commands.len(), 2);
        scheduler.faults.late_cancellation_stops = true;
        let incoming = report(2, fencing_token, &["job-1/0"]);
        assert!(scheduler
            .on_report(at(NOW + 1.0), &incoming, &[], &job_store)
            .is_empty());
    }
}

/// A command was lost and its job cancelled before the worker reported again: as a
/// placement whose `run` never goes out it stayed, with its machine and its job.
#[test]
fn allocation_to_be_stopped_whose_run_was_lost_ends() {
    for broken in [false, true] {
        let (job_store, mut scheduler) = cancelled("job-1");
        (scheduler.loaded, scheduler.faults.stop_of_lost_run_kept) = (true, broken);
        scheduler.on_report(at(NOW), &report(1, 9, &[]), &[], &job_store);
        let id = MachineId::parse("n-000001").expect("a machine");
        let task = TaskId {
            job: job("job-1"),
            index: 0,
        };
        let resources = Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        };
        let mut entry = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
        entry.state = TaskState::RunSent(ReportVersion {
            incarnation: 1,
            sequence: 1,
        });
        scheduler
            .machines
            .get_mut(&id)
            .expect("known")
            .resident
            .allocations
            .insert(task, entry);
        scheduler.sync_job(at(NOW), task.job, &job_store);
        let kept = |scheduler: &Scheduler| scheduler.machine(id).is_some_and(|m| !m.is_empty());
        assert!(kept(&scheduler), "it may have arrived");
        scheduler.on_report(at(NOW + 1.0), &report(2, 9, &[]), &[], &job_store);
        assert_eq!(kept(&scheduler), broken);
    }
}

/// Guard 3: until its worker has shown this term's token an earlier leader may still send
/// what is in the pages, whatever the report does not list; and a report that is
/// not newer than the last proves nothing, with this term's token neither.
#[test]
fn missing_task_ends_only_with_current_token_and_newer_report() {
    let id = MachineId::parse("n-000001").expect("a machine");
    let task = TaskId {
        job: job("job-1"),
        index: 0,
    };
    // What the report says of incarnation, sequence and token; whether the task is gone.
    let cases = [
        ((1, 8, 4), false),
        ((2, 1, 4), false),
        ((1, 7, 9), false),
        ((1, 8, 9), true),
    ];
    for (broken, hasty, old) in [
        (false, false, false),
        (true, true, false),
        (true, false, true),
    ] {
        for ((incarnation, sequence, fencing_token), gone) in cases {
            let (job_store, mut scheduler) = cancelled("job-1");
            scheduler.loaded = true;
            (
                scheduler.faults.absence_proof_without_token,
                scheduler.faults.stale_reports_accepted,
            ) = (hasty, old);
            scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
            let resources = Resources {
                cpus: 1.0,
                gpus: 0.0,
                memory_gb: 1.0,
            };
            let mut entry = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
            entry.state = TaskState::Inherited;
            scheduler
                .machines
                .get_mut(&id)
                .expect("known")
                .resident
                .allocations
                .insert(task, entry);
            let mut incoming = report(sequence, fencing_token, &[]);
            incoming.incarnation = incarnation;
            scheduler.on_report(at(NOW + 1.0), &incoming, &[], &job_store);
            let was = scheduler.machine(id).is_some_and(Machine::is_empty);
            let excused = (hasty && fencing_token == 4) || (old && sequence == 7);
            assert_eq!(
                was,
                gone || (broken && excused),
                "{incarnation} {sequence} {fencing_token} {hasty} {old}"
            );
        }
    }
}

/// Reports with counts near their end, from elsewhere, or of no sense free nothing
/// and start nothing.
#[test]
fn report_with_extreme_counts_or_unknown_words_is_handled() {
    let (job_store, mut scheduler) = cancelled("job-1");
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
        let mut old = report(sequence, 9, &[]);
        old.incarnation = incarnation;
        assert!(scheduler
            .on_report(at(NOW + 1.0), &old, &[], &job_store)
            .is_empty());
    }
    let id = MachineId::parse("n-000001").expect("a machine");
    assert_eq!(
        scheduler.machine(id).expect("known").resident.orphans.len(),
        2,
        "nothing was freed"
    );
    let mut odd = report(1, 9, &[]);
    odd.host = "nobody".into();
    assert!(scheduler
        .on_report(at(NOW), &odd, &[], &job_store)
        .is_empty());
    assert_eq!(scheduler.machines.len(), 1);
}

/// Guards against an answer that a worker cannot take: it would report the
/// same again, and get the same again.
#[test]
fn longest_answer_fits_body_limit() {
    let task = TaskId::parse("job-123456789012345678/99999").expect("a task");
    let commands: Vec<WorkerCommand> = (0..MAX_COMMANDS)
        .map(|_| WorkerCommand::kill(task, Attempt(u64::MAX), 12.5))
        .collect();
    let body = wire::encode(&commands);
    let value: ciborium::Value = wire::decode(&body).expect("sound");
    assert!(
        wire::json_len(&value) + 100 < wire::MAX_BODY_BYTES,
        "{}",
        wire::json_len(&value)
    );
}

fn machine() -> MachineId {
    MachineId::parse("n-000001").expect("a machine")
}

fn entry(state: TaskState) -> Allocation {
    let resources = Resources {
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
    };
    let mut entry = Allocation::planned(Attempt(3), resources, None, at(NOW), None);
    entry.state = state;
    entry
}

/// Guard 3: an old report may be the first that a new leader gets of a machine. It
/// is answered, and no sign of life; the worker's own next one is, or one with this term's token.
#[test]
fn first_report_without_current_token_is_no_heartbeat() {
    let last_heartbeat = |scheduler: &Scheduler| {
        scheduler
            .machine(machine())
            .is_some_and(|m| m.liveness.last_heartbeat.is_some())
    };
    for (loaded, broken) in [(false, false), (true, false), (true, true)] {
        let (job_store, mut scheduler) = cancelled("job-1");
        (scheduler.loaded, scheduler.faults.first_report_proves_life) = (loaded, broken);
        scheduler.on_report(at(NOW), &report(5, 4, &[]), &[], &job_store);
        assert_eq!(last_heartbeat(&scheduler), broken);
        // Several that were kept come at once.
        scheduler.on_report(at(NOW + 0.01), &report(6, 4, &[]), &[], &job_store);
        assert_eq!(last_heartbeat(&scheduler), broken);
        let m = scheduler.machine(machine()).expect("known");
        assert!(
            m.liveness.last_answered.is_some(),
            "an answer may have renewed its lease"
        );
        scheduler.on_report(at(NOW + 0.5), &report(7, 4, &[]), &[], &job_store);
        assert!(last_heartbeat(&scheduler), "its own next report");
        let (job_store, mut scheduler) = cancelled("job-1");
        scheduler.on_report(at(NOW), &report(5, 9, &[]), &[], &job_store);
        assert!(
            last_heartbeat(&scheduler),
            "one that carries this term's token"
        );
    }
}

/// Guard 3: what was reported before the pages were read counts as the newest all the
/// same: an older report after them, with this term's token too, ends nothing.
#[test]
fn report_before_load_makes_older_reports_stale() {
    let (job_store, mut scheduler) = cancelled("job-1");
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
        job: job("job-1"),
        index: 0,
    };
    let m = scheduler.machines.get_mut(&machine()).expect("known");
    m.resident
        .allocations
        .insert(task, entry(TaskState::Inherited));
    scheduler.on_report(at(NOW + 0.1), &report(7, 9, &[]), &[], &job_store);
    assert!(!scheduler.machine(machine()).expect("known").is_empty());
    scheduler.on_report(at(NOW + 1.0), &report(9, 9, &[]), &[], &job_store);
    assert!(scheduler.machine(machine()).expect("known").is_empty());
}

/// Guard 3: a machine that reaches nobody answers direct commands. Their bodies are newer
/// reports by token, incarnation and sequence, they renew nothing, and they do not show that the
/// answer to its last report was dropped.
#[test]
fn direct_response_of_silent_machine_proves_only_what_it_lists() {
    // What was allocated, what the body says of itself; whether the task is gone.
    let seen = TaskState::Observed(TaskPhase::Running);
    let sent = TaskState::RunSent(ReportVersion {
        incarnation: 1,
        sequence: 7,
    });
    let cases = [
        (seen, (1, 9, 9), true),
        (TaskState::Inherited, (1, 9, 9), true),
        (seen, (2, 1, 9), true),
        (seen, (1, 7, 9), false),
        (seen, (0, u64::MAX, 9), false),
        (seen, (1, 9, 4), false),
        (sent, (1, 9, 9), false),
        (sent, (2, 1, 9), false),
    ];
    for broken in [false, true] {
        for (state, (incarnation, sequence, fencing_token), gone) in cases {
            let (job_store, mut scheduler) = cancelled("job-1");
            (
                scheduler.loaded,
                scheduler.faults.direct_reply_absence_ends_task,
            ) = (true, broken);
            scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
            let task = TaskId {
                job: job("job-1"),
                index: 0,
            };
            let m = scheduler.machines.get_mut(&machine()).expect("known");
            m.resident.allocations.insert(task, entry(state));
            let mut incoming = report(sequence, fencing_token, &[]);
            incoming.incarnation = incarnation;
            // One that reports says so itself, and is answered.
            scheduler.on_direct_response(at(NOW + 0.5), &incoming, &job_store);
            assert!(!scheduler.machine(machine()).expect("known").is_empty());
            let silent = at(NOW + scheduler.silence_timeout_s() + 1.0);
            scheduler.on_direct_response(silent, &incoming, &job_store);
            let m = scheduler.machine(machine()).expect("known");
            let left = m.resident.allocations.get(&task).map(|e| e.state);
            // Left out, it is given up, or taken for one whose `run` was lost, and goes
            // elsewhere while that may be on its way.
            let kept = !(gone || broken && state == sent);
            assert_eq!(
                left == Some(state),
                kept,
                "{state:?} {incarnation} {sequence} {broken}"
            );
            assert_eq!(
                left.is_none(),
                gone || (broken && state == sent && incarnation == 2)
            );
            assert_eq!(m.liveness.last_answered, Some(at(NOW)), "silence goes on");
            assert_eq!(m.liveness.last_heartbeat, Some(at(NOW)));
            // A report that was sent before is answered still; its list is the older one.
            if gone && incarnation == 1 {
                let late = report(8, 9, &["job-1/0"]);
                assert_eq!(
                    killed(&scheduler.on_report(silent, &late, &[], &job_store)),
                    ["job-1/0"]
                );
                let m = scheduler.machine(machine()).expect("known");
                assert!(m.is_empty() && m.liveness.last_answered == Some(silent));
            }
        }
    }
}

/// Silent machines with tasks are probed, and commanded again what is to stop there.
#[test]
fn silent_machine_with_tasks_is_probed() {
    let (job_store, mut scheduler) = cancelled("job-1");
    scheduler.loaded = true;
    scheduler.on_report(at(NOW), &report(7, 9, &[]), &[], &job_store);
    let silent = at(NOW + scheduler.silence_timeout_s() + 0.1);
    assert!(
        scheduler
            .silent_machines_with_tasks(silent)
            .next()
            .is_none(),
        "nothing is there"
    );
    let task = TaskId {
        job: job("job-1"),
        index: 0,
    };
    let mut there = entry(TaskState::Observed(TaskPhase::Checkpointing));
    there.kill_grace_s = Some(0.0);
    let m = scheduler.machines.get_mut(&machine()).expect("known");
    m.resident.allocations.insert(task, there);
    assert!(
        scheduler
            .silent_machines_with_tasks(at(NOW + 1.0))
            .next()
            .is_none(),
        "it reports"
    );
    let asked: Vec<_> = scheduler.silent_machines_with_tasks(silent).collect();
    let [call] = asked.as_slice() else {
        panic!("{asked:?}")
    };
    assert_eq!(
        (call.machine, call.incarnation, killed(&call.commands)),
        (machine(), 1, vec!["job-1/0"])
    );
}

/// A task without an allocation counts for its team and on its machine until it is
/// gone, also when its job is over and its record has lost its description.
#[test]
fn orphan_of_ended_job_counts_until_it_is_gone() {
    let text = beamhinge_core::settings::SAMPLE;
    let mut settings = Settings::parse("t", text).expect("the sample is sound");
    settings.params.teams[0].name = "one".into();
    let (mut job_store, mut scheduler) = cancelled("job-1");
    (scheduler.loaded, scheduler.team_names[0]) = (true, "one".into());
    let machine_types = [c8()];
    let used = |scheduler: &Scheduler, now| {
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
    assert_eq!(used(&scheduler, at(NOW)), 2.0);
    let free = |scheduler: &Scheduler| {
        scheduler
            .machine(machine())
            .expect("known")
            .free(&machine_types)
            .cpus
    };
    assert_eq!(free(&scheduler), 6.0);
    scheduler.on_report(
        at(NOW + 1.0),
        &report(8, 9, &["job-1/2"]),
        &machine_types,
        &job_store,
    );
    assert_eq!((used(&scheduler, at(NOW)), free(&scheduler)), (1.0, 7.0));
    // Of a job that is done only its end is kept: the machine counts as full.
    job_store.on_committed(job("job-3"), Revision(8), JobState::Done, None);
    scheduler.on_report(
        at(NOW + 2.0),
        &report(9, 9, &["job-3/0"]),
        &machine_types,
        &job_store,
    );
    assert!(free(&scheduler) < 0.0);
    scheduler.on_report(
        at(NOW + 3.0),
        &report(10, 9, &[]),
        &machine_types,
        &job_store,
    );
    assert_eq!((used(&scheduler, at(NOW)), free(&scheduler)), (0.0, 8.0));
}

/// Whatever a cancelled task does at the time, it is killed at once, without time
/// to save: nobody has any use for what it does.
#[test]
fn cancelled_task_that_fetches_or_checkpoints_is_killed_at_once() {
    for status in ["pulling", "running", "saving", "a state of a later version"] {
        let (job_store, mut scheduler) = cancelled("job-1");
        scheduler.loaded = true;
        let mut incoming = report(7, 9, &["job-1/0"]);
        incoming.reported_tasks[0].status = ReportedStatus::from(status.to_string());
        let task = TaskId {
            job: job("job-1"),
            index: 0,
        };
        for (sequence, known) in [(7, false), (8, true)] {
            if known {
                // As it was stopped with time to save, to make room, before it was cancelled.
                let mut there = entry(TaskState::Observed(TaskPhase::Checkpointing));
                there.kill_grace_s = Some(4.0);
                let m = scheduler.machines.get_mut(&machine()).expect("known");
                m.resident.allocations.insert(task, there);
            }
            incoming.sequence = sequence;
            let commands =
                scheduler.on_report(at(NOW + sequence as f64), &incoming, &[], &job_store);
            assert_eq!(killed(&commands), ["job-1/0"], "{status}");
            assert_eq!(commands.len(), 1);
        }
    }
}

/// A machine that reaches nobody at a takeover gets this term's token directly: what it answers
/// carries it, and proves what a report would; what is cancelled there is stopped.
#[test]
fn direct_response_ends_inherited_allocations_it_does_not_list() {
    for (fencing_token, listed, loaded) in [
        (9, false, true),
        (9, true, true),
        (4, false, true),
        (9, false, false),
    ] {
        let (job_store, mut scheduler) = cancelled("job-1");
        let task = TaskId {
            job: job("job-1"),
            index: 0,
        };
        let mut there = entry(TaskState::Inherited);
        there.kill_grace_s = Some(0.0);
        let mut m = Machine::new(at(NOW));
        m.resident.allocations.insert(task, there);
        scheduler.machines.insert(machine(), m);
        scheduler.loaded = loaded;
        assert!(
            scheduler
                .silent_machines_with_tasks(at(NOW + 60.0))
                .next()
                .is_none(),
            "where it is is not known"
        );
        let incoming = report(5, fencing_token, if listed { &["job-1/0"] } else { &[] });
        scheduler.on_direct_response(at(NOW), &incoming, &job_store);
        let m = scheduler.machine(machine()).expect("known");
        assert_eq!(m.is_empty(), loaded && fencing_token == 9 && !listed);
        assert!(
            m.liveness.last_heartbeat.is_none()
                && m.liveness.last_answered.is_none()
                && !m.acknowledgement.ever_had_current_token,
            "silence goes on"
        );
        let asked: Vec<_> = scheduler.silent_machines_with_tasks(at(NOW)).collect();
        assert_eq!(asked.len(), usize::from(listed));
        assert!(asked
            .iter()
            .all(|call| killed(&call.commands) == ["job-1/0"]));
        // What an earlier session or an older message says changes nothing.
        let left = scheduler
            .machine(machine())
            .expect("known")
            .resident
            .allocations
            .len();
        scheduler.on_direct_response(at(NOW), &report(5, 9, &[]), &job_store);
        assert_eq!(
            scheduler
                .machine(machine())
                .expect("known")
                .resident
                .allocations
                .len(),
            match loaded {
                true if fencing_token == 4 => 0,
                _ => left,
            }
        );
    }
}

/// A leader that does not know which quotas are in force sends no `run`: what it placed may be
/// beyond a limit that was lowered meanwhile.
#[test]
fn run_on_outdated_configuration_is_not_sent() {
    let (_, mut scheduler) = cancelled("job-1");
    let now = at(NOW);
    assert!(scheduler.may_run(now), "nothing was ever changed");
    scheduler.set_configuration_condition(None, Some(now.plus(7.0)));
    assert!(scheduler.may_run(now.plus(6.9)) && !scheduler.may_run(now.plus(7.0)));
}

/// A fleet of 8,192 machines that is replaced as a whole: late copies in the name of any of
/// them are known as such. Beyond 4,096 those of the lowest numbers were not.
#[test]
fn removed_machines_of_a_large_fleet_are_remembered_within_a_bound() {
    let (_, mut scheduler) = cancelled("job-1");
    let id = |n: usize| MachineId::parse(&format!("n-{n:06}")).expect("a name");
    (0..8_192).for_each(|n| scheduler.on_machine_removed(at(NOW), id(n)));
    assert!((0..8_192).all(|n| scheduler.removed_machines.contains(&id(n))));
    (0..MAX_GONE_MACHINES + 100).for_each(|n| scheduler.on_machine_removed(at(NOW), id(n)));
    assert_eq!(scheduler.removed_machines.len(), MAX_GONE_MACHINES);
    assert!(scheduler
        .removed_machines
        .contains(&id(MAX_GONE_MACHINES + 99)));
}

/// Each verb that a worker knows, as its orders are encoded.
#[test]
fn commands_keep_their_wire_form() {
    let (mut job_store, mut scheduler) = cancelled("job-1");
    let spec = job_store.get(job("job-1")).and_then(|e| e.spec.clone());
    job_store.on_committed(job("job-2"), Revision(6), JobState::Open, spec);
    scheduler.sync_job(at(NOW), job("job-2"), &job_store);
    scheduler.loaded = true;
    scheduler.on_report(at(NOW), &report(1, 9, &[]), &[], &job_store);
    let task = TaskId {
        job: job("job-2"),
        index: 0,
    };
    let known = scheduler.machines.get_mut(&machine()).expect("known");
    known
        .resident
        .allocations
        .insert(task, entry(TaskState::Committed));
    let mut incoming = report(2, 9, &["job-1/0", "job-3/0"]);
    incoming.reported_tasks[1].status = ReportedStatus::Exited;
    incoming.reported_tasks[1].cause = Some(ExitCause::Stopped);
    let mut golden = crate::golden::Golden::new("tests/golden/orders.hex");
    let commands = scheduler.on_report(at(NOW + 1.0), &incoming, &[], &job_store);
    assert_eq!(
        commands
            .iter()
            .map(|o| o.verb.to_string())
            .collect::<Vec<_>>(),
        ["kill", "clear", "run"]
    );
    for order in commands {
        golden.bytes(
            &order.verb.to_string(),
            &beamhinge_core::wire::encode(&order),
        );
    }
    golden.check();
}

/// Two tasks on each of 8,192 machines, each stopped once: none is forgotten. Beyond 4,096
/// the others could be stopped again at once.
#[test]
fn preemptions_of_a_large_fleet_are_remembered() {
    let (_, mut scheduler) = cancelled("job-1");
    let task = |index: usize| TaskId {
        job: job("job-1"),
        index: index as u32,
    };
    (0..2 * 8_192).for_each(|n| scheduler.preemption_history.record(task(n)));
    assert!(
        (0..2 * 8_192).all(|n| !scheduler
            .preemption_history
            .may_preempt(task(n), 1.0, 1, 60.0))
    );
}
