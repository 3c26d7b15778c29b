//! Stand-in for a user: what he was told of one job, what he does next, and
//! which rule an answer breaks.

use crate::Us;

/// How often a user asks for a job that is not over, seconds.
const POLL_S: f64 = 5.0;
/// After how long a user repeats what was not answered, seconds.
const AGAIN_S: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Submit,
    Poll,
    Cancel,
}

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The same again, after so many seconds.
    Again(f64),
    /// A poll, after so many seconds.
    Poll(f64),
}

#[derive(Clone, Default, Debug)]
pub struct Told {
    pub accepted: bool,
    pub done: bool,
    pub cancelled: Option<Us>,
    /// When he was first told that it is done or cancelled.
    pub over: Option<Us>,
    pub asked_cancel: bool,
    pub last_status: String,
    pub final_status: Option<u16>,
    pub submitted: bool,
    /// The longest after he was told its end that an older answer still came, though
    /// to a question asked before.
    pub late_older: Us,
}

impl Told {
    /// Takes the answer to a question of that time; `complete` says whether all tasks
    /// have really ended.
    ///
    /// A user who asks twice at the same time, here to cancel and there how it goes, is
    /// told both: what was asked before he was told "cancelled" may have been answered
    /// before that was so, and be on its way. What he asks after it may not be older.
    pub fn answered(
        &mut self,
        (now, asked): (Us, Us),
        what: What,
        status: u16,
        state: &str,
        complete: bool,
    ) -> (Vec<&'static str>, Option<Next>) {
        let mut broken = Vec::new();
        match status {
            200 | 201 => {
                if !self.submitted {
                    broken.push("invented");
                }
                self.accepted = true;
                // Of two ends one is wrong, whenever it was asked.
                let final_state = matches!(state, "done" | "cancelled");
                let after = final_state || self.over.is_some_and(|told| asked >= told);
                if !final_state {
                    let since = self.over.map_or(0, |told| now - told);
                    self.late_older = self.late_older.max(since);
                }
                let back = (after && self.done && state != "done")
                    || (after && self.cancelled.is_some() && state != "cancelled")
                    || (state == "cancelled" && !self.asked_cancel);
                if back {
                    broken.push("went_back");
                }
                if state == "done" {
                    if !complete {
                        broken.push("not_done");
                    }
                    self.done = true;
                } else if state == "cancelled" {
                    self.cancelled.get_or_insert(now);
                }
                if final_state {
                    self.over.get_or_insert(now);
                }
            }
            404 | 400 | 422 if self.accepted => broken.push("forgotten"),
            503 => return (broken, Some(Next::Again(AGAIN_S))),
            _ => {}
        }
        self.last_status = state.to_string();
        if what == What::Submit {
            self.final_status = Some(status);
        }
        let open = matches!(status, 200 | 201) && !matches!(state, "done" | "cancelled");
        let next = (open && what != What::Cancel).then_some(Next::Poll(POLL_S));
        (broken, next)
    }
}

#[cfg(test)]
mod tests;
