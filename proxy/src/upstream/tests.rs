//! What is sent on a connection, counted to the byte, and when an attempt counts as possibly executed.

use super::*;
use crate::config::Config;
use crate::config::tests::CONFIGURATION;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

fn forwarded(method: Method, body: &'static [u8]) -> ForwardedRequest {
    ForwardedRequest {
        idempotency_key: (method == Method::POST).then(|| HeaderValue::from_static("k-1")),
        method,
        uri: Uri::from_static("/order?k=7f"),
        host: HeaderValue::from_static("origin.svc"),
        request_id: HeaderValue::from_static("r-1"),
        body: Bytes::from_static(body).into(),
        head_reservation: None,
    }
}

/// Guards the distinction between 'never executed' and 'may have been executed': the size computed in
/// advance is exactly what is written, so that a request that lacks one byte is known to be incomplete.
#[test]
fn the_computed_size_is_what_is_written() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("starts");
    let requests =
        [forwarded(Method::GET, b""), forwarded(Method::POST, b""), forwarded(Method::POST, b"instalments")];
    for forwarded in requests {
        let request = forwarded.to_http(Duration::from_millis(2500));
        let size = min_bytes_on_wire(&request, forwarded.body.len());
        let written = runtime.block_on(async {
            let (balancer_end, mut upstream_end) = duplex(1 << 16);
            let (mut sender, connection) =
                http1::handshake::<_, Full<ReservedBytes>>(TokioIo::new(balancer_end))
                    .await
                    .expect("no bytes yet");
            let upstream = async {
                let mut bytes = vec![0; size as usize];
                upstream_end.read_exact(&mut bytes).await.expect("all computed bytes arrive");
                upstream_end
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    .await
                    .expect("read");
                let mut excess = Vec::new();
                upstream_end.read_to_end(&mut excess).await.expect("closed");
                bytes.len() + excess.len()
            };
            let (answer, _, written) = tokio::join!(sender.send_request(request), connection, upstream);
            answer.expect("an answer");
            written
        });
        assert_eq!(written as u64, size, "{:?}", forwarded.method);
    }
}

/// Guards a request against being answered by left-over bytes: anything received before its first byte is
/// written prevents sending, even if the runtime has not been notified of it yet.
#[test]
fn nothing_is_written_after_unsolicited_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let balancer_end = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
        let upstream_end = listener.accept().await.expect("a connection").0.into_std().expect("free");
        let traffic = Rc::new(Traffic { written_bytes: Cell::new(0), read_allowance: Cell::new(u64::MAX) });
        let open_sockets = Rc::new(Cell::new(1));
        let _permit = Permit::acquire(&open_sockets);
        let mut balancer_end = CountedStream { stream: balancer_end, traffic, _permit };
        assert_eq!(balancer_end.write(b"GET").await.expect("nothing received"), 3);
        balancer_end.traffic.begin_request();
        std::io::Write::write_all(&mut &upstream_end, b"HTTP/1.1 200 OK\r\n").expect("written");
        while balancer_end.check_nothing_received().is_ok() {
            std::thread::yield_now();
        }
        assert!(balancer_end.write(b"GET").await.is_err());
        assert_eq!(balancer_end.traffic.written_bytes.get(), 0);
    });
}

/// An established connection carries requests even if a socket option cannot be set on it. A Unix socket
/// stands in for such a connection, because it does not support `TCP_NODELAY`.
#[test]
fn a_connection_is_used_although_a_socket_option_cannot_be_set() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (balancer_end, upstream_end) = std::os::unix::net::UnixStream::pair().expect("free");
        balancer_end.set_nonblocking(true).expect("a socket");
        upstream_end.set_nonblocking(true).expect("a socket");
        let balancer_end = std::net::TcpStream::from(std::os::fd::OwnedFd::from(balancer_end));
        let balancer_end = TcpStream::from_std(balancer_end).expect("not blocking");
        assert!(balancer_end.set_nodelay(true).is_err());
        let mut upstream_end = tokio::net::UnixStream::from_std(upstream_end).expect("not blocking");
        let open_sockets = Rc::new(Cell::new(0));
        let mut connection =
            start_http(Permit::acquire(&open_sockets), balancer_end).await.expect("established");
        connection.traffic.begin_request();
        let upstream = async {
            let _ = upstream_end.read(&mut [0; 1024]).await.expect("a request arrives");
            upstream_end.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.expect("open");
        };
        let request = forwarded(Method::GET, b"").to_http(Duration::from_secs(1));
        let (answer, ()) = tokio::join!(connection.sender.send_request(request), upstream);
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    });
}

