//! Blocking HTTP/1.1 server and client for the stand-ins, on loopback addresses only.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Request as received by a server.
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self, key: &str) -> Option<&str> {
        let mut found = self.query.iter().filter(|(name, _)| name == key);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        self.text(key)?.parse().ok()
    }

    pub fn header(&self, key: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(name, _)| name == key);
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Status and body; `None` resets the connection without an answer.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Server that can be taken off the network, like a machine that loses power.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    /// Open connections by number.
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Server {
    pub fn start(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("address of a listener");
        let stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(HashMap::new()));
        let handler = Arc::new(handler);
        let (is_stopped, connections) = (stopped.clone(), open.clone());
        thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming()) {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().insert(number, copy);
                }
                let (handler, connections) = (handler.clone(), connections.clone());
                thread::spawn(move || {
                    serve(stream, &*handler);
                    connections.lock().unwrap().remove(&number);
                });
            }
        });
        Server {
            address,
            stopped,
            open,
        }
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(mut stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let answer = [head.as_bytes(), &body].concat();
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value)));
    let (path, query) = (path.to_owned(), query.collect());
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        path,
        query,
        headers,
        body,
    })
}

/// Decodes percent signs.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        let code = (byte == b'%').then(|| tail.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(value) => {
                bytes.push(value);
                rest = &tail[2..];
            }
            None => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a new connection; `None` if no complete answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Timeout-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
