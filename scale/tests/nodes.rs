//! Tests of the simulated nodes on loopback sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use stilelead_scale::node::server::NodeServers;
use stilelead_scale::record::Record;
use stilelead_scale::scenario::Scenario;
use stilelead_scale::topology::{BalancerId, NodeId, Topology};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Node of the first of two services; it calls the next one through [`SECOND_BALANCER`].
const FIRST_NODE: NodeId = NodeId(0);
/// Node of the second service.
const SECOND_NODE: NodeId = NodeId(1);
/// Balancer through which the first node calls the second service.
const SECOND_BALANCER: BalancerId = BalancerId(1);

/// Starts two services with one node each, whose work takes 10 us.
async fn nodes(settings: &str) -> (Arc<NodeServers>, Arc<Record>) {
    start(&format!("work_ms = 0.01\n{settings}")).await
}

async fn start(settings: &str) -> (Arc<NodeServers>, Arc<Record>) {
    let text = format!(
        "name = 'nodes'\nduration_s = 1.0\n[fleet]\nservices = 0\nhollow = 0\nreal = 2\nnodes_per_real = 1\n\
         [load]\nreal_calls_per_s = 0.0\n[node]\nwork_fixed = true\n{settings}"
    );
    let scenario: Scenario = toml::from_str(&text).unwrap();
    let record = Arc::new(Record::default());
    let nodes = NodeServers::start(&scenario, &Topology::of(&scenario.fleet), record.clone()).await.unwrap();
    (nodes, record)
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

struct NodeResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl NodeResponse {
    fn not_run(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE
            && self.headers.get("x-not-run").is_some_and(|value| value == "1")
    }
}

async fn send(
    sender: &mut SendRequest<Empty<Bytes>>,
    method: &str,
    path: &str,
    id: Option<&str>,
) -> Result<NodeResponse, hyper::Error> {
    let mut request = Request::builder().method(method).uri(path).header("host", "node");
    if let Some(id) = id {
        request = request.header("x-request-id", id);
    }
    request = request.header("x-tenant", "tenant-1").header("x-deadline", "5.0");
    let response = sender.send_request(request.body(Empty::new()).unwrap()).await?;
    let (head, body) = response.into_parts();
    Ok(NodeResponse { status: head.status, headers: head.headers, body: body.collect().await?.to_bytes() })
}

async fn get(address: SocketAddr, path: &str, id: &str) -> Result<NodeResponse, hyper::Error> {
    send(&mut connect(address).await.unwrap(), "GET", path, Some(id)).await
}

fn attempts(record: &Record) -> u64 {
    record.measured().attempts[0].values().sum()
}

#[tokio::test]
async fn a_request_is_served_with_a_load_report_and_one_without_an_id_gets_404() {
    let (nodes, record) = nodes("connect_ms = 0.0").await;
    let mut sender = connect(nodes.address(FIRST_NODE)).await.unwrap();
    let served = send(&mut sender, "GET", "/read?hops=1&hop=1", Some("a")).await.unwrap();
    assert_eq!((served.status, served.body.is_empty()), (StatusCode::OK, false));
    let load = served.headers["x-load"].to_str().unwrap();
    assert!(load.starts_with("active=0,waiting=0,cpu=0."), "{load}");
    let unknown = send(&mut sender, "GET", "/read?hops=1&hop=1", None).await.unwrap();
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let malformed = send(&mut sender, "GET", "/read?hops=x", Some("b")).await.unwrap();
    assert_eq!(malformed.status, StatusCode::BAD_REQUEST);
    assert_eq!(attempts(&record), 1);
}

#[tokio::test]
async fn an_order_that_runs_twice_is_counted_even_across_nodes() {
    let (nodes, record) = nodes("").await;
    for (node, method, path, id, duplicated) in [
        (FIRST_NODE, "POST", "/order?hops=1&hop=1", "a", 0),
        (FIRST_NODE, "POST", "/order?hops=1&hop=1", "b", 0),
        (SECOND_NODE, "POST", "/order?hops=1&hop=1", "a", 1),
        (FIRST_NODE, "POST", "/order?hops=1&hop=1", "a", 2),
        (FIRST_NODE, "GET", "/read?hops=1&hop=1", "c", 2),
        (SECOND_NODE, "GET", "/read?hops=1&hop=1", "c", 2),
    ] {
        let mut sender = connect(nodes.address(node)).await.unwrap();
        assert_eq!(send(&mut sender, method, path, Some(id)).await.unwrap().status, StatusCode::OK);
        assert_eq!(record.measured().duplicated, duplicated);
    }
}

#[tokio::test]
async fn a_call_of_many_hops_reaches_the_last_node() {
    let (nodes, record) = nodes("").await;
    // A node of the same service takes the place of each balancer.
    nodes.set_balancer_address(SECOND_BALANCER, nodes.address(SECOND_NODE));
    nodes.set_balancer_address(BalancerId(0), nodes.address(FIRST_NODE));
    let served = get(nodes.address(FIRST_NODE), "/read?hops=27&hop=1", "a").await.unwrap();
    assert_eq!(served.status, StatusCode::OK);
    let measured = record.measured();
    assert!((1..=27).all(|hop| measured.attempts[0][&hop] == 1));
    // Calls at the first hop are counted by the clients.
    assert_eq!(measured.hop_calls[0].keys().copied().collect::<Vec<_>>(), (2..=27).collect::<Vec<_>>());
}

#[tokio::test]
async fn errors_arise_at_the_last_hop_and_propagate_back() {
    let (nodes, record) = nodes("error_share = 1.0").await;
    nodes.set_balancer_address(SECOND_BALANCER, nodes.address(SECOND_NODE));
    let failed = get(nodes.address(FIRST_NODE), "/read?hops=2&hop=1", "a").await.unwrap();
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    // The first node called the next service although its own drawn outcome was an error.
    assert_eq!(attempts(&record), 2);
}

/// Reads the head of a request; returns its lines in lower case, the request line first.
async fn read_head(stream: &mut BufReader<TcpStream>) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.unwrap();
        match line.trim_end() {
            "" => return lines,
            text => lines.push(text.to_lowercase()),
        }
    }
}

