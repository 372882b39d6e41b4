//! Editing of `data_centres_out` in a document's text.
//!
//! Guards against a drain that removes an operator's comments, edits the wrong
//! section or lists a data centre twice.

use googletest::prelude::*;

use hemlocksaddle_cli::drain::edit_data_centres_out;
use hemlocksaddle_types::name::DataCentre;

#[gtest]
fn only_data_centres_out_is_edited() {
    // Text before, whether `split-a` is out, text after; `None` if no change is needed.
    let cases = [
        (
            "# orders\n[service]\nname = a\ndata_centres_out =\n",
            true,
            Some("# orders\n[service]\nname = a\ndata_centres_out = split-a\n"),
        ),
        (
            "[service]\ndata_centres_out = zadar-b\nname = a\n",
            true,
            Some("[service]\ndata_centres_out = zadar-b, split-a\nname = a\n"),
        ),
        (
            "[service]\ndata_centres_out = split-a,zadar-b\n[quota]\ncpu_milli = 1\n",
            false,
            Some("[service]\ndata_centres_out = zadar-b\n[quota]\ncpu_milli = 1\n"),
        ),
        (
            "[service]\nname = a\n[other]\ndata_centres_out = split-a\n",
            true,
            Some(
                "[service]\ndata_centres_out = split-a\nname = a\n[other]\ndata_centres_out = split-a\n",
            ),
        ),
        ("[service]\ndata_centres_out = split-a\n", true, None),
        ("[service]\ndata_centres_out = split-a-2\n", false, None),
    ];
    let data_centre = DataCentre::try_from("split-a").expect("valid name");
    for (before, out, after) in cases {
        let edited =
            edit_data_centres_out(before, &data_centre, out).expect("text has the section");
        expect_that!(edited.as_deref(), eq(after), "text {before:?}, out {out}");
    }
}

#[gtest]
fn a_document_without_a_service_section_is_an_error() {
    let data_centre = DataCentre::try_from("split-a").expect("valid name");
    expect_true!(edit_data_centres_out("name = a\n", &data_centre, true).is_err());
}
