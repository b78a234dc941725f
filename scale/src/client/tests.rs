//! Tests of clients against a scripted server on loopback.

mod open_loop;
mod server;

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::caller::{Caller, Limits, Route};
use super::{Arrival, Class};
use crate::process::ReservedPort;
use crate::record::{Call, CallOutcome, Record};
use crate::scenario::Scenario;
use server::{Reply, Server, answer, answer_with};

/// Longer than any step of a passing test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limits that no passing test reaches.
const UNREACHED_LIMITS: Limits =
    Limits { deadline: TEST_TIMEOUT, grace: TEST_TIMEOUT, close_race_window: TEST_TIMEOUT };

fn scenario() -> Scenario {
    let text = "name = 'test'\nduration_s = 0.5\n[fleet]\nservices = 0\nhollow = 0\nreal = 1\n\
                [load]\nreal_calls_per_s = 100.0\ndeadline_s = 30.0\n";
    toml::from_str(text).expect("a valid scenario")
}

/// Clients of one server, and the record of their calls.
struct Clients {
    caller: Caller,
    record: Arc<Record>,
}

impl Clients {
    fn new(address: SocketAddr, limits: Limits, retries: u32) -> Self {
        Self::on_route(Route::Balancers, address, limits, retries)
    }

    fn on_route(route: Route, address: SocketAddr, limits: Limits, retries: u32) -> Self {
        let mut load = scenario().load;
        load.client_retries = retries;
        let record = Arc::<Record>::default();
        let caller = Caller::new(route, &load, limits, &[address], Arc::clone(&record));
        Self { caller, record }
    }

    /// Makes a call now and returns its outcome.
    async fn call(&self, arrival: Arrival) -> Call {
        self.caller.run_call(arrival, Instant::now()).await;
        let measured = self.record.measured();
        *measured.calls.last().expect("a call that was made is recorded")
    }

    async fn call_outcome(&self) -> CallOutcome {
        self.call(ARRIVAL).await.outcome
    }
}

const ARRIVAL: Arrival = Arrival {
    offset: Duration::ZERO,
    hops: 3,
    class: Class::Read,
    tenant: 2,
    target: 0,
    disconnect_after: None,
    first_request_id: 0x1f,
};

/// Clients of a server that answers the first request on each connection and treats later ones as scripted.
async fn clients_after_first_answer(
    limits: Limits,
    reply: impl Fn() -> Reply + Send + Sync + 'static,
) -> (Server, Clients) {
    let server = Server::start(move |request| if request.number == 0 { answer("200 OK") } else { reply() });
    let clients = Clients::new(server.address, limits, 0);
    assert_eq!(clients.call_outcome().await, CallOutcome::Served);
    (server, clients)
}

#[tokio::test]
async fn a_request_has_the_form_of_the_protocol() {
    let server = Server::start(|_| answer("200 OK"));
    let clients = Clients::new(server.address, UNREACHED_LIMITS, 0);
    let call = clients.call(ARRIVAL).await;
    assert_eq!((call.outcome, call.hops), (CallOutcome::Served, 3));
    clients.call(Arrival { class: Class::Order, ..ARRIVAL }).await;
    let requests = server.requests();
    assert!(requests.iter().all(|request| request.connection == 0), "the connection is kept");
    assert_eq!(requests[0].line, "GET /read?hops=3&hop=1&tenant=tenant-2");
    assert_eq!(requests[1].line, "POST /order?hops=3&hop=1&tenant=tenant-2");
    assert_eq!(
        (requests[0].header("x-request-id"), requests[0].header("x-tenant")),
        ("000000000000001f", "tenant-2")
    );
    assert_eq!(requests[0].header("host"), server.address.to_string());
    let deadline_s: f64 = requests[0].header("x-deadline").parse().expect("seconds");
    assert!(deadline_s > 0.0 && deadline_s <= TEST_TIMEOUT.as_secs_f64(), "{deadline_s}");
    let measured = clients.record.measured();
    assert_eq!(measured.hop_calls[0][&1], 2);
    assert_eq!((measured.latency_by_hops_us[&3].count(), measured.client_lag_us.count()), (2, 2));
}

