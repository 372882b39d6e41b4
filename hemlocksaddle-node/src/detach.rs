//! Work that goes on when its caller stops waiting.

use std::sync::Arc;

use futures_channel::oneshot;
use hemlocksaddle_types::{outcome::ResultCode, peer::Response};

use crate::ports::{PortFuture, Runtime};

/// Runs the handling of a call as a task of its own and returns its reply.
///
/// The future of a call is dropped when its caller gives up. A change of state
/// that waits for the log or a worker must not stop halfway because of that.
pub fn detached(
    runtime: &dyn Runtime,
    work: impl Future<Output = Response> + 'static,
) -> PortFuture<'static, Response> {
    let (sender, receiver) = oneshot::channel();
    runtime.spawn(Box::pin(async move {
        // The caller may have given up.
        let _ = sender.send(work.await);
    }));
    Box::pin(async move {
        let lost = |_| Response::Refused(ResultCode::AnswerLost, Arc::from("the node has ended"));
        receiver.await.unwrap_or_else(lost)
    })
}
