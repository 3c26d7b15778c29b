//! Queries of the admin API that wait: for a replica that is fresh enough, for confirmation that
//! this controller is still the leader, or for the response of another controller as the leader.

use beamhinge_admin_api::messages::{JobFilter, JobRow, Query, SpecView};
use beamhinge_core::types::{JobId, RequestId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a query may wait for a replica or for the leader, seconds.
pub(super) const QUERY_TIMEOUT_S: f64 = 2.0;
/// How long a query of a peer may wait, seconds: less than [`QUERY_TIMEOUT_S`], so that the peer
/// receives the answer before its own timeout.
const PEER_QUERY_TIMEOUT_S: f64 = 1.5;

/// How the leader's response is processed before it is sent to the client.
#[derive(Debug)]
pub enum ResponseMerge {
    /// The response is sent unchanged.
    PassThrough,
    /// The response is merged with the job's state in the replica.
    Job {
        /// The job's row, without the values that only the leader knows.
        row: Box<JobRow>,
        /// The job's specification; `None` if the replica has none.
        spec: Box<Option<SpecView>>,
        /// Whether only the explanation of the job's state is requested.
        explain: bool,
    },
}

/// Who waits for the leader's response.
#[derive(Debug)]
pub enum Requester {
    /// A client of this controller.
    Client {
        /// The client's request.
        request: RequestId,
        /// How the response is processed.
        merge: ResponseMerge,
    },
    /// Another controller.
    Peer {
        /// Label of that controller.
        label: String,
        /// Serial number that the peer gave the query.
        serial: u64,
    },
}

/// A query that waits for a replica that is fresher than the query.
#[derive(Debug)]
pub struct LocalQuery {
    /// The client's request.
    pub request: RequestId,
    /// When the query was received.
    pub received: Time,
    /// The requested data.
    pub target: LocalTarget,
}

/// Data that a replica of this controller provides.
#[derive(Debug)]
pub enum LocalTarget {
    /// A page of jobs.
    Jobs(JobFilter),
    /// One job.
    Job {
        /// The job.
        id: JobId,
        /// Whether only the explanation of its state is requested.
        explain: bool,
    },
    /// The directives in force.
    Directives,
    /// The teams in effect and the progress of their rollout.
    Configuration,
}

/// A query that this controller answers as the leader.
#[derive(Debug)]
pub struct LeaderQuery {
    /// When the query was received.
    pub received: Time,
    /// Who waits for the response.
    pub requester: Requester,
    /// The query to answer.
    pub query: Query,
}

/// Freshness of this controller's replicas; `None` if a replica has not been read yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaFreshness {
    /// Freshness of the jobs.
    pub jobs: Option<Time>,
    /// Freshness of the directives.
    pub directives: Option<Time>,
    /// Freshness of the configuration.
    pub configuration: Option<Time>,
}

/// Queries that have timed out or can no longer be answered.
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

/// All queries that have not been answered yet.
#[derive(Default)]
pub struct PendingQueries {
    local: VecDeque<LocalQuery>,
    leader: VecDeque<LeaderQuery>,
    /// Queries sent to the leader, by serial number.
    forwarded: BTreeMap<u64, ForwardedQuery>,
    last_serial: u64,
    /// Requests that the user API answers on behalf of the admin API.
    delegated: BTreeSet<RequestId>,
}

impl PendingQueries {
    /// Number of waiting requests, including delegated ones.
    pub fn count(&self) -> usize {
        self.local.len() + self.leader.len() + self.forwarded.len() + self.delegated.len()
    }

    /// Whether no query waits here; delegated requests wait in the user API and do not count.
    pub fn is_idle(&self) -> bool {
        self.local.is_empty() && self.leader.is_empty() && self.forwarded.is_empty()
    }

    /// Queues a query until the replica that it needs is fresh enough.
    pub fn push_local(&mut self, now: Time, request: RequestId, target: LocalTarget) {
        self.local.push_back(LocalQuery {
            request,
            received: now,
            target,
        });
    }

    /// Queues a query until this controller may answer it as the leader.
    pub fn push_leader_query(&mut self, now: Time, requester: Requester, query: Query) {
        self.leader.push_back(LeaderQuery {
            received: now,
            requester,
            query,
        });
    }

    /// Records a query that is sent to the leader, and returns the serial number for the message.
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

    /// Removes and returns the query that the leader has answered; `None` if it has timed out.
    pub fn take_forwarded(&mut self, serial: u64) -> Option<(RequestId, ResponseMerge)> {
        let query = self.forwarded.remove(&serial)?;
        Some((query.request, query.merge))
    }

    /// Records a request that the user API answers; its answer is converted to the format of the
    /// admin API before it is sent.
    pub fn delegate(&mut self, request: RequestId) {
        self.delegated.insert(request);
    }

    /// Removes a delegated request. Returns whether the request was delegated, so that its answer
    /// must be converted.
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

    /// Whether some query needs a new confirmation of the leadership.
    pub fn needs_leadership_check(&self) -> bool {
        !self.leader.is_empty()
    }

    /// Removes and returns the queries that replicas of this freshness can answer.
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

    /// Removes and returns the queries that this controller can answer as the leader, given that
    /// its leadership was confirmed at `confirmed_at` by an exchange with the key-value store.
    pub fn take_ready_leader(&mut self, confirmed_at: Option<Time>) -> Vec<LeaderQuery> {
        let Some(confirmed_at) = confirmed_at else {
            return Vec::new();
        };
        let first_newer = self.leader.iter().position(|q| q.received > confirmed_at);
        let ready_count = first_newer.unwrap_or(self.leader.len());
        self.leader.drain(..ready_count).collect()
    }

    /// Removes and returns all queries that have timed out and, if this controller is not the
    /// leader, all queries that it would have answered as the leader.
    pub fn take_overdue(&mut self, now: Time, is_leader: bool) -> Overdue {
        let mut overdue = Overdue::default();
        let timed_out = |since: Time, timeout_s: f64| now.since(since) > timeout_s;
        self.local.retain(|query| {
            let is_late = timed_out(query.received, QUERY_TIMEOUT_S);
            if is_late {
                overdue.clients.push(query.request);
            }
            !is_late
        });
        for query in std::mem::take(&mut self.leader) {
            let timeout_s = match query.requester {
                Requester::Peer { .. } => PEER_QUERY_TIMEOUT_S,
                Requester::Client { .. } => QUERY_TIMEOUT_S,
            };
            if is_leader && !timed_out(query.received, timeout_s) {
                self.leader.push_back(query);
                continue;
            }
            match query.requester {
                Requester::Client { request, .. } => overdue.clients.push(request),
                Requester::Peer { label, serial } => overdue.peers.push((label, serial)),
            }
        }
        self.forwarded.retain(|_, query| {
            let is_late = timed_out(query.sent, QUERY_TIMEOUT_S);
            if is_late {
                overdue.clients.push(query.request);
            }
            !is_late
        });
        overdue
    }
}
