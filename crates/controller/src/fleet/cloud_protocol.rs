//! The cloud's wire format: bodies of requests and replies under the names of its protocol.
//!
//! Only this module uses the names on the wire (`yard`, `loaners`, `cards`, `vcpus`, `shape`); all
//! other modules use the scheduler's terms.

use super::instance::InstanceStatus;
use crate::split::MachineType;
use beamhinge_core::http::Method;
use beamhinge_core::types::MachineId;
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Maximum number of machines on one page of the machine list.
const LIST_PAGE_SIZE: u32 = 500;
/// Error text of a 503 reply by which the cloud states that nothing was rented.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// Reply to `GET /flavors`: the machine types that the cloud offers.
#[derive(Deserialize)]
pub(super) struct Catalog {
    #[serde(rename = "shapes")]
    pub(super) machine_types: Vec<CatalogEntry>,
}

/// One machine type of the catalog.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct CatalogEntry {
    pub(super) label: String,
    #[serde(rename = "vcpus", deserialize_with = "wire::amount")]
    pub(super) cpus: f64,
    #[serde(rename = "cards", default, deserialize_with = "wire::amount")]
    pub(super) gpus: f64,
    #[serde(deserialize_with = "wire::amount")]
    pub(super) memory_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    pub(super) cache_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    pub(super) fetch_gb_per_s: f64,
    #[serde(deserialize_with = "wire::amount")]
    pub(super) rate: f64,
    #[serde(deserialize_with = "wire::amount")]
    pub(super) low_price: f64,
    #[serde(deserialize_with = "wire::amount")]
    pub(super) boot_s: f64,
    #[serde(rename = "yards")]
    pub(super) zones: Vec<String>,
}

impl From<CatalogEntry> for MachineType {
    fn from(entry: CatalogEntry) -> MachineType {
        MachineType {
            label: entry.label,
            cpus: entry.cpus,
            gpus: entry.gpus,
            memory_gb: entry.memory_gb,
            cache_gb: entry.cache_gb,
            fetch_gb_per_s: entry.fetch_gb_per_s,
            rate: entry.rate,
            low_price: entry.low_price,
            boot_s: entry.boot_s,
            zones: entry.zones,
        }
    }
}

/// One machine of the machine list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct HostRow {
    pub(super) name_id: String,
    #[serde(default)]
    pub(super) endpoint: Option<String>,
    #[serde(rename = "shape")]
    pub(super) machine_type: String,
    #[serde(rename = "yard")]
    pub(super) zone: String,
    #[serde(rename = "loaners")]
    pub(super) spot: bool,
    pub(super) status: String,
    /// Time since the machine was rented, seconds.
    #[serde(deserialize_with = "wire::amount")]
    pub(super) held_s: f64,
}

impl HostRow {
    /// The machine's status. A status that this version does not know counts as booting.
    pub(super) fn instance_status(&self) -> InstanceStatus {
        match self.status.as_str() {
            "running" => InstanceStatus::Running,
            "failed" => InstanceStatus::Failed,
            _ => InstanceStatus::Booting,
        }
    }

    /// The worker's address; `None` if it is absent or cannot be parsed.
    pub(super) fn socket_address(&self) -> Option<SocketAddrV4> {
        self.endpoint.as_ref().and_then(|e| e.parse().ok())
    }
}

/// Reply to `GET /hosts`: one page of the machine list.
#[derive(Deserialize)]
pub(super) struct HostList {
    pub(super) hosts: Vec<HostRow>,
    #[serde(default)]
    pub(super) more: bool,
}

/// Reply to `POST /hosts`: names of the rented machines.
#[derive(Deserialize)]
pub(super) struct ScaleOutResponse {
    pub(super) hosts: Vec<String>,
}

/// Body of `POST /hosts`.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ScaleOutRequest<'a> {
    /// Idempotency key: repeated requests under the same name rent only once.
    pub(super) rental: &'a str,
    #[serde(rename = "shape")]
    pub(super) machine_type: &'a str,
    #[serde(rename = "yard")]
    pub(super) zone: &'a str,
    #[serde(rename = "loaners")]
    pub(super) spot: bool,
    #[serde(rename = "howMany")]
    pub(super) count: u32,
}

/// Body of `POST /hosts/release`.
#[derive(Serialize)]
pub(super) struct ScaleInRequest {
    pub(super) hosts: Vec<String>,
}

/// Body of an error reply.
#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// An HTTP request to the cloud.
pub(super) struct CloudRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

impl CloudRequest {
    fn get(path: String) -> CloudRequest {
        CloudRequest {
            method: Method::Get,
            path,
            body: Vec::new(),
        }
    }

    fn post(path: &str, body: Vec<u8>) -> CloudRequest {
        CloudRequest {
            method: Method::Post,
            path: path.to_string(),
            body,
        }
    }

    /// Reads the catalog of machine types.
    pub(super) fn catalog() -> CloudRequest {
        Self::get("/flavors".to_string())
    }

    /// Reads the page of the machine list that follows the machine `after`, or the first page if
    /// `None`.
    pub(super) fn list_machines(after: Option<&str>) -> CloudRequest {
        Self::get(match after {
            Some(after) => format!("/hosts?since={after}&most={LIST_PAGE_SIZE}"),
            None => format!("/hosts?most={LIST_PAGE_SIZE}"),
        })
    }

    /// Rents machines.
    pub(super) fn scale_out(request: &ScaleOutRequest) -> CloudRequest {
        Self::post("/hosts", wire::encode(request))
    }

    /// Releases machines.
    pub(super) fn scale_in(machines: &[MachineId]) -> CloudRequest {
        let hosts = machines.iter().map(ToString::to_string).collect();
        Self::post("/hosts/release", wire::encode(&ScaleInRequest { hosts }))
    }
}

/// The cloud's reply to a request for machines.
pub(super) enum ScaleOutReply {
    /// Names of the rented machines, possibly fewer than requested.
    Granted(Vec<String>),
    /// This call rented nothing.
    NoCapacity,
    /// The cloud currently does not serve requests.
    Unavailable,
    /// The call exceeded the cloud's rate limit.
    RateLimited,
    /// The cloud rejected the request as malformed.
    Malformed,
    /// No usable reply: machines may or may not have been rented.
    Unknown,
}

impl From<Option<(u16, Vec<u8>)>> for ScaleOutReply {
    fn from(result: Option<(u16, Vec<u8>)>) -> ScaleOutReply {
        match result {
            // A body that cannot be decoded names no machines; the machine list will show them.
            Some((200, body)) => ScaleOutReply::Granted(
                wire::decode::<ScaleOutResponse>(&body).map_or_else(|_| Vec::new(), |r| r.hosts),
            ),
            Some((503, body)) => match wire::decode::<ErrorBody>(&body) {
                Ok(e) if e.error == NO_CAPACITY_ERROR => ScaleOutReply::NoCapacity,
                _ => ScaleOutReply::Unavailable,
            },
            Some((429, _)) => ScaleOutReply::RateLimited,
            Some((400, _)) => ScaleOutReply::Malformed,
            _ => ScaleOutReply::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
