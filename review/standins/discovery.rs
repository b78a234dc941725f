//! A discovery service whose list never changes: it answers calls at once, and a watch gets an empty line every 2 s.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{answer, Connection};

/// Starts the service with these entries; returns its address and the whole list in its form.
pub fn start(entries: &[String]) -> Result<(SocketAddr, String), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let list = format!("{{\"index\":41,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","));
    let served = list.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = served.clone();
            thread::spawn(move || serve(Connection::new(stream), &list));
        }
    });
    Ok((address, list))
}

fn serve(mut connection: Connection, list: &str) {
    while let Ok(request) = connection.read(None) {
        if !request.path().starts_with("/catalog/members") {
            let _ = connection.stream.write_all(&answer("404 Not Found", "", b""));
        } else if request.path().contains("follow=1") {
            let _ = watch(&mut connection.stream, list, request.path().contains("since=41"));
            return;
        } else {
            let _ = connection.stream.write_all(&answer("200 OK", "", list.as_bytes()));
        }
    }
}

/// A watch, until its connection ends.
fn watch(stream: &mut TcpStream, list: &str, knows_the_list: bool) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    if !knows_the_list {
        stream.write_all(format!("{:x}\r\n{list}\n\r\n", list.len() + 1).as_bytes())?;
    }
    loop {
        stream.write_all(b"1\r\n\n\r\n")?;
        thread::sleep(Duration::from_secs(2));
    }
}
