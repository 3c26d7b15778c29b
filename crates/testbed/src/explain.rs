//! Causes each reason why a job does not run, on real processes.
//!
//! `explain` must report the reason; once the cause has been removed, the job must run.

use crate::context::{self, Folder, TestContext};
use crate::TestbedError;
use beamhinge_admin_api::directives::{Afterwards, DirectiveChange, Target};
use beamhinge_admin_api::messages::{JobRequest, State};
use beamhinge_admin_api::reasons::Reason;
use beamhinge_client::Client;
use beamhinge_dev_cluster::{Cluster, ClusterPlan};
use beamhinge_emulator::platform::PlatformFault;
use serde_json::{json, Value};
use std::path::Path;
use std::time::Duration;

/// Limit until `explain` reports a reason, in seconds.
const SHOWS_S: f64 = 25.0;
/// Limit until a job is done once the reason has been removed, in seconds.
const ENDS_S: f64 = 60.0;

/// The cluster of one case, with a client.
struct Stage {
    cluster: Cluster,
    client: Client,
    next: u32,
}

impl Stage {
    fn new(plan: ClusterPlan) -> Result<Stage, TestbedError> {
        let cluster = context::start(plan, Box::new(|_| {}))?;
        let mut client = context::client(&cluster, 20.0);
        let machines = cluster.plan().machines;
        // Wait until all machines of the initial cluster have reported.
        context::until(15.0, || {
            client
                .machines(&[])
                .is_ok_and(|p| p.machines.iter().filter(|m| m.state == "up").count() >= machines)
        });
        Ok(Stage {
            cluster,
            client,
            next: 0,
        })
    }

    fn job(&mut self, change: impl FnOnce(&mut JobRequest)) -> Result<String, TestbedError> {
        self.next += 1;
        let mut job = JobRequest::new(format!("job-{:04}", self.next), "home");
        job.expect_s = 1.0;
        change(&mut job);
        self.client.submit(&job)?;
        Ok(job.job)
    }

    /// Waits until `explain` reports the named reason with a text that contains `words`. Returns
    /// the text, or `None` after the timeout.
    fn sees(&mut self, job: &str, name: &str, words: &str) -> Option<String> {
        let mut told = None;
        context::until(SHOWS_S, || {
            let e = self.client.explain(job).ok();
            // Poll until the reason appears: the first query may precede the placement of other
            // jobs.
            told = e.and_then(|e| {
                e.reasons
                    .into_iter()
                    .find(|r| r.name() == name && r.to_string().contains(words))
            });
            told.is_some()
        });
        told.map(|r: Reason| r.to_string())
    }

    fn ends(&mut self, job: &str) -> bool {
        context::until(ENDS_S, || {
            self.client
                .job(job)
                .is_ok_and(|d| d.row.state == State::Done)
        })
    }

    fn direct(&mut self, target: Target, set: bool) -> Result<(), TestbedError> {
        let afterwards = Afterwards::Keep;
        let note = String::new();
        self.client.change(&DirectiveChange {
            target,
            set,
            within_s: None,
            afterwards,
            note,
        })?;
        Ok(())
    }
}

/// A cluster with a single machine that cannot scale out.
fn narrow(context: &TestContext, dir: &Path) -> ClusterPlan {
    ClusterPlan {
        nodes: 2,
        machines: 1,
        rentable: 0,
        cpus: 4.0,
        keeper: Some(Vec::new()),
        ..context::plan(context, dir)
    }
}

type Case = fn(&TestContext, &Path) -> Result<(Option<String>, bool), TestbedError>;

pub(crate) fn run(context: &TestContext) -> Result<Value, TestbedError> {
    let cases: [(&str, Case); 14] = [
        ("frozen", frozen),
        ("failures", failures),
        ("team_limit", team_limit),
        ("no_room", no_room),
        ("behind", behind),
        ("market_refused", market_refused),
        ("booting", booting),
        ("renting", renting),
        ("drained", drained),
        ("fetching", fetching),
        ("starting", starting),
        ("ahead", ahead),
        ("inherited", inherited),
        ("split", split),
    ];
    let (mut ok, mut told) = (true, serde_json::Map::new());
    for (name, case) in cases {
        let folder = Folder::new(&format!("explain-{name}"))?;
        let (words, ran) = match case(context, &folder.0) {
            Ok(found) => found,
            Err(e) => {
                eprintln!("{name}: {e}");
                (None, false)
            }
        };
        eprintln!(
            "{name:15} {}  then {}",
            words.as_deref().unwrap_or("NOT REPORTED"),
            if ran {
                "the job ran"
            } else {
                "THE JOB DID NOT RUN"
            }
        );
        ok &= words.is_some() && ran;
        told.insert(name.into(), json!({"told": words, "ran_after": ran}));
    }
    Ok(json!({"ok": ok, "experiment": "explain", "reasons": told}))
}

fn frozen(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    s.direct(Target::Team("home".into()), true)?;
    let job = s.job(|_| {})?;
    let told = s.sees(&job, "frozen", "");
    s.direct(Target::Team("home".into()), false)?;
    Ok((told, s.ends(&job)))
}

