//! Stand-ins on loopback sockets for the integration tests: scripted upstreams and a scripted discovery, and a client.
//! Everything listens on port 0; tests wait for conditions, with time limits that only a hang reaches.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use stilelead::config::{Config, ConfigError};
use stilelead::server;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

/// Longer than any step takes unless the program hangs.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `condition` until it returns a value; panics after `HANG_TIMEOUT`.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < HANG_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

// --- Messages ---

/// A received message: first line, headers with their names in lower case, body.
#[derive(Debug, Clone)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Bytes of head and body together.
    pub size: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status line")
    }
}

/// Reads a message; `None` if the connection ends before the message is complete.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            Ok(_) => return None,
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("timed out reading a message"),
            Err(_) => return None,
        }
    }
    let head = String::from_utf8(bytes).expect("UTF-8");
    let mut lines = head.split("\r\n");
    let line = lines.next().expect("a first line").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a number as Content-Length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { line, headers, body, size: head.len() + length })
}

// --- Upstreams ---

/// How an upstream responds to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// Writes these bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Writes these bytes and resets the connection: once the balancer has read them if true, else at once.
    Reset(Vec<u8>, bool),
    /// Writes nothing until the balancer closes the connection.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

pub fn status(line: &str) -> Reply {
    Reply::Bytes(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").into_bytes())
}

#[derive(Debug, Default)]
struct Observed {
    requests: Vec<(usize, Message)>,
    connections: usize,
    /// Connections that the balancer has closed.
    closed: usize,
}

/// A scripted upstream that records its requests and connections.
pub struct Upstream {
    pub address: SocketAddr,
    observed: Arc<Mutex<Observed>>,
}

impl Upstream {
    /// Starts an upstream that answers as `script` returns, which gets the number of the request, from 0.
    pub fn start(script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("bind to a free port"), script)
    }

    /// Starts an upstream on this listener.
    pub fn on(
        listener: TcpListener,
        script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("a bound socket");
        let observed = Arc::new(Mutex::new(Observed::default()));
        let (shared, script) = (Arc::clone(&observed), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (observed, script) = (Arc::clone(&shared), Arc::clone(&script));
                let connection = {
                    let mut observed = observed.lock().expect("no thread panicked");
                    observed.connections += 1;
                    observed.connections
                };
                thread::spawn(move || serve_upstream(stream, connection, &observed, &*script));
            }
        });
        Self { address, observed }
    }

    /// The requests so far, each with the number of its connection, from 1.
    pub fn requests(&self) -> Vec<(usize, Message)> {
        self.observed.lock().expect("no thread panicked").requests.clone()
    }

    pub fn connections(&self) -> usize {
        self.observed.lock().expect("no thread panicked").connections
    }

    pub fn wait_requests(&self, count: usize) {
        wait_for("requests to arrive at the upstream", || (self.requests().len() >= count).then_some(()));
    }

    pub fn wait_closed(&self, count: usize) {
        wait_for("the balancer to close connections", || {
            (self.observed.lock().expect("no thread panicked").closed >= count).then_some(())
        });
    }
}

fn serve_upstream(
    mut stream: TcpStream,
    connection: usize,
    observed: &Mutex<Observed>,
    script: &(dyn Fn(usize, &Message) -> Reply + Send + Sync),
) {
    while let Some(message) = read_message(&mut stream) {
        let number = {
            let mut observed = observed.lock().expect("no thread panicked");
            observed.requests.push((connection, message.clone()));
            observed.requests.len() - 1
        };
        match script(number, &message) {
            Reply::Bytes(bytes) => {
                let _ = stream.write_all(&bytes);
            }
            Reply::BytesThenClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Reply::Reset(bytes, after_read) => {
                let _ = stream.write_all(&bytes);
                if after_read {
                    wait_for("the balancer to read the answer", || is_fully_read(&stream).then_some(()));
                }
                reset(stream);
                return;
            }
            Reply::Silence => {}
        }
    }
    observed.lock().expect("no thread panicked").closed += 1;
}

