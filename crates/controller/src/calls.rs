//! Which slice waits for a reply of the state service, and for what.
//!
//! Below all slices, so that none needs to know another to send a request.

use beamhinge_core::types::JobId;

/// For a copy of a prefix: `mirror`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaCall {
    /// A watch that returns at once.
    Refresh,
    /// A watch that waits for a change.
    Watch,
    Scan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionCall {
    GrantLease,
    RenewLease,
    ReadLeadership,
    WatchLeadership,
    ReadBlock,
    Acquire,
    Reclaim,
    CheckBlock,
    RevokeLease,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerCall {
    Pages,
    Progress,
    Commit,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UserApiCall {
    Accept(Vec<JobId>),
    Cancel(JobId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCall {
    ReadRentals,
    WriteRentals,
    ReadSplit,
    WriteSplit,
}

/// Which slice waits for a reply of the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
    Job(ReplicaCall),
    Directives(ReplicaCall),
    /// A change of a directive, by its place among those that wait.
    DirectiveChange(u64),
    Configuration(ReplicaCall),
    /// This controller's own key of the version that it serves by.
    ConfigurationMember,
    /// A change of configuration, by its place among those that wait.
    ConfigurationChange(u64),
    Election(ElectionCall),
    Scheduler(SchedulerCall),
    UserApi(UserApiCall),
    Fleet(FleetCall),
}
