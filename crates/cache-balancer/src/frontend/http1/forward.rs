//! Passes an accepted request to the driver and waits for its final response.

use super::request::RequestMetadata;
use super::response::{self, HttpResponse};
use crate::input::{AcceptedRequest, DriverInput, FinalResponse, RequestNumber};
use crate::upstream::{ForwardedRequest, ResponsePending};
use hyper::Method;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Reports a client that disconnects before its response. hyper drops the response future, and this guard in
/// it, with the connection.
struct DisconnectGuard {
    number: RequestNumber,
    pending: ResponsePending,
    driver_inputs: UnboundedSender<DriverInput>,
    responded: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.responded {
            // Cleared here and not when the driver handles the input, so that no attempt starts in between.
            self.pending.clear();
            // Sending fails if the driver has completed all its requests and ended.
            let _ = self.driver_inputs.send(DriverInput::ClientDisconnected(self.number));
        }
    }
}

/// Passes a request to the driver of its pool and returns the final response as HTTP.
pub(super) async fn forward(
    number: RequestNumber,
    received_at: Instant,
    key: u64,
    metadata: RequestMetadata,
    message: ForwardedRequest,
) -> HttpResponse {
    let pending = message.pending.clone();
    let (sender, receiver) = oneshot::channel();
    let accepted = AcceptedRequest {
        number,
        received_at,
        client_timeout: metadata.client_timeout,
        class: metadata.class,
        tenant: metadata.tenant,
        key: Some(key),
        expected_work: metadata.expected_work,
        write: message.method == Method::PUT,
        client_retry: metadata.client_retry,
        message,
        response: sender,
    };
    // The driver ends only when nothing refers to it any more. If it has ended, the receiver below returns an
    // error and the request fails.
    let _ = metadata.driver_inputs.send(DriverInput::RequestAccepted(Box::new(accepted)));
    let mut guard =
        DisconnectGuard { number, pending, driver_inputs: metadata.driver_inputs, responded: false };
    let final_response = receiver.await.unwrap_or(FinalResponse::Failed);
    guard.responded = true;
    response::from_final(final_response)
}
