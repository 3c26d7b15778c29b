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
const REASON_TIMEOUT_S: f64 = 25.0;
/// Limit until a job is done once the reason has been removed, in seconds.
const COMPLETION_TIMEOUT_S: f64 = 60.0;

/// The cluster of one case, with a client.
struct TestCluster {
    cluster: Cluster,
    client: Client,
    last_job_number: u32,
}

impl TestCluster {
    fn new(plan: ClusterPlan) -> Result<TestCluster, TestbedError> {
        let cluster = context::start(plan, Box::new(|_| {}))?;
        let mut client = context::client(&cluster, 20.0);
        let machines = cluster.plan().machines;
        // Wait until all machines of the initial cluster have reported.
        context::wait_until(15.0, || {
            client
                .machines(&[])
                .is_ok_and(|p| p.machines.iter().filter(|m| m.state == "up").count() >= machines)
        });
        Ok(TestCluster {
            cluster,
            client,
            last_job_number: 0,
        })
    }

    /// Submits a job of one task that runs for about a second, modified by `change`. Returns the
    /// job's ID.
    fn submit_job(&mut self, change: impl FnOnce(&mut JobRequest)) -> Result<String, TestbedError> {
        self.last_job_number += 1;
        let mut job = JobRequest::new(format!("job-{:04}", self.last_job_number), "home");
        job.expect_s = 1.0;
        change(&mut job);
        self.client.submit(&job)?;
        Ok(job.job)
    }

    /// Waits until `explain` reports the named reason with a text that contains `text_part`.
    /// Returns the text, or `None` after the timeout.
    fn wait_for_reason(&mut self, job: &str, name: &str, text_part: &str) -> Option<String> {
        let mut reported = None;
        context::wait_until(REASON_TIMEOUT_S, || {
            let e = self.client.explain(job).ok();
            // Poll until the reason appears: the first query may precede the placement of other
            // jobs.
            reported = e.and_then(|e| {
                e.reasons
                    .into_iter()
                    .find(|r| r.name() == name && r.to_string().contains(text_part))
            });
            reported.is_some()
        });
        reported.map(|r: Reason| r.to_string())
    }

    fn wait_until_done(&mut self, job: &str) -> bool {
        context::wait_until(COMPLETION_TIMEOUT_S, || {
            self.client
                .job(job)
                .is_ok_and(|d| d.row.state == State::Done)
        })
    }

