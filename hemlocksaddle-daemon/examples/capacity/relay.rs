//! Relay on loopback that counts what passes through it.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

/// Bytes copied at once.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes of payload in both directions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Bytes so far.
    pub(crate) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Relays connections to an address until the process ends; returns where it listens.
pub(crate) fn relay(to: SocketAddr, counter: &Counter) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let counter = counter.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A connection that cannot be relayed is closed, which its caller sees.
            let _ = join(stream, to, &counter);
        }
    });
    Ok(address)
}

fn join(near: TcpStream, to: SocketAddr, counter: &Counter) -> eyre::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let ways = [(near.try_clone()?, far.try_clone()?), (far, near)];
    for (from, into) in ways {
        let counter = counter.clone();
        thread::spawn(move || copy(from, into, &counter));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut into: TcpStream, counter: &Counter) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if into.write_all(&buffer[..length]).is_err() {
            break;
        }
        counter.0.fetch_add(length as u64, Ordering::Relaxed);
    }
    let _ = into.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
