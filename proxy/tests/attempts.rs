//! Attempts at upstreams: their outcomes, their connections, and the answer that the client gets in the end.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};

use common::*;
use socket2::{Domain, Socket, Type};

/// Guards against a request or answer altered on its way: path, body and ids pass unchanged, and the
/// connection to the upstream is reused for the next request.
#[test]
fn an_answer_passes_through_and_the_connection_is_kept() {
    let upstream = Upstream::start(|number, _| ok(&format!("quote {number}")));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for number in 0..3 {
        client.send_with_id(&format!("id-{number}"), "pay", "instalments");
        let answer = client.answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, format!("quote {number}").into_bytes()));
    }
    let requests = upstream.requests();
    assert_eq!(requests.len(), 3);
    for (number, (connection, request)) in requests.into_iter().enumerate() {
        assert_eq!(connection, 1, "the idle connection must be reused");
        assert_eq!(request.line, "POST /pay?k=7f HTTP/1.1");
        assert_eq!(request.body, b"instalments");
        assert_eq!(request.header("x-request-id"), Some(format!("id-{number}").as_str()));
        assert_eq!(request.header("idempotency-key"), Some("k-1"));
        let deadline: f64 =
            request.header("x-deadline").and_then(|text| text.parse().ok()).expect("a number of seconds");
        assert!(deadline > 0.0 && deadline <= 30.0, "{deadline}");
    }
}

/// Guards against passing an upstream's own 503 to the client: the request may have run there, while a 503
/// from the balancer states that it did not.
#[test]
fn a_503_without_x_not_run_is_a_failed_attempt() {
    for line in
        ["503 Service Unavailable", "500 Oops\r\nX-Not-Run: 1", "503 Busy\r\nX-Not-Run: 0", "429 Slow"]
    {
        let upstream = Upstream::start(move |_, _| status(line));
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let answer = balancer.client().ask("order", "one");
        assert_eq!(answer.status(), 502, "{line}");
        assert_eq!(upstream.requests().len(), 1, "an unsafe request that may have run was sent again");
    }
}

/// A 503 with `X-Not-Run: 1` proves that the request did not run: even an unsafe request is then retried on
/// another upstream. When none is left, the client gets a 503 at once, with a Retry-After header.
#[test]
fn a_503_with_x_not_run_is_retried_elsewhere_then_refused() {
    let refusing = || Upstream::start(|_, _| status("503 Full\r\nX-Not-Run: 1"));
    let (first, second) = (refusing(), refusing());
    let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    let answer = balancer.client().ask("order", "one");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// A refused connection also proves that the request did not run, as nobody listens at the address: it is
/// retried like a 503 with `X-Not-Run: 1`.
#[test]
fn a_refused_connection_is_retried_elsewhere_then_refused() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", dead_address(), 0, "ready"), endpoint("s-2", upstream.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    for _ in 0..4 {
        assert_eq!(balancer.client().ask("order", "one").status(), 200);
    }
    let (balancer_of_dead_upstream, _discovery) =
        Balancer::with(&[endpoint("s-1", dead_address(), 0, "ready")], 30.0);
    assert_eq!(balancer_of_dead_upstream.client().ask("order", "one").status(), 503);
}

