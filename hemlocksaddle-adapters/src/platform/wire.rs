//! JSON bodies of the platform's protocol that have no type in `hemlocksaddle_types`.
//!
//! Records are encoded as Base64 strings.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hemlocksaddle_node::ports::{PortError, ReadBatch};
use hemlocksaddle_types::{
    job::{Attempt, TaskId},
    record::Offset,
};
use serde::{Deserialize, Serialize};

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the appended record.
    pub offset: Offset,
}

/// Response to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// First offset that is still retained.
    pub first: Offset,
    /// Offset after the last record of the stream.
    pub next: Offset,
    /// Offsets and Base64-encoded records, in ascending order of offsets.
    pub records: Vec<(Offset, String)>,
}

/// Order to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Whether to take a checkpoint first.
    pub checkpoint: bool,
}

/// Order to throttle an attempt or to remove its throttle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: Attempt,
    /// Whether the attempt is to be throttled.
    pub on: bool,
}

impl From<ReadBatch> for ReadResponse {
    fn from(batch: ReadBatch) -> ReadResponse {
        let encode = |(offset, record): (Offset, Bytes)| (offset, STANDARD.encode(record));
        ReadResponse {
            first: batch.first,
            next: batch.next,
            records: batch.records.into_iter().map(encode).collect(),
        }
    }
}

impl TryFrom<ReadResponse> for ReadBatch {
    type Error = PortError;

    fn try_from(response: ReadResponse) -> Result<ReadBatch, PortError> {
        let decode = |(offset, text): (Offset, String)| {
            let record = STANDARD.decode(text).map_err(|_| PortError::Unknown)?;
            Ok((offset, Bytes::from(record)))
        };
        Ok(ReadBatch {
            records: response
                .records
                .into_iter()
                .map(decode)
                .collect::<Result<_, _>>()?,
            first: response.first,
            next: response.next,
        })
    }
}
