use super::*;
use crate::calls::{ReplicaCall, SchedulerCall, Tag};
use crate::event_log::EventLog;
use crate::scheduler::{Scheduler, SchedulerTick};
use crate::store::{Outcome, Reply};
use beamhinge_core::settings::{OperatorSettings, Settings, SAMPLE};
use beamhinge_core::types::FencingToken;
use beamhinge_priority_aging::AgingPolicy;

/// Pins the names and types of all metrics on the leader's metrics page.
#[test]
fn metrics_page_of_leader_matches_golden_file() {
    let now = Time::from_micros(1_000_000);
    let settings = Settings::parse("t", SAMPLE).expect("valid sample settings");
    let operator = OperatorSettings::parse("t", "[operators]\nlisten = 127.0.0.1:1\n")
        .expect("valid operator settings");
    let policy = AgingPolicy::new(Default::default());
    let log = EventLog::new(true);
    let mut scheduler = Scheduler::new(
        &settings,
        FencingToken(9),
        Default::default(),
        log,
        policy,
        now,
    );
    let mut node = Node::new(settings, operator, Vec::new(), 7, now);
    // The store is empty: the job replica, the placement pages and the progress pages load empty.
    let empty = |tag: Tag| {
        let body = serde_json::json!({"pairs": [], "ledgerRev": 9});
        Reply {
            tag,
            outcome: Outcome::Ok(beamhinge_core::wire::encode(&body)),
            sent_at: now,
        }
    };
    node.job_store.tick(now, true, true, &mut node.store);
    node.job_store
        .on_reply(now, ReplicaCall::Scan, empty(Tag::Job(ReplicaCall::Scan)));
    let context = SchedulerTick {
        now,
        wall: WallMs(1),
        may_place: true,
        settings: &node.settings,
        machine_types: &[],
    };
    scheduler.tick(&context, &node.job_store, &mut node.store);
    for call in [SchedulerCall::Pages, SchedulerCall::Progress] {
        scheduler.on_reply(now, call, empty(Tag::Scheduler(call)), &mut node.job_store);
    }
    assert!(scheduler.loaded());
    node.scheduler = Some(scheduler);
    let mut golden = crate::golden::Golden::new("tests/golden/figures.txt");
    for line in node.metrics_page(now, WallMs(1)).lines() {
        match line.strip_prefix("# TYPE ") {
            Some(kind) => golden.text("type", kind),
            None if line.contains("decisions_total{") => golden.text("counter", line),
            None => {}
        }
    }
    golden.check();
}