/// Guards the distinction between 'never executed' and 'may have been executed' for an attempt that is given
/// up half-way.
#[test]
fn a_request_is_fully_written_with_its_last_byte() {
    let progress = Progress::default();
    assert!(!progress.is_fully_written() && !progress.has_begun());
    let traffic = Rc::new(Traffic { written_bytes: Cell::new(0), read_allowance: Cell::new(0) });
    progress.request_bytes.set(200);
    progress.traffic.replace(Some(Rc::clone(&traffic)));
    assert!(!progress.is_fully_written() && !progress.has_begun());
    traffic.written_bytes.set(199);
    assert!(!progress.is_fully_written() && progress.has_begun());
    traffic.written_bytes.set(200);
    assert!(progress.is_fully_written());
}

/// A driver whose list has one upstream, and an attempt to send there.
fn driver_and_spec(address: SocketAddr) -> (Rc<Driver>, AttemptSpec) {
    let text = CONFIGURATION.replace(r#""tryLimit": 3"#, r#""tryLimit": 3, "dialTimeoutS": 30"#);
    let driver =
        Driver::start(Config::parse(&text, |_| None).expect("a valid configuration")).expect("starts");
    let initial_list = format!(
        r#"{{"snapshot": true, "endpoints": [
        {{"name": "s-1", "address": "{address}", "status": "ready"}}]}}"#
    );
    driver.apply_update(0, serde_json::from_str(&initial_list).expect("a list"));
    let requested_at = Instant::now();
    let spec = AttemptSpec {
        request: RequestId(1),
        attempt: AttemptNumber(0),
        upstream: driver.upstream_id("s-1"),
        address,
        forwarded: Rc::new(forwarded(Method::GET, b"")),
        requested_at,
        deadline: requested_at + Duration::from_secs(30),
        latest_start: requested_at + Duration::from_secs(30),
    };
    (driver, spec)
}

/// Polls a future once.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    std::future::poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await
}

/// Guards against connections that are established late looking like congestion and cutting the rate limits
/// (found on zone+brink).
/// The time of an attempt counts from when its connection was open, or, if it never was, from when the
/// attempt was requested.
#[test]
fn the_time_of_an_attempt_excludes_connecting() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // The accept queue is full, so that the system repeats the connect after a second.
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("free");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("bound");
        let listener = std::net::TcpListener::from(socket);
        let address = listener.local_addr().expect("bound");
        let queue_fillers: Vec<_> = (0..2)
            .map(|_| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(300)))
            .collect();
        let (driver, spec) = driver_and_spec(address);
        let requested_at = spec.requested_at;
        let progress = Progress::default();
        let mut exchange = std::pin::pin!(exchange(&driver, &spec, &progress));
        let early_result = timeout(Duration::from_millis(100), exchange.as_mut()).await;
        assert!(
            early_result.is_err() && progress.time_at_upstream(requested_at) >= Duration::from_millis(100)
        );
        let upstream = std::thread::spawn(move || {
            drop(queue_fillers);
            for mut stream in listener.incoming().flatten() {
                use std::io::{Read, Write};
                if stream.read(&mut [0; 1024]).is_ok_and(|bytes| bytes > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
            }
        });
        let (result, _connection) = exchange.await;
        let (total_time, upstream_time) = (requested_at.elapsed(), progress.time_at_upstream(requested_at));
        upstream.join().expect("no panic");
        assert_eq!(result.outcome, Outcome::Good);
        assert!(upstream_time < total_time / 2, "{upstream_time:?} of {total_time:?}");
    });
}