/// Whether the peer has read all bytes that were written.
fn is_fully_read(stream: &TcpStream) -> bool {
    let address = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
        }
        SocketAddr::V6(_) => unreachable!("all tests use IPv4"),
    };
    let (local, peer) = (
        stream.local_addr().expect("the connection is open"),
        stream.peer_addr().expect("the connection is open"),
    );
    let socket_pair = format!("{} {}", address(peer), address(local));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    // The second half of the queue sizes of the peer's socket is what it has received but not read.
    let line = table.lines().find(|line| line.contains(&socket_pair));
    let queues = line.and_then(|line| line.split_whitespace().nth(4));
    queues.is_none_or(|queues| queues.ends_with(":00000000"))
}

/// Closes the connection with a reset instead of an orderly end.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set the socket option");
}

/// A listener whose further connections are established only once it accepts, as its queue is full. Returns
/// it with the connections that fill the queue.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    socket.listen(0).expect("a bound socket");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("a bound socket");
    let mut queued_connections = Vec::new();
    let mut timeouts = 0;
    // On loopback a connection is established at once or, when the queue is full, not at all.
    while timeouts < 2 {
        match TcpStream::connect_timeout(&address, Duration::from_millis(500)) {
            Ok(stream) => queued_connections.push(stream),
            Err(_) => timeouts += 1,
        }
    }
    (listener, queued_connections)
}

/// An address where nothing listens. Its port stays bound, as otherwise another test's upstream might get it.
pub fn dead_address() -> SocketAddr {
    static BOUND: Mutex<Vec<Socket>> = Mutex::new(Vec::new());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    let address = socket.local_addr().expect("a bound socket").as_socket().expect("IPv4");
    BOUND.lock().expect("no thread panicked").push(socket);
    address
}

/// An entry of the list of upstreams, as discovery sends it.
pub fn endpoint(name: &str, address: SocketAddr, group: u32, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "north", "type": "std", "group": group,
           "status": status, "weight": 1.0, "since_ms": 0})
}

// --- Discovery ---

/// A discovery whose watches send what the test hands over.
pub struct Discovery {
    pub address: SocketAddr,
    /// The opened watches in order: the request line, and the sender of the bytes to write (`None` ends the watch).
    watches: Receiver<(String, Sender<Option<Vec<u8>>>)>,
}

impl Discovery {
    pub fn start() -> Self {
        Self::with_heartbeat(Duration::from_millis(500))
    }

    /// A discovery whose watches send an empty line whenever nothing has changed for `heartbeat`.
    pub fn with_heartbeat(heartbeat: Duration) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("bind to a free port"), heartbeat)
    }

    /// A discovery on this listener.
    pub fn on(listener: TcpListener, heartbeat: Duration) -> Self {
        let address = listener.local_addr().expect("a bound socket");
        let (watch_sender, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let watch_sender = watch_sender.clone();
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    let (chunk_sender, chunks) = mpsc::channel();
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    if watch_sender.send((message.line, chunk_sender)).is_ok() {
                        serve_watch(stream, &chunks, heartbeat);
                    }
                });
            }
        });
        Self { address, watches }
    }

    /// The next watch, if the balancer has opened one already.
    pub fn next_watch(&self) -> Option<(String, Watch)> {
        self.watches.try_recv().ok().map(|(line, chunk_sender)| (line, Watch(chunk_sender)))
    }

    /// Waits for the next watch that the balancer opens; returns its request line and the watch.
    pub fn watch(&self) -> (String, Watch) {
        let (line, chunk_sender) =
            self.watches.recv_timeout(HANG_TIMEOUT).expect("the balancer opens a watch");
        (line, Watch(chunk_sender))
    }
}

fn serve_watch(mut stream: TcpStream, chunks: &Receiver<Option<Vec<u8>>>, heartbeat: Duration) {
    loop {
        let bytes = match chunks.recv_timeout(heartbeat) {
            Ok(Some(bytes)) => bytes,
            Err(RecvTimeoutError::Timeout) => b"\n".to_vec(),
            // The stream ends without a last chunk, as when discovery goes down.
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return,
        };
        let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        if stream.write_all(&chunk).is_err() {
            return;
        }
    }
}

/// An open watch: an answer of discovery in chunks, which the test writes.
pub struct Watch(Sender<Option<Vec<u8>>>);

