//! Which slice waits for a reply of the state service, and for what.
//!
//! Below all slices, so that none needs to know another to send a request.

use beamhinge_core::types::JobId;

/// For a copy of a prefix: `mirror`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MirrorCall {
    /// A watch that returns at once.
    Now,
    /// A watch that waits for a change.
    Wait,
    Scan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadCall {
    Lease,
    Renew,
    ReadLead,
    WatchLead,
    ReadBlock,
    Take,
    Reclaim,
    Check,
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceCall {
    Pages,
    Progress,
    Commit,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntakeCall {
    Accept(Vec<JobId>),
    Cancel(JobId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCall {
    Read,
    Write,
    ReadSplit,
    WriteSplit,
}

/// Which slice waits for a reply of the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
    Job(MirrorCall),
    Directives(MirrorCall),
    /// A change of a directive, by its place among those that wait.
    Direct(u64),
    Configuration(MirrorCall),
    /// This controller's own key of the version that it serves by.
    ConfigurationMember,
    /// A change of configuration, by its place among those that wait.
    ConfigurationChange(u64),
    Lead(LeadCall),
    Place(PlaceCall),
    Intake(IntakeCall),
    Fleet(FleetCall),
}