fn failures(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = narrow(context, dir);
    plan.machines = 4;
    plan.rentable = 4;
    let mut s = Stage::new(plan)?;
    let file = dir.join("mended");
    let line = format!("test -e {}", file.display());
    let job = s.job(|j| j.command = Some(line))?;
    let told = s.sees(&job, "failures", "");
    std::fs::write(&file, "")?;
    Ok((told, s.ends(&job)))
}

fn team_limit(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = narrow(context, dir);
    plan.machines = 3;
    let mut s = Stage::new(plan)?;
    let first = s.job(|j| {
        (j.team, j.tasks) = ("small".into(), 4);
        j.command = Some("sleep 300".into());
    })?;
    let job = s.job(|j| j.team = "small".into())?;
    let told = s.sees(&job, "team_limit", "");
    s.client.cancel(&first)?;
    Ok((told, s.ends(&job)))
}

fn filled(context: &TestContext, dir: &Path) -> Result<(Stage, String), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    let first = s.job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    Ok((s, first))
}

fn no_room(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut s, first) = filled(context, dir)?;
    let job = s.job(|j| j.cpus = 3.0)?;
    let told = s.sees(&job, "no_room", "lacks 2.00 CPUs");
    s.client.cancel(&first)?;
    Ok((told, s.ends(&job)))
}

fn behind(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut s, first) = filled(context, dir)?;
    let other = s.job(|j| {
        j.cpus = 3.0;
        j.urgency = beamhinge_core::job::Urgency::High;
    })?;
    let job = s.job(|j| j.cpus = 3.0)?;
    let told = s.sees(&job, "behind", &other);
    s.client.cancel(&first)?;
    Ok((told, s.ends(&job)))
}

fn market_refused(
    context: &TestContext,
    dir: &Path,
) -> Result<(Option<String>, bool), TestbedError> {
    let (mut s, first) = filled(context, dir)?;
    let job = s.job(|j| j.cpus = 3.0)?;
    let told = s.sees(&job, "market_refused", "");
    s.client.cancel(&first)?;
    Ok((told, s.ends(&job)))
}

fn booting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = narrow(context, dir);
    plan.rentable = 2;
    plan.boot_s = 4.0;
    let mut s = Stage::new(plan)?;
    s.job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    let job = s.job(|j| j.cpus = 3.0)?;
    let told = s.sees(&job, "booting", "");
    Ok((told, s.ends(&job)))
}

fn renting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = narrow(context, dir);
    plan.rentable = 2;
    let mut s = Stage::new(plan)?;
    // While the cloud is unreachable, the rental stays requested and no machine boots.
    s.cluster.inject(PlatformFault::CloudDown(6.0));
    std::thread::sleep(Duration::from_millis(200));
    s.job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    let job = s.job(|j| j.cpus = 3.0)?;
    let told = s.sees(&job, "renting", "");
    Ok((told, s.ends(&job)))
}

fn drained(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    s.direct(Target::MachineType("m".into()), true)?;
    let job = s.job(|_| {})?;
    let told = s.sees(&job, "drained", "");
    s.direct(Target::MachineType("m".into()), false)?;
    Ok((told, s.ends(&job)))
}

fn fetching(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    let job = s.job(|j| (j.image, j.image_gb) = ("tools".into(), 2.0))?;
    let told = s.sees(&job, "fetching", "");
    Ok((told, s.ends(&job)))
}

fn starting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    // A machine that hangs has not fetched its command yet.
    s.cluster.inject(PlatformFault::Hang {
        machine: 0,
        seconds: 2.0,
    });
    std::thread::sleep(Duration::from_millis(100));
    let job = s.job(|_| {})?;
    let told = s.sees(&job, "starting", "");
    Ok((told, s.ends(&job)))
}

fn ahead(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    s.job(|j| (j.cpus, j.expect_s) = (4.0, 3.0))?;
    let job = s.job(|j| j.cpus = 4.0)?;
    let told = s.sees(&job, "ahead", "");
    Ok((told, s.ends(&job)))
}

fn inherited(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut s = Stage::new(narrow(context, dir))?;
    let job = s.job(|j| j.expect_s = 2.0)?;
    context::until(10.0, || s.client.job(&job).is_ok_and(|d| d.row.running > 0));
    s.cluster.inject(PlatformFault::Hang {
        machine: 0,
        seconds: 6.0,
    });
    for node in 0..s.cluster.plan().nodes {
        s.cluster.kill_node(node);
    }
    for node in 0..s.cluster.plan().nodes {
        s.cluster.start_node(node)?;
    }
    let told = s.sees(&job, "inherited", "");
    Ok((told, s.ends(&job)))
}

fn split(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut s, first) = filled(context, dir)?;
    let job = s.job(|j| {
        j.cpus = 3.0;
        j.due_s = Some(60.0);
    })?;
    let told = s.sees(&job, "split", "pair");
    s.client.cancel(&first)?;
    Ok((told, s.ends(&job)))
}
