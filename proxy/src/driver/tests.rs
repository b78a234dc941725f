//! How often discovery is called while calls fail, and access to the driver for the tests of other modules.

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;
use crate::config::tests::CONFIGURATION;

impl Driver {
    /// The id of a listed upstream, by its name.
    pub(crate) fn upstream_id(&self, name: &str) -> UpstreamId {
        self.core.borrow().directory.id_of(name).expect("listed")
    }

    /// Applies an update as if it came from the watch with this id.
    pub(crate) fn apply_update(self: &Rc<Self>, watch_id: u64, update: Update) {
        self.updated(WatchId(watch_id), update);
    }
}

/// How discovery fails a call.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// Nothing listens at the address of discovery.
    Unreachable,
    /// Discovery resets the connection.
    Reset,
    /// Discovery answers 503.
    Overloaded,
    /// Discovery accepts the call and never answers.
    Silent,
    /// Discovery opens a watch that ends before its first update.
    EndsEarly,
    /// Discovery opens a watch that falls silent after its first update.
    StopsSending,
}

impl Failure {
    const ALL: [Self; 6] =
        [Self::Unreachable, Self::Reset, Self::Overloaded, Self::Silent, Self::EndsEarly, Self::StopsSending];

    async fn handle_connection(self, mut stream: TcpStream) {
        let _ = stream.read(&mut [0; 1024]).await;
        let watch_head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::Unreachable | Self::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set")
            }
            Self::Overloaded => {
                let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
            }
            Self::EndsEarly => {
                let _ = stream.write_all(watch_head).await;
            }
            Self::StopsSending => {
                let _ = stream.write_all(&[&watch_head[..], b"1\r\n\n\r\n"].concat()).await;
                std::future::pending().await
            }
            Self::Silent => std::future::pending().await,
        }
    }
}

/// An update counts as delivered 6 s after discovery can be reached, whatever call failed before and
/// however long the settings let a replica go without asking. The next call therefore has to begin early
/// enough to be answered within that time, whether the last one was refused, reset, answered with an error,
/// left without an answer or ended; a watch that falls silent has to be replaced as early. The test runs on
/// a paused clock.
#[test]
fn a_failed_call_to_discovery_is_repeated_before_updates_count_as_late() {
    const LATE_UPDATE_LIMIT: Duration = Duration::from_secs(6);
    const ANSWER_TIME: Duration = Duration::from_millis(1500);
    let settings = [
        r#""discovery": "automatic""#,
        r#""discovery": "subscribe", "rules": {"askWithinS": 10.0,"#,
        r#""discovery": "subscribe", "rules": {"askWithinS": 60.0,"#,
    ];
    for (failure, settings) in
        Failure::ALL.into_iter().flat_map(|failure| settings.map(|text| (failure, text)))
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        tokio::task::LocalSet::new().block_on(&runtime.expect("starts"), async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("bound");
            if matches!(failure, Failure::Unreachable) {
                drop(listener);
            } else {
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        spawn_local(failure.handle_connection(stream));
                    }
                });
            }
            let (mode, rules) = settings.split_once(", ").unwrap_or((settings, r#""rules": {"#));
            let text = CONFIGURATION
                .replace("127.0.0.1:1\"", &format!("{address}\""))
                .replace(r#""discovery": "automatic""#, mode)
                .replace(r#""rules": {"#, rules);
            let driver = Driver::start(Config::parse(&text, |_| None).expect("a valid configuration"))
                .expect("starts");
            let latest_call = || driver.core.borrow().subscription.newest_watch_id();
            let (start, mut last_call, mut longest_gap) = (Instant::now(), Instant::now(), Duration::ZERO);
            let mut seen_call = latest_call();
            while start.elapsed() < Duration::from_secs(300) {
                sleep(Duration::from_millis(10)).await;
                if latest_call() > seen_call {
                    (seen_call, last_call) = (latest_call(), Instant::now());
                }
                longest_gap = longest_gap.max(last_call.elapsed());
            }
            assert!(
                longest_gap + ANSWER_TIME <= LATE_UPDATE_LIMIT,
                "{failure:?}, {settings}: no call for {longest_gap:?}"
            );
        });
    }
}
