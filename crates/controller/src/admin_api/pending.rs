//! Queries of operators that wait: for a replica that is fresh enough, for this controller as
//! the leader, or for the leader's response.

use beamhinge_admin_api::messages::{JobFilter, JobRow, Query, SpecView};
use beamhinge_core::types::{JobId, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a query may wait for a replica or for the leader, seconds.
pub(super) const QUERY_TIMEOUT_S: f64 = 2.0;
/// How long a query of a peer may wait here, seconds: less, so that the peer hears of it before
/// it gives up itself.
const PEER_QUERY_TIMEOUT_S: f64 = 1.5;

/// What is done with the leader's response before the client gets it.
#[derive(Debug)]
pub enum ResponseMerge {
    /// It is passed on as it is.
    PassThrough,
    /// It is put together with what the replica holds of the job.
    Job {
        /// The job's row, but for what the leader knows better.
        row: Box<JobRow>,
        /// The job's specification.
        spec: Box<Option<SpecView>>,
        /// Whether only the explanation is wanted.
        explain: bool,
    },
}

/// Who waits for what only the leader knows.
#[derive(Debug)]
pub enum Requester {
    /// A client of this controller.
    Client {
        /// The client's request.
        request: RequestId,
        /// What is done with the response.
        merge: ResponseMerge,
    },
    /// Another controller.
    Peer {
        /// Label of the controller.
        label: String,
        /// The number under which it sent the query.
        serial: u64,
    },
}

/// A query that waits for a replica that is fresher than itself.
#[derive(Debug)]
pub struct LocalQuery {
    /// The client's request.
    pub request: RequestId,
    /// When it came.
    pub received: Time,
    /// What is asked for.
    pub target: LocalTarget,
}

/// What a replica of this controller answers.
#[derive(Debug)]
pub enum LocalTarget {
    /// A page of jobs.
    Jobs(JobFilter),
    /// One job.
    Job {
        /// The job.
        id: JobId,
        /// Whether only the explanation of its state is wanted.
        explain: bool,
    },
    /// The directives in force.
    Directives,
    /// The teams in effect and how far they are rolled out.
    Configuration,
}

/// A query that this controller answers as the leader.
#[derive(Debug)]
pub struct LeaderQuery {
    /// When it came.
    pub received: Time,
    /// Who waits for the response.
    pub requester: Requester,
    /// What is asked for.
    pub query: Query,
}

/// How fresh the replicas of this controller are; `None`: not read yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaFreshness {
    /// Of the jobs.
    pub jobs: Option<Time>,
    /// Of the directives.
    pub directives: Option<Time>,
    /// Of the configuration.
    pub configuration: Option<Time>,
}

/// Queries that are given up.
#[derive(Debug, Default)]
pub struct Overdue {
    /// Requests of clients.
    pub clients: Vec<RequestId>,
    /// Queries of peers, by label and serial.
    pub peers: Vec<(String, u64)>,
}

/// A query that was sent to the leader.
struct ForwardedQuery {
    sent: Time,
    request: RequestId,
    merge: ResponseMerge,
}

/// All queries that are not answered yet.
#[derive(Default)]
pub struct PendingQueries {
    local: VecDeque<LocalQuery>,
    leader: VecDeque<LeaderQuery>,
    /// Sent to the leader, by serial.
    forwarded: BTreeMap<u64, ForwardedQuery>,
    last_serial: u64,
    /// Requests that the user API answers.
    delegated: BTreeSet<RequestId>,
}

impl PendingQueries {
    /// How many requests wait, delegated ones included.
    pub fn count(&self) -> usize {
        self.local.len() + self.leader.len() + self.forwarded.len() + self.delegated.len()
    }

    /// Whether no query waits here; what was delegated waits elsewhere.
    pub fn is_idle(&self) -> bool {
        self.local.is_empty() && self.leader.is_empty() && self.forwarded.is_empty()
    }

    /// Has a query wait for a fresh replica.
    pub fn push_local(&mut self, now: Time, request: RequestId, target: LocalTarget) {
        self.local.push_back(LocalQuery {
            request,
            received: now,
            target,
        });
    }

    /// Has a query wait until this controller may answer it as the leader.
    pub fn push_leader_query(&mut self, now: Time, requester: Requester, query: Query) {
        self.leader.push_back(LeaderQuery {
            received: now,
            requester,
            query,
        });
    }

