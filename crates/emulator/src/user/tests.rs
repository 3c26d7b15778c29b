use super::*;

fn answer<'a>(
    (received, sent_at): (Micros, Micros),
    request: UserRequest,
    (status, state): (u16, &'a str),
    complete: bool,
) -> UserAnswer<'a> {
    UserAnswer {
        sent_at,
        received,
        request,
        status,
        state,
        complete,
    }
}

#[test]
fn answer_that_violates_a_rule_is_reported_by_the_rule_name() {
    let case = |first: (u16, &str), second: (u16, &str), complete| {
        let mut view = UserJobView {
            submitted: true,
            ..UserJobView::default()
        };
        let violations = view
            .on_answer(&answer((1, 0), UserRequest::Submit, first, true))
            .violations;
        assert!(violations.is_empty(), "{violations:?}");
        view.on_answer(&answer((2, 1), UserRequest::Poll, second, complete))
            .violations
    };
    assert_eq!(case((201, "pending"), (404, ""), true), ["forgotten"]);
    assert_eq!(case((201, "pending"), (200, "done"), false), ["not_done"]);
    assert_eq!(case((200, "done"), (200, "running"), true), ["went_back"]);
    assert_eq!(
        case((201, "pending"), (200, "cancelled"), true),
        ["went_back"]
    );
    assert!(case((201, "pending"), (200, "done"), true).is_empty());
    let mut never_submitted = UserJobView::default();
    assert_eq!(
        never_submitted
            .on_answer(&answer((1, 0), UserRequest::Poll, (200, "done"), true))
            .violations,
        ["invented"]
    );
}

/// A poll that was delayed by an outage was answered 1 ms after the cancellation that the same
/// user had sent to another controller in the meantime.
#[test]
fn older_answer_violates_a_rule_only_if_requested_after_the_final_state() {
    for (sent_at, violates) in [(4, false), (5, true), (9, true)] {
        let mut view = UserJobView {
            submitted: true,
            cancel_requested: true,
            ..UserJobView::default()
        };
        let mut violations_of = |times, request, reply, complete| {
            view.on_answer(&answer(times, request, reply, complete))
                .violations
        };
        violations_of((2, 1), UserRequest::Submit, (201, "pending"), false);
        violations_of((5, 3), UserRequest::Cancel, (200, "cancelled"), false);
        let found = violations_of((10, sent_at), UserRequest::Poll, (200, "running"), false);
        assert_eq!(found == ["went_back"], violates, "{sent_at}");
        let found = violations_of((11, 4), UserRequest::Poll, (200, "done"), true);
        assert_eq!(found, ["went_back"], "only one final state is right");
        let found = violations_of((13, 12), UserRequest::Poll, (200, "running"), false);
        assert_eq!(found, ["went_back"]);
    }
}
