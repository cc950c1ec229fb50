use super::*;
use crate::frontend::http1::ClassRoute;
use balancer_core::{RequestClass, Settings};
use tokio::sync::mpsc;

fn routes(tenants: &[&str]) -> Routes {
    let class =
        RequestClass { name: "read".into(), deadline: Duration::from_millis(500), ..RequestClass::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let (driver, _) = mpsc::unbounded_channel();
    Routes {
        classes: ClassRoute::for_pool(&settings, &driver).collect(),
        tenants: tenants.iter().map(|name| (*name).into()).collect(),
    }
}

/// A valid head with these changes: `None` removes a header, a second value is added to it.
fn head(changes: &[(&'static str, Option<&[u8]>)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in [("req-id", "1"), ("req-kind", "read"), ("req-deadline-ms", "900")] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    for (name, value) in changes {
        match value {
            Some(value) => {
                headers.append(*name, HeaderValue::from_bytes(value).expect("a header's bytes"));
            }
            None => drop(headers.remove(*name)),
        }
    }
    headers
}

/// A head with another value of one header.
fn with(name: &'static str, value: &[u8]) -> HeaderMap {
    let mut headers = head(&[(name, None)]);
    headers.insert(name, HeaderValue::from_bytes(value).expect("a header's bytes"));
    headers
}

#[test]
fn what_is_wrong_with_a_head_is_named() {
    let cases = [
        (head(&[("req-id", None)]), HeadError::Missing("Req-Id")),
        (with("req-id", b""), HeadError::Missing("Req-Id")),
        (head(&[("req-id", Some(b"2"))]), HeadError::Repeated),
        (head(&[("req-kind", None)]), HeadError::Missing("Req-Kind")),
        (with("req-kind", b"other"), HeadError::Unknown("Req-Kind")),
        (with("req-kind", b"\xff"), HeadError::NotText),
        (head(&[("req-deadline-ms", None)]), HeadError::Missing("Req-Deadline-Ms")),
        (with("req-deadline-ms", b"-1"), HeadError::InvalidNumber("Req-Deadline-Ms")),
        (with("req-deadline-ms", b"4294967296"), HeadError::InvalidNumber("Req-Deadline-Ms")),
        (head(&[("req-cost", Some(b"much"))]), HeadError::InvalidNumber("Req-Cost")),
        (head(&[("idempotency-key", Some(b"a")), ("idempotency-key", Some(b"b"))]), HeadError::Repeated),
        (head(&[("req-retry", Some(b"1")), ("req-retry", Some(b"1"))]), HeadError::Repeated),
    ];
    for (headers, expected) in cases {
        assert_eq!(RequestHead::read(&routes(&[]), &headers).err(), Some(expected), "{headers:?}");
    }
    let owner = |value: &[u8]| head(&[("req-owner", Some(value))]);
    let tenants = routes(&["one", "two"]);
    assert_eq!(RequestHead::read(&tenants, &head(&[])).err(), Some(HeadError::Missing("Req-Owner")));
    assert_eq!(RequestHead::read(&tenants, &owner(b"three")).err(), Some(HeadError::Unknown("Req-Owner")));
}

#[test]
fn a_head_gives_the_terms_of_its_request() {
    let full = [
        ("req-owner", Some(&b"two"[..])),
        ("req-cost", Some(b"1500")),
        ("req-retry", Some(b"1")),
        ("idempotency-key", Some(b"k")),
    ];
    let read = RequestHead::read(&routes(&["one", "two"]), &head(&full)).expect("a valid head");
    assert_eq!((read.id, read.idempotency_key), ("1".parse().unwrap(), Some("k".parse().unwrap())));
    assert_eq!((read.terms.class, read.terms.tenant), (ClassId(0), Some(TenantId(1))));
    assert_eq!(read.terms.expected_work, Some(Duration::from_micros(1_500)));
    assert!(read.terms.client_retry);
    // No client waits longer than its class allows.
    assert_eq!(read.terms.client_timeout, Duration::from_millis(500));
    // Where there are no tenants, the header has no meaning.
    let read = RequestHead::read(&routes(&[]), &head(&full)).expect("a valid head");
    assert_eq!(read.terms.tenant, None);
    let short = RequestHead::read(&routes(&[]), &with("req-deadline-ms", b"20")).expect("a valid head");
    assert_eq!(short.terms.client_timeout, Duration::from_millis(20));
    assert!(!short.terms.client_retry);
}

/// Clients read these: they are part of the protocol.
#[test]
fn each_error_has_its_status_and_text() {
    let cases = [
        (RequestError::NoPath, 400, "no path"),
        (RequestError::UnknownPath, 404, "no such path"),
        (RequestError::MethodNotAllowed { allowed: "GET" }, 405, "no such method"),
        (RequestError::LengthRequired, 411, "a body needs a Content-Length"),
        (RequestError::BodyTooLarge, 413, "the body is larger than 64 KiB"),
        (RequestError::BodyIncomplete, 400, "the body broke off"),
        (RequestError::IdInFlight, 409, "Req-Id is open already"),
        (HeadError::Missing("Req-Id").into(), 400, "no Req-Id"),
        (HeadError::Unknown("Req-Kind").into(), 400, "unknown Req-Kind"),
        (HeadError::InvalidNumber("Req-Cost").into(), 400, "unreadable Req-Cost"),
        (HeadError::NotText.into(), 400, "unreadable header"),
        (HeadError::Repeated.into(), 400, "a header stands twice"),
    ];
    for (error, status, text) in cases {
        let response = error.response();
        assert_eq!((response.status().as_u16(), error.to_string().as_str()), (status, text));
        let allowed = response.headers().get(ALLOW).map(HeaderValue::as_bytes);
        assert_eq!(allowed, (status == 405).then_some(&b"GET"[..]));
    }
}

/// All nodes must come to the same number for a name, or they would send its requests to different servers.
#[test]
fn a_key_is_a_hexadecimal_number_or_the_hash_of_its_name() {
    assert_eq!(key_of("/api/00000000000000ff"), Some(0xff));
    assert_eq!(key_of("/api/users/7f3a"), Some(0x7f3a));
    assert_eq!(key_of("/api/ffffffffffffffff"), Some(u64::MAX));
    assert_eq!(key_of("/api/a-name"), key_of("/api/other/a-name"));
    assert_ne!(key_of("/api/a-name"), key_of("/api/another-name"));
    assert_eq!([key_of("/api/"), key_of("/api/a/"), key_of("/other/1")], [None; 3]);
}
