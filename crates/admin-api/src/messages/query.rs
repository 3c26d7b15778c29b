//! Queries that only the leader can answer, as they travel between controllers.

use serde::{Deserialize, Serialize};

/// What is asked of the leader.
///
/// The order of variants and fields is the format. New kinds are added at the end: a controller
/// that does not know one closes the link, and the one that asked answers 503.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// The placement of one open job.
    Job {
        /// The job.
        job: String,
    },
    /// A page of machines.
    Machines {
        /// Only machines of this type.
        #[serde(rename = "shape")]
        machine_type: Option<String>,
        /// Only machines in this zone.
        zone: Option<String>,
        /// The last machine of the page before.
        after: Option<String>,
        /// Rows of the page.
        limit: usize,
    },
    /// What the teams use and may use.
    Teams,
    /// The state of the capacity split.
    Splits,
    /// The whole service in figures.
    Summary,
    /// A page of the leader's decisions.
    Decisions {
        /// Fencing token of the leader whose decisions were read so far.
        token: u64,
        /// The last serial that was read.
        after: u64,
        /// Rows of the page.
        limit: usize,
    },
}
