//! Tags of the calls to the key-value store: which module waits for a reply, and for what.
//!
//! The tags are defined in a module of their own, so that the modules that send requests need not
//! depend on each other.

use beamhinge_core::types::JobId;

/// A call that keeps a [`ReplicaCache`](crate::replica::ReplicaCache) up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCall {
    /// A watch that returns at once.
    Refresh,
    /// A watch that waits for a change.
    Watch,
    /// A scan, which returns one page of keys.
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
    /// Watches the leadership key for a change.
    WatchLeadership,
    /// Scans for the block key.
    ReadBlock,
    /// Acquires the leadership: writes the leadership key and the block key, which begins a term.
    Acquire,
    /// Rewrites the leadership key during a term.
    Reclaim,
    /// Compares the revision of the block key with the fencing token.
    CheckBlock,
    /// Revokes the session lease.
    RevokeLease,
}

/// A call of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerCall {
    /// Scans the placement pages, at the beginning of a term and after a transaction of unknown
    /// outcome.
    Pages,
    /// Scans the progress pages, after the placement pages.
    Progress,
    /// Commits placements, progress and finished jobs.
    Commit,
}

/// A call of the user API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UserApiCall {
    /// Stores submitted jobs.
    Accept(Vec<JobId>),
    /// Marks a job's record as cancelled.
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
    /// A change of a directive, identified by its serial number.
    DirectiveChange(u64),
    /// The replica of the configuration.
    Configuration(ReplicaCall),
    /// The key of this controller that records which configuration version it serves.
    ConfigurationMember,
    /// A configuration change, identified by its serial number.
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
