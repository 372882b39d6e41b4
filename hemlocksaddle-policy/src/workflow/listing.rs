//! Listings of workers.
//!
//! Another writer may leave a record among the workers that can be decoded but names no
//! worker. The limits here are far above those of any worker. They keep a listing small
//! enough for the roster, which is stored record by record, and its numbers small enough
//! for sums over all workers.

use std::{net::SocketAddr, sync::Arc};

use hemlocksaddle_types::{
    clock::{Millis, WallMs},
    delegation::Endpoint,
    error::{Error, ErrorKind, Result},
    name::DataCentre,
    resources::Resources,
};
use serde::{Deserialize, Serialize};

/// Maximum length of a worker's name, of its pool and of each label, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Maximum number of labels.
const MAX_LABELS: usize = 64;

/// Maximum capacity in each dimension; the sum over a million workers fits 64 bits.
const MAX_CAPACITY: u64 = 1 << 40;

/// Maximum time by which the start of a process may be ahead of this node's clock.
const MAX_AHEAD_MS: Millis = Millis(24 * 3_600_000);

/// Worker as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name of the worker.
    pub name: Arc<str>,
    /// Start time of the worker's process, which identifies its incarnation.
    pub born_ms: u64,
    /// Address for orders and report requests.
    pub address: SocketAddr,
    /// Pool that the worker belongs to.
    pub pool: Arc<str>,
    /// Data centre that the worker is in.
    pub data_centre: DataCentre,
    /// Labels: the kind, then the rack.
    pub labels: Vec<Arc<str>>,
    /// Total capacity.
    pub capacity: Resources,
    /// Whether the worker takes no more tasks.
    pub draining: bool,
    /// Minimum time until a draining worker leaves.
    pub remaining_ms: Option<Millis>,
}

impl Listing {
    /// What is needed to call the worker.
    #[must_use]
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            name: self.name.clone(),
            address: self.address,
        }
    }

    /// Rack, which is the last label.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }

    /// Checks that the listing may describe a worker at the time `wall`.
    ///
    /// # Errors
    ///
    /// Fails with the first text or number that is outside its limits.
    pub fn check(&self, wall: WallMs) -> Result<()> {
        let texts = [&self.name, &self.pool].into_iter().chain(&self.labels);
        if let Some(text) = texts.into_iter().find(|text| text.len() > MAX_TEXT_BYTES) {
            let message = format!("text of {} bytes, at most {MAX_TEXT_BYTES}", text.len());
            return Err(Error::new(ErrorKind::Range, message));
        }
        let printable = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
        if self.name.is_empty() || !printable(&self.name) {
            let message = format!("name {:?}, not printable ASCII without spaces", self.name);
            return Err(Error::new(ErrorKind::Name, message));
        }
        let Resources {
            cpu_milli,
            memory_mb,
            accelerators,
        } = self.capacity;
        let numbers = [
            ("labels", self.labels.len() as u64, MAX_LABELS as u64),
            ("cpu_milli", cpu_milli, MAX_CAPACITY),
            ("memory_mb", memory_mb, MAX_CAPACITY),
            ("accelerators", accelerators, MAX_CAPACITY),
            ("born_ms", self.born_ms, (wall + MAX_AHEAD_MS).0),
        ];
        match numbers.into_iter().find(|(_, number, max)| number > max) {
            Some((field, number, max)) => Err(Error::new(
                ErrorKind::Range,
                format!("{field} is {number}, at most {max}"),
            )),
            None if self.address.port() == 0 => {
                Err(Error::new(ErrorKind::Range, "port is 0, at least 1"))
            }
            None => Ok(()),
        }
    }
}
