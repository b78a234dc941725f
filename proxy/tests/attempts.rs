//! What becomes of attempts: outcomes, connections, and the final answer that follows from them.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};

use common::*;
use socket2::{Domain, Socket, Type};

/// Guards what passes through: path, body and ids unchanged, and the same connection for the next request.
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
        assert_eq!(connection, 1, "a kept connection is used again");
        assert_eq!(request.line, "POST /pay?k=7f HTTP/1.1");
        assert_eq!(request.body, b"instalments");
        assert_eq!(request.header("x-request-id"), Some(format!("id-{number}").as_str()));
        assert_eq!(request.header("idempotency-key"), Some("k-1"));
        let deadline: f64 = request.header("x-deadline").and_then(|text| text.parse().ok()).expect("a time");
        assert!(deadline > 0.0 && deadline <= 30.0, "{deadline}");
    }
}

/// Guards against an upstream's own 503 reaching the client: it may have run, and a refusal would say that it
/// did not.
#[test]
fn a_503_without_x_not_run_is_a_failed_attempt() {
    for line in
        ["503 Service Unavailable", "500 Oops\r\nX-Not-Run: 1", "503 Busy\r\nX-Not-Run: 0", "429 Slow"]
    {
        let upstream = Upstream::start(move |_, _| status(line));
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let answer = balancer.client().ask("order", "one");
        assert_eq!(answer.status(), 502, "{line}");
        assert_eq!(upstream.requests().len(), 1, "an unsafe request that may have run went out again");
    }
}

/// Guards what the mark allows: another attempt for an unsafe request, and a refusal when none is left, at
/// once and with the advice to stay away.
#[test]
fn a_503_with_x_not_run_is_retried_elsewhere_then_refused() {
    let full = || Upstream::start(|_, _| status("503 Full\r\nX-Not-Run: 1"));
    let (first, second) = (full(), full());
    let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    let answer = balancer.client().ask("order", "one");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.header("retry-after"), Some("1.500"));
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// Guards the other proof that nothing ran: nobody listens there.
#[test]
fn a_refused_connection_is_retried_elsewhere_then_refused() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let known = [endpoint("s-1", dead_address(), 0, "ready"), endpoint("s-2", upstream.address, 1, "ready")];
    let (balancer, _discovery) = Balancer::with(&known, 30.0);
    for _ in 0..4 {
        assert_eq!(balancer.client().ask("order", "one").status(), 200);
    }
    let (alone, _discovery) = Balancer::with(&[endpoint("s-1", dead_address(), 0, "ready")], 30.0);
    assert_eq!(alone.client().ask("order", "one").status(), 503);
}

/// Guards against a resend that nobody decided on, and against a refusal for what may have run: once the last
/// byte is out, a break is a reset, whatever part of an answer came before it.
#[test]
fn an_unsafe_request_is_not_retried_once_it_was_sent_whole() {
    for part in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "\0\r\ngarbage\r\n\r\n",
        // Refused unseen, had it come whole.
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: x\r\n\r\n",
        // Nothing says that these are whole.
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

/// Guards answers without a length: one whose connection ends in order is whole, whatever its version. Its connection is
/// not used again.
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

/// Guards what such an answer says of its request: the same as one with a length.
#[test]
fn an_answer_without_a_length_is_classified_by_its_status() {
    for (head, status, tried) in [
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
        assert_eq!(first.requests().len() + second.requests().len(), tried, "{head:?}");
    }
}

/// Guards memory and time against answers without a length that have no end, or are past the limit: the first is given
/// up with its time, the second at once, though its connection stays open.
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

/// Guards clients against a part of an answer: one that is reset on the way is not whole, though it has no length and
/// so might end anywhere. It may have run: what must not run twice is failed, what may is sent elsewhere.
#[test]
fn a_reset_does_not_complete_an_answer() {
    let long = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(60 * 1024));
    let parts = [
        "HTTP/1.1 200 OK\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\n\r\n",
        &long,
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde",
        "HTTP/1.0 200 OK\r\n\r\nabcde",
        // Proof that it never ran only if it is whole.
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcde",
    ];
    let try_reset = &|part: &str, when_read: bool| {
        let cut = || {
            let part = part.to_owned();
            Upstream::start(move |_, _| Reply::Reset(part.clone().into_bytes(), when_read))
        };
        let (first, second) = (cut(), cut());
        let known = [endpoint("s-1", first.address, 0, "ready"), endpoint("s-2", second.address, 0, "ready")];
        let (balancer, _discovery) = Balancer::with(&known, 30.0);
        let seen = || first.requests().len() + second.requests().len();
        assert_eq!(balancer.client().ask("order", "one").status(), 502, "{part:.80?}");
        assert_eq!(seen(), 1, "{part:.80?}: it was sent again");
        let refused = balancer.client().ask("read", "");
        assert_eq!((refused.status(), seen()), (503, 3), "{part:.80?}: it may be repeated");
    };
    // Side by side, as each balancer takes seconds to drain.
    std::thread::scope(|scope| {
        for when_read in [false, true] {
            for part in parts {
                scope.spawn(move || try_reset(part, when_read));
            }
        }
    });
}