impl Watch {
    pub fn bytes(&self, bytes: &[u8]) {
        self.0.send(Some(bytes.to_vec())).expect("the watch is open");
    }

    /// Sends these bytes; does nothing if the balancer has closed the watch.
    pub fn send_if_open(&self, bytes: &[u8]) {
        let _ = self.0.send(Some(bytes.to_vec()));
    }

    /// Sends the endpoints as a line of the watch: the whole list, or the changed entries only.
    pub fn send_update(&self, index: u64, whole: bool, endpoints: &[Value]) {
        let line = json!({"index": index, "snapshot": whole, "endpoints": endpoints});
        self.bytes(format!("{line}\n").as_bytes());
    }

    /// Ends the watch without a last chunk.
    pub fn end(&self) {
        self.0.send(None).expect("the watch is open");
    }
}

// --- The balancer ---

/// The settings of the tests: three classes, whose answers are on time within `on_time_s` seconds.
pub fn settings(on_time_s: f64) -> Value {
    json!({
        "balancers": 1, "me": 0, "tier": 0, "zone": "north", "zones": ["north"], "kinds": ["std"],
        "lanes": [
            {"name": "read", "onTimeS": on_time_s, "hardLimitS": 60.0, "effect": "idempotent"},
            {"name": "pay", "onTimeS": on_time_s, "hardLimitS": 60.0, "effect": "deduplicated",
             "dedupScope": "cell", "windowS": 10.0},
            {"name": "order", "onTimeS": on_time_s, "hardLimitS": 60.0, "effect": "at_most_once"}],
        "projects": [{"name": "acme"}], "overShareWorth": 0.1, "discovery": "subscribe",
        "caps": {"tryLimit": 3, "secondCopies": false, "cancel": true, "retryAfter": true,
                 "maxRetryAfterS": 1.5, "keepaliveS": 15.0, "multiplex": 1, "dialTimeoutS": 5.0},
        "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "coldS": 10.0,
                  "drainGraceS": 1.0, "fallMultiple": 3.0, "overloadForS": 2.0}})
}

/// The text of a configuration whose initial list of upstreams is `known`.
pub fn configuration(discovery: SocketAddr, known: &[Value], on_time_s: f64, sockets: usize) -> String {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f",
           "limits": {"sockets": sockets},
           "known": {"index": 7, "snapshot": true, "endpoints": known}, "settings": settings(on_time_s)})
    .to_string()
}

/// A balancer on its own thread; it drains when dropped.
pub struct Balancer {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    configuration: String,
    reload_sender: UnboundedSender<Result<Config, ConfigError>>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    pub fn start(configuration: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        listener.set_nonblocking(true).expect("set the socket option");
        let address = listener.local_addr().expect("a bound socket");
        let config = Config::parse(configuration, |_| None).expect("a valid configuration");
        let (stop, stop_requested) = oneshot::channel();
        let (reload_sender, reloads) = unbounded_channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("start the runtime");
            let result = tokio::task::LocalSet::new().block_on(&runtime, async {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let stop = async {
                    let _ = stop_requested.await;
                };
                server::serve_on(listener, config, reloads, stop).await
            });
            result.expect("the balancer serves without an error");
        });
        let configuration = configuration.to_owned();
        Self { address, stop: Some(stop), configuration, reload_sender, thread: Some(thread) }
    }

    /// Starts a balancer with these upstreams, answers on time within `on_time_s` seconds, and a discovery that sends
    /// no updates.
    pub fn with(known: &[Value], on_time_s: f64) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (Self::start(&configuration(discovery.address, known, on_time_s, 1024)), discovery)
    }

    /// Returns once the balancer has read everything that was sent to it before: by then it has answered
    /// three health checks, one after the other.
    pub fn wait_until_caught_up(&self) {
        for _ in 0..3 {
            let mut client = self.client();
            client.raw(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
            client.answer().expect("an answer");
        }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Reloads the configuration with the address of this discovery.
    pub fn move_discovery(&self, discovery: &Discovery) {
        let mut configuration: Value = serde_json::from_str(&self.configuration).expect("JSON");
        configuration["discovery"] = discovery.address.to_string().into();
        self.reload(&configuration.to_string());
    }

    /// Reloads the configuration from this text.
    pub fn reload(&self, text: &str) {
        self.reload_sender.send(Config::parse(text, |_| None)).expect("the balancer runs");
    }

    /// Begins the drain, as on SIGTERM.
    pub fn stop(&mut self) {
        self.stop.take();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let result = thread.join();
            assert!(result.is_ok() || thread::panicking(), "the balancer panicked");
        }
    }
}

