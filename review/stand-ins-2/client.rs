//! A client's connection to a balancer.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Message, read_message};

pub struct Client {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let output = TcpStream::connect_timeout(&address, Duration::from_secs(5))?;
        output.set_nodelay(true)?;
        output.set_write_timeout(Some(Duration::from_secs(5)))?;
        let input = BufReader::new(output.try_clone()?);
        Ok(Self { output, input })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.output.write_all(bytes)
    }

    /// Reads an answer; the end of the connection before it is an error of the kind `UnexpectedEof`.
    pub fn read_answer(&mut self, within: Duration) -> io::Result<Message> {
        self.output.set_read_timeout(Some(within))?;
        read_message(&mut self.input)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer with this status.
    Answer(u16),
    /// The connection ended with no whole answer.
    Closed,
    /// There was no answer and no end of the connection for as long as the client looked.
    Nothing,
}

/// A client that keeps its connection, and opens another one when the balancer has ended it.
pub struct KeepingClient {
    address: SocketAddr,
    connection: Option<Client>,
}

impl KeepingClient {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Sends a request on the kept connection, or on a new one if there is none, and looks for an answer.
    pub fn ask(&mut self, request: &[u8], look_for: Duration) -> End {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match Client::connect(self.address) {
                Ok(connection) => connection,
                Err(_) => return End::Closed,
            },
        };
        if connection.send(request).is_err() {
            return End::Closed;
        }
        match connection.read_answer(look_for) {
            Ok(answer) => {
                if answer.header("connection") != Some("close") {
                    self.connection = Some(connection);
                }
                End::Answer(answer.status())
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => End::Nothing,
            Err(_) => End::Closed,
        }
    }

    /// Whether a connection is kept.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }
}

/// A fresh id for a request.
pub fn fresh_id(label: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{label}-{:06}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A `consulta` with this id; `query` follows its path.
pub fn consulta(id: &str, deadline_s: f64, query: &str) -> Vec<u8> {
    format!(
        "GET /consulta{query} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: playa\r\nX-Deadline: {deadline_s:.3}\r\n\r\n"
    )
    .into_bytes()
}

/// A `reserva` with this id and a body of this size.
pub fn reserva(id: &str, deadline_s: f64, body_bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "POST /reserva?k=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Tenant: playa\r\nX-Deadline: {deadline_s:.3}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'r');
    request
}