/// Reads the head of a request and sends a response.
async fn respond_as_balancer(stream: &mut BufReader<TcpStream>, status: &str) -> Vec<String> {
    let lines = read_head(stream).await;
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    stream.get_mut().write_all(response.as_bytes()).await.unwrap();
    lines
}

fn header<'a>(lines: &'a [String], name: &str) -> &'a str {
    lines.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ")).unwrap()
}

#[tokio::test]
async fn a_call_to_the_next_service_has_its_own_id_and_the_remaining_time_and_reuses_its_connection() {
    let (nodes, _record) = nodes("").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    nodes.set_balancer_address(SECOND_BALANCER, listener.local_addr().unwrap());
    let balancer = tokio::spawn(async move {
        let accept = async || BufReader::new(listener.accept().await.unwrap().0);
        let mut first = accept().await;
        let mut heads = vec![
            respond_as_balancer(&mut first, "200 OK").await,
            respond_as_balancer(&mut first, "429 Too Many").await,
        ];
        drop(first);
        heads.push(respond_as_balancer(&mut accept().await, "200 OK").await);
        heads
    });
    let mut sender = connect(nodes.address(FIRST_NODE)).await.unwrap();
    for status in [StatusCode::OK, StatusCode::INTERNAL_SERVER_ERROR, StatusCode::OK] {
        let response =
            send(&mut sender, "GET", "/read?hops=5&hop=3&tenant=tenant-2", Some("a")).await.unwrap();
        assert_eq!(response.status, status);
    }
    let heads = balancer.await.unwrap();
    let mut ids: Vec<&str> = heads.iter().map(|head| header(head, "x-request-id")).collect();
    for head in &heads {
        assert_eq!(head[0], "get /read?hops=4&hop=4&tenant=tenant-2 http/1.1");
        assert_eq!(header(head, "x-tenant"), "tenant-2");
        let time_left: f64 = header(head, "x-deadline").parse().unwrap();
        assert!(time_left > 0.0 && time_left < 5.0, "{time_left}");
    }
    ids.push("a");
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 4);
}

