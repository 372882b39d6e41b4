//! Validated domain types, clock types, result codes, log records and peer messages.
//!
//! Every other crate depends on this one. Raw input (INI text, headers, CBOR) is
//! parsed once, where it enters the program, and converted with `TryFrom` into
//! these types, so that the remaining code only handles validated values.

#![forbid(unsafe_code)]

pub mod burn;
pub mod clock;
pub mod delegation;
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
pub mod tenant;
pub mod unit;
pub mod worker;
pub mod workflow;
