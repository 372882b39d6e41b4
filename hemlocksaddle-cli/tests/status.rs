//! Status line of a node.

use googletest::prelude::*;
use serde_json::json;

use hemlocksaddle_cli::command::status_line;

/// Guards against a status line that hides that a node lacks leases, that its log
/// is down or that it does not answer.
#[gtest]
fn the_status_line_shows_readiness_leases_and_peers() {
    let status = json!({
        "node": "entry-1", "data_centre": "split-a", "ready": true, "stopping": false,
        "log": {"is_up": false},
        "units": [{"unit": "queue/0", "has_right": true}, {"unit": "rack/r1", "has_right": false}],
        "peers": [{"node": "entry-2", "ready": false}],
        "documents": [["collation", 4]],
    });
    expect_that!(
        status_line(&status),
        eq(
            "entry-1 in split-a is ready; log down; may act on 1 of its 2 units; \
             0 of 1 peers ready; documents collation@4"
        )
    );
    let no_answer = status_line(&json!({"error": "connection refused"}));
    expect_that!(no_answer, eq("no answer: connection refused"));
}
