//! Requests that race with the close of their connection; the order of events is controlled through the
//! connection's state.

use super::*;
use crate::config::tests::CONFIGURATION;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, yield_now};

/// Serves one client connection: returns the sender of the phase, the connection's state and the client's
/// end.
async fn connect_client() -> (watch::Sender<Phase>, Rc<ClientConnection>, TcpStream) {
    let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
    let (phase, phases) = watch::channel(Phase::Serving);
    let clients = Rc::new(Clients {
        driver: Driver::start(config).expect("starts"),
        phases,
        connections: RefCell::default(),
        next_number: Cell::new(0),
        draining: Cell::new(false),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
    clients.accept(listener.accept().await.expect("a connection").0);
    let connection = clients.connections.borrow().values().next().map(Rc::clone).expect("accepted");
    (phase, connection, client)
}

/// A request that arrives in two pieces, with the change to `Phase::Closing` between them, is answered
/// before its connection closes.
#[test]
fn a_partly_received_request_is_answered_before_its_connection_closes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let mut in_time = false;
        // If the machine stalls in between, the grace period is over and nothing can be checked: try again.
        while !in_time {
            let (phase, connection, mut client) = connect_client().await;
            let mut answer = [0; 1024];
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("open");
            assert!(client.read(&mut answer).await.expect("open") > 0);
            client.write_all(b"GET /_health HT").await.expect("open");
            while connection.input.pending_since().is_none() {
                yield_now().await;
            }
            let closing_since = Instant::now();
            phase.send(Phase::Closing).expect("the phase is watched");
            for _ in 0..10 {
                yield_now().await;
            }
            let _ = client.write_all(b"TP/1.1\r\nHost: a\r\n\r\n").await;
            let bytes = client.read(&mut answer).await;
            in_time = closing_since.elapsed() < ARRIVAL_GRACE / 2;
            if in_time {
                let text = String::from_utf8_lossy(&answer[..bytes.expect("an answer")]).to_lowercase();
                assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
            }
        }
    });
}

/// A request may reach an idle connection at the moment it is closed. One that arrived before the close is
/// answered, even if the runtime has not been notified of it yet; one that arrives after it is ignored, so
/// that the client sends it elsewhere.
#[test]
fn a_request_that_races_with_the_close_of_an_idle_connection_is_answered_or_ignored() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        for closed_first in [false, true] {
            let (phase, connection, mut client) = connect_client().await;
            let request = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
            let mut answer = [0; 1024];
            client.write_all(request).await.expect("open");
            assert!(client.read(&mut answer).await.expect("open") > 0);
            if closed_first {
                phase.send(Phase::Closing).expect("the phase is watched");
                assert_eq!(
                    client.read(&mut answer).await.expect("the connection is closed without a reset"),
                    0
                );
                let answered_at = connection.last_activity.get();
                client.write_all(request).await.expect("the balancer still reads");
                // The bytes are discarded and not answered; closing the socket with unread bytes would
                // reset the connection.
                client.shutdown().await.expect("open");
                while Rc::strong_count(&connection) > 1 {
                    yield_now().await;
                }
                assert_eq!(client.read(&mut answer).await.expect("the connection is not reset"), 0);
                assert_eq!(connection.last_activity.get(), answered_at, "the late request was answered");
            } else {
                // No await in between, so that the runtime cannot have been notified of the request.
                client.write_all(request).await.expect("open");
                phase.send(Phase::Closing).expect("the phase is watched");
                let bytes = client.read(&mut answer).await.expect("the connection is not reset");
                let text = String::from_utf8_lossy(&answer[..bytes]).to_lowercase();
                assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
                assert_eq!(
                    client.read(&mut answer).await.expect("the connection is closed without a reset"),
                    0
                );
            }
        }
    });
}

/// Guards the memory of connections that wait for their client to close: it is given back before the wait.
#[test]
fn a_connection_that_only_waits_for_its_client_holds_no_buffers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let (phase, connection, mut client) = connect_client().await;
        let reserved_bytes = || connection.input.arrival().buffer_reservation();
        client.write_all(b"GET /_health HTTP/1.1\r\nX-Fill: ").await.expect("open");
        client.write_all(&[b'x'; 8000]).await.expect("open");
        while reserved_bytes() == 0 {
            yield_now().await;
        }
        phase.send(Phase::Closing).expect("the phase is watched");
        while !connection.finished.get() {
            yield_now().await;
        }
        assert!(Rc::strong_count(&connection) > 1, "the connection does not wait for its client");
        assert_eq!(reserved_bytes(), 0);
    });
}