/// Guards against an unintended resend, and against a 503 for a request that may have run: once its last byte
/// has been sent, a broken connection counts as a reset, whatever part of an answer arrived before.
#[test]
fn an_unsafe_request_is_not_retried_once_it_was_sent_whole() {
    for part in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "\0\r\ngarbage\r\n\r\n",
        // Would prove that the request did not run if it were complete.
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: x\r\n\r\n",
        // The framing does not tell where these answers end.
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\nabcde",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
    ] {
        let upstream = Upstream::start(move |number, _| match number {
            0 => ok("first"),
            _ => Reply::BytesThenClose(part.as_bytes().to_vec()),
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").status(), 200);
        assert_eq!(client.ask("order", "two").status(), 502, "{part:?}");
        assert_eq!(upstream.requests().len(), 2, "{part:?}: it was sent again");
    }
}

/// An answer without a length is complete when its connection is closed in order, whatever its HTTP version.
/// The connection is not reused.
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let long = "x".repeat(64 * 1024);
    let answers = [
        ("HTTP/1.1 200 OK\r\n\r\n", "abcde"),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "abcde"),
        ("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n", "abcde"),
        ("HTTP/1.0 200 OK\r\n\r\n", "abcde"),
        ("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", "abcde"),
        ("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "abcde"),
        ("HTTP/1.1 200 OK\r\n\r\n", ""),
        ("HTTP/1.1 200 OK\r\n\r\n", &long),
    ];
    let written = answers.map(|(head, body)| [head, body].concat().into_bytes());
    let upstream = Upstream::start(move |number, _| Reply::BytesThenClose(written[number].clone()));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for (number, (head, body)) in answers.into_iter().enumerate() {
        let answer = client.ask("order", "one");
        assert_eq!((answer.status(), answer.body.len()), (200, body.len()), "{head:?}");
        assert!(answer.body == body.as_bytes(), "{head:?}");
        assert_eq!((upstream.requests().len(), upstream.connections()), (number + 1, number + 1), "{head:?}");
    }
}

/// Guards against treating an answer without a length unlike one with a length: its status decides alike
/// whether the request may be retried.
#[test]
fn an_answer_without_a_length_is_classified_by_its_status() {
    for (head, status, expected_attempts) in [
        ("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n", 503, 2),
        ("HTTP/1.1 503 Full\r\n\r\n", 502, 1),
        ("HTTP/1.1 500 Oops\r\n\r\n", 502, 1),
        ("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: echo\r\n\r\n", 502, 1),
    ] {
        let answering =
            || Upstream::start(move |_, _| Reply::BytesThenClose([head, "abcde"].concat().into_bytes()));
        let (first, second) = (answering(), answering());
        let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 0, "ready")];
        let (balancer, _discovery) = Balancer::with(&known, 30.0);
        assert_eq!(balancer.client().ask("order", "one").status(), status, "{head:?}");
        assert_eq!(first.requests().len() + second.requests().len(), expected_attempts, "{head:?}");
    }
}

/// Guards memory and time against answers without a length that never end or exceed the size limit: the first
/// is abandoned when its time is over, the second at once, though its connection stays open.
#[test]
fn an_answer_without_a_length_is_limited_in_time_and_size() {
    for (body, aim) in [(3, 0.3), (64 * 1024 + 1, 59.0)] {
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(body));
        let upstream = Upstream::start(move |_, _| Reply::Bytes(answer.clone().into_bytes()));
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], aim);
        assert_eq!(balancer.client().ask("order", "one").status(), 502, "{body}");
        upstream.wait_closed(1);
        assert_eq!(upstream.requests().len(), 1, "{body}: it was sent again");
    }
}

/// Guards clients against a truncated answer: an answer that is cut off by a reset is incomplete, although
/// one without a length could end at any byte. The request may have run: an unsafe one fails, an idempotent
/// one is retried on another upstream.
#[test]
fn a_reset_does_not_complete_an_answer() {
    let long = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(60 * 1024));
    let parts = [
        "HTTP/1.1 200 OK\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\n\r\n",
        &long,
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde",
        "HTTP/1.0 200 OK\r\n\r\nabcde",
        // Proves that the request did not run only if it is complete.
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcde",
    ];
    let try_reset = &|part: &str, when_read: bool| {
        let reset_upstream = || {
            let part = part.to_owned();
            Upstream::start(move |_, _| Reply::Reset(part.clone().into_bytes(), when_read))
        };
        let (first, second) = (reset_upstream(), reset_upstream());
        let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 0, "ready")];
        let (balancer, _discovery) = Balancer::with(&known, 30.0);
        let request_count = || first.requests().len() + second.requests().len();
        assert_eq!(balancer.client().ask("order", "one").status(), 502, "{part:.80?}");
        assert_eq!(request_count(), 1, "{part:.80?}: it was sent again");
        let refused = balancer.client().ask("read", "");
        assert_eq!(
            (refused.status(), request_count()),
            (503, 3),
            "{part:.80?}: an idempotent request must be retried"
        );
    };
    // In parallel, as each balancer takes seconds to drain.
    std::thread::scope(|scope| {
        for when_read in [false, true] {
            for part in parts {
                scope.spawn(move || try_reset(part, when_read));
            }
        }
    });
}

