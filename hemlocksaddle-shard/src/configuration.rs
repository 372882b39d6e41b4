//! Configuration and closed data centres, read from the operators' records.
//!
//! While a process runs, a configuration is never replaced by an older version.

use std::{
    cell::{Cell, OnceCell, RefCell},
    pin::pin,
    rc::Rc,
};

use foldhash::HashSet;
use futures_util::future::select;
use hemlocksaddle_node::wait::Signal;
use hemlocksaddle_policy::keys::{KeyTable, SECRET_BYTES};
use hemlocksaddle_types::{clock::Millis, name::DataCentre, workflow::Catalogue};
use serde_json::json;

use crate::{
    caller::Caller,
    cap_shares::Tenants,
    event::Event,
    node::Env,
    owner::Owner,
    ports::{OperatorRecord, Record, StoreError, Stream},
};

/// Longest wait of one read; together with the store's timeout, it stays below the time limit for
/// applying a change.
const READ_WAIT_MS: Millis = Millis(700);

/// Pause after a read failed.
const RETRY_MS: Millis = Millis(200);

/// Configuration that is active on this node.
pub(crate) struct Configuration {
    env: Rc<Env>,
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// Keys of the tenants in the catalogue; `None` without tenants.
    keys: RefCell<Option<KeyTable>>,
    /// Random secret of this process, which the keys are indexed under; drawn for the first ones.
    secret: OnceCell<[u8; SECRET_BYTES]>,
    closed: RefCell<HashSet<DataCentre>>,
    next: Cell<u64>,
    pub(crate) changed: Signal,
}

impl Configuration {
    pub(crate) fn new(env: Rc<Env>) -> Rc<Configuration> {
        Rc::new(Configuration {
            env,
            catalogue: RefCell::default(),
            keys: RefCell::default(),
            secret: OnceCell::new(),
            closed: RefCell::default(),
            next: Cell::new(0),
            changed: Signal::default(),
        })
    }

    pub(crate) fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.catalogue.borrow().clone()
    }

    /// Identifies a caller by its key; `None` if the key is not known.
    pub(crate) fn caller(&self, key: &[u8]) -> Option<Caller> {
        let keys = self.keys.borrow();
        let (digest, tenant) = keys.as_ref()?.find(key)?;
        Some(Caller::new(tenant.clone(), digest))
    }

    /// Whether the key of a caller, if it has one, still belongs to its tenant.
    pub(crate) fn is_known(&self, caller: &Caller) -> bool {
        let keys = self.keys.borrow();
        match (caller.key(), keys.as_ref()) {
            (Some(key), Some(keys)) => keys.tenant(key) == caller.tenant(),
            // Without tenants, no key is needed.
            (Some(_), None) | (None, _) => true,
        }
    }

    fn secret(&self) -> &[u8; SECRET_BYTES] {
        self.secret.get_or_init(|| {
            let mut secret = [0; SECRET_BYTES];
            for bytes in secret.chunks_mut(size_of::<u64>()) {
                bytes.copy_from_slice(&self.env.ports.runtime.random().to_ne_bytes());
            }
            secret
        })
    }

    pub(crate) fn closed(&self) -> HashSet<DataCentre> {
        self.closed.borrow().clone()
    }

    /// Follows the operators' records until the process ends.
    pub(crate) async fn follow(self: Rc<Self>) {
        loop {
            let Ok((records, end)) = self.env.read_all(Stream::Operator, 0).await else {
                self.env.sleep(RETRY_MS).await;
                continue;
            };
            self.next.set(end);
            self.replace_closed(&records);
            records.iter().for_each(|record| self.apply(record));
            while self.read_tail().await {}
            // A store that deletes records sooner than they are read would be read without a pause.
            self.env.sleep(RETRY_MS).await;
        }
    }

    async fn read_tail(&self) -> bool {
        let read = self
            .env
            .read(Stream::Operator, 0, self.next.get(), READ_WAIT_MS);
        match read.await {
            Ok(tail) => {
                self.next.set(tail.next);
                tail.records
                    .iter()
                    .flatten()
                    .for_each(|record| self.apply(record));
                true
            }
            Err(StoreError::Truncated(first)) => {
                self.env
                    .log_position_lost(Stream::Operator, 0, self.next.get(), first);
                false
            }
            Err(_) => {
                self.env.sleep(RETRY_MS).await;
                true
            }
        }
    }

    /// Replaces the set of closed data centres, to drop those reopened while no records were read.
    fn replace_closed(&self, records: &[Record]) {
        let operator_records = records
            .iter()
            .filter_map(|record| self.env.ports.formats.operator_record(record).ok());
        let closed = operator_records.filter_map(|record| match record {
            OperatorRecord::Closed(data_centre) => Some(data_centre),
            _ => None,
        });
        let closed: HashSet<_> = closed.collect();
        if *self.closed.borrow() != closed {
            self.closed.replace(closed);
            self.changed.notify();
        }
    }

    fn apply(&self, record: &Record) {
        match self.env.ports.formats.operator_record(record) {
            Ok(OperatorRecord::Catalogue(catalogue)) => self.configure(catalogue),
            Ok(OperatorRecord::Closed(data_centre)) => self.set_closed(data_centre, true),
            Ok(OperatorRecord::Opened(data_centre)) => self.set_closed(data_centre, false),
            Ok(OperatorRecord::Other) => {}
            Err(cause) => {
                let inputs = json!({ "key": &*record.key, "cause": cause });
                self.env.event(Event::RecordUnreadable, &inputs);
            }
        }
    }

    fn configure(&self, catalogue: Catalogue) {
        let known = self
            .catalogue
            .borrow()
            .as_ref()
            .map_or(0, |known| known.version);
        if catalogue.version <= known {
            return;
        }
        let tenants = &catalogue.tenants;
        let keys = (!tenants.is_empty()).then(|| KeyTable::new(self.secret(), tenants));
        let mut inputs = json!({
            "version": catalogue.version, "before": known, "queues": catalogue.queues.len(),
        });
        if let Some(keys) = &keys {
            inputs["tenants"] = json!(tenants.len());
            inputs["keys"] = json!(keys.len());
        }
        self.env.event(Event::Configured, &inputs);
        self.keys.replace(keys);
        self.catalogue.replace(Some(Rc::new(catalogue)));
        self.changed.notify();
    }

    fn set_closed(&self, data_centre: DataCentre, closed: bool) {
        let inputs = json!({ "data_centre": data_centre.as_str(), "closed": closed });
        let mut set = self.closed.borrow_mut();
        let changed = if closed {
            set.insert(data_centre)
        } else {
            set.remove(&data_centre)
        };
        drop(set);
        if changed {
            self.env.event(Event::DataCentreChanged, &inputs);
            self.changed.notify();
        }
    }
}

impl Owner {
    pub(crate) async fn follow_configuration(self: Rc<Self>) {
        while !self.ended.get() {
            let seen = self.configuration.changed.count();
            self.apply_configuration();
            self.changed.notify();
            // The configuration may not change for hours, and the task keeps the owner's state in memory.
            let changed = pin!(self.configuration.changed.wait_past(seen));
            let deposed = pin!(self.deposed.wait_past(0));
            let _ = select(changed, deposed).await;
        }
    }

    /// Applies the configuration in force, together with the shares of its caps.
    pub(crate) fn apply_configuration(&self) {
        if let Some(catalogue) = self.configuration.catalogue() {
            self.scheduler.borrow_mut().configure(&catalogue);
        }
        let closed = self.configuration.closed();
        self.scheduler.borrow_mut().close_data_centres(closed);
        self.update_shares(Tenants::All);
    }
}
