//! Tags of the calls to the key-value store: which module waits for a reply, and for what.
//!
//! The tags stand below all modules that send requests, so that none depends on another.

use beamhinge_core::types::JobId;

/// A call that keeps a [`ReplicaCache`](crate::replica::ReplicaCache) up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCall {
    /// A watch that returns at once.
    Refresh,
    /// A watch that waits for a change.
    Watch,
    /// One page of a scan.
    Scan,
}

/// A call of the leader election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionCall {
    /// Requests the session lease.
    GrantLease,
    /// Renews the session lease.
    RenewLease,
    /// Scans for the leadership key.
    ReadLeadership,
    /// Waits for a change of the leadership key.
    WatchLeadership,
    /// Scans for the block key.
    ReadBlock,
    /// Writes leadership key and block key: begins a term.
    Acquire,
    /// Writes the leadership key again during a term.
    Reclaim,
    /// Compares the block key with the fencing token.
    CheckBlock,
    /// Revokes the session lease.
    RevokeLease,
}

/// A call of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerCall {
    /// Scans the placement pages, at the beginning of a term.
    Pages,
    /// Scans the progress pages, at the beginning of a term.
    Progress,
    /// Commits placements, progress and the ends of jobs.
    Commit,
}

/// A call of the user API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UserApiCall {
    /// Stores submitted jobs.
    Accept(Vec<JobId>),
    /// Stores that a job is cancelled.
    Cancel(JobId),
}

/// A call of the fleet or of the capacity planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCall {
    /// Scans the record of rented machines, at the beginning of a term.
    ReadRentals,
    /// Writes the record of rented machines.
    WriteRentals,
    /// Scans the capacity planner's record.
    ReadSplit,
    /// Writes the capacity planner's record.
    WriteSplit,
}

/// Which module waits for a reply of the key-value store, and for what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
    /// The job store.
    Job(ReplicaCall),
    /// The replica of the operators' directives.
    Directives(ReplicaCall),
    /// A change of a directive, by its serial number.
    DirectiveChange(u64),
    /// The replica of the configuration.
    Configuration(ReplicaCall),
    /// This controller's own key, which holds the configuration version it serves.
    ConfigurationMember,
    /// A change of configuration, by its serial number.
    ConfigurationChange(u64),
    /// The leader election.
    Election(ElectionCall),
    /// The scheduler.
    Scheduler(SchedulerCall),
    /// The user API.
    UserApi(UserApiCall),
    /// The fleet and the capacity planner.
    Fleet(FleetCall),
}
