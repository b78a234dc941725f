//! How requests are separated, which has to agree with hyper's parser.

use super::*;
use crate::arrival::ArrivalMemory;
use crate::memory::MemoryPool;

fn consume(text: &str) -> (Result<(), AmbiguousLength>, PendingInput) {
    let input = PendingInput::new(ArrivalMemory::new(MemoryPool::new(0)).register());
    input.record(text.as_bytes());
    (input.consume_request(), input)
}

/// Guards against requests hidden in a body: heads whose end two parsers could place differently are
/// rejected.
#[test]
fn a_head_with_an_ambiguous_length_is_rejected() {
    for headers in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "transfer-encoding: chunked\r\nCONTENT-LENGTH: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5, 5\r\n",
    ] {
        assert_eq!(
            consume(&format!("POST / HTTP/1.1\r\n{headers}\r\n")).0,
            Err(AmbiguousLength),
            "{headers:?}"
        );
    }
    assert_eq!(consume("POST / HTTP/1.1\r\nContent-Length: 5").0, Err(AmbiguousLength));
}

/// Guards clients that send their next request early, and the count of body bytes still to come.
#[test]
fn bytes_after_a_request_are_recognised() {
    for (following, garbage) in [("", false), ("GET /x HT", false), ("\r\nPO", false), ("lments", true)] {
        let (consumed, input) =
            consume(&format!("\r\nPOST / HTTP/1.1\nContent-Length: 5\n\ninsta{following}"));
        assert_eq!((consumed, input.is_followed_by_garbage()), (Ok(()), garbage), "{following:?}");
        assert_eq!(input.pending_since().is_some(), !following.is_empty(), "{following:?}");
    }
    let (consumed, input) = consume("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\ninsta");
    assert!(consumed.is_ok() && input.pending_since().is_none());
    input.record(b"lmen");
    assert!(!input.is_followed_by_garbage() && input.pending_since().is_none());
    input.record(b"ts");
    assert!(input.is_followed_by_garbage());
}

/// Guards heads that arrive in pieces: their end is found wherever they are cut, and not in a body or in empty lines
/// before them.
#[test]
fn the_end_of_a_head_is_found_wherever_it_is_cut() {
    for (head, following) in [
        ("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"),
        ("\r\n\nGET / HTTP/1.1\n\n", "\n\n"),
        ("GET / HTTP/1.1\nHost: a\r\n\n", ""),
    ] {
        let bytes = format!("{head}{following}").into_bytes();
        for cut in 0..bytes.len() {
            let found_early = find_head_end(&bytes[..cut], 0);
            assert_eq!(found_early, (cut >= head.len()).then_some(head.len()), "{head:?} cut at {cut}");
            let scanned_bytes = if found_early.is_some() { 0 } else { cut };
            assert_eq!(find_head_end(&bytes, scanned_bytes), Some(head.len()), "{head:?} cut at {cut}");
        }
    }
    assert_eq!(find_head_end(b"\r\n\r\n\r\n", 0), None);
    assert!(may_begin_request(b"") && may_begin_request(b"\r\nPO") && !may_begin_request(b"\x16\x03"));
}
