//! Tests of the platform adapter against the fake platform over loopback sockets.

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

/// Starts a fake platform with one worker.
///
/// Returns it with the adapter and the task that advances its clock.
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
    let fake_platform = Rc::new(FakePlatform::start(layout).await.expect("binds"));
    let running = fake_platform.clone();
    let running = compio::runtime::spawn(async move { running.run().await });
    let platform = HttpPlatform::new(Addresses {
        log: fake_platform.addresses.log,
        hosts: fake_platform.addresses.hosts,
        workers: Some(fake_platform.addresses.workers),
        call_ms: Millis(5_000),
    });
    (fake_platform, platform, running)
}

async fn control(fake_platform: &FakePlatform, path: &str, body: &str) {
    let url = format!("http://{}{path}", fake_platform.addresses.control);
    let request = cyper::Client::new()
        .expect("client")
        .post(url)
        .expect("URL");
    let response = request
        .body(body.to_owned())
        .send()
        .await
        .expect("response");
    assert_that!(response.status().as_u16(), eq(200));
}

/// Guards against a client and a server that implement the protocol differently.
#[compio::test]
async fn log_and_hosts_are_served() {
    let (fake_platform, platform, _running) = start().await;
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
    assert_that!(list.hosts[0].address, eq(fake_platform.addresses.workers));
    // Each new list has its own timestamp; an equal timestamp means that it was not sent again.
    compio::time::sleep(std::time::Duration::from_millis(20)).await;
    let unchanged = platform.fetch().await.expect("list");
    assert_that!(unchanged, eq(&list));
    control(
        &fake_platform,
        "/hosts",
        r#"{"state":"leaving","name":"w1"}"#,
    )
    .await;
    while platform.fetch().await.expect("list").hosts[0].state != HostState::Leaving {
        compio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against control calls that tests rely on but that have no effect.
#[compio::test]
async fn lost_responses_and_log_outage_are_injected() {
    let (fake_platform, platform, _running) = start().await;
    control(&fake_platform, "/lose", r#"{"count":1}"#).await;
    let lost = platform
        .append(Stream::Claims, Bytes::from_static(b"1"))
        .await;
    assert_that!(lost, err(eq(PortError::Unknown)));
    let next = platform
        .append(Stream::Claims, Bytes::from_static(b"2"))
        .await;
    assert_that!(next, ok(eq(Offset(1))));
    control(&fake_platform, "/log", r#"{"down":true}"#).await;
    let down = platform
        .append(Stream::Claims, Bytes::from_static(b"3"))
        .await;
    assert_that!(down, err(anything()));
    control(&fake_platform, "/log", "{}").await;
    let up = platform
        .append(Stream::Claims, Bytes::from_static(b"4"))
        .await;
    assert_that!(up, ok(anything()));
}

/// Guards against reporting a task as started that no worker runs.
#[compio::test]
async fn workers_run_tasks_until_they_are_killed() {
    let (fake_platform, platform, _running) = start().await;
    let address = fake_platform.addresses.workers;
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

    let url = format!("http://{}/judged", fake_platform.addresses.control);
    let request = cyper::Client::new().expect("client").get(url).expect("URL");
    let platform_report: PlatformReport = request
        .send()
        .await
        .expect("response")
        .json()
        .await
        .expect("JSON");
    assert_that!(
        (
            platform_report.starts,
            platform_report.running,
            platform_report.violations.len()
        ),
        eq((1, 1, 0))
    );

    control(&fake_platform, "/workers", r#"{"name":"w1","dead":true}"#).await;
    let dead = platform.renew(address, &worker, Renew::default()).await;
    assert_that!(dead, err(anything()));
}
