//! Clients, which submit and ask for states.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    executors::World,
    http,
    json::{Json, object},
};

pub const HOST: &str = "desk.example";

const TIMEOUT: Duration = Duration::from_millis(3_000);
const RETRIES: usize = 4;

/// Step of a submission, in the fields that the scripts use.
#[derive(Clone, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub after: Option<u64>,
    pub lasts: bool,
    pub estimate_ms: u64,
}

/// Clients of all nodes.
pub struct Clients {
    world: Arc<World>,
    nodes: Vec<SocketAddr>,
    next_id: AtomicU64,
    next_node: AtomicUsize,
}

impl Clients {
    pub fn new(world: &Arc<World>, nodes: Vec<SocketAddr>) -> Arc<Clients> {
        Arc::new(Clients {
            world: world.clone(),
            nodes,
            next_id: AtomicU64::new(1),
            next_node: AtomicUsize::new(0),
        })
    }

    fn node(&self) -> SocketAddr {
        self.nodes[self.next_node.fetch_add(1, Ordering::Relaxed) % self.nodes.len()]
    }

    /// Submits, with retries at other nodes; returns the id, and whether it was accepted.
    pub fn submit(&self, prefix: &str, spec: &str, steps: &[Step]) -> (String, bool) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        {
            let mut demands = self.world.demands.lock().expect("demands lock");
            for (index, step) in steps.iter().enumerate() {
                demands.insert(format!("{id}.{index}"), step.cpu);
            }
        }
        let body = object([
            ("spec", spec.into()),
            ("steps", Json::List(steps.iter().map(step_json).collect())),
        ])
        .to_string();
        let path = format!("{prefix}{id}");
        let mut accepted = false;
        for _ in 0..=RETRIES {
            let answer = http::call(self.node(), HOST, "POST", &path, &body, TIMEOUT);
            let status = answer.map_or(0, |(status, _)| status);
            self.world.record.line(&format!("POST {path}: {status}"));
            if (200..300).contains(&status) {
                accepted = true;
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        (id, accepted)
    }
}

fn step_json(step: &Step) -> Json {
    let mut fields = vec![
        ("count".to_owned(), step.count.into()),
        ("cpu".to_owned(), step.cpu.into()),
        ("memMb".to_owned(), 128.into()),
        ("estRuntimeMs".to_owned(), step.estimate_ms.into()),
    ];
    if let Some(after) = step.after {
        fields.push(("after".to_owned(), Json::List(vec![after.into()])));
    }
    if step.lasts {
        fields.push(("longRunning".to_owned(), Json::Bool(true)));
    }
    Json::Object(fields)
}
