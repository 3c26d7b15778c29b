use super::*;

#[test]
fn routes_have_stable_metric_names() {
    let route = |method, path| route_name(method, path);
    assert_eq!(route(Method::Get, "/up"), "up");
    assert_eq!(route(Method::Post, "/hello"), "report");
    assert_eq!(route(Method::Post, "/api/jobs"), "submit");
    assert_eq!(route(Method::Get, "/api/jobs/job-1"), "poll");
    assert_eq!(route(Method::Post, "/api/jobs/job-1/cancel"), "cancel");
    assert_eq!(route(Method::Post, "/other"), "other");
}
