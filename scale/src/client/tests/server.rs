//! A scripted HTTP server on loopback, for tests of the clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that the server has received.
#[derive(Debug, Clone)]
pub(super) struct ReceivedRequest {
    /// Number of the connection that carried the request, from 0.
    pub(super) connection: usize,
    /// Number of the request on its connection, from 0.
    pub(super) number: usize,
    /// Method and path, from the request line.
    pub(super) line: String,
    pub(super) headers: Vec<(String, String)>,
    pub(super) received_at: Instant,
}

impl ReceivedRequest {
    pub(super) fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(header, _)| header == name);
        header.map_or("", |(_, value)| value)
    }
}

/// What the server does with a request.
pub(super) enum Reply {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these bytes after this delay and keeps the connection open.
    WriteAfter(Duration, String),
    /// Waits for this delay, writes these bytes and closes the connection.
    Close(Duration, String),
    /// Does not answer, and waits for the client to close.
    Silence,
}

pub(super) fn answer(status: &str) -> Reply {
    Reply::Write(answer_with(status, ""))
}

pub(super) fn answer_with(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\n\r\nok")
}

pub(super) struct Server {
    pub(super) address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Numbers of the connections that a client has closed.
    closed_connections: Receiver<usize>,
}

impl Server {
    pub(super) fn start(script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (shared, script) = (Arc::clone(&requests), Arc::new(script));
        let (close_sender, closed_connections) = mpsc::channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (requests, script, close_sender) =
                    (Arc::clone(&shared), Arc::clone(&script), close_sender.clone());
                thread::spawn(move || {
                    if serve(stream, number, &requests, &*script) {
                        let _ = close_sender.send(number);
                    }
                });
            }
        });
        Self { address, requests, closed_connections }
    }

    pub(super) fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().expect("no panic").clone()
    }

    /// Waits for the next connection that a client closes and returns its number.
    pub(super) fn next_closed_connection(&self) -> usize {
        self.closed_connections.recv_timeout(super::TEST_TIMEOUT).expect("the client closes")
    }
}

/// Serves a connection; returns whether the client closed it.
fn serve(
    stream: TcpStream,
    connection: usize,
    requests: &Mutex<Vec<ReceivedRequest>>,
    script: &(dyn Fn(&ReceivedRequest) -> Reply + Send + Sync),
) -> bool {
    let mut reader = BufReader::new(stream.try_clone().expect("open"));
    let mut writer = stream;
    let mut number = 0;
    while let Some(request) = read_request(&mut reader, connection, number) {
        number += 1;
        requests.lock().expect("no panic").push(request.clone());
        match script(&request) {
            Reply::Write(bytes) => {
                let _ = writer.write_all(bytes.as_bytes());
            }
            Reply::WriteAfter(wait, bytes) => {
                thread::sleep(wait);
                let _ = writer.write_all(bytes.as_bytes());
            }
            Reply::Close(wait, bytes) => {
                thread::sleep(wait);
                let _ = writer.write_all(bytes.as_bytes());
                return false;
            }
            Reply::Silence => {}
        }
    }
    true
}

fn read_request(
    reader: &mut BufReader<TcpStream>,
    connection: usize,
    number: usize,
) -> Option<ReceivedRequest> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        lines.push(line.to_owned());
    }
    let headers: Vec<(String, String)> = lines[1..]
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let line = lines[0].trim_end_matches(" HTTP/1.1").to_owned();
    Some(ReceivedRequest { connection, number, line, headers, received_at: Instant::now() })
}