// --- The program ---

/// Starts the program with a configuration of this text.
pub fn program(configuration: &str) -> Child {
    program_with_descriptor_limit(1024, configuration)
}

/// Starts the program with a limit on its descriptors, so that it really runs out of them.
pub fn program_with_descriptor_limit(descriptors: usize, configuration: &str) -> Child {
    command_with_descriptor_limit(descriptors, &configuration_file(configuration))
        .spawn()
        .expect("start the program")
}

/// Writes the configuration to a temporary file.
pub fn configuration_file(configuration: &str) -> PathBuf {
    let mut file = std::env::temp_dir();
    file.push(format!("stilelead-{}-{:?}.json", std::process::id(), std::thread::current().id()));
    std::fs::write(&file, configuration).expect("write the configuration file");
    file
}

/// The command that runs the program with a limit on its descriptors and this configuration file.
pub fn command_with_descriptor_limit(descriptors: usize, file: &Path) -> Command {
    let mut command = Command::new("/bin/sh");
    command
        .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), env!("CARGO_BIN_EXE_stilelead")])
        .env_clear()
        .env("PROXY_CONFIG", file)
        .stderr(Stdio::piped());
    command
}

/// The address that the program logs as its listening address, and the reader of its log. Dropping
/// the reader closes the log.
pub fn address(child: &mut Child) -> (SocketAddr, BufReader<ChildStderr>) {
    let mut log = BufReader::new(child.stderr.take().expect("a piped stderr"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a log line");
    let address = line.trim().rsplit(' ').next().and_then(|text| text.parse().ok()).expect("an address");
    (address, log)
}

/// The peak memory use of a program so far, in KiB.
pub fn peak_kib(program: &Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("the program runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak memory line");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

// --- Clients ---

/// A client connection to the balancer.
pub struct Client(pub TcpStream);

/// The number in the id of the next request, so that ids are unique.
static NEXT_REQUEST_NUMBER: AtomicUsize = AtomicUsize::new(1);

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("connect to the balancer");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("set the socket option");
        Self(stream)
    }

    pub fn send(&mut self, class: &str, body: &str) {
        self.send_for_tenant("acme", class, body);
    }

    /// Sends a request with this request id.
    pub fn send_with_id(&mut self, id: &str, class: &str, body: &str) {
        self.send_request(id, "acme", class, body);
    }

    /// Sends a request for this tenant.
    pub fn send_for_tenant(&mut self, tenant: &str, class: &str, body: &str) {
        self.send_request(
            &format!("r-{}", NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed)),
            tenant,
            class,
            body,
        );
    }

    /// Sends an idempotent request whose client waits for this many seconds.
    pub fn send_with_deadline(&mut self, seconds: f64, class: &str) {
        let id = format!("r-{}", NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed));
        self.raw(
            format!(
                "GET /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: acme\r\n\
                 X-Deadline: {seconds}\r\n\r\n"
            )
            .as_bytes(),
        );
    }

    fn send_request(&mut self, id: &str, tenant: &str, class: &str, body: &str) {
        let (method, key) = if class == "read" { ("GET", "") } else { ("POST", "Idempotency-Key: k-1\r\n") };
        let text = format!(
            "{method} /{class}?k=7f HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: {tenant}\r\n\
             X-Deadline: 50\r\n{key}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.raw(text.as_bytes());
    }

    /// Writes these bytes as they are.
    pub fn raw(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("write to the connection");
    }

    /// The answer, or `None` if the connection ends before it is complete.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, class: &str, body: &str) -> Message {
        self.send(class, body);
        self.answer().expect("an answer")
    }
}
