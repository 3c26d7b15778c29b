//! Operators: their requests and the answers.

use super::{Requester, Sim};
use crate::event::{Event, OperatorRequest};
use beamhinge_controller::node::ADMIN_LISTENER;
use beamhinge_core::http::Request;
use beamhinge_core::messages::Service;
use beamhinge_core::types::RequestId;
use beamhinge_emulator::{Micros, SECOND};
use rand::Rng;

/// A request that was refused is sent again after this long.
const REPEAT_DELAY: Micros = SECOND / 2;
/// Path of the load balancer's health check, which goes to the users' listener.
const HEALTH_PATH: &str = "/up";
const USER_LISTENER: usize = 0;

impl Sim {
    pub(super) fn repeat_operator_request(&mut self, mut request: OperatorRequest) {
        request.tries = request.tries.saturating_sub(1);
        if request.tries > 0 {
            self.push(self.now + REPEAT_DELAY, Event::OperatorSends(request));
        }
    }

    pub(super) fn operator_sends(&mut self, operator_request: OperatorRequest) {
        let running: Vec<usize> = self.running_controllers().collect();
        let controller = match operator_request.controller {
            Some(controller) if running.contains(&controller) => controller,
            None if !running.is_empty() => running[self.rng.gen_range(0..running.len())],
            _ => return self.repeat_operator_request(operator_request),
        };
        self.last_request += 1;
        let id = RequestId {
            slot: 1,
            generation: self.last_request,
        };
        let request = Request {
            method: operator_request.method,
            path: operator_request.path.clone(),
            body: operator_request.body.clone().into_bytes(),
            close: false,
            authorization: None,
        };
        let listener = if operator_request.path == HEALTH_PATH {
            USER_LISTENER
        } else {
            ADMIN_LISTENER
        };
        self.requesters.insert(
            (controller, id.generation),
            Requester::Operator(operator_request),
        );
        self.with_node(controller, |node, now, wall, out| {
            node.on_request(now, wall, listener, id, request, out);
        });
    }

    /// Handles a controller's answer on its operators' listener.
    pub(super) fn answer_operator(
        &mut self,
        controller: usize,
        to: RequestId,
        status: u16,
        body: &[u8],
    ) {
        let requester = self.requesters.remove(&(controller, to.generation));
        let Some(Requester::Operator(request)) = requester else {
            return;
        };
        if status == 503 && request.tries > 0 {
            return self.repeat_operator_request(request);
        }
        // A body that is not JSON is stored as null.
        let body = serde_json::from_slice(body).unwrap_or_default();
        self.operator_answers.insert(request.name, (status, body));
    }

    /// Replaces `$busiest` by the machine with the most tasks and `$leader` by the leader's
    /// label.
    #[must_use]
    pub fn expand(&self, text: &str) -> String {
        let busiest = self.workers.iter().max_by_key(|(_, w)| w.running().count());
        let machine = busiest.map_or(String::new(), |(id, _)| format!("n-{id:06}"));
        let leader = self
            .leader()
            .map_or(String::new(), |n| self.settings[n].label.clone());
        text.replace("$busiest", &machine)
            .replace("$leader", &leader)
    }
}