#[tokio::test]
async fn other_answers_fail_and_so_does_a_refused_connection() {
    let unused_port = ReservedPort::any().expect("a free port");
    assert_eq!(
        Clients::new(unused_port.address(), UNREACHED_LIMITS, 0).call_outcome().await,
        CallOutcome::Failed
    );
    for status in ["500 Internal Server Error", "400 Bad Request", "201 Created"] {
        let server = Server::start(move |_| answer(status));
        assert_eq!(
            Clients::new(server.address, UNREACHED_LIMITS, 0).call_outcome().await,
            CallOutcome::Failed,
            "{status}"
        );
    }
}

#[tokio::test]
async fn a_truncated_or_malformed_answer_fails() {
    for bytes in ["HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "good morning\r\n\r\n"] {
        let (_server, clients) = clients_after_first_answer(UNREACHED_LIMITS, move || {
            Reply::Close(Duration::ZERO, bytes.to_owned())
        })
        .await;
        assert_eq!(clients.call_outcome().await, CallOutcome::Failed, "{bytes}");
    }
}

#[tokio::test]
async fn a_late_answer_fails() {
    let limits = Limits { deadline: Duration::from_millis(200), ..UNREACHED_LIMITS };
    let wait = Duration::from_millis(300);
    let server = Server::start(move |_| Reply::WriteAfter(wait, answer_with("200 OK", "")));
    assert_eq!(Clients::new(server.address, limits, 0).call_outcome().await, CallOutcome::Failed);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_without_any_answer_is_lost_after_the_grace_period() {
    let (deadline, grace) = (Duration::from_secs(1), Duration::from_millis(200));
    let server = Server::start(|_| Reply::Silence);
    let call =
        Clients::new(server.address, Limits { deadline, grace, ..UNREACHED_LIMITS }, 0).call(ARRIVAL).await;
    assert_eq!(call.outcome, CallOutcome::Lost);
    assert!(call.latency >= deadline + grace, "{call:?}");
    assert_eq!(server.next_closed_connection(), 0);
}

#[tokio::test]
async fn a_first_request_whose_connection_is_closed_fails_and_is_not_sent_again() {
    let server = Server::start(|_| Reply::Close(Duration::ZERO, String::new()));
    let clients = Clients::new(server.address, UNREACHED_LIMITS, 0);
    assert_eq!(clients.call_outcome().await, CallOutcome::Failed);
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_request_that_races_with_a_close_is_sent_once_more_and_not_again() {
    for outcome in [CallOutcome::Served, CallOutcome::Failed] {
        let server = Server::start(move |request| match (request.connection, request.number) {
            (0, 0) => answer("200 OK"),
            (1, 0) if outcome == CallOutcome::Served => answer("200 OK"),
            _ => Reply::Close(Duration::ZERO, String::new()),
        });
        let clients = Clients::new(server.address, UNREACHED_LIMITS, 0);
        assert_eq!(clients.call_outcome().await, CallOutcome::Served);
        assert_eq!(clients.call_outcome().await, outcome);
        let requests = server.requests();
        assert!(requests.iter().map(|request| (request.connection, request.number)).eq([
            (0, 0),
            (0, 1),
            (1, 0)
        ]));
        assert_eq!(requests[1].header("x-request-id"), requests[2].header("x-request-id"));
        assert_eq!(clients.record.measured().client_resent, 1);
        assert_eq!(clients.record.measured().hop_calls[0][&1], 2);
    }
}

#[tokio::test]
async fn a_request_that_was_read_and_never_answered_is_lost() {
    let limits = Limits { close_race_window: Duration::from_millis(50), ..UNREACHED_LIMITS };
    let wait = Duration::from_millis(100);
    let (server, clients) =
        clients_after_first_answer(limits, move || Reply::Close(wait, String::new())).await;
    assert_eq!(clients.call_outcome().await, CallOutcome::Lost);
    assert_eq!(server.requests().len(), 2);
}

#[tokio::test]
async fn a_close_by_a_server_that_has_ended_fails() {
    let port = ReservedPort::any().expect("a free port");
    let listener = TcpListener::bind(port.address()).expect("the reserved port can be bound again");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut bytes = [0; 1024];
        let _ = std::io::Read::read(&mut stream, &mut bytes);
        let _ = std::io::Write::write_all(&mut stream, answer_with("200 OK", "").as_bytes());
        let _ = std::io::Read::read(&mut stream, &mut bytes);
        std::thread::sleep(Duration::from_millis(100));
        // Shut down explicitly: a process that another thread is starting may briefly inherit the descriptor.
        SockRef::from(&listener).shutdown(Shutdown::Both).expect("it listens");
    });
    let clients = Clients::new(
        port.address(),
        Limits { close_race_window: Duration::from_millis(50), ..UNREACHED_LIMITS },
        0,
    );
    assert_eq!(clients.call_outcome().await, CallOutcome::Served);
    assert_eq!(clients.call_outcome().await, CallOutcome::Failed);
    server.join().expect("no panic");
}

