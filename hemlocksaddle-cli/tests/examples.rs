//! Example documents of the reference documentation.
//!
//! Guards against a change of the document format after which the examples are no
//! longer valid.

use std::{fs, path::Path, sync::Arc};

use googletest::prelude::*;

use hemlocksaddle_types::document::Document;

#[gtest]
fn examples_are_valid() {
    // File, expected number of executors.
    let cases = [("khomas-orders.ini", 70), ("jadran-collation.ini", 50)];
    for (file, executors) in cases {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples");
        let text = fs::read_to_string(folder.join(file)).expect("example exists");
        let document = Document::try_from(Arc::<str>::from(text)).expect("example is valid");
        expect_that!(document.executors, len(eq(executors)), "{file}");
        expect_that!(
            (document.slots, document.connections),
            eq((8, 60)),
            "{file}"
        );
    }
}
