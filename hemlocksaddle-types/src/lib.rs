//! Checked types, clock type, result codes, log records and peer messages.
//!
//! Every other crate builds on this one. Raw input (INI text, headers, CBOR) is
//! parsed once at the edge and converted with `TryFrom` into the types here, so
//! that the rest of the program never handles unchecked values.

#![forbid(unsafe_code)]

pub mod burn;
pub mod clock;
pub mod document;
pub mod error;
pub mod hash;
pub mod host;
pub mod ini;
pub mod job;
pub mod name;
pub mod outcome;
pub mod peer;
pub mod record;
pub mod request;
pub mod resources;
pub mod unit;
pub mod worker;
pub mod workflow;
