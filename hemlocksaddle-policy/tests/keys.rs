//! Lookup of tenants by key.

use googletest::prelude::*;
use hemlocksaddle_policy::keys::{KeyTable, SECRET_BYTES};
use hemlocksaddle_types::{
    resources::Resources,
    tenant::{MAX_KEY_BYTES, MAX_TENANTS},
    workflow::{KeyDigest, Tenant},
};

const KEYS_PER_TENANT: usize = 3;

fn key(tenant: usize, number: usize) -> String {
    format!("s3cret-{tenant}-{number}")
}

fn tenants(count: usize) -> Vec<Tenant> {
    let tenant = |number: usize| Tenant {
        name: format!("t{number}").into(),
        keys: (0..KEYS_PER_TENANT)
            .map(|index| KeyDigest::of(key(number, index).as_bytes()))
            .collect(),
        weight: 1,
        cap: Resources::default(),
    };
    (0..count).map(tenant).collect()
}

/// Load: 10,000 tenants with three keys each. Guards against a key that names another tenant or none, and a
/// table that shows a key.
#[gtest]
fn each_of_30_000_keys_names_its_tenant() {
    let table = KeyTable::new(&[7; SECRET_BYTES], &tenants(MAX_TENANTS));
    expect_that!(table.len(), eq(MAX_TENANTS * KEYS_PER_TENANT));
    for tenant in 0..MAX_TENANTS {
        for number in 0..KEYS_PER_TENANT {
            let key = key(tenant, number);
            let (digest, name) = table.find(key.as_bytes()).expect("known");
            assert_that!(**name, eq(&*format!("t{tenant}")));
            assert_that!(table.tenant(&digest), some(eq(name)));
        }
    }
    expect_that!(format!("{table:?}"), eq("KeyTable(30000 keys)"));
}

/// Guards against a call that passes with a key of no tenant: an empty or overlong one, a part of a key, a
/// digest, or a key that was removed.
#[gtest]
fn unknown_keys_name_no_tenant() {
    let mut all = tenants(20);
    let known = key(7, 1);
    let table = KeyTable::new(&[7; SECRET_BYTES], &all);
    let digest = KeyDigest::of(known.as_bytes()).0;
    let long = known.repeat(MAX_KEY_BYTES);
    let upper = known.to_uppercase();
    let unknown = [
        b"".as_slice(),
        &known.as_bytes()[1..],
        &digest,
        long.as_bytes(),
        upper.as_bytes(),
    ];
    for key in unknown {
        expect_that!(table.find(key), none());
    }
    expect_that!(table.find(known.as_bytes()), some(anything()));
    all[7].keys.remove(1);
    let without = KeyTable::new(&[7; SECRET_BYTES], &all);
    expect_that!(without.find(known.as_bytes()), none());
    expect_that!(without.find(key(7, 2).as_bytes()), some(anything()));
}