#[tokio::test]
async fn a_call_whose_idle_connection_closes_is_retried_only_if_that_is_harmless() {
    let (nodes, _record) = nodes("").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    nodes.set_balancer_address(SECOND_BALANCER, listener.local_addr().unwrap());
    let balancer = tokio::spawn(async move {
        let accept = async || BufReader::new(listener.accept().await.unwrap().0);
        let mut first = accept().await;
        respond_as_balancer(&mut first, "200 OK").await;
        let order = read_head(&mut first).await;
        drop(first);
        let mut second = accept().await;
        let read = respond_as_balancer(&mut second, "200 OK").await;
        let interrupted = read_head(&mut second).await;
        drop(second);
        [order, read, interrupted, respond_as_balancer(&mut accept().await, "200 OK").await]
    });
    let mut sender = connect(nodes.address(FIRST_NODE)).await.unwrap();
    for (method, path, status) in [
        ("GET", "/read?hops=2&hop=1", StatusCode::OK),
        ("POST", "/order?hops=2&hop=1", StatusCode::INTERNAL_SERVER_ERROR),
        ("GET", "/read?hops=2&hop=1", StatusCode::OK),
        ("GET", "/read?hops=2&hop=1", StatusCode::OK),
    ] {
        assert_eq!(send(&mut sender, method, path, Some("a")).await.unwrap().status, status);
    }
    let [order, read, interrupted, repeated] = balancer.await.unwrap();
    assert_eq!(order[0], "post /order?hops=1&hop=2 http/1.1");
    assert_eq!(read[0], "get /read?hops=1&hop=2 http/1.1");
    assert_eq!(interrupted, repeated);
}

#[tokio::test]
async fn a_stopped_node_refuses_connections_and_restarts_cold_on_the_same_port() {
    // A cold node takes two requests, a warm one any number.
    let (nodes, record) = nodes("fall_multiple = 0.0\nfall_s = 1e5\ncold_s = 1e6\ncold_share = 1.0").await;
    let address = nodes.address(FIRST_NODE);
    let mut warm = connect(address).await.unwrap();
    for id in ["a", "b", "c", "d"] {
        assert_eq!(send(&mut warm, "GET", "/read", Some(id)).await.unwrap().status, StatusCode::OK);
    }
    nodes.stop(FIRST_NODE);
    assert_eq!(connect(address).await.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
    assert!(send(&mut warm, "GET", "/read", Some("e")).await.is_err());
    nodes.restart(FIRST_NODE).await;
    assert_eq!(nodes.address(FIRST_NODE), address);
    for id in ["f", "g"] {
        assert_eq!(get(address, "/read", id).await.unwrap().status, StatusCode::OK);
    }
    assert!(get(address, "/read", "h").await.is_err());
    assert_eq!(record.measured().cold_node_collapses, 1);
    assert_eq!(connect(address).await.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
    nodes.restart(FIRST_NODE).await;
    assert_eq!(get(address, "/read", "i").await.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_silent_node_accepts_requests_and_answers_once_it_resumes() {
    let (nodes, record) = nodes("").await;
    nodes.set_silent(FIRST_NODE, true);
    let address = nodes.address(FIRST_NODE);
    let hanging = tokio::spawn(async move { get(address, "/read", "a").await.unwrap().status });
    while attempts(&record) == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(get(nodes.address(SECOND_NODE), "/read", "b").await.unwrap().status, StatusCode::OK);
    assert!(!hanging.is_finished());
    nodes.set_silent(FIRST_NODE, false);
    assert_eq!(hanging.await.unwrap(), StatusCode::OK);
}

#[tokio::test]
async fn a_request_over_the_queue_limit_does_not_run() {
    // The first request occupies the only core for the rest of the test.
    let (nodes, record) = start("work_ms = 1e9\ncores = 1\nqueue = 0\nconnect_ms = 0.0").await;
    let address = nodes.address(FIRST_NODE);
    let running = tokio::spawn(get(address, "/order", "a"));
    while attempts(&record) == 0 {
        tokio::task::yield_now().await;
    }
    assert!(get(address, "/order", "b").await.unwrap().not_run());
    assert!(!running.is_finished());
}

#[tokio::test]
async fn a_request_over_the_connection_limit_does_not_run() {
    let (nodes, _record) = nodes("connections = 1").await;
    let mut first = connect(nodes.address(FIRST_NODE)).await.unwrap();
    assert_eq!(send(&mut first, "GET", "/read", Some("a")).await.unwrap().status, StatusCode::OK);
    let refused = get(nodes.address(FIRST_NODE), "/read", "b").await.unwrap();
    assert!(refused.not_run());
    assert_eq!(refused.headers["connection"], "close");
    assert_eq!(send(&mut first, "GET", "/read", Some("c")).await.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_reset_breaks_the_connection_of_the_request() {
    let (nodes, record) = nodes("reset_share = 1.0").await;
    assert!(get(nodes.address(FIRST_NODE), "/read", "a").await.is_err());
    assert_eq!(attempts(&record), 1);
    assert!(connect(nodes.address(FIRST_NODE)).await.is_ok());
}
