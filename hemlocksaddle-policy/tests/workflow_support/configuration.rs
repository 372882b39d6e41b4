//! Configurations of the harness beside the usual one.

use hemlocksaddle_types::{
    resources::Resources,
    workflow::{Catalogue, Pool, Queue, Tenant},
};

use super::{Harness, queue};

impl Harness {
    /// Configures the workers' pool as one that does not check whether a task fits.
    pub(crate) fn unguard_pool(&mut self) {
        self.scheduler.configure(&Catalogue {
            version: 2,
            queues: vec![queue()],
            pools: vec![Pool {
                name: "pool".into(),
                admission_check: false,
                standby: false,
            }],
            ..Catalogue::default()
        });
    }

    /// Configures the limit of attempts of the usual queue.
    pub(crate) fn configure_attempts(&mut self, max_attempts: u32) {
        let queue = Queue {
            max_attempts,
            ..queue()
        };
        self.scheduler.configure(&Catalogue {
            version: 4,
            queues: vec![queue],
            ..Catalogue::default()
        });
    }

    /// Configures a further queue with a limit of attempts.
    pub(crate) fn configure_queue(&mut self, name: &str, max_attempts: u32) {
        let further = Queue {
            name: name.into(),
            max_attempts,
            ..queue()
        };
        self.scheduler.configure(&Catalogue {
            version: 3,
            queues: vec![queue(), further],
            ..Catalogue::default()
        });
    }

    /// Configures tenants by name, weight and cap in thousandths of a core.
    pub(crate) fn configure_tenants(&mut self, tenants: &[(&str, u32, u64)]) {
        let tenant = |&(name, weight, cpu_milli): &(&str, u32, u64)| Tenant {
            name: name.into(),
            keys: Vec::new(),
            weight,
            cap: Resources {
                cpu_milli,
                ..Resources::default()
            },
        };
        let later = Queue {
            name: "later".into(),
            priority: 1,
            ..queue()
        };
        self.scheduler.configure(&Catalogue {
            version: 9,
            queues: vec![queue(), later],
            tenants: tenants.iter().map(tenant).collect(),
            ..Catalogue::default()
        });
    }
}
