//! Tests of request parsing, and of writing to peers that do not read.

use tokio::io::duplex;

use super::*;

async fn read(text: &[u8]) -> Result<Call, HttpError> {
    RequestReader::default().next(&mut &*text).await
}

#[tokio::test]
async fn calls_are_parsed_from_method_path_and_query() {
    let calls: [(&str, Call); 6] = [
        ("GET /catalog/members HTTP/1.1\r\n\r\n", Call::List),
        ("GET /catalog/members?follow=0 HTTP/1.1\r\n\r\n", Call::List),
        ("GET /catalog/members?follow=1 HTTP/1.1\r\n\r\n", Call::Watch { since: 0 }),
        ("GET /catalog/members?since=41&follow=1 HTTP/1.1\r\nHost: c\r\n\r\n", Call::Watch { since: 41 }),
        ("POST /catalog/members HTTP/1.1\r\n\r\n", Call::Unknown),
        ("GET /catalog HTTP/1.1\r\n\r\n", Call::Unknown),
    ];
    for (text, call) in calls {
        assert_eq!(read(text.as_bytes()).await.unwrap(), call, "{text}");
    }
}

#[tokio::test]
async fn requests_may_arrive_in_parts_or_several_at_once() {
    let (mut client, mut server) = duplex(1);
    let text = b"GET /catalog/members HTTP/1.1\r\n\r\nGET /catalog/members?follow=1&since=7 HTTP/1.1\r\n\r\n";
    let sent = tokio::spawn(async move { client.write_all(text).await });
    let mut reader = RequestReader::default();
    assert_eq!(reader.next(&mut server).await.unwrap(), Call::List);
    assert_eq!(reader.next(&mut server).await.unwrap(), Call::Watch { since: 7 });
    sent.await.unwrap().unwrap();
    assert!(matches!(reader.next(&mut server).await, Err(HttpError::Closed(_))));
}

#[tokio::test]
async fn an_unparsable_or_endless_request_is_malformed() {
    let endless = [b'x'; 2 * MAX_HEAD_BYTES];
    for text in [
        &b"\r\n\r\n"[..],
        b"\xff\r\n\r\n",
        b"GET /catalog/members?follow=1&since=x HTTP/1.1\r\n\r\n",
        &endless,
    ] {
        assert!(matches!(read(text).await, Err(HttpError::Malformed)));
    }
}

#[tokio::test(start_paused = true)]
async fn writing_to_a_peer_that_does_not_read_times_out_and_counts_the_written_bytes() {
    let (mut client, _server) = duplex(64);
    let written = AtomicU64::new(0);
    assert!(matches!(write(&mut client, &[0; 100], &written).await, Err(HttpError::Slow)));
    assert_eq!(written.into_inner(), 64);
}
