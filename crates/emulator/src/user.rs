//! Emulator of a user: what one was told of a job, what the user does next, and which rule
//! of the protocol an answer breaks.

use crate::Micros;

/// How often a user asks for a job that is not over, seconds.
const POLL_S: f64 = 5.0;
/// After how long a user repeats a request that was not answered, seconds.
const RETRY_S: f64 = 1.0;

/// A request of a user about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UserRequest {
    /// To run it.
    Submit,
    /// How it goes.
    Poll,
    /// To stop it for good.
    Cancel,
}

/// What a user does after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// Repeats the request after so many seconds.
    Retry(f64),
    /// Polls after so many seconds.
    Poll(f64),
}

/// An answer to a user.
#[derive(Clone, Copy, Debug)]
pub struct UserAnswer<'a> {
    /// When the request was sent.
    pub asked: Micros,
    /// When the answer came.
    pub received: Micros,
    /// What it answers.
    pub request: UserRequest,
    /// HTTP status.
    pub status: u16,
    /// The job's state as it was told; empty if it was not.
    pub state: &'a str,
    /// Whether all tasks of the job have really ended.
    pub complete: bool,
}

/// What an answer means.
#[derive(Clone, Debug, PartialEq)]
pub struct Assessment {
    /// Names of the rules that it breaks.
    pub violations: Vec<&'static str>,
    /// What the user does next, if anything.
    pub follow_up: Option<FollowUp>,
}

/// What a user was told of one job.
#[derive(Clone, Default, Debug)]
pub struct UserJobView {
    /// It was accepted.
    pub accepted: bool,
    /// It is done.
    pub done: bool,
    /// When the user was first told that it is cancelled.
    pub cancelled: Option<Micros>,
    /// When the user was first told that it is done or cancelled.
    pub over: Option<Micros>,
    /// The user asked to cancel it.
    pub cancel_requested: bool,
    /// The state that was told last.
    pub last_state: String,
    /// HTTP status of the last answer to the submission.
    pub submit_status: Option<u16>,
    /// The user submitted it.
    pub submitted: bool,
    /// The longest after the user was told its end that an older answer still came, though
    /// to a question asked before.
    pub late_older: Micros,
}

fn is_final(state: &str) -> bool {
    matches!(state, "done" | "cancelled")
}

impl UserJobView {
    /// Takes an answer.
    ///
    /// A user who asks twice at the same time, here to cancel and there how it goes, is told
    /// both: what was asked before the user was told "cancelled" may have been answered
    /// before that was so, and be on its way. What is asked after it may not be older.
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
        let polls = open && answer.request != UserRequest::Cancel;
        Assessment {
            violations,
            follow_up: polls.then_some(FollowUp::Poll(POLL_S)),
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
        let final_state = is_final(state);
        // Of two ends one is wrong, whenever it was asked.
        let after = final_state || self.over.is_some_and(|over| answer.asked >= over);
        if !final_state {
            let since = self.over.map_or(0, |over| received - over);
            self.late_older = self.late_older.max(since);
        }
        let went_back = (after && self.done && state != "done")
            || (after && self.cancelled.is_some() && state != "cancelled")
            || (state == "cancelled" && !self.cancel_requested);
        if went_back {
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
        if final_state {
            self.over.get_or_insert(received);
        }
    }
}

#[cfg(test)]
mod tests;
