//! The platform adapter against the platform's stand-in, over loopback sockets.

use std::rc::Rc;

use bytes::Bytes;
use compio::runtime::JoinHandle;
use googletest::prelude::*;
use hemlocksaddle_adapters::platform::{Addresses, HttpPlatform};
use hemlocksaddle_fakes::http::{FakePlatform, Layout, control::PlatformReport};
use hemlocksaddle_node::ports::{Hosts, Log, PortError, Workers};
use hemlocksaddle_types::{
    clock::{Millis, MonoMs},
    host::{Host, HostRole, HostState},
    job::{Attempt, JobId, TaskId, Urgency},
    name::{DataCentre, RackName, ServiceName, WorkerName},
    record::{Offset, Stream},
    resources::Resources,
    unit::QueueIndex,
    worker::{Renew, StartReply, StartTask},
};

const CAPACITY: Resources = Resources {
    cpu_milli: 16_000,
    memory_mb: 60_000,
    accelerators: 0,
};

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is a name"))
}

/// Running stand-in with one worker, the adapter, and the task that moves its clock.
async fn start() -> (Rc<FakePlatform>, Rc<HttpPlatform>, JoinHandle<()>) {
    let worker = Host {
        role: HostRole::Worker {
            name: name::<WorkerName>("w1"),
            rack: name::<RackName>("r1"),
            capacity: CAPACITY,
        },
        data_centre: name::<DataCentre>("a"),
        address: "127.0.0.1:1".parse().expect("address"),
        state: HostState::Live,
    };
    let layout = Layout {
        hosts: vec![worker],
        service: name::<ServiceName>("orders"),
        slots: 8,
        connections: 60,
        seed: 1,
    };
    let stand_in = Rc::new(FakePlatform::start(layout).await.expect("binds"));
    let running = stand_in.clone();
    let running = compio::runtime::spawn(async move { running.run().await });
    let platform = HttpPlatform::new(Addresses {
        log: stand_in.addresses.log,
        hosts: stand_in.addresses.hosts,
        workers: Some(stand_in.addresses.workers),
        call_ms: Millis(5_000),
    });
    (stand_in, platform, running)
}

async fn control(stand_in: &FakePlatform, path: &str, body: &str) {
    let url = format!("http://{}{path}", stand_in.addresses.control);
    let request = cyper::Client::new()
        .expect("client")
        .post(url)
        .expect("URL");
    let answer = request.body(body.to_owned()).send().await.expect("answer");
    assert_that!(answer.status().as_u16(), eq(200));
}

/// Guards against two sides of the protocol that read the same call differently.
#[compio::test]
async fn log_and_hosts_are_served() {
    let (stand_in, platform, _running) = start().await;
    let record = Bytes::from_static(b"\x00record\xff");
    let appended = platform.append(Stream::Claims, record.clone()).await;
    assert_that!(appended, ok(eq(Offset(0))));
    let batch = platform
        .read(Stream::Claims, Offset(0), Millis(0))
        .await
        .expect("read");
    assert_that!(batch.records, eq(&vec![(Offset(0), record)]));
    assert_that!(batch.next, eq(Offset(1)));
    let list = platform.fetch().await.expect("list");
    assert_that!(list.hosts[0].address, eq(stand_in.addresses.workers));
    // Each list carries its time; the same time means that the list was not sent again.
    compio::time::sleep(std::time::Duration::from_millis(20)).await;
    let unchanged = platform.fetch().await.expect("list");
    assert_that!(unchanged, eq(&list));
    control(&stand_in, "/hosts", r#"{"state":"leaving","name":"w1"}"#).await;
    while platform.fetch().await.expect("list").hosts[0].state != HostState::Leaving {
        compio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against control calls that tests rely on but that change nothing.
#[compio::test]
async fn answers_are_lost_and_the_log_goes_down() {
    let (stand_in, platform, _running) = start().await;
    control(&stand_in, "/lose", r#"{"count":1}"#).await;
    let lost = platform
        .append(Stream::Claims, Bytes::from_static(b"1"))
        .await;
    assert_that!(lost, err(eq(PortError::Unknown)));
    let next = platform
        .append(Stream::Claims, Bytes::from_static(b"2"))
        .await;
    assert_that!(next, ok(eq(Offset(1))));
    control(&stand_in, "/log", r#"{"down":true}"#).await;
    let down = platform
        .append(Stream::Claims, Bytes::from_static(b"3"))
        .await;
    assert_that!(down, err(anything()));
    control(&stand_in, "/log", "{}").await;
    let up = platform
        .append(Stream::Claims, Bytes::from_static(b"4"))
        .await;
    assert_that!(up, ok(anything()));
}

/// Guards against a task that the adapter reports as started while no worker runs it.
#[compio::test]
async fn workers_run_tasks_until_they_are_killed() {
    let (stand_in, platform, _running) = start().await;
    let address = stand_in.addresses.workers;
    let worker = name::<WorkerName>("w1");
    let report = platform
        .renew(address, &worker, Renew::default())
        .await
        .expect("report");
    assert_that!(report.capacity, eq(CAPACITY));
    let job = JobId {
        queue: QueueIndex(0),
        number: 1,
    };
    let later = MonoMs(report.worker_ms.0 + 60_000);
    let order = StartTask {
        incarnation: report.incarnation,
        task: TaskId { job, index: 0 },
        attempt: Attempt(1),
        service: name::<ServiceName>("orders"),
        demand: Resources {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        expected_run_ms: 60_000,
        urgency: Urgency::Batch,
        resumable: true,
        checkpoint: None,
        start_by_worker_ms: later,
        lease_until_worker_ms: later,
    };
    let started = platform.start(address, &worker, order).await;
    assert_that!(started, ok(eq(&StartReply::Started)));
    let report = platform
        .renew(address, &worker, Renew::default())
        .await
        .expect("report");
    assert_that!(report.running.len(), eq(1));

    let url = format!("http://{}/judged", stand_in.addresses.control);
    let request = cyper::Client::new().expect("client").get(url).expect("URL");
    let judged: PlatformReport = request
        .send()
        .await
        .expect("answer")
        .json()
        .await
        .expect("JSON");
    assert_that!(
        (judged.starts, judged.running, judged.violations.len()),
        eq((1, 1, 0))
    );

    control(&stand_in, "/workers", r#"{"name":"w1","dead":true}"#).await;
    let dead = platform.renew(address, &worker, Renew::default()).await;
    assert_that!(dead, err(anything()));
}
