//! HTTP/1.1 server and client on blocking sockets, one thread a connection.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Request to a stand-in.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Call {
    /// Query parameter as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// Status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, Vec<u8>)>;

/// Starts a server on a free loopback port.
pub fn serve(handle: impl Fn(Call) -> Reply + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                // The peer may close the connection at any time.
                let _ = connection(stream, &*handle);
            });
        }
    });
    Ok(address)
}

fn connection(stream: TcpStream, handle: &dyn Fn(Call) -> Reply) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(64 << 10, stream.try_clone()?);
    let mut stream = stream;
    while let Some(call) = read_call(&mut reader)? {
        let Some((status, body)) = handle(call) else {
            return Ok(());
        };
        let mut answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        answer.extend(body);
        stream.write_all(&answer)?;
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some((first, headers)));
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = (byte == b'%').then(|| after.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(code) => {
                bytes.push(code);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Call>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Call {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), decode_percent(value)))
            .collect(),
        headers,
        body,
    }))
}

/// Sends a request on a connection of its own and waits for the answer until a time limit.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let deadline = Instant::now() + limit;
    let left = || {
        let left = deadline.saturating_duration_since(Instant::now());
        left.max(Duration::from_millis(1))
    };
    let mut stream = TcpStream::connect_timeout(&address, left())?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(left()))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Timeout-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    stream.set_read_timeout(Some(left()))?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = read_body(&mut reader, &headers)?;
    let status = first
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, body))
}
