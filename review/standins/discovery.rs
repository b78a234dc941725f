//! A discovery service: it answers calls with the list, and a watch gets an empty line every 2 s. Nodos may begin to
//! drain. It may become crowded, with its open watches fallen silent: each call then waits in turn and gets 503.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{answer, Connection};
use crate::record::Record;

/// How long a call waits in a crowd before it fails.
const CROWDED_CALL: Duration = Duration::from_secs(2);
/// How often a watch looks for what it has to tell.
const WATCH_STEP: Duration = Duration::from_millis(10);
/// The time between two empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// What the service has to tell.
struct State {
    /// The version of the list.
    version: u64,
    /// The entries of all nodos, in JSON.
    entries: Vec<String>,
    /// The entries that have changed since the first version.
    changed: Vec<String>,
    /// Whether open watches are silent and calls fail.
    crowded: bool,
}

impl State {
    /// A message of the list's form.
    fn message(&self, snapshot: bool, entries: &[String]) -> String {
        let version = self.version;
        format!("{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
    }

    fn whole_list(&self) -> String {
        self.message(true, &self.entries)
    }
}

/// A running service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Discovery {
    /// Starts the service with these entries.
    pub fn start(entries: Vec<String>, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State { version: 41, entries, changed: Vec::new(), crowded: false };
        let discovery = Self { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(Connection::new(stream)));
            }
        });
        Ok(discovery)
    }

    /// The whole list in the service's form.
    pub fn whole_list(&self) -> String {
        self.state.lock().unwrap().whole_list()
    }

    /// Lets open watches fall silent and calls fail from now on.
    pub fn crowd(&self) {
        self.state.lock().unwrap().crowded = true;
        self.record.line("discovery: open watches fall silent, calls wait 2 s and get 503");
    }

    /// Lists these nodos, by their place in the list, as draining.
    pub fn drain(&self, places: &[usize]) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        for &place in places {
            let entry = state.entries[place].replace("\"ready\"", "\"draining\"");
            state.entries[place] = entry.clone();
            state.changed.push(entry);
        }
        self.record.line(&format!("discovery: version {}, nodos {places:?} drain", state.version));
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(None) {
            self.record.line(&format!("discovery is asked for {}", request.path()));
            if self.state.lock().unwrap().crowded {
                thread::sleep(CROWDED_CALL);
                if connection.stream.write_all(&answer("503 Service Unavailable", "", b"")).is_err() {
                    return;
                }
            } else if request.path().contains("follow=1") {
                let _ = self.watch(&mut connection.stream, request.path().contains("since=41"));
                // A silent connection stays open.
                let _ = connection.read(None);
                return;
            } else {
                let list = self.whole_list();
                let _ = connection.stream.write_all(&answer("200 OK", "", list.as_bytes()));
            }
        }
    }

    /// A watch, until its connection ends or it falls silent.
    fn watch(&self, stream: &mut TcpStream, knows_the_list: bool) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = 41;
        let mut quiet = HEARTBEAT;
        let mut whole = !knows_the_list;
        loop {
            let line = {
                let state = self.state.lock().unwrap();
                if state.crowded {
                    return Ok(());
                }
                let line = if whole {
                    Some(state.whole_list())
                } else if state.version > told {
                    Some(state.message(false, &state.changed))
                } else {
                    (quiet >= HEARTBEAT).then(String::new)
                };
                (whole, told) = (false, state.version);
                line
            };
            if let Some(line) = line {
                stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
                if !line.is_empty() {
                    self.record.line(&format!("discovery: a watch is told version {told}"));
                }
                quiet = Duration::ZERO;
            }
            thread::sleep(WATCH_STEP);
            quiet += WATCH_STEP;
        }
    }
}