    fn set_directive(&mut self, target: Target, set: bool) -> Result<(), TestbedError> {
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
fn single_machine_plan(context: &TestContext, dir: &Path) -> ClusterPlan {
    ClusterPlan {
        nodes: 2,
        machines: 1,
        rentable: 0,
        cpus: 4.0,
        task_runner: Some(Vec::new()),
        ..context::plan(context, dir)
    }
}

type CaseFunction = fn(&TestContext, &Path) -> Result<(Option<String>, bool), TestbedError>;

pub(crate) fn run(context: &TestContext) -> Result<Value, TestbedError> {
    let cases: [(&str, CaseFunction); 14] = [
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
    let (mut ok, mut results) = (true, serde_json::Map::new());
    for (name, case) in cases {
        let folder = Folder::new(&format!("explain-{name}"))?;
        let (reason_text, job_ran) = match case(context, &folder.0) {
            Ok(found) => found,
            Err(e) => {
                eprintln!("{name}: {e}");
                (None, false)
            }
        };
        eprintln!(
            "{name:15} {}  then {}",
            reason_text.as_deref().unwrap_or("NOT REPORTED"),
            if job_ran {
                "the job ran"
            } else {
                "THE JOB DID NOT RUN"
            }
        );
        ok &= reason_text.is_some() && job_ran;
        results.insert(
            name.into(),
            json!({"told": reason_text, "ran_after": job_ran}),
        );
    }
    Ok(json!({"ok": ok, "experiment": "explain", "reasons": results}))
}

fn frozen(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    test_cluster.set_directive(Target::Team("home".into()), true)?;
    let job = test_cluster.submit_job(|_| {})?;
    let reason_text = test_cluster.wait_for_reason(&job, "frozen", "");
    test_cluster.set_directive(Target::Team("home".into()), false)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn failures(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = single_machine_plan(context, dir);
    plan.machines = 4;
    plan.rentable = 4;
    let mut test_cluster = TestCluster::new(plan)?;
    let file = dir.join("mended");
    let line = format!("test -e {}", file.display());
    let job = test_cluster.submit_job(|j| j.command = Some(line))?;
    let reason_text = test_cluster.wait_for_reason(&job, "failures", "");
    std::fs::write(&file, "")?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn team_limit(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = single_machine_plan(context, dir);
    plan.machines = 3;
    let mut test_cluster = TestCluster::new(plan)?;
    let occupying_job = test_cluster.submit_job(|j| {
        (j.team, j.tasks) = ("small".into(), 4);
        j.command = Some("sleep 300".into());
    })?;
    let job = test_cluster.submit_job(|j| j.team = "small".into())?;
    let reason_text = test_cluster.wait_for_reason(&job, "team_limit", "");
    test_cluster.client.cancel(&occupying_job)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn cluster_with_occupied_machine(
    context: &TestContext,
    dir: &Path,
) -> Result<(TestCluster, String), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    let occupying_job = test_cluster.submit_job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    Ok((test_cluster, occupying_job))
}

fn no_room(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut test_cluster, occupying_job) = cluster_with_occupied_machine(context, dir)?;
    let job = test_cluster.submit_job(|j| j.cpus = 3.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "no_room", "lacks 2.00 CPUs");
    test_cluster.client.cancel(&occupying_job)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn behind(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut test_cluster, occupying_job) = cluster_with_occupied_machine(context, dir)?;
    let urgent_job = test_cluster.submit_job(|j| {
        j.cpus = 3.0;
        j.urgency = beamhinge_core::job::Urgency::High;
    })?;
    let job = test_cluster.submit_job(|j| j.cpus = 3.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "behind", &urgent_job);
    test_cluster.client.cancel(&occupying_job)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn market_refused(
    context: &TestContext,
    dir: &Path,
) -> Result<(Option<String>, bool), TestbedError> {
    let (mut test_cluster, occupying_job) = cluster_with_occupied_machine(context, dir)?;
    let job = test_cluster.submit_job(|j| j.cpus = 3.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "market_refused", "");
    test_cluster.client.cancel(&occupying_job)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn booting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = single_machine_plan(context, dir);
    plan.rentable = 2;
    plan.boot_s = 4.0;
    let mut test_cluster = TestCluster::new(plan)?;
    test_cluster.submit_job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    let job = test_cluster.submit_job(|j| j.cpus = 3.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "booting", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn renting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut plan = single_machine_plan(context, dir);
    plan.rentable = 2;
    let mut test_cluster = TestCluster::new(plan)?;
    // While the cloud is unreachable, the rental stays requested and no machine boots.
    test_cluster.cluster.inject(PlatformFault::CloudDown(6.0));
    std::thread::sleep(Duration::from_millis(200));
    test_cluster.submit_job(|j| {
        j.cpus = 3.0;
        j.command = Some("sleep 300".into());
    })?;
    let job = test_cluster.submit_job(|j| j.cpus = 3.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "renting", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn drained(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    test_cluster.set_directive(Target::MachineType("m".into()), true)?;
    let job = test_cluster.submit_job(|_| {})?;
    let reason_text = test_cluster.wait_for_reason(&job, "drained", "");
    test_cluster.set_directive(Target::MachineType("m".into()), false)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn fetching(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    let job = test_cluster.submit_job(|j| (j.image, j.image_gb) = ("tools".into(), 2.0))?;
    let reason_text = test_cluster.wait_for_reason(&job, "fetching", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn starting(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    // A machine that hangs has not fetched its command yet.
    test_cluster.cluster.inject(PlatformFault::Hang {
        machine: 0,
        seconds: 2.0,
    });
    std::thread::sleep(Duration::from_millis(100));
    let job = test_cluster.submit_job(|_| {})?;
    let reason_text = test_cluster.wait_for_reason(&job, "starting", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn ahead(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    test_cluster.submit_job(|j| (j.cpus, j.expect_s) = (4.0, 3.0))?;
    let job = test_cluster.submit_job(|j| j.cpus = 4.0)?;
    let reason_text = test_cluster.wait_for_reason(&job, "ahead", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn inherited(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let mut test_cluster = TestCluster::new(single_machine_plan(context, dir))?;
    let job = test_cluster.submit_job(|j| j.expect_s = 2.0)?;
    context::wait_until(10.0, || {
        test_cluster
            .client
            .job(&job)
            .is_ok_and(|d| d.row.running > 0)
    });
    test_cluster.cluster.inject(PlatformFault::Hang {
        machine: 0,
        seconds: 6.0,
    });
    for node in 0..test_cluster.cluster.plan().nodes {
        test_cluster.cluster.kill_controller(node);
    }
    for node in 0..test_cluster.cluster.plan().nodes {
        test_cluster.cluster.start_controller(node)?;
    }
    let reason_text = test_cluster.wait_for_reason(&job, "inherited", "");
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}

fn split(context: &TestContext, dir: &Path) -> Result<(Option<String>, bool), TestbedError> {
    let (mut test_cluster, occupying_job) = cluster_with_occupied_machine(context, dir)?;
    let job = test_cluster.submit_job(|j| {
        j.cpus = 3.0;
        j.due_s = Some(60.0);
    })?;
    let reason_text = test_cluster.wait_for_reason(&job, "split", "pair");
    test_cluster.client.cancel(&occupying_job)?;
    Ok((reason_text, test_cluster.wait_until_done(&job)))
}
