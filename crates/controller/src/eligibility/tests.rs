use super::*;
use crate::job_store::{JobKind, Urgency};

fn spec(zone: Option<&str>, single_zone: bool, spread: bool) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "one".into(),
        kind: JobKind::Batch,
        urgency: Urgency::Standard,
        tasks: 5,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: zone.map(str::to_string),
        single_zone,
        spread,
        spot: true,
        expected_run_s: 5.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        due_s: None,
        submitted: 0,
        command: None,
    }
}

/// Guards against renting for a zone that the scheduler does not use: the planner's zones are those
/// in which the scheduler may place the next task, for every rule and every distribution of tasks.
#[test]
fn zones_of_next_task_are_those_that_the_scheduler_uses() {
    let zones: BTreeSet<String> = ["a", "b", "c"].map(str::to_string).into();
    for rules in 0..4 {
        for required in [None, Some("a")] {
            let spec = spec(required, rules & 1 > 0, rules & 2 > 0);
            for distribution in 0..256u32 {
                let count = |i: u32| (distribution >> (2 * i)) & 3;
                let tasks_by_zone: ZoneCounts = ["a", "b", "c", ""]
                    .into_iter()
                    .zip([count(0), count(1), count(2), count(3)])
                    .filter(|(_, count)| *count > 0)
                    .map(|(zone, count)| (zone.to_string(), count))
                    .collect();
                let scope = ZoneScope::of_next_task(&spec, &tasks_by_zone, &zones);
                for zone in &zones {
                    let placeable = required.is_none_or(|r| r == zone)
                        && !violates_zone_rule(&spec, &tasks_by_zone, zone);
                    assert_eq!(
                        scope.contains(zone),
                        placeable,
                        "{zone}: {tasks_by_zone:?}, {rules}"
                    );
                }
            }
        }
    }
}
