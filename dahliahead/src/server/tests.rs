//! The crossings on a connection that only its own state can put in order.

use super::*;
use crate::config::tests::CONFIGURATION;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, yield_now};

/// Guards a request whose bytes come in two pieces, with the end of serving between them: it is answered
/// before its connection closes.
#[test]
fn a_request_that_is_coming_in_is_taken_before_its_connection_closes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
    LocalSet::new().block_on(&runtime, async {
        let mut soon = false;
        // On a machine that stands still in between there is nothing to see: once more then.
        while !soon {
            let config = Config::parse(CONFIGURATION, |_| None).expect("a sound configuration");
            let (phase, phases) = watch::channel(Phase::Serving);
            let callers = Rc::new(Callers {
                driver: Driver::start(config).expect("starts"),
                phases,
                links: RefCell::default(),
                next: Cell::new(0),
                draining: Cell::new(false),
            });
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let mut caller =
                TcpStream::connect(listener.local_addr().expect("bound")).await.expect("accepted");
            callers.accept(listener.accept().await.expect("comes").0);
            let link = callers.links.borrow().values().next().map(Rc::clone).expect("accepted");
            let mut answer = [0; 1024];
            caller.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("open");
            assert!(caller.read(&mut answer).await.expect("open") > 0);
            caller.write_all(b"GET /_health HT").await.expect("open");
            while link.unread.since().is_none() {
                yield_now().await;
            }
            let begun = Instant::now();
            phase.send(Phase::Closing).expect("it is watched");
            for _ in 0..10 {
                yield_now().await;
            }
            let _ = caller.write_all(b"TP/1.1\r\nHost: a\r\n\r\n").await;
            let bytes = caller.read(&mut answer).await;
            soon = begun.elapsed() < ARRIVAL_GRACE / 2;
            if soon {
                let text = String::from_utf8_lossy(&answer[..bytes.expect("an answer")]).to_lowercase();
                assert!(text.starts_with("http/1.1 503") && text.contains("connection: close"), "{text}");
            }
        }
    });
}
