//! Call handling that is not cancelled when the caller stops waiting.

use std::sync::Arc;

use futures_channel::oneshot;
use hemlocksaddle_types::{outcome::ResultCode, peer::Response};

use crate::ports::{PortFuture, Runtime};

/// Handles a call in a separate task and returns its reply.
///
/// The future of a call is dropped when its caller times out. Running the work in
/// its own task keeps a state change that waits for the log or a worker from
/// being cancelled halfway.
pub fn detached(
    runtime: &dyn Runtime,
    work: impl Future<Output = Response> + 'static,
) -> PortFuture<'static, Response> {
    let (sender, receiver) = oneshot::channel();
    runtime.spawn(Box::pin(async move {
        // Sending fails only if the caller no longer waits.
        let _ = sender.send(work.await);
    }));
    Box::pin(async move {
        let lost = |_| Response::Refused(ResultCode::AnswerLost, Arc::from("the node has ended"));
        receiver.await.unwrap_or_else(lost)
    })
}