    /// Notes a query that is sent to the leader; returns the serial to send it under.
    pub fn push_forwarded(&mut self, now: Time, request: RequestId, merge: ResponseMerge) -> u64 {
        self.last_serial += 1;
        let query = ForwardedQuery {
            sent: now,
            request,
            merge,
        };
        self.forwarded.insert(self.last_serial, query);
        self.last_serial
    }

    /// Takes the query that the leader has answered; `None`: it was given up.
    pub fn take_forwarded(&mut self, serial: u64) -> Option<(RequestId, ResponseMerge)> {
        let query = self.forwarded.remove(&serial)?;
        Some((query.request, query.merge))
    }

    /// Notes a request that the user API answers; its answer is rewritten on the way out.
    pub fn delegate(&mut self, request: RequestId) {
        self.delegated.insert(request);
    }

    /// Whether the answer to this request is to be rewritten; it is no longer pending then.
    pub fn take_delegated(&mut self, request: RequestId) -> bool {
        !self.delegated.is_empty() && self.delegated.remove(&request)
    }

    /// Whether some query needs a fresh replica of the jobs.
    pub fn needs_fresh_jobs(&self) -> bool {
        !self.local.is_empty() || !self.leader.is_empty()
    }

    /// Whether some query needs a fresh replica of the directives.
    pub fn needs_fresh_directives(&self) -> bool {
        let mut local = self.local.iter();
        local.any(|query| matches!(query.target, LocalTarget::Directives))
    }

    /// Whether some query needs a fresh replica of the configuration.
    pub fn needs_fresh_configuration(&self) -> bool {
        let mut local = self.local.iter();
        local.any(|query| matches!(query.target, LocalTarget::Configuration))
    }

    /// Whether some query needs the leadership to be confirmed anew.
    pub fn needs_leadership_check(&self) -> bool {
        !self.leader.is_empty()
    }

    /// Takes the queries that replicas of this freshness can answer.
    pub fn take_ready_local(&mut self, freshness: &ReplicaFreshness) -> Vec<LocalQuery> {
        let mut ready = Vec::new();
        for query in std::mem::take(&mut self.local) {
            let fresh = match query.target {
                LocalTarget::Directives => freshness.directives,
                LocalTarget::Configuration => freshness.configuration,
                LocalTarget::Jobs(_) | LocalTarget::Job { .. } => freshness.jobs,
            };
            if fresh.is_some_and(|fresh| fresh >= query.received) {
                ready.push(query);
            } else {
                self.local.push_back(query);
            }
        }
        ready
    }

    /// Takes the queries that the leader can answer by an exchange with the key-value store at
    /// `confirmed_at`.
    pub fn take_ready_leader(&mut self, confirmed_at: Option<Time>) -> Vec<LeaderQuery> {
        let Some(confirmed_at) = confirmed_at else {
            return Vec::new();
        };
        let newer = self.leader.iter().position(|q| q.received > confirmed_at);
        let ready = newer.unwrap_or(self.leader.len());
        self.leader.drain(..ready).collect()
    }

    /// Takes all queries that may wait no longer and, where this controller is not the leader,
    /// those that it was to answer as the leader.
    pub fn take_overdue(&mut self, now: Time, is_leader: bool) -> Overdue {
        let mut overdue = Overdue::default();
        let late = |since: Time, timeout_s: f64| now.since(since) > timeout_s;
        self.local.retain(|query| {
            let over = late(query.received, QUERY_TIMEOUT_S);
            if over {
                overdue.clients.push(query.request);
            }
            !over
        });
        for query in std::mem::take(&mut self.leader) {
            let timeout_s = match query.requester {
                Requester::Peer { .. } => PEER_QUERY_TIMEOUT_S,
                Requester::Client { .. } => QUERY_TIMEOUT_S,
            };
            if is_leader && !late(query.received, timeout_s) {
                self.leader.push_back(query);
                continue;
            }
            match query.requester {
                Requester::Client { request, .. } => overdue.clients.push(request),
                Requester::Peer { label, serial } => overdue.peers.push((label, serial)),
            }
        }
        self.forwarded.retain(|_, query| {
            let over = late(query.sent, QUERY_TIMEOUT_S);
            if over {
                overdue.clients.push(query.request);
            }
            !over
        });
        overdue
    }
}
