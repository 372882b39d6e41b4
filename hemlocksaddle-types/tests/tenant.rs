//! Validation of tenants, and stored records of versions without tenants.

use std::sync::Arc;

use googletest::prelude::*;
use hemlocksaddle_types::{
    resources::Resources,
    tenant::{
        KeyText, MAX_CAP, MAX_KEY_BYTES, MAX_KEYS, MAX_NAME_BYTES, RawTenant, check_distinct,
    },
    workflow::{KeyDigest, Submission, Tenant, Workflow},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

fn raw(name: &str, keys: &[&str]) -> RawTenant {
    RawTenant {
        name: name.into(),
        keys: keys.iter().map(|&key| KeyText::from(key)).collect(),
        weight: 3,
        cap: Resources::default(),
    }
}

fn checked(name: &str, keys: &[&str]) -> Tenant {
    Tenant::try_from(raw(name, keys)).expect("valid")
}

/// Guards against a tenant whose key is kept as text, or that is refused although it is valid: one whose keys
/// are all revoked, and one with a share of 0, which would starve it.
#[gtest]
fn a_valid_tenant_keeps_digests_and_has_a_share() {
    let tenant = checked("a", &["key-1", "key-2"]);
    expect_that!(
        tenant.keys,
        elements_are![eq(&KeyDigest::of(b"key-1")), eq(&KeyDigest::of(b"key-2"))]
    );
    expect_that!(checked("a", &[]).keys, is_empty());
    let weightless = RawTenant {
        weight: 0,
        ..raw("a", &["k"])
    };
    expect_that!(
        Tenant::try_from(weightless).map(|tenant| tenant.weight),
        ok(eq(&1))
    );
}

/// Guards against a configuration with which a key names no tenant or two, and against an error that shows a
/// key or does not name the tenant.
#[gtest]
fn invalid_tenants_are_errors_that_name_the_tenant_and_no_key() {
    let long = "s3cret".repeat(MAX_KEY_BYTES);
    let many: Vec<String> = (0..=MAX_KEYS)
        .map(|number| format!("s3cret-{number}"))
        .collect();
    let many: Vec<&str> = many.iter().map(|key| &**key).collect();
    let with_cap = |cpu_milli| RawTenant {
        cap: Resources {
            cpu_milli,
            ..Resources::default()
        },
        ..raw("kaje80", &["s3cret"])
    };
    let cases = [
        (raw("kaje80", &["ok", ""]), "key 2 has 0 bytes"),
        (raw("kaje80", &[&long]), "key 1 has"),
        (raw("kaje80", &["s3cret key"]), "key 1 has a character"),
        (raw("kaje80", &["s3cret\u{e9}"]), "key 1 has a character"),
        (
            raw("kaje80", &["s3cret", "x", "s3cret"]),
            "keys 1 and 3 are equal",
        ),
        (raw("kaje80", &many), "keys; at most"),
        (with_cap(MAX_CAP + 1), "cap of processors"),
    ];
    for (tenant, cause) in cases {
        let shown = format!("{tenant:?}");
        let error = Tenant::try_from(tenant).expect_err(cause).to_string();
        expect_that!(
            error,
            all![contains_substring(cause), contains_substring("kaje80")]
        );
        expect_that!(error + &shown, not(contains_substring("s3cret")));
    }
    let long_name = "n".repeat(MAX_NAME_BYTES + 1);
    for name in ["", "a\nb", &*long_name] {
        expect_that!(
            Tenant::try_from(raw(name, &["k"])),
            err(anything()),
            "{name:?}"
        );
    }
    let equal_names = [checked("a", &["k1"]), checked("a", &["k2"])];
    let equal_keys = [
        checked("a", &["s3cret", "k1"]),
        checked("b", &["k2", "s3cret"]),
    ];
    let error = |tenants: &[Tenant]| check_distinct(tenants).expect_err("invalid").to_string();
    expect_that!(
        error(&equal_names),
        contains_substring("two tenants have the name \"a\"")
    );
    expect_that!(
        error(&equal_keys),
        eq("tenant \"b\": key 2 is also key 1 of tenant \"a\"")
    );
    let distinct = [checked("a", &["k1"]), checked("b", &["k2"])];
    expect_that!(check_distinct(&distinct), ok(anything()));
}

fn through_cbor<T: DeserializeOwned>(value: &impl Serialize) -> Option<T> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoded");
    ciborium::from_reader(&*bytes).ok()
}

/// Workflow and submission as a version without tenants has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct OldWorkflow {
    queue: Arc<str>,
    text: Arc<str>,
    steps: Vec<()>,
    schedule: Option<()>,
    received_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum OldSubmission {
    Accepted(Box<OldWorkflow>),
    Cancelled,
}

/// Guards against stored work of an earlier version that cannot be read, and records what such a version makes
/// of the new records: it drops the tenant of a workflow, and cannot read a tenant's cancellation.
#[gtest]
fn records_of_versions_without_tenants_are_readable() {
    let old = OldWorkflow {
        queue: "q".into(),
        text: "t".into(),
        steps: Vec::new(),
        schedule: None,
        received_ms: 7,
    };
    let accepted = OldSubmission::Accepted(Box::new(old.clone()));
    let read: Option<Submission> = through_cbor(&accepted);
    let Some(Submission::Accepted(workflow)) = read else {
        panic!("not read: {read:?}");
    };
    expect_that!(workflow.tenant, none());
    // Without a tenant, the record is the same as before.
    let again: Option<OldSubmission> = through_cbor(&Submission::Accepted(workflow.clone()));
    expect_that!(again, some(eq(&accepted)));
    let of_tenant = Workflow {
        tenant: Some("a".into()),
        ..*workflow
    };
    let read: Option<OldSubmission> = through_cbor(&Submission::Accepted(Box::new(of_tenant)));
    expect_that!(read, some(eq(&accepted)));
    let cancelled: Option<OldSubmission> = through_cbor(&Submission::CancelledBy("a".into()));
    expect_that!(cancelled, none());
}
