use super::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TOKEN: u64 = 5;

/// A pool of one worker and what was seen of it, without times.
struct Watched {
    pool: WorkerPool,
    events: Arc<Mutex<Vec<(String, u64, Happened)>>>,
    /// Each change of what it reports.
    reported: Vec<String>,
    answered: usize,
}

fn watched(real: bool) -> Watched {
    let events: Arc<Mutex<Vec<(String, u64, Happened)>>> = Arc::default();
    let seen = events.clone();
    let watcher = Box::new(move |s: Seen| {
        let event = (s.event.piece, s.event.attempt, s.event.what);
        seen.lock().expect("one thread").push(event);
    });
    let settings = settings::Workers {
        report_s: 0.2,
        lease_s: 2.0,
        cancel_s: 9.0,
    };
    let processes = real.then(|| Processes::new(None, Vec::new()));
    let controllers = vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)];
    let mut pool = WorkerPool::new(
        controllers,
        settings,
        processes,
        Doubles::default(),
        watcher,
    );
    let host = Host {
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        rented: 0,
        up: 0,
        failed_at: None,
    };
    let kind = Kind {
        label: "m".into(),
        cpus: 4.0,
        memory_gb: 16.0,
        rate: 1.0,
        low: 0.3,
        boot_s: 0.0,
    };
    pool.add(SECOND, 1, (host, kind), "127.0.0.1:2".into());
    Watched {
        pool,
        events,
        reported: Vec::new(),
        answered: 0,
    }
}

/// Three jobs: one that ends, one that is killed, one whose lease runs out.
fn describe(job: &str) -> Option<JobPlan> {
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
        sent: 0,
    })
}

/// What a controller answers, by the number of the answer; none from some time on.
fn orders(answer: usize) -> Option<Value> {
    let order = |verb: &str, piece: &str| json!({"verb": verb, "piece": piece, "try": 1});
    Some(match answer {
        0 => json!([
            order("run", "job-1/0"),
            order("run", "job-2/0"),
            order("run", "job-9/0")
        ]),
        6 => json!([
            order("kill", "job-2/0"),
            order("run", "job-2/0"),
            order("run", "job-3/0")
        ]),
        10 => json!([order("clear", "job-1/0"), order("clear", "job-2/0")]),
        n if n < 14 => json!([]),
        _ => return None,
    })
}

impl Watched {
    fn turn(&mut self, now: Us) {
        let mut out = Vec::new();
        self.pool.step(now, &mut out);
        for call in out {
            let Effect::Call { id, body, .. } = call else {
                continue;
            };
            let pieces = decode(&body)["pieces"].to_string();
            if self.reported.last() != Some(&pieces) {
                self.reported.push(pieces);
            }
            let answer = orders(self.answered).map(|orders| {
                (
                    200,
                    wire::encode(&json!({"baton": TOKEN, "orders": orders})),
                )
            });
            self.answered += 1;
            self.pool.on_reply(now, id, answer, &mut describe);
        }
    }
}

/// A hollow worker differs from a real one in nothing but that its tasks are timers: on
/// the same script both say and do the same, to the end of their lease.
#[test]
fn hollow_and_real_workers_do_the_same_on_the_same_script() {
    let (mut hollow, mut real) = (watched(false), watched(true));
    let began = Instant::now();
    let both_ended = |a: &Watched, b: &Watched| {
        let stopped = |w: &Watched| {
            let events = w.events.lock().expect("one thread");
            events
                .iter()
                .any(|(p, _, what)| p == "job-3/0" && *what == Happened::Stopped)
        };
        stopped(a) && stopped(b)
    };
    while !both_ended(&hollow, &real) && began.elapsed() < Duration::from_secs(30) {
        let now = SECOND + began.elapsed().as_micros() as Us;
        hollow.turn(now);
        real.turn(now);
        std::thread::sleep(Duration::from_millis(5));
    }
    let events = |w: &Watched| w.events.lock().expect("one thread").clone();
    let (of_hollow, of_real) = (events(&hollow), events(&real));
    assert_eq!(of_hollow, of_real);
    assert_eq!(hollow.reported, real.reported);
    let count = |what| of_hollow.iter().filter(|(_, _, w)| *w == what).count();
    assert_eq!(
        (
            count(Happened::Began),
            count(Happened::Ended),
            count(Happened::Stopped)
        ),
        (3, 1, 2),
        "{of_hollow:?}"
    );
}
