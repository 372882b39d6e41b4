//! Memory of the test program.

use std::fs;

/// Largest memory that the process has used so far, in kB.
pub(crate) fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).expect("peak")
}
