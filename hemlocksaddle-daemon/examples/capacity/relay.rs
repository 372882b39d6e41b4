//! TCP relay on loopback that counts the relayed bytes.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// Size of the copy buffer in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Counter of payload bytes in both directions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Bytes relayed so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Starts a relay to an upstream address, which runs until the process exits; returns its listen
/// address.
pub(crate) fn spawn_relay(upstream: SocketAddr, counter: &Counter) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let counter = counter.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A connection that cannot be relayed is closed, which its client notices.
            let _ = relay_connection(stream, upstream, &counter);
        }
    });
    Ok(address)
}

fn relay_connection(
    client: TcpStream,
    upstream: SocketAddr,
    counter: &Counter,
) -> eyre::Result<()> {
    let server = TcpStream::connect(upstream)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let directions = [(client.try_clone()?, server.try_clone()?), (server, client)];
    for (from, to) in directions {
        let counter = counter.clone();
        thread::spawn(move || copy(from, to, &counter));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, counter: &Counter) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
        counter.0.fetch_add(length as u64, Ordering::Relaxed);
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
