//! The protocol of the cloud. Its wire words and the terms used elsewhere:
//!
//! | wire | term |
//! | --- | --- |
//! | `flavors`, `shapes` | instance types |
//! | `hosts`, `nameId` | instances and their names |
//! | `yard`, `loaners` | zone, spot |
//! | `rental`, `howMany` | idempotency key of a scale-out, number of instances |
//! | `heldS` | age of an instance, seconds |
//! | `lowPrice`, `rate` | price of a spot instance, price |
//! | `since`, `most` | pagination: last name of the previous page, page size |

use super::{CapacityPool, Instance, InstanceType};
use crate::Micros;
use beamhinge_core::http::Method;
use serde_json::{json, Value};

/// The request types of the cloud.
pub(super) enum Call {
    ListInstanceTypes,
    ListInstances,
    ScaleOut,
    ScaleIn,
    Unknown,
}

pub(super) fn call(method: Method, path: &str) -> Call {
    match (method, path.split('?').next().unwrap_or("")) {
        (Method::Get, "/flavors") => Call::ListInstanceTypes,
        (Method::Get, "/hosts") => Call::ListInstances,
        (Method::Post, "/hosts") => Call::ScaleOut,
        (Method::Post, "/hosts/release") => Call::ScaleIn,
        _ => Call::Unknown,
    }
}

/// The requested page of the list of instances.
pub(super) struct PageQuery<'a> {
    /// Name of the last instance of the previous page; `None` for the first page.
    pub(super) after: Option<&'a str>,
    pub(super) size: Option<usize>,
}

impl<'a> PageQuery<'a> {
    pub(super) fn decode(path: &'a str) -> PageQuery<'a> {
        let value = |name: &str| path.split(name).nth(1)?.split('&').next();
        PageQuery {
            after: value("since="),
            size: value("most=").and_then(|size| size.parse().ok()),
        }
    }
}

/// A request for additional instances.
pub(super) struct ScaleOut {
    /// Idempotency key: requests with the same key get the same answer.
    pub(super) key: String,
    pub(super) pool: CapacityPool,
    pub(super) count: u64,
}

impl ScaleOut {
    /// Decodes a request; `None` if a field is missing or malformed.
    pub(super) fn decode(body: &Value) -> Option<ScaleOut> {
        Some(ScaleOut {
            key: body["rental"].as_str()?.to_string(),
            pool: CapacityPool {
                machine_type: body["shape"].as_str()?.to_string(),
                zone: body["yard"].as_str()?.to_string(),
                spot: body["loaners"].as_bool()?,
            },
            count: body["howMany"].as_u64()?,
        })
    }
}

/// Names of the instances to release.
pub(super) fn instances_to_release(body: &Value) -> impl Iterator<Item = &str> {
    let names = body["hosts"].as_array().into_iter().flatten();
    names.filter_map(Value::as_str)
}

pub(super) fn encode_instance_types(types: &[InstanceType], zones: &[String]) -> Value {
    let types: Vec<Value> = types
        .iter()
        .map(|t| {
            json!({"label": t.label, "vcpus": t.cpus, "cards": 0, "memoryGb": t.memory_gb,
                "cacheGb": 40.0, "fetchGbPerS": 1.0, "rate": t.price, "lowPrice": t.spot_price,
                "bootS": t.boot_s, "yards": zones})
        })
        .collect();
    json!({ "shapes": types })
}

/// Encodes an instance with its status at time `at`.
pub(super) fn encode_instance(
    name: &str,
    endpoint: &str,
    instance: &Instance,
    at: Micros,
) -> Value {
    let status = if instance.failed_at.is_some_and(|failed| failed <= at) {
        "failed"
    } else if instance.up <= at {
        "running"
    } else {
        "starting"
    };
    json!({"nameId": name, "endpoint": endpoint, "shape": instance.machine_type,
        "yard": instance.zone, "loaners": instance.spot, "status": status,
        "heldS": at.saturating_sub(instance.created) as f64 / 1e6})
}

pub(super) fn encode_page(instances: &[Value], more: bool) -> Value {
    json!({"hosts": instances, "more": more})
}

pub(super) fn encode_names(names: &[String]) -> Value {
    json!({ "hosts": names })
}
