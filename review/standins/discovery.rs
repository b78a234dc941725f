//! A discovery service whose list never changes: it answers calls at once, and a watch gets an empty line every 2 s.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{answer, Connection};
use crate::record::Record;

/// The version of the list.
const VERSION: u64 = 41;
/// The time between two empty lines of a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A running service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: String,
    record: Record,
}

impl Discovery {
    /// Starts the service with these entries.
    pub fn start(entries: Vec<String>, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let list = format!("{{\"index\":{VERSION},\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
        let discovery = Self { address, list, record: record.clone() };
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
        self.list.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(None) {
            self.record.line(&format!("discovery is asked for {}", request.path()));
            if request.path().contains("follow=1") {
                let knows_the_list = request.path().contains(&format!("since={VERSION}"));
                let _ = self.watch(&mut connection.stream, knows_the_list);
                return;
            }
            let _ = connection.stream.write_all(&answer("200 OK", "", self.list.as_bytes()));
        }
    }

    /// A watch, until its connection ends.
    fn watch(&self, stream: &mut TcpStream, knows_the_list: bool) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        if !knows_the_list {
            stream.write_all(format!("{:x}\r\n{}\n\r\n", self.list.len() + 1, self.list).as_bytes())?;
        }
        loop {
            stream.write_all(b"1\r\n\n\r\n")?;
            thread::sleep(HEARTBEAT);
        }
    }
}
