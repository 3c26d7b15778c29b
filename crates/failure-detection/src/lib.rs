//! What silence means, and failures.
//!
//! A controller that does not hear a machine knows little: the machine may be
//! dead, its link may be, or the controller's own. This package weighs that for
//! machines together, and says of each whether it may be given back. It decides
//! about money and waiting only: when a task is off a machine is Guard 3's
//! matter, and nothing here weakens it.
//!
//! Sans-IO: times come in, findings go out. `docs/suspicion.md` has the ways
//! that were weighed.

mod blame;
mod groups;
mod heed;
mod peer_observations;
mod presence;
mod report_interval;
mod stall;

pub use blame::{Blame, Verdict};
pub use groups::{Bounds, Finding, Group, Link, Look, Seen, Suspicion};
pub use heed::Heed;
pub use peer_observations::{PeerObservations, Visitors};
pub use presence::Presence;
pub use report_interval::ReportInterval;
pub use stall::{Stall, Work};
