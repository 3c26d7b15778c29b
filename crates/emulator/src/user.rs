//! Emulator of a user: tracks the answers that the user got about a job, decides the user's next
//! request, and detects answers that violate a rule of the protocol.

use crate::Micros;

/// Interval at which a user polls a job that is not in a final state, seconds.
const POLL_S: f64 = 5.0;
/// Delay before a user retries a request that was answered with 503, seconds.
const RETRY_S: f64 = 1.0;

/// The kinds of requests that a user sends about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UserRequest {
    /// Submits the job.
    Submit,
    /// Queries the state of the job.
    Poll,
    /// Cancels the job.
    Cancel,
}

/// The user's next action after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// Retries the request after this number of seconds.
    Retry(f64),
    /// Polls after this number of seconds.
    Poll(f64),
}

/// An answer to a user.
#[derive(Clone, Copy, Debug)]
pub struct UserAnswer<'a> {
    /// When the request was sent.
    pub sent_at: Micros,
    /// When the answer was received.
    pub received: Micros,
    /// The kind of the answered request.
    pub request: UserRequest,
    /// HTTP status.
    pub status: u16,
    /// The job's state in the answer; empty if the answer has none.
    pub state: &'a str,
    /// Whether all tasks of the job have in fact finished.
    pub complete: bool,
}

/// The evaluation of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Assessment {
    /// Names of the rules that it violates.
    pub violations: Vec<&'static str>,
    /// The user's next action; `None` if the user sends no further request.
    pub follow_up: Option<FollowUp>,
}

/// The state of one job according to the answers that its user got.
#[derive(Clone, Default, Debug)]
pub struct UserJobView {
    /// Whether it was accepted.
    pub accepted: bool,
    /// Whether an answer reported it as done.
    pub done: bool,
    /// When an answer first reported it as cancelled; `None` if none did.
    pub cancelled: Option<Micros>,
    /// When an answer first reported it as done or cancelled; `None` if none did.
    pub final_at: Option<Micros>,
    /// Whether the user requested its cancellation.
    pub cancel_requested: bool,
    /// The state in the last answer.
    pub last_state: String,
    /// HTTP status of the last answer to the submission; `None` before the first.
    pub submit_status: Option<u16>,
    /// Whether the user submitted it.
    pub submitted: bool,
    /// Longest time after the first answer with a final state at which an answer with an older
    /// state was received. Such an answer is allowed if its request was sent before that.
    pub max_stale_answer_delay: Micros,
}

fn is_final(state: &str) -> bool {
    matches!(state, "done" | "cancelled")
}

impl UserJobView {
    /// Processes an answer and evaluates it.
    ///
    /// A user may send a cancellation to one controller and a poll to another at the same time.
    /// The answer to a request that was sent before the user received "cancelled" may have been
    /// generated before the cancellation and may still be in transit, so an older state is
    /// allowed in it. The answer to a request sent after that must not have an older state.
    #[must_use]
    pub fn on_answer(&mut self, answer: &UserAnswer) -> Assessment {
        let mut violations = Vec::new();
        match answer.status {
            200 | 201 => self.on_state(answer, &mut violations),
            404 | 400 | 422 if self.accepted => violations.push("forgotten"),
            503 => {
                return Assessment {
                    violations,
                    follow_up: Some(FollowUp::Retry(RETRY_S)),
                }
            }
            _ => {}
        }
        self.last_state = answer.state.to_string();
        if answer.request == UserRequest::Submit {
            self.submit_status = Some(answer.status);
        }
        let open = matches!(answer.status, 200 | 201) && !is_final(answer.state);
        let poll_again = open && answer.request != UserRequest::Cancel;
        Assessment {
            violations,
            follow_up: poll_again.then_some(FollowUp::Poll(POLL_S)),
        }
    }

    fn on_state(&mut self, answer: &UserAnswer, violations: &mut Vec<&'static str>) {
        let UserAnswer {
            state, received, ..
        } = *answer;
        if !self.submitted {
            violations.push("invented");
        }
        self.accepted = true;
        let is_final_state = is_final(state);
        // Two different final states are a violation, whenever the request was sent.
        let must_match_final_state = is_final_state
            || self
                .final_at
                .is_some_and(|final_at| answer.sent_at >= final_at);
        if !is_final_state {
            let delay = self.final_at.map_or(0, |final_at| received - final_at);
            self.max_stale_answer_delay = self.max_stale_answer_delay.max(delay);
        }
        let regressed = (must_match_final_state && self.done && state != "done")
            || (must_match_final_state && self.cancelled.is_some() && state != "cancelled")
            || (state == "cancelled" && !self.cancel_requested);
        if regressed {
            violations.push("went_back");
        }
        if state == "done" {
            if !answer.complete {
                violations.push("not_done");
            }
            self.done = true;
        } else if state == "cancelled" {
            self.cancelled.get_or_insert(received);
        }
        if is_final_state {
            self.final_at.get_or_insert(received);
        }
    }
}

#[cfg(test)]
mod tests;