/// Guards against the same truncated answer where the reset arrives while the request is still being written,
/// so that the writing side may notice it first: the client gets 502, or 503 as the request was never written
/// whole.
#[test]
fn a_reset_while_the_request_is_written_does_not_complete_its_answer() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(4096).expect("set the socket option");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    socket.listen(8).expect("a bound socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("a bound socket");
    let upstream = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("the balancer connects").0;
        stream.read_exact(&mut [0; 64]).expect("the balancer writes a request");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabcde").expect("the connection is open");
        reset(stream);
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
    let status = balancer.client().ask("order", &"x".repeat(64 * 1024)).status();
    assert!(status == 502 || status == 503, "{status}");
    upstream.join().expect("no thread panicked");
}

/// Guards against a duplicate of a deduplicated request: one that may have run is retried only within the
/// group of upstreams that drops duplicates.
#[test]
fn a_keyed_request_is_retried_within_its_cell_only() {
    let failing = || Upstream::start(|_, _| Reply::BytesThenClose(Vec::new()));
    let (first, same, other) = (failing(), failing(), failing());
    let known = [
        endpoint("s-1", first.address, 4, "ready"),
        endpoint("s-2", same.address, 4, "ready"),
        endpoint("s-3", other.address, 5, "ready"),
    ];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    assert_eq!(balancer.client().ask("pay", "one").status(), 502);
    let requests_by_group = [first.requests().len() + same.requests().len(), other.requests().len()];
    assert!(requests_by_group == [2, 0] || requests_by_group == [0, 1], "{requests_by_group:?}");
}

/// Guards against a late answer being read as the answer to the next request on the connection: a time-out
/// closes the connection.
#[test]
fn a_time_out_closes_its_connection() {
    let upstream = Upstream::start(|number, _| if number == 0 { Reply::Silence } else { ok("late") });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 0.3);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").status(), 502);
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against waiting for the long deadline of the class when the client has set a shorter one.
#[test]
fn the_client_is_answered_by_its_own_deadline() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 59.0);
    let mut client = balancer.client();
    client.raw(
        b"GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n\r\n",
    );
    let status = client.answer().expect("an answer long before the deadline of the class").status();
    assert!(status == 502 || status == 503, "{status}");
    upstream.wait_closed(1);
}

