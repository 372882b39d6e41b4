//! HTTP/1.1 over blocking sockets: a server with one thread a connection, and single calls.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time of a call to another zone and back, as the site files have it: 0.9 ms one way.
const ROUND_TRIP: Duration = Duration::from_micros(1_800);

/// Request as received.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, key: &str) -> Option<u64> {
        self.query.get(key)?.parse().ok()
    }
}

/// What to do with a request.
pub enum Answer {
    Send(u16, Vec<u8>),
    /// Close the connection without an answer.
    Close,
    /// Keep the connection open and never answer on it.
    Silence,
}

/// Connection that a request came on.
pub struct Connection {
    pub opened_at: Instant,
}

/// Handles requests of one server.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, connection: &Connection, request: Request) -> Answer;
}

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Handler) {
    let connection = Connection {
        opened_at: Instant::now(),
    };
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut writing = stream;
    let mut reader = BufReader::new(reading);
    let mut is_first = true;
    while let Some(request) = read_request(&mut reader) {
        // The first call on a connection also waits for the connection.
        thread::sleep(if is_first { ROUND_TRIP * 2 } else { ROUND_TRIP });
        is_first = false;
        match handler.handle(&connection, request) {
            Answer::Send(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut message = head.into_bytes();
                message.extend(body);
                if writing.write_all(&message).is_err() {
                    return;
                }
            }
            Answer::Close => return,
            Answer::Silence => loop {
                thread::park();
            },
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let target = parts.nth(1)?.to_owned();
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()));
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.map_or(Some(0), |length| length.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

/// Makes one call on a connection of its own; `None` if there was no complete answer in time.
pub fn call(
    address: SocketAddr,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writing = stream.try_clone().ok()?;
    let timeout_ms = timeout.as_millis();
    let message = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    writing.write_all(message.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader)?;
    Some((status, String::from_utf8(body).ok()?))
}
