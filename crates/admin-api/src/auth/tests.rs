use super::*;

const NOW: u64 = 1_700_000_000_000;

fn key(role: Role) -> Key {
    Key::new("night", role, vec![7; 32]).expect("a valid key")
}

fn authenticator() -> Authenticator {
    Authenticator::new(vec![key(Role::Operator)], "i1".into(), 30.0, 100)
}

fn signed_request<'a>(nonce: &'a str, time_ms: u64) -> SignedRequest<'a> {
    let (method, path) = ("POST", "/v1/jobs?x=1");
    SignedRequest {
        method,
        path,
        body: b"{}",
        time_ms,
        nonce,
        instance: "i1",
    }
}

fn authenticate(authenticator: &mut Authenticator, header: &str) -> Result<Caller, AuthError> {
    authenticator.check(NOW, Some(header), "POST", "/v1/jobs?x=1", b"{}")
}

#[test]
fn signed_request_is_accepted_once() {
    let mut authenticator = authenticator();
    let header = key(Role::Operator).sign(&signed_request("0123456789abcdef", NOW));
    assert_eq!(
        authenticate(&mut authenticator, &header).map(|c| c.name),
        Ok("night".into())
    );
    assert_eq!(
        authenticate(&mut authenticator, &header),
        Err(AuthError::Replayed)
    );
}

#[test]
fn altered_request_is_refused() {
    let header = key(Role::Operator).sign(&signed_request("0123456789abcdef", NOW));
    let mut authenticator = authenticator();
    let authorization = Some(header.as_str());
    for (method, path, body) in [
        ("GET", "/v1/jobs?x=1", &b"{}"[..]),
        ("POST", "/v1/jobs?x=2", b"{}"),
        ("POST", "/v1/jobs?x=1", b"{ }"),
    ] {
        assert_eq!(
            authenticator.check(NOW, authorization, method, path, body),
            Err(AuthError::Unauthenticated)
        );
    }
    for (from, to) in [
        ("time=17", "time=16"),
        ("nonce=0", "nonce=1"),
        ("instance=i1", "instance=i2"),
    ] {
        let altered = header.replace(from, to);
        assert_eq!(
            authenticate(&mut authenticator, &altered),
            Err(AuthError::Unauthenticated),
            "{to}"
        );
    }
    for malformed in [
        "",
        "BH1",
        "BH1 key",
        "BH1 key=night",
        "BH1 key=night,key=night",
        "Basic x",
    ] {
        assert_eq!(
            authenticate(&mut authenticator, malformed),
            Err(AuthError::Unauthenticated),
            "{malformed}"
        );
    }
    assert!(
        authenticate(&mut authenticator, &header).is_ok(),
        "the unaltered request is still accepted"
    );
}

#[test]
fn request_with_clock_ten_minutes_ahead_is_refused_and_reports_difference() {
    let mut authenticator = authenticator();
    let header = key(Role::Operator).sign(&signed_request("0123456789abcdef", NOW + 600_000));
    let error = authenticate(&mut authenticator, &header).expect_err("too far ahead");
    assert_eq!(error.code(), Code::Clock);
    assert!(error.to_string().contains("600 s ahead of"), "{error}");
}

/// Guards against replay of an intercepted request after a restart: the new process has not
/// recorded the nonce.
#[test]
fn request_signed_for_another_process_is_refused() {
    let mut authenticator = Authenticator::new(vec![key(Role::Operator)], "i2".into(), 30.0, 100);
    let header = key(Role::Operator).sign(&signed_request("0123456789abcdef", NOW));
    assert_eq!(
        authenticate(&mut authenticator, &header),
        Err(AuthError::OtherInstance)
    );
}

#[test]
fn full_nonce_store_refuses_new_requests_and_detects_replays() {
    let mut authenticator = Authenticator::new(vec![key(Role::Operator)], "i1".into(), 30.0, 2);
    let sign = |n: u32| key(Role::Operator).sign(&signed_request(&format!("{n:016}"), NOW));
    assert!(
        authenticate(&mut authenticator, &sign(1)).is_ok()
            && authenticate(&mut authenticator, &sign(2)).is_ok()
    );
    assert_eq!(
        authenticate(&mut authenticator, &sign(3)),
        Err(AuthError::TooManyRequests)
    );
    assert_eq!(
        authenticate(&mut authenticator, &sign(1)),
        Err(AuthError::Replayed)
    );
}

#[test]
fn invalid_key_file_is_refused_without_revealing_secrets() {
    let valid = "[night]\nrole=operator\nsecret=000102030405060708090a0b0c0d0e0f\n";
    let keys = Key::parse_all("k", valid).expect("a valid key file");
    assert_eq!(format!("{:?}", keys[0]), "Key(night, Operator)");
    for invalid in [
        "",
        "[a]\nrole=king\nsecret=000102030405060708090a0b0c0d0e0f\n",
        "[a]\nrole=viewer\nsecret=0001\n",
        "[a]\nrole=viewer\nsecret=nothex\n",
        "[a]\nrole=viewer\n",
    ] {
        let error = Key::parse_all("k", invalid).expect_err(invalid).to_string();
        assert!(
            !error.contains("0001") && !error.contains("nothex"),
            "{error}"
        );
    }
}
