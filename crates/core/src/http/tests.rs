use super::{
    take_request, take_response, write_request, Content, HttpError, Method, RequestHead,
    MAX_HEAD_BYTES,
};
use rand::{rngs::StdRng, Rng, SeedableRng};

fn head(method: Method, path: &str) -> RequestHead<'_> {
    let content = Content::Cbor;
    RequestHead {
        method,
        path,
        host: "h",
        content,
        authorization: None,
    }
}

#[test]
fn request_split_at_any_byte_is_parsed() {
    let mut message = Vec::new();
    write_request(&mut message, &head(Method::Post, "/x?a=1"), b"body");
    for cut in 0..message.len() {
        let mut buf = message[..cut].to_vec();
        assert_eq!(take_request(&mut buf, 100), Ok(None), "cut at {cut}");
        buf.extend_from_slice(&message[cut..]);
        let request = take_request(&mut buf, 100)
            .expect("valid")
            .expect("complete");
        assert_eq!(
            (
                request.method,
                request.path.as_str(),
                request.body.as_slice()
            ),
            (Method::Post, "/x?a=1", &b"body"[..])
        );
        assert!(buf.is_empty());
    }
}

#[test]
fn too_large_body_and_malformed_message_give_different_errors() {
    let parse = |s: &str| take_request(&mut s.as_bytes().to_vec(), 10);
    assert_eq!(
        parse("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"),
        Err(HttpError::TooLarge)
    );
    for bad in [
        "GET /\r\n\r\n",
        "GET x HTTP/1.1\r\n\r\n",
        "GET / HTTP/2\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    ] {
        assert_eq!(parse(bad), Err(HttpError::Malformed), "{bad}");
    }
    assert_eq!(
        parse(&"x".repeat(MAX_HEAD_BYTES + 5)),
        Err(HttpError::Malformed)
    );
}

#[test]
fn chunked_response_is_joined() {
    let mut buf =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            .to_vec();
    let response = take_response(&mut buf, 100)
        .expect("valid")
        .expect("complete");
    assert_eq!(response.body, b"abcde");
}

#[test]
fn random_bytes_never_panic() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut valid = Vec::new();
    write_request(
        &mut valid,
        &head(Method::Get, "/api/jobs/job-1"),
        b"0123456789",
    );
    valid.extend_from_slice(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    );
    for _ in 0..20_000 {
        let mut buf = valid[rng.gen_range(0..valid.len())..].to_vec();
        for _ in 0..rng.gen_range(0..4) {
            let at = rng.gen_range(0..buf.len());
            buf[at] = rng.gen();
        }
        let _ = take_request(&mut buf.clone(), 64);
        let _ = take_response(&mut buf, 64);
    }
}