/// Guards the same where the reset comes while the request is still being written, whose side may hear of it first: it
/// is failed, or refused as one that was never written whole.
#[test]
fn a_reset_while_the_request_is_written_does_not_complete_its_answer() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("set");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    socket.listen(8).expect("bound");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("bound");
    let upstream = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("the balancer comes").0;
        stream.read_exact(&mut [0; 64]).expect("a request begins");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabcde").expect("open");
        reset(stream);
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", address, 0, "ready")], 30.0);
    let status = balancer.client().ask("order", &"x".repeat(64 * 1024)).status();
    assert!(status == 502 || status == 503, "{status}");
    upstream.join().expect("no panic");
}

/// Guards the group of a keyed request: what may have run is repeated only where repeats are dropped.
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
    let seen = [first.requests().len() + same.requests().len(), other.requests().len()];
    assert!(seen == [2, 0] || seen == [0, 1], "{seen:?}");
}

/// Guards against a late answer on a connection used again: a time-out closes it.
#[test]
fn a_time_out_closes_its_connection() {
    let upstream = Upstream::start(|number, _| if number == 0 { Reply::Silence } else { ok("late") });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 0.3);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").status(), 502);
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a client's short patience being taken for the class's long one.
#[test]
fn the_client_is_answered_by_its_own_deadline() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 59.0);
    let mut client = balancer.client();
    client.raw(
        b"GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\nX-Deadline: 0.2\r\n\r\n",
    );
    let status = client.answer().expect("an answer long before the class's deadline").status();
    assert!(status == 502 || status == 503, "{status}");
    upstream.wait_closed(1);
}

/// Guards against work for nobody: a client that leaves takes its attempt along.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send("order", "one");
    upstream.wait_requests(1);
    client.0.shutdown(Shutdown::Both).expect("closed");
    upstream.wait_closed(1);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards the same where a client's connection is reset, before the request's attempt is out or after, with nothing or
