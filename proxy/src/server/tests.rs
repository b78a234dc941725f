//! The crossings on a connection that only its own state can put in order.

use super::*;
use crate::config::tests::CONFIGURATION;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, yield_now};

/// A client's connection that is served, what ends the serving, and its state.
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
    clients.accept(listener.accept().await.expect("comes").0);
    let connection = clients.connections.borrow().values().next().map(Rc::clone).expect("accepted");
    (phase, connection, client)
}

/// Guards a request whose bytes come in two pieces, with the end of serving between them: it is answered
/// before its connection closes.
#[test]
fn a_partly_received_request_is_answered_before_its_connection_closes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let mut in_time = false;
        // On a machine that stands still in between there is nothing to see: once more then.
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
            phase.send(Phase::Closing).expect("it is watched");
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

/// Guards a request that reaches a resting connection in the moment of its end: there before it, though the runtime has
/// not yet heard of it, it is answered; come behind it, it is left alone for the client to send elsewhere.
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
                phase.send(Phase::Closing).expect("it is watched");
                assert_eq!(client.read(&mut answer).await.expect("it is ended in order"), 0);
                let answered_at = connection.last_activity.get();
                client.write_all(request).await.expect("its other side is still read");
                // It is thrown away, not closed over, or the connection would be reset; and not answered.
                client.shutdown().await.expect("open");
                while Rc::strong_count(&connection) > 1 {
                    yield_now().await;
                }
                assert_eq!(client.read(&mut answer).await.expect("it is not reset"), 0);
                assert_eq!(connection.last_activity.get(), answered_at, "it was answered");
            } else {
                // Nothing is waited for in between, so that the runtime can't have heard of the request.
                client.write_all(request).await.expect("open");
                phase.send(Phase::Closing).expect("it is watched");
                let bytes = client.read(&mut answer).await.expect("it is not reset");
                let text = String::from_utf8_lossy(&answer[..bytes]).to_lowercase();
                assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
                assert_eq!(client.read(&mut answer).await.expect("it is ended in order"), 0);
            }
        }
    });
}
