//! What a request in progress keeps of the bytes that it was read from.

use super::*;
use bytes::Bytes;

/// Guards the memory of requests in progress: what is forwarded does not keep the connection's read buffer
/// alive, which is many times larger.
#[test]
fn what_is_forwarded_has_memory_of_its_own() {
    let read_buffer = Bytes::from(b"/order?k=7f r-1".to_vec());
    let is_in_buffer = |text: &[u8]| read_buffer.as_ptr_range().contains(&text.as_ptr());
    let value = HeaderValue::from_maybe_shared(read_buffer.slice(12..)).expect("a header value");
    let uri = Uri::from_maybe_shared(read_buffer.slice(..11)).expect("a path");
    assert!(is_in_buffer(value.as_bytes()) && is_in_buffer(uri.path().as_bytes()));
    let (copied_value, copied_uri) = (detached_copy(&value), detached_path(&uri));
    assert_eq!((&copied_value, &copied_uri), (&value, &uri));
    assert!(!is_in_buffer(copied_value.as_bytes()) && !is_in_buffer(copied_uri.path().as_bytes()));
    let with_host = Uri::from_static("http://origin.svc/order?k=7f");
    assert_eq!(detached_path(&with_host), copied_uri);
}
