//! Users and operators: what they send, and what they do with the answers.

use super::*;

impl Sim {
    pub(super) fn ask_again(&mut self, mut q: OperatorRequest) {
        q.tries = q.tries.saturating_sub(1);
        if q.tries > 0 {
            self.push(self.now + SECOND / 2, Event::OperatorAsks(q));
        }
    }

    pub(super) fn operator_asks(&mut self, q: OperatorRequest) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some())
            .collect();
        let node = match q.node {
            Some(n) if self.nodes[n].is_some() => n,
            None if !up.is_empty() => up[self.rng.gen_range(0..up.len())],
            _ => return self.ask_again(q),
        };
        let id = RequestId {
            slot: 1,
            generation: self.next_request + 1,
        };
        self.next_request += 1;
        let req = Request {
            method: q.method,
            path: q.path.clone(),
            body: q.body.clone().into_bytes(),
            close: false,
            authorization: None,
        };
        // What the load balancer asks, it asks at the users' door.
        let listener = if q.path == "/up" {
            0
        } else {
            beamhinge_controller::node::ADMIN_LISTENER
        };
        self.callers
            .insert((node, id.generation), Requester::Operator(q));
        self.with_node(node, |n, now, wall, out| {
            n.on_request(now, wall, listener, id, req, out)
        });
    }

    /// Words that stand for what is there at the moment.
    pub fn expand(&self, text: &str) -> String {
        let busiest = self.workers.iter().max_by_key(|(_, w)| w.running().count());
        let machine = busiest.map_or(String::new(), |(id, _)| format!("n-{id:06}"));
        let leader = self
            .leader()
            .map_or(String::new(), |n| self.settings[n].label.clone());
        text.replace("$busiest", &machine)
            .replace("$leader", &leader)
    }

    pub(super) fn user_sends(&mut self, job: String, what: UserRequest, since: Micros) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some() && self.now >= self.frozen[*i])
            .filter(|i| !self.zone_is_cut(self.area(*i)))
            .collect();
        if up.is_empty() {
            return self.retry(job, what, since, 1.0);
        }
        let any = up[self.rng.gen_range(0..up.len())];
        let node = self
            .asks_at
            .take()
            .filter(|n| up.contains(n))
            .unwrap_or(any);
        self.ask(node, job, what, since, false);
    }

    /// A user's question goes to this node; who only looks asks once.
    pub(super) fn ask(
        &mut self,
        node: usize,
        job: String,
        what: UserRequest,
        since: Micros,
        look: bool,
    ) {
        if self.healed.is_some() && !look {
            self.asked.entry(job.clone()).or_insert(self.now);
        }
        let told = self.told.entry(job.clone()).or_default();
        let (method, path, body) = match what {
            UserRequest::Submit => {
                told.submitted = true;
                let body = self
                    .jobs
                    .get(&job)
                    .map(|j| wire::encode(&j.body))
                    .unwrap_or_default();
                (Method::Post, "/api/jobs".to_string(), body)
            }
            UserRequest::Poll => (Method::Get, format!("/api/jobs/{job}"), Vec::new()),
            UserRequest::Cancel => {
                told.asked_cancel = true;
                (Method::Post, format!("/api/jobs/{job}/cancel"), Vec::new())
            }
        };
        let serial = self.next_request + 1;
        let asked = self.now;
        self.callers.insert(
            (node, serial),
            Requester::User {
                job,
                what,
                since,
                asked,
                look,
            },
        );
        let patience = if what == UserRequest::Poll { 2 } else { 5 } * SECOND;
        self.push(self.now + patience, Event::UserGivesUp { request: serial });
        self.request(node, method, &path, body);
    }

    pub(super) fn retry(&mut self, job: String, what: UserRequest, since: Micros, after_s: f64) {
        if what != UserRequest::Poll && self.now > since + 60 * SECOND {
            return;
        }
        let after_s = if what == UserRequest::Poll {
            5.0
        } else {
            after_s
        };
        self.push(
            self.now + (after_s * 1e6) as u64,
            Event::UserSends { job, what, since },
        );
    }

    pub(super) fn user_answered(
        &mut self,
        job: String,
        what: UserRequest,
        (since, asked): (Micros, Micros),
        look: bool,
        status: u16,
        body: &[u8],
    ) {
        if what == UserRequest::Poll && self.untold.as_ref() == Some(&job) {
            return self.retry(job, what, since, 1.0);
        }
        let value = decode(body);
        let state = value["status"].as_str().unwrap_or("").to_string();
        let total = self
            .jobs
            .get(&job)
            .and_then(|j| j.body["pieces"].as_u64())
            .unwrap_or(0);
        let done = self.results_of(&job);
        let now = self.now;
        if status < 500 {
            if let (Some(at), Some(healed)) = (self.asked.remove(&job), self.healed) {
                self.longest_open = self.longest_open.max(self.now - at.max(healed));
            }
        }
        let told = self.told.entry(job.clone()).or_default();
        let before = (told.accepted, told.over);
        let cancelled = told.cancelled;
        let Assessment {
            violations: broken,
            follow_up: next,
        } = told.on_answer(&UserAnswer {
            asked,
            received: now,
            request: what,
            status,
            state: &state,
            complete: done >= total,
        });
        let news = (told.accepted, told.over) != before;
        let cancelled = told.cancelled != cancelled;
        if told.accepted && self.odd.contains(&job) {
            self.invalid.insert(job.clone());
        }
        if news {
            self.look_closely(&job);
        }
        let next = next.filter(|_| !look);
        if cancelled {
            self.happened("cancelled");
        }
        for rule in broken {
            self.break_rule(rule, &job);
        }
        match next {
            Some(FollowUp::Retry(after_s)) => self.retry(job, what, since, after_s),
            Some(FollowUp::Poll(after_s)) => self.push(
                now + (after_s.max(self.polls_s) / self.often() * 1e6) as u64,
                Event::UserSends {
                    job,
                    what: UserRequest::Poll,
                    since: now,
                },
            ),
            None => {}
        }
    }

    /// How many times as often users ask now.
    pub(super) fn often(&self) -> f64 {
        match self.storm {
            (factor, until) if self.now < until => factor.max(1.0),
            _ => 1.0,
        }
    }
}