/// with bytes behind the request.
#[test]
fn a_reset_client_connection_cancels_its_attempt() {
    for behind in ["", "GET /re"] {
        let upstream = Upstream::start(|_, _| Reply::Silence);
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
        let mut client = balancer.client();
        client.send_with_id("mine", "order", "one");
        client.raw(behind.as_bytes());
        upstream.wait_requests(1);
        reset(client.0);
        upstream.wait_closed(1);
        assert_eq!(upstream.requests().len(), 1);
    }
    let (listener, filling) = full_listener();
    let (balancer, _discovery) =
        Balancer::with(&[endpoint("s-1", listener.local_addr().expect("bound"), 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send_with_id("mine", "order", "left");
    balancer.wait_until_caught_up();
    reset(client.0);
    // Its id is free again once the balancer has seen it.
    let mut stays = wait_for("the id is free", || {
        let mut client = balancer.client();
        client.send_with_id("mine", "order", "stays");
        balancer.wait_until_caught_up();
        client.0.set_nonblocking(true).expect("set");
        let open = client.0.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        client.0.set_nonblocking(false).expect("set");
        open.then_some(client)
    });
    drop(filling);
    let upstream = Upstream::on(listener, |_, _| ok("served"));
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
    assert_eq!(bodies, [b"stays"]);
}

/// Guards against writing to a connection that the upstream has closed: the next request finds a new one.
#[test]
fn a_connection_that_the_upstream_closed_is_not_used_again() {
    let upstream = Upstream::start(|_, _| {
        Reply::BytesThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok".to_vec())
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    for served in 1..=4 {
        assert_eq!(client.ask("order", "one").status(), 200);
        assert_eq!((upstream.requests().len(), upstream.connections()), (served, served));
    }
}

/// Guards requests against what an earlier answer left behind on a connection: whether it comes with the answer
/// or later, it answers nobody.
#[test]
fn leftover_bytes_of_an_answer_are_not_taken_for_the_next() {
    for behind in
        ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale", "\0noise", "HTTP/1.1 100 Continue\r\n\r\n"]
    {
        let upstream = Upstream::start(move |number, _| {
            let own = format!("answer {number}");
            let ahead = "HTTP/1.1 102 Processing\r\n\r\n".repeat(number % 3 * 20);
            Reply::Bytes(
                format!(
                    "{ahead}HTTP/1.1 200 OK\r\nX-Load: \u{1}=,=x\r\nContent-Length: {}\r\n\r\n{own}{behind}",
                    own.len()
                )
                .replace('\u{1}', "util=1e999;")
                .into_bytes(),
            )
        });
        let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        for number in 0..20 {
            assert_eq!(client.ask("order", "x").body, format!("answer {number}").into_bytes(), "{behind:?}");
        }
    }
}

/// Guards time and memory against answers that have no end: each is given up long before the client is, and its
/// connection closed at once.
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

/// Guards memory and the client against an answer past the limit of the protocol.
#[test]
fn an_oversized_answer_is_a_failure() {
    let upstream = Upstream::start(|_, _| ok(&"x".repeat(65 * 1024)));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    assert_eq!(balancer.client().ask("order", "one").status(), 502);
}

/// Found on r7909: 30 ms taken off a client's time in each tier left nothing of the time of clients with short deadlines, and
/// their calls were refused unsent below the first tier.
#[test]
fn a_call_with_a_short_deadline_is_still_sent() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 0.5);
    let mut client = balancer.client();
    // One may be held up on a busy machine; of many one gets through, or none ever does.
    wait_for("a call with a short deadline is sent", || {
        client.send_with_deadline(0.03, "read");
        client.answer().expect("an answer in any case");
        (!upstream.requests().is_empty()).then_some(())
    });
}

/// The text of a configuration with these upstreams, whose settings do not allow to cancel.
fn without_cancel(discovery: &Discovery, known: &[serde_json::Value]) -> String {
    let text = configuration(discovery.address, known, 30.0, 1024);
    let without = text.replace(r#""cancel":true"#, r#""cancel":false"#);
    assert_ne!(text, without);
    without
}

/// Guards against work for nobody where a client has left while its request waited for a connection: it does not
/// go out when that comes up, whatever the settings allow. One whose client is still there does.
#[test]
fn a_late_connection_does_not_carry_the_request_of_a_disconnected_client() {
    let (listener, filling) = full_listener();
    let known = [endpoint("s-1", listener.local_addr().expect("bound"), 0, "ready")];
    let discovery = Discovery::start();
    let balancer = Balancer::start(&without_cancel(&discovery, &known));
    let (mut leaves, mut stays) = (balancer.client(), balancer.client());
    leaves.send_with_id("mine", "order", "leaves");
    balancer.wait_until_caught_up();
    drop(leaves);
    balancer.wait_until_caught_up();
    // The id is free again, and not answered with a conflict: its attempt is over and not just alone.
    stays.send_with_id("mine", "order", "stays");
    balancer.wait_until_caught_up();
    stays.0.set_nonblocking(true).expect("set");
    assert!(stays.0.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock));
    stays.0.set_nonblocking(false).expect("set");
    drop(filling);
    let upstream = Upstream::on(listener, |_, _| ok("served"));
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    let bodies: Vec<_> = upstream.requests().into_iter().map(|(_, request)| request.body).collect();
    assert_eq!(bodies, [b"stays"]);
}

/// Guards the same for a request that waits for another attempt: the first ends after the client has gone, in a
/// way in which it would be sent again.
#[test]
fn a_failed_attempt_is_not_retried_after_its_client_disconnected() {
    let (fail, failing) = std::sync::mpsc::channel::<()>();
    let failing = std::sync::Mutex::new(failing);
    let script = move |_: usize, message: &Message| {
        if message.line.starts_with("GET") {
            let _ = failing.lock().expect("no panic").recv();
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
    let seen = || upstreams.iter().map(|upstream| upstream.requests().len()).sum::<usize>();
    // One whose client stays is sent to the other.
    let mut stays = balancer.client();
    stays.send("read", "");
    wait_for("the first attempt", || (seen() == 1).then_some(()));
    fail.send(()).expect("an upstream waits");
    wait_for("the second attempt", || (seen() == 2).then_some(()));
    fail.send(()).expect("an upstream waits");
    assert_eq!(stays.answer().expect("an answer").status(), 503);
    let mut leaves = balancer.client();
    leaves.send("read", "");
    wait_for("the first attempt", || (seen() == 3).then_some(()));
    drop(leaves);
    balancer.wait_until_caught_up();
    fail.send(()).expect("an upstream waits");
    // Whatever follows the failure is sent before what comes after the next answer.
    for asked in 4..8 {
        assert_eq!(stays.ask("order", "x").status(), 200);
        assert_eq!(seen(), asked, "it was sent again");
    }
}

/// Guards against a client that leaves unseen: hyper listens no more once something has come behind the request,
/// be it a part of a next one, a whole one, or more than is kept of it, together with the request or later.
#[test]
fn a_disconnect_is_noticed_behind_pipelined_bytes() {
    let whole = "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: next\r\nX-Tenant: acme\r\n\r\n";
    for behind in ["GET /re".to_owned(), whole.to_owned(), format!("GET /{}", "x".repeat(1 << 20))] {
        for together in [true, false] {
            let upstream = Upstream::start(|_, _| Reply::Silence);
            let (balancer, _discovery) =
                Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
            let mut client = balancer.client();
            let request = "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\r\n";
            if together {
                client.raw([request, &behind].concat().as_bytes());
            } else {
                client.raw(request.as_bytes());
                upstream.wait_requests(1);
                client.raw(behind.as_bytes());
            }
            upstream.wait_requests(1);
            drop(client);
            upstream.wait_closed(1);
            assert_eq!(upstream.requests().len(), 1, "{behind:.20}, together: {together}");
        }
    }
}

/// Guards against work for nobody behind a request that is out: what its client has sent ahead is not sent on once it has
/// left, in order or by a reset, though a connection is kept that would take it at once.
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

/// Guards what is read ahead: a next request that comes early is answered after the first, whole, and one that
/// is too long to be kept ends the connection with the first answer.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let upstream = Upstream::start(move |_, message| {
        if message.body == b"held" {
            let _ = held.lock().expect("no panic").recv();
        }
        ok(std::str::from_utf8(&message.body).expect("text"))
    });
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 50.0);
    let mut client = balancer.client();
    client.send("order", "held");
    upstream.wait_requests(1);
    client.send("order", "second");
    balancer.wait_until_caught_up();
    client.send("order", "third");
    balancer.wait_until_caught_up();
    release.send(()).expect("the upstream waits");
    for body in [&b"held"[..], b"second", b"third"] {
        assert_eq!(client.answer().expect("an answer").body, body);
    }
    client.send("order", "held");
    upstream.wait_requests(4);
    client.raw(format!("GET /read?{} HTTP/1.1\r\n\r\n", "x".repeat(1 << 18)).as_bytes());
    balancer.wait_until_caught_up();
    release.send(()).expect("the upstream waits");
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.answer().is_none());
}

