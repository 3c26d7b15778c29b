//! Role plans for the child processes of a scale run.

use super::RunPlan;
use crate::scale::children::RoleId;
use crate::scale::layout::Layout;
use crate::scale::messages::{MachinePlan, RolePlan, StateLimits};
use crate::scale::workload::Workload;
use std::net::SocketAddrV4;

/// Machines that can be rented in addition to the initial ones, as a fraction of them.
const SPARE_MACHINE_FRACTION: f64 = 0.05;

/// Plans of the key-value store, the cloud, and all worker processes.
pub(super) fn role_plans(
    plan: &RunPlan,
    layout: &Layout,
    workload: &Workload,
    seed: u64,
) -> Vec<(RoleId, RolePlan)> {
    let platform = &plan.size.platform;
    let state = RolePlan::State {
        addresses: layout.state_addresses(),
        limits: StateLimits {
            rps: platform.state_rps,
            write_rps: platform.state_write_rps,
            value_kb: platform.value_kb,
            txn_ops: platform.txn_ops as usize,
        },
    };
    let spare =
        (plan.size.workers as f64 * SPARE_MACHINE_FRACTION / plan.size.zones as f64).ceil() as u32;
    let cloud = RolePlan::Cloud {
        addresses: layout.cloud_addresses(),
        rps: platform.cloud_rps,
        list_lag_s: platform.list_lag_s,
        machines: MachinePlan {
            cpus: plan.size.machine.cpus,
            memory_gb: plan.size.machine.memory_gb,
            boot_s: plan.size.machine.boot_s,
            owned: layout.initial_machine_zones(),
            spare,
        },
        zones: layout.zones(),
        seed,
    };
    let workers = (0..layout.worker_processes()).map(|process| {
        let role = RolePlan::Workers {
            controllers: user_addresses(layout),
            addresses: layout.worker_addresses(process),
            report_s: plan.size.report_s,
            lease_s: platform.lease_s,
            cancel_s: platform.cancel_s,
            workload: workload.clone(),
            real: layout.runs_processes(process),
        };
        (RoleId::Workers(process), role)
    });
    [(RoleId::State, state), (RoleId::Cloud, cloud)]
        .into_iter()
        .chain(workers)
        .collect()
}

/// Plan of the users.
pub(super) fn users_plan(
    plan: &RunPlan,
    layout: &Layout,
    workload: &Workload,
) -> (RoleId, RolePlan) {
    let role = RolePlan::Users {
        controllers: user_addresses(layout),
        workload: workload.clone(),
        seconds: plan.seconds,
        seed: workload.seed,
    };
    (RoleId::Users, role)
}

fn user_addresses(layout: &Layout) -> Vec<SocketAddrV4> {
    layout.deployment().nodes.iter().map(|n| n.users).collect()
}
