//! Tests of the parsing of request heads.

use hyper::Request;

use super::*;

fn read(path: &str, headers: &[(&str, &str)]) -> Result<NodeRequest, RequestError> {
    let mut request = Request::get(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    NodeRequest::read(&request.body(()).unwrap().into_parts().0)
}

#[test]
fn all_parts_of_a_request_are_parsed() {
    let headers = [("x-request-id", "a1"), ("x-deadline", "0.480")];
    let request = read("/order?hops=26&hop=2&tenant=tenant-0", &headers).unwrap();
    assert_eq!((request.id.as_str(), request.class, request.hops, request.hop), ("a1", Class::Order, 26, 2));
    assert_eq!(request.tenant.as_deref(), Some("tenant-0"));
    assert_eq!(request.deadline, Some(Duration::from_millis(480)));
    let plain = read("/read", &[("x-request-id", "a2")]).unwrap();
    assert_eq!((plain.class, plain.hops, plain.hop, plain.deadline), (Class::Read, 1, 1, None));
}

#[test]
fn a_missing_id_and_a_malformed_request_are_distinct_errors() {
    assert_eq!(read("/read?hops=1&hop=1", &[]).unwrap_err(), RequestError::NoId);
    let id = ("x-request-id", "a1");
    for path in ["/read?hops=x", "/read?hops=-1", "/read?hop=99999999999"] {
        assert_eq!(read(path, &[id]).unwrap_err(), RequestError::Malformed, "{path}");
    }
    for deadline in ["soon", "inf", "1e300"] {
        let read = read("/read", &[id, ("x-deadline", deadline)]);
        assert_eq!(read.unwrap_err(), RequestError::Malformed, "{deadline}");
    }
    let past_deadline = read("/read", &[id, ("x-deadline", "-0.5")]).unwrap();
    assert_eq!(past_deadline.deadline, Some(Duration::ZERO));
}
