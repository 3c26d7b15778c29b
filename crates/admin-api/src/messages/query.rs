//! Queries that only the leader can answer, and that other controllers forward to it.

use serde::{Deserialize, Serialize};

/// A query to the leader.
///
/// The binary encoding depends on the order of variants and fields, so new variants are added at
/// the end. A controller that does not know a variant closes the connection, and the controller
/// that sent the query responds to its client with 503.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// The placement of one open job.
    Job {
        /// ID of the job.
        job: String,
    },
    /// A page of machines.
    Machines {
        /// Lists only machines of this type; `None` lists machines of any type.
        #[serde(rename = "shape")]
        machine_type: Option<String>,
        /// Lists only machines in this zone; `None` lists machines in any zone.
        zone: Option<String>,
        /// Name of the last machine on the previous page; `None` for the first page.
        after: Option<String>,
        /// Maximum number of rows on the page.
        limit: usize,
    },
    /// Usage and quota of all teams.
    Teams,
    /// The state of the capacity split.
    Splits,
    /// Totals of the cluster.
    Summary,
    /// A page of the leader's decisions.
    Decisions {
        /// Fencing token of the leader whose decisions the client has read so far.
        token: u64,
        /// Serial number of the last decision that the client has read.
        after: u64,
        /// Maximum number of rows on the page.
        limit: usize,
    },
}