/// Guards short windows for repeats: what may have run goes out again within the window only, and does not wait for a
/// connection that comes up when it is over. Before, it is repeated.
#[test]
fn a_retry_is_not_sent_after_its_deduplication_window() {
    for (window, late) in [("2.0", true), ("30.0", false)] {
        let (release, held) = std::sync::mpsc::channel::<()>();
        let held = std::sync::Mutex::new(held);
        let first = Upstream::start(move |number, _| {
            if number > 0 {
                return ok("served");
            }
            let _ = held.lock().expect("no panic").recv();
            Reply::BytesThenClose(Vec::new())
        });
        let (listener, filling) = full_listener();
        let second = listener.local_addr().expect("bound");
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
        release.send(()).expect("the upstream waits");
        if late {
            // Its time and the one for connecting are longer than the client of this test waits.
            assert_eq!(client.answer().expect("an answer").status(), 502);
        }
        drop(filling);
        let second = Upstream::on(listener, |_, _| ok("served"));
        if !late {
            assert_eq!(client.answer().expect("an answer").status(), 200);
        }
        assert_eq!(balancer.client().ask("order", "last").status(), 200);
        let repeats = second.requests().iter().filter(|(_, request)| request.line.contains("/pay")).count();
        assert_eq!(repeats, usize::from(!late));
    }
}

/// Guards drains against attempts under way: what waits for its connection while its upstream begins to drain
/// does not go out there, and is served elsewhere.
#[test]
fn a_connection_established_after_a_drain_began_carries_no_request() {
    let (listener, filling) = full_listener();
    let draining = listener.local_addr().expect("bound");
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
    // The attempt is ended with the drain; it waits neither for the connection nor for its time, which is longer than
    // the client of this test waits.
    assert_eq!(client.answer().expect("an answer").body, b"other");
    assert_eq!(
        wait_for("the drain", || Some(balancer.client().ask("read", ""))
            .filter(|answer| answer.status() == 200))
        .body,
        b"other"
    );
    drop(filling);
    let drained = Upstream::on(listener, |_, _| ok("drained"));
    assert_eq!(client.ask("read", "").body, b"other");
    assert!(drained.requests().is_empty());
}
