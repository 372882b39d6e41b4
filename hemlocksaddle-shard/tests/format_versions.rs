//! Nodes of different versions that share the streams.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use ciborium::Value;
use googletest::prelude::*;
use hemlocksaddle_shard::ports::Stream;
use hemlocksaddle_types::clock::Millis;
use support::Deployment;

const SHARD_KEY: &str = "shard/0";

/// Writes a claim of the next term with the fields of the latest one, changed, by a node that does not exist.
fn claim_as_other(deployment: &Deployment, change: impl Fn(&str, Value) -> Option<Value>) {
    let latest = deployment.store.newest_value(Stream::Claims, SHARD_KEY);
    let latest: Value = ciborium::from_reader(&*latest.expect("claim")).expect("claim");
    let mut fields = Vec::new();
    for (name, value) in latest.into_map().expect("fields") {
        let text = name.as_text().expect("name").to_owned();
        let changed = match &*text {
            "term" => {
                let term = value.as_integer().expect("term");
                Some(Value::from(i128::from(term) as u64 + 1))
            }
            "node" => Some(Value::Text("other".into())),
            _ => change(&text, value),
        };
        fields.extend(changed.map(|value| (name, value)));
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Map(fields), &mut bytes).expect("claim");
    let store = &deployment.store;
    store.put_value(Stream::Claims, SHARD_KEY, Some(bytes.into()));
}

/// Failure: an upgrade changes the records, and a node of this version is left. Guards against an owner that
/// does not understand the state which it would have to recover.
#[gtest]
fn a_shard_with_records_of_a_later_version_is_not_claimed() {
    let deployment = Deployment::new(1, 3, 1);
    deployment.wait_for_owner();
    claim_as_other(&deployment, |name, value| {
        Some(if name == "format" {
            Value::from(2)
        } else {
            value
        })
    });
    deployment.sim.run_for(Millis(10_000));
    expect_that!(deployment.owner(), none());
    claim_as_other(&deployment, |name, value| {
        Some(if name == "format" {
            Value::from(1)
        } else {
            value
        })
    });
    deployment.sim.run_for(Millis(4_000));
    expect_that!(deployment.owner(), some(anything()));
}

/// Failure: the program is set back to an earlier version, whose claims have neither a version nor names, and
/// upgraded again. Guards against a shard that nobody claims.
#[gtest]
fn a_shard_with_records_of_an_earlier_version_is_claimed() {
    let deployment = Deployment::new(1, 3, 1);
    deployment.wait_for_owner();
    claim_as_other(&deployment, |name, value| {
        (!matches!(name, "format" | "unreached")).then_some(value)
    });
    deployment.sim.run_for(Millis(4_000));
    expect_that!(deployment.owner(), some(anything()));
}
