//! Small stand-ins for the platform, for tests and examples.

#![forbid(unsafe_code)]