/// Guards against wasted work: when a client disconnects, its attempt is cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send("order", "one");
    upstream.wait_requests(1);
    client.0.shutdown(Shutdown::Both).expect("shut down the connection");
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against wasted work where a client's connection is reset, before its attempt was sent or after,
/// with or without bytes behind the request.
#[test]
fn a_reset_client_connection_cancels_its_attempt() {
    for trailing_bytes in ["", "GET /re"] {
        let upstream = Upstream::start(|_, _| Reply::Silence);
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
        let mut client = balancer.client();
        client.send_with_id("mine", "order", "one");
        client.raw(trailing_bytes.as_bytes());
        upstream.wait_requests(1);
        reset(client.0);
        upstream.wait_closed(1);
        assert_eq!(upstream.requests().len(), 1);
    }
    let (listener, queued_connections) = full_listener();
    let (balancer, _discovery) =
        Balancer::with(&[endpoint("s-1", listener.local_addr().expect("a bound socket"), 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send_with_id("mine", "order", "left");
    balancer.wait_until_caught_up();
    reset(client.0);
    // The request id can be used again once the balancer has noticed the reset.
    let mut staying_client = wait_for("the request id to be free", || {
        let mut client = balancer.client();
        client.send_with_id("mine", "order", "stays");
        balancer.wait_until_caught_up();
        client.0.set_nonblocking(true).expect("set the socket option");
        let open = client.0.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        client.0.set_nonblocking(false).expect("set the socket option");
        open.then_some(client)
    });
    drop(queued_connections);
    let upstream = Upstream::on(listener, |_, _| ok("served"));
    assert_eq!(staying_client.answer().expect("an answer").status(), 200);
    let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
    assert_eq!(bodies, [b"stays"]);
}

/// Guards against writing to a connection that the upstream has closed: the next request opens a new one.
#[test]
fn a_connection_that_the_upstream_closed_is_not_used_again() {
    let upstream = Upstream::start(|_, _| {
        Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok".to_vec())
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for count in 1..=4 {
        assert_eq!(client.ask("order", "one").status(), 200);
        assert_eq!((upstream.requests().len(), upstream.connections()), (count, count));
    }
}

/// Guards against bytes that follow an answer on its connection being taken for the answer to the next
/// request, whether they arrive together with the answer or later.
#[test]
fn leftover_bytes_of_an_answer_are_not_taken_for_the_next() {
    for trailing_bytes in
        ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", "\0noise", "HTTP/1.1 100 Continue\r\n\r\n"]
    {
        let upstream = Upstream::start(move |number, _| {
            let body = format!("answer {number}");
            let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(number % 3 * 20);
            Reply::Bytes(
                format!(
                    "{interim}HTTP/1.1 200 OK\r\nX-Load: \u{1}=,=x\r\nContent-Length: {}\r\n\r\n{body}{trailing_bytes}",
                    body.len()
                )
                .replace('\u{1}', "util=1e999;")
                .into_bytes(),
            )
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        for number in 0..20 {
            assert_eq!(
                client.ask("order", "x").body,
                format!("answer {number}").into_bytes(),
                "{trailing_bytes:?}"
            );
        }
    }
}

/// Guards time and memory against answers without an end: each is abandoned long before the client's
/// deadline, and its connection is closed at once.
#[test]
fn an_endless_answer_is_abandoned() {
    let length = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc".to_owned();
    let head = format!("HTTP/1.1 200 OK\r\nX-Fill: {}", "x".repeat(1 << 20));
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1 << 16);
    for endless in [length, head, interim] {
        let shared = endless.clone();
        let upstream = Upstream::start(move |_, _| Reply::Bytes(shared.clone().into_bytes()));
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 59.0);
        assert_eq!(balancer.client().ask("order", "one").status(), 502, "{:.40}", endless);
        upstream.wait_closed(1);
    }
}

/// Guards memory and the client against an answer that exceeds the protocol's size limit.
#[test]
fn an_oversized_answer_is_a_failure() {
    let upstream = Upstream::start(|_, _| ok(&"x".repeat(65 * 1024)));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
}

/// Found on r7909: each tier deducted 30 ms from the client's deadline, which left nothing of short ones, so
/// that below the first tier such calls were refused unsent.
#[test]
fn a_call_with_a_short_deadline_is_still_sent() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 0.5);
    let mut client = balancer.client();
    // A busy machine may delay single calls beyond their deadline; with the fault every call is refused unsent.
    wait_for("a call with a short deadline to reach the upstream", || {
        client.send_with_deadline(0.03, "read");
        client.answer().expect("an answer, served or not");
        (!upstream.requests().is_empty()).then_some(())
    });
}

/// The text of a configuration with these upstreams whose settings don't allow cancelling attempts.
fn without_cancel(discovery: &Discovery, known: &[serde_json::Value]) -> String {
    let text = configuration(discovery.address, known, 30.0, 1024);
    let without = text.replace(r#""cancel":true"#, r#""cancel":false"#);
    assert_ne!(text, without);
    without
}

/// Guards requests that must not run twice against clients that lose their connection and send the request again: its
/// id is rejected after an attempt that may have run, whether or not the client got the answer.
#[test]
fn a_request_that_may_have_run_does_not_run_again_with_the_same_id() {
    let upstream =
        Upstream::start(|_, message| if message.body == b"held" { Reply::Silence } else { ok("served") });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let ask_again = |id: &str, class: &str| {
        let mut client = balancer.client();
        client.send_with_id(id, class, "again");
        client.answer().expect("an answer").status()
    };
    let mut leaving_client = balancer.client();
    leaving_client.send_with_id("left", "order", "held");
    upstream.wait_requests(1);
    drop(leaving_client);
    upstream.wait_closed(1);
    assert_eq!(ask_again("left", "order"), 409);
    let mut client = balancer.client();
    client.send_with_id("answered", "order", "once");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    assert_eq!(ask_again("answered", "order"), 409);
    assert_eq!([ask_again("harmless", "read"), ask_again("harmless", "read")], [200, 200]);
    let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
    assert_eq!(bodies, [&b"held"[..], b"once", b"again", b"again"]);
}

/// Guards against wasted work when a client disconnects while its request waits for an upstream connection:
/// the request is not sent once the connection is established, whatever the settings allow. The request of a
/// client that is still connected is sent.
#[test]
fn a_late_connection_does_not_carry_the_request_of_a_disconnected_client() {
    let (listener, queued_connections) = full_listener();
    let known = [endpoint("s-1", listener.local_addr().expect("a bound socket"), 0, "ready")];
    let discovery = Discovery::start();
    let balancer = Balancer::start(&without_cancel(&discovery, &known));
    let (mut leaving_client, mut staying_client) = (balancer.client(), balancer.client());
    leaving_client.send_with_id("mine", "order", "leaves");
    balancer.wait_until_caught_up();
    drop(leaving_client);
    balancer.wait_until_caught_up();
    // The request id is free again, so the answer is no 409: the attempt is over, not only abandoned by its client.
    staying_client.send_with_id("mine", "order", "stays");
    balancer.wait_until_caught_up();
    staying_client.0.set_nonblocking(true).expect("set the socket option");
    assert!(staying_client.0.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock));
    staying_client.0.set_nonblocking(false).expect("set the socket option");
    drop(queued_connections);
    let upstream = Upstream::on(listener, |_, _| ok("served"));
    assert_eq!(staying_client.answer().expect("an answer").status(), 200);
    let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
    assert_eq!(bodies, [b"stays"]);
}

/// Guards against wasted work when a client disconnects while an attempt is in flight: if the attempt then
/// fails in a way that allows a retry, there is none.
#[test]
fn a_failed_attempt_is_not_retried_after_its_client_disconnected() {
    let (fail, failing) = std::sync::mpsc::channel::<()>();
    let failing = std::sync::Mutex::new(failing);
    let script = move |_: usize, message: &Message| {
        if message.line.starts_with("GET") {
            let _ = failing.lock().expect("no thread panicked").recv();
            return status("503 Full\r\nX-Not-Run: 1");
        }
        ok("served")
    };
    let script = std::sync::Arc::new(script);
    let upstreams: Vec<_> = (0..2)
        .map(|_| {
            let script = std::sync::Arc::clone(&script);
            Upstream::start(move |number, message| script(number, message))
        })
        .collect();
    let known = [
        endpoint("s-1", upstreams[0].address, 0, "ready"),
        endpoint("s-2", upstreams[1].address, 1, "ready"),
    ];
    let discovery = Discovery::start();
    let balancer = Balancer::start(&without_cancel(&discovery, &known));
    let request_count = || upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    // A request whose client stays connected is retried on the other upstream.
    let mut staying_client = balancer.client();
    staying_client.send("read", "");
    wait_for("the first attempt to reach an upstream", || (request_count() == 1).then_some(()));
    fail.send(()).expect("an upstream waits for the signal");
    wait_for("the second attempt to reach an upstream", || (request_count() == 2).then_some(()));
    fail.send(()).expect("an upstream waits for the signal");
    assert_eq!(staying_client.answer().expect("an answer").status(), 503);
    let mut leaving_client = balancer.client();
    leaving_client.send("read", "");
    wait_for("the first attempt to reach an upstream", || (request_count() == 3).then_some(()));
    drop(leaving_client);
    balancer.wait_until_caught_up();
    fail.send(()).expect("an upstream waits for the signal");
    // A retry after the failure would reach an upstream before the second of these requests.
    for asked in 4..8 {
        assert_eq!(staying_client.ask("order", "x").status(), 200);
        assert_eq!(request_count(), asked, "it was sent again");
    }
}

/// Guards against missing a disconnect: hyper stops reading once bytes have arrived behind the request. They
/// may be part of a next request, a whole one or more than the buffer holds, and may arrive together with the
/// request or later.
#[test]
fn a_disconnect_is_noticed_behind_pipelined_bytes() {
    let whole = "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: next\r\nX-Tenant: acme\r\n\r\n";
    for trailing_bytes in ["GET /re".to_owned(), whole.to_owned(), format!("GET /{}", "x".repeat(1 << 20))] {
        for together in [true, false] {
            let upstream = Upstream::start(|_, _| Reply::Silence);
            let (balancer, _discovery) =
                Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
            let mut client = balancer.client();
            let request = "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\r\n";
            if together {
                client.raw([request, &trailing_bytes].concat().as_bytes());
            } else {
                client.raw(request.as_bytes());
                upstream.wait_requests(1);
                client.raw(trailing_bytes.as_bytes());
            }
            upstream.wait_requests(1);
            drop(client);
            upstream.wait_closed(1);
            assert_eq!(upstream.requests().len(), 1, "{trailing_bytes:.20}, together: {together}");
        }
    }
}

/// Guards against wasted work for requests pipelined behind one in flight: they are not sent once their
/// client has disconnected, in order or by a reset, although an idle upstream connection is available.
#[test]
fn pipelined_requests_of_a_disconnected_client_are_dropped() {
    for resets in [false, true] {
        let upstream =
            Upstream::start(|_, message| if message.body == b"held" { Reply::Silence } else { ok("served") });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
        let mut client = balancer.client();
        client.send("order", "held");
        upstream.wait_requests(1);
        assert_eq!(balancer.client().ask("order", "first").status(), 200);
        for _ in 0..3 {
            client.send("order", "ahead");
        }
        balancer.wait_until_caught_up();
        if resets {
            reset(client.0);
        } else {
            drop(client);
        }
        upstream.wait_closed(1);
        balancer.wait_until_caught_up();
        assert_eq!(balancer.client().ask("order", "last").status(), 200);
        let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
        assert_eq!(bodies, [&b"held"[..], b"first", b"last"], "reset: {resets}");
    }
}

/// Guards read-ahead of pipelined requests: a request that arrives early is answered after the first, whole,
/// and one that is too long for the buffer closes the connection with the first answer.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let upstream = Upstream::start(move |_, message| {
        if message.body == b"held" {
            let _ = released.lock().expect("no thread panicked").recv();
        }
        ok(std::str::from_utf8(&message.body).expect("UTF-8"))
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send("order", "held");
    upstream.wait_requests(1);
    client.send("order", "second");
    balancer.wait_until_caught_up();
    client.send("order", "third");
    balancer.wait_until_caught_up();
    release.send(()).expect("the upstream waits for the signal");
    for body in [&b"held"[..], b"second", b"third"] {
        assert_eq!(client.answer().expect("an answer").body, body);
    }
    client.send("order", "held");
    upstream.wait_requests(4);
    client.raw(format!("GET /read?{} HTTP/1.1\r\n\r\n", "x".repeat(1 << 18)).as_bytes());
    balancer.wait_until_caught_up();
    release.send(()).expect("the upstream waits for the signal");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.answer().is_none());
}

/// Guards against duplicates with a short deduplication window: a request that may have run is retried within
/// the window only, and doesn't wait for a connection that is established after it. Within the window it is
/// retried.
#[test]
fn a_retry_is_not_sent_after_its_deduplication_window() {
    for (window, late) in [("2.0", true), ("30.0", false)] {
        let (release, released) = std::sync::mpsc::channel::<()>();
        let released = std::sync::Mutex::new(released);
        let first = Upstream::start(move |number, _| {
            if number > 0 {
                return ok("served");
            }
            let _ = released.lock().expect("no thread panicked").recv();
            Reply::BytesThenClose(Vec::new())
        });
        let (listener, queued_connections) = full_listener();
        let second = listener.local_addr().expect("a bound socket");
        let discovery = Discovery::start();
        let known = [endpoint("s-1", first.address, 0, "ready")];
        let text = configuration(discovery.address, &known, 50.0, 1024);
        let text = text.replace(r#""windowS":10.0"#, &format!(r#""windowS":{window}"#));
        let text = text.replace(r#""dialTimeoutS":5.0"#, r#""dialTimeoutS":60.0"#);
        assert!(text.contains(window) && text.contains("60.0"));
        let balancer = Balancer::start(&text);
        let (_, watch) = discovery.watch();
        let mut client = balancer.client();
        client.send("pay", "one");
        first.wait_requests(1);
        watch.send_update(8, false, &[endpoint("s-2", second, 0, "ready")]);
        watch.end();
        let (line, _watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=8 HTTP/1.1");
        release.send(()).expect("the upstream waits for the signal");
        if late {
            // The request's deadline and the dial timeout are longer than the client of this test waits.
            assert_eq!(client.answer().expect("an answer").status(), 502);
        }
        drop(queued_connections);
        let second = Upstream::on(listener, |_, _| ok("served"));
        if !late {
            assert_eq!(client.answer().expect("an answer").status(), 200);
        }
        assert_eq!(balancer.client().ask("order", "last").status(), 200);
        let repeats = second.requests().iter().filter(|(_, request)| request.line.contains("/pay")).count();
        assert_eq!(repeats, usize::from(!late));
    }
}

/// Guards draining upstreams against attempts under way: a request that waits for its connection when the
/// upstream begins to drain is not sent there, and is served by another upstream.
#[test]
fn a_connection_established_after_a_drain_began_carries_no_request() {
    let (listener, queued_connections) = full_listener();
    let draining = listener.local_addr().expect("a bound socket");
    let other = Upstream::start(|_, _| ok("other"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", draining, 0, "ready")];
    let text = configuration(discovery.address, &known, 50.0, 1024);
    let patient = text.replace(r#""dialTimeoutS":5.0"#, r#""dialTimeoutS":60.0"#);
    assert_ne!(text, patient);
    let balancer = Balancer::start(&patient);
    let (_, watch) = discovery.watch();
    let mut client = balancer.client();
    client.send("order", "one");
    balancer.wait_until_caught_up();
    watch.send_update(
        8,
        false,
        &[endpoint("s-1", draining, 0, "draining"), endpoint("s-2", other.address, 1, "ready")],
    );
    // The drain ends the attempt. It waits neither for the connection nor for its deadline, which is longer than the
    // client of this test waits.
    assert_eq!(client.answer().expect("an answer").body, b"other");
    assert_eq!(
        wait_for("the drain to take effect", || Some(balancer.client().ask("read", ""))
            .filter(|answer| answer.status() == 200))
        .body,
        b"other"
    );
    drop(queued_connections);
    let drained = Upstream::on(listener, |_, _| ok("drained"));
    assert_eq!(client.ask("read", "").body, b"other");
    assert!(drained.requests().is_empty());
}