#[tokio::test]
async fn a_connection_that_was_closed_while_idle_is_not_used() {
    let server = Server::start(|request| {
        if request.connection == 0 {
            Reply::Close(Duration::ZERO, answer_with("200 OK", "Connection: close\r\n"))
        } else {
            answer("200 OK")
        }
    });
    let clients = Clients::new(server.address, UNREACHED_LIMITS, 0);
    assert_eq!(clients.call_outcome().await, CallOutcome::Served);
    assert_eq!(clients.call_outcome().await, CallOutcome::Served);
    assert_eq!(clients.record.measured().client_resent, 0);
}

#[tokio::test]
async fn refused_calls_are_retried_with_a_new_id_after_retry_after() {
    for status in ["429 Too Many Requests", "503 Service Unavailable"] {
        let refusal = answer_with(status, "Retry-After: 0.2\r\n");
        let server = Server::start(move |request| match request.number {
            0 => Reply::Write(refusal.clone()),
            _ => answer("200 OK"),
        });
        let clients = Clients::new(server.address, UNREACHED_LIMITS, 2);
        assert_eq!(clients.call_outcome().await, CallOutcome::Served);
        let requests = server.requests();
        assert!(requests[1].received_at - requests[0].received_at >= Duration::from_millis(200));
        assert_ne!(requests[0].header("x-request-id"), requests[1].header("x-request-id"));
        assert_eq!(clients.record.measured().hop_calls[0][&1], 2);
    }
}

#[tokio::test]
async fn a_call_that_is_always_refused_ends_after_its_retries() {
    let server = Server::start(|_| answer("503 Service Unavailable"));
    assert_eq!(Clients::new(server.address, UNREACHED_LIMITS, 2).call_outcome().await, CallOutcome::Refused);
    assert_eq!(server.requests().len(), 3);
}

#[tokio::test]
async fn no_retry_starts_after_the_deadline() {
    let server = Server::start(|_| Reply::Write(answer_with("503 No", "Retry-After: 9\r\n")));
    let limits = Limits { deadline: Duration::from_millis(1400), ..UNREACHED_LIMITS };
    assert_eq!(Clients::new(server.address, limits, 2).call_outcome().await, CallOutcome::Refused);
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_disconnects_early_closes_its_connection() {
    let server = Server::start(|_| Reply::Silence);
    let arrival = Arrival { disconnect_after: Some(Duration::from_millis(500)), ..ARRIVAL };
    assert_eq!(
        Clients::new(server.address, UNREACHED_LIMITS, 0).call(arrival).await.outcome,
        CallOutcome::ClientDisconnected
    );
    assert_eq!(server.next_closed_connection(), 0);
}

#[tokio::test]
async fn direct_calls_record_only_their_latency() {
    let server = Server::start(|_| answer("200 OK"));
    let clients = Clients::on_route(Route::Nodes, server.address, UNREACHED_LIMITS, 0);
    clients.caller.run_call(ARRIVAL, Instant::now()).await;
    assert_eq!(server.requests()[0].line, "GET /read?hops=3&hop=0&tenant=tenant-2");
    let measured = clients.record.measured();
    assert_eq!(measured.direct_latency_us.count(), 1);
    assert!(measured.calls.is_empty() && measured.hop_calls[0].is_empty());
}
