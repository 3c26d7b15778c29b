use super::*;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FENCING_TOKEN: u64 = 5;

/// A pool of one worker and its observed events and reports, without times.
struct ObservedPool {
    pool: WorkerPool,
    events: Arc<Mutex<Vec<(String, u64, TaskTransition)>>>,
    /// The reported tasks, recorded at each change.
    reported: Vec<String>,
    answer_count: usize,
}

fn observed_pool(real: bool) -> ObservedPool {
    let events: Arc<Mutex<Vec<(String, u64, TaskTransition)>>> = Arc::default();
    let seen = events.clone();
    let observer = Box::new(move |machine_event: MachineEvent| {
        let event = (
            machine_event.event.task_id,
            machine_event.event.attempt,
            machine_event.event.transition,
        );
        seen.lock().expect("mutex not poisoned").push(event);
    });
    let settings = settings::WorkerTimings {
        report_s: 0.2,
        lease_s: 2.0,
        cancel_s: 9.0,
    };
    let processes = real.then(|| Processes::new(None, Vec::new()));
    let mut pool = WorkerPool::new(WorkerPoolConfig {
        controllers: vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)],
        settings,
        processes,
        protocol_faults: ProtocolFaults::default(),
        observer,
    });
    let instance = Instance {
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        created: 0,
        up: 0,
        failed_at: None,
    };
    let instance_type = InstanceType {
        label: "m".into(),
        cpus: 4.0,
        memory_gb: 16.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 0.0,
    };
    pool.add(SECOND, 1, (instance, instance_type), "127.0.0.1:2".into());
    ObservedPool {
        pool,
        events,
        reported: Vec::new(),
        answer_count: 0,
    }
}

/// Three jobs: one that finishes, one that is killed, one that is terminated by the expiry of the
/// lease.
fn describe_job(job: &str) -> Option<JobPlan> {
    let run_s = match job {
        "job-1" => 0.3,
        "job-2" | "job-3" => 60.0,
        _ => return None,
    };
    let body = json!({"vcpus": 1.0, "memoryGb": 1.0, "bundle": "img", "jobKind": "batch"});
    let command = Some(format!("exec sleep {run_s}"));
    Some(JobPlan {
        body,
        run_s,
        fails: false,
        command,
        submitted_at: 0,
    })
}

/// The commands in the controller's answer with this number; `None` (no answer) from number 14
/// on.
fn scripted_commands(answer: usize) -> Option<Value> {
    let command = |verb: &str, task_id: &str| json!({"verb": verb, "piece": task_id, "try": 1});
    Some(match answer {
        0 => json!([
            command("run", "job-1/0"),
            command("run", "job-2/0"),
            command("run", "job-9/0")
        ]),
        6 => json!([
            command("kill", "job-2/0"),
            command("run", "job-2/0"),
            command("run", "job-3/0")
        ]),
        10 => json!([command("clear", "job-1/0"), command("clear", "job-2/0")]),
        n if n < 14 => json!([]),
        _ => return None,
    })
}

impl ObservedPool {
    fn advance(&mut self, now: Micros) {
        let mut out = Vec::new();
        self.pool.step(now, &mut out);
        for call in out {
            let Effect::Call { id, body, .. } = call else {
                continue;
            };
            let task_ids = decode(&body)["pieces"].to_string();
            if self.reported.last() != Some(&task_ids) {
                self.reported.push(task_ids);
            }
            let answer = scripted_commands(self.answer_count).map(|scripted_commands| {
                (
                    200,
                    wire::encode(&json!({"baton": FENCING_TOKEN, "orders": scripted_commands})),
                )
            });
            self.answer_count += 1;
            self.pool
                .on_reply(now, id, answer.as_ref(), &mut describe_job);
        }
    }
}

/// Workers whose tasks are timers send the same reports and events as workers whose tasks are
/// processes, until their lease expires.
#[test]
fn emulated_and_real_tasks_behave_alike_on_the_same_script() {
    let (mut emulated, mut real) = (observed_pool(false), observed_pool(true));
    let started_at = Instant::now();
    let both_ended = |a: &ObservedPool, b: &ObservedPool| {
        let stopped = |w: &ObservedPool| {
            let events = w.events.lock().expect("mutex not poisoned");
            events
                .iter()
                .any(|(p, _, transition)| p == "job-3/0" && *transition == TaskTransition::Stopped)
        };
        stopped(a) && stopped(b)
    };
    while !both_ended(&emulated, &real) && started_at.elapsed() < Duration::from_secs(30) {
        let now = SECOND + started_at.elapsed().as_micros() as Micros;
        emulated.advance(now);
        real.advance(now);
        std::thread::sleep(Duration::from_millis(5));
    }
    let events = |w: &ObservedPool| w.events.lock().expect("mutex not poisoned").clone();
    let (emulated_events, real_events) = (events(&emulated), events(&real));
    assert_eq!(emulated_events, real_events);
    assert_eq!(emulated.reported, real.reported);
    let count = |transition| {
        emulated_events
            .iter()
            .filter(|(_, _, w)| *w == transition)
            .count()
    };
    assert_eq!(
        (
            count(TaskTransition::Started),
            count(TaskTransition::Finished),
            count(TaskTransition::Stopped)
        ),
        (3, 1, 2),
        "{emulated_events:?}"
    );
}