/// Guards against a fault found on brink seed 61 of an own deployment: an attempt whose upstream began to
/// drain was reported as never executed, although its request was completely written between the cancellation
/// and the task's next turn. The cancellation may arrive before or after the request is written, and the task
/// may run before or after. Only a request that is never written was never executed; any other is answered,
/// unless its outcome is `Withdrawn`.
#[test]
fn an_attempt_written_while_it_is_cancelled_may_have_run() {
    #[derive(Debug, PartialEq)]
    enum Moment {
        Cancelled,
        Written,
    }
    use Moment::{Cancelled, Written};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    for (order, cancel_outcome, outcome) in [
        (&[Cancelled, Written][..], Outcome::ConnectFailed, Outcome::Good),
        (&[Written, Cancelled], Outcome::ConnectFailed, Outcome::Good),
        (&[Cancelled, Written], Outcome::Withdrawn, Outcome::Withdrawn),
        (&[Written, Cancelled], Outcome::Withdrawn, Outcome::Withdrawn),
        (&[Cancelled], Outcome::ConnectFailed, Outcome::ConnectFailed),
        (&[Cancelled], Outcome::Withdrawn, Outcome::Withdrawn),
    ] {
        let case = format!("{order:?}, {cancel_outcome:?}");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let (driver, spec) = driver_and_spec(listener.local_addr().expect("bound"));
            let progress = Progress::default();
            let (cancel, cancelled) = oneshot::channel();
            let mut cancel = Some(cancel);
            let mut attempt = Box::pin(await_result(&driver, &spec, &progress, cancelled));
            // The request is handed to its connection's task, which has not run yet.
            loop {
                assert!(poll_once(attempt.as_mut()).await.is_pending());
                if progress.send_started_at.get().is_some() {
                    break;
                }
                tokio::task::yield_now().await;
            }
            for moment in order {
                assert_eq!(progress.has_begun(), order[0] == Written && *moment == Cancelled, "{case}");
                match moment {
                    Cancelled => cancel
                        .take()
                        .expect("cancelled once")
                        .send(cancel_outcome)
                        .expect("the attempt is in flight"),
                    Written => {
                        while !progress.is_fully_written() {
                            tokio::task::yield_now().await;
                        }
                    }
                }
            }
            let mut upstream = listener.accept().await.expect("established").0;
            let (result, _connection) = match poll_once(attempt.as_mut()).await {
                Poll::Ready(ended) => ended,
                Poll::Pending => {
                    assert_eq!(outcome, Outcome::Good, "{case}: it continues");
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                    upstream.write_all(answer).await.expect("open");
                    attempt.as_mut().await
                }
            };
            assert_eq!(result.outcome, outcome, "{case}");
            drop(attempt);
            let mut received = Vec::new();
            upstream.read_to_end(&mut received).await.expect("closed without a reset");
            let is_complete = received.starts_with(b"GET /order?k=7f") && received.ends_with(b"\r\n\r\n");
            assert_eq!(is_complete, order.contains(&Written), "{case}");
            assert!(is_complete || received.is_empty(), "{case}");
        });
    }
}

/// Guards memory: hyper doubles its read buffer after a read that fills it and keeps it that large for as long
/// as the connection is open, so that no read may fill it.
#[test]
fn a_read_does_not_fill_the_read_buffer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
        let mut upstream_end = listener.accept().await.expect("a connection").0;
        let sent = vec![b'x'; MAX_HEAD_BYTES];
        upstream_end.write_all(&sent).await.expect("open");
        let traffic = Rc::new(Traffic { written_bytes: Cell::new(0), read_allowance: Cell::new(u64::MAX) });
        let permit = Permit::acquire(&Rc::new(Cell::new(0)));
        let mut balancer_end = CountedStream { stream, traffic, _permit: permit };
        let mut buffer = vec![0; MAX_HEAD_BYTES];
        let mut received_bytes = 0;
        while received_bytes < sent.len() {
            let bytes = balancer_end.read(&mut buffer).await.expect("open");
            assert!(bytes <= MAX_READ_BYTES, "{bytes}");
            received_bytes += bytes;
        }
    });
}
