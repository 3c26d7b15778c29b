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
mod tests {
    use super::*;

    #[test]
    fn each_rule_about_answers_can_be_broken() {
        let case = |first: (u16, &str), then: (u16, &str), complete| {
            let mut told = Told { submitted: true, ..Told::default() };
            let (broken, _) = told.answered((1, 0), What::Submit, first.0, first.1, true);
            assert!(broken.is_empty(), "{broken:?}");
            told.answered((2, 1), What::Poll, then.0, then.1, complete).0
        };
        assert_eq!(case((201, "pending"), (404, ""), true), ["forgotten"]);
        assert_eq!(case((201, "pending"), (200, "done"), false), ["not_done"]);
        assert_eq!(case((200, "done"), (200, "running"), true), ["went_back"]);
        assert_eq!(case((201, "pending"), (200, "cancelled"), true), ["went_back"]);
        assert!(case((201, "pending"), (200, "done"), true).is_empty());
        let mut nobody = Told::default();
        assert_eq!(nobody.answered((1, 0), What::Poll, 200, "done", true).0, ["invented"]);
    }

    /// Day meet-41-189: a poll that waited out an outage was answered a millisecond after
    /// the cancellation that the same user sent to another controller meanwhile.
    #[test]
    fn only_what_is_asked_later_may_not_be_older() {
        for (asked, broken) in [(4, false), (5, true), (9, true)] {
            let mut told = Told { submitted: true, asked_cancel: true, ..Told::default() };
            told.answered((2, 1), What::Submit, 201, "pending", false);
            told.answered((5, 3), What::Cancel, 200, "cancelled", false);
            let (found, _) = told.answered((10, asked), What::Poll, 200, "running", false);
            assert_eq!(found == ["went_back"], broken, "{asked}");
            let (found, _) = told.answered((11, 4), What::Poll, 200, "done", true);
            assert_eq!(found, ["went_back"], "one of two ends is wrong");
            let (found, _) = told.answered((13, 12), What::Poll, 200, "running", false);
            assert_eq!(found, ["went_back"]);
        }
    }
}
