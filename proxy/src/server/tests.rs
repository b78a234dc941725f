//! The crossings on a connection that only its own state can put in order.

use super::*;
use crate::config::tests::CONFIGURATION;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, yield_now};

/// A client's connection that is served, what ends the serving, and its state.
async fn connected() -> (watch::Sender<Phase>, Rc<Link>, TcpStream) {
    let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
    let (phase, phases) = watch::channel(Phase::Serving);
    let clients = Rc::new(Clients {
        driver: Driver::start(config).expect("starts"),
        phases,
        links: RefCell::default(),
        next: Cell::new(0),
        draining: Cell::new(false),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
    clients.accept(listener.accept().await.expect("comes").0);
    let link = clients.links.borrow().values().next().map(Rc::clone).expect("accepted");
    (phase, link, client)
}

/// Guards a request whose bytes come in two pieces, with the end of serving between them: it is answered
/// before its connection closes.
#[test]
fn a_request_that_is_coming_in_is_taken_before_its_connection_closes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let mut soon = false;
        // On a machine that stands still in between there is nothing to see: once more then.
        while !soon {
            let (phase, link, mut client) = connected().await;
            let mut answer = [0; 1024];
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("open");
            assert!(client.read(&mut answer).await.expect("open") > 0);
            client.write_all(b"GET /_health HT").await.expect("open");
            while link.unread.since().is_none() {
                yield_now().await;
            }
            let begun = Instant::now();
            phase.send(Phase::Closing).expect("it is watched");
            for _ in 0..10 {
                yield_now().await;
            }
            let _ = client.write_all(b"TP/1.1\r\nHost: a\r\n\r\n").await;
            let bytes = client.read(&mut answer).await;
            soon = begun.elapsed() < ARRIVAL_GRACE / 2;
            if soon {
                let text = String::from_utf8_lossy(&answer[..bytes.expect("an answer")]).to_lowercase();
                assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
            }
        }
    });
}

/// Guards a request that reaches a resting connection in the moment of its end: there before it, though the runtime has
/// not yet heard of it, it is answered; come behind it, it is left alone for the client to send elsewhere.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_answered_or_not_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        for ended_first in [false, true] {
            let (phase, link, mut client) = connected().await;
            let request = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
            let mut answer = [0; 1024];
            client.write_all(request).await.expect("open");
            assert!(client.read(&mut answer).await.expect("open") > 0);
            if ended_first {
                phase.send(Phase::Closing).expect("it is watched");
                assert_eq!(client.read(&mut answer).await.expect("it is ended in order"), 0);
                let before = link.since.get();
                client.write_all(request).await.expect("its other side is still read");
                // It is thrown away, not closed over, or the connection would be reset; and not answered.
                client.shutdown().await.expect("open");
                while Rc::strong_count(&link) > 1 {
                    yield_now().await;
                }
                assert_eq!(client.read(&mut answer).await.expect("it is not reset"), 0);
                assert_eq!(link.since.get(), before, "it was answered");
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
