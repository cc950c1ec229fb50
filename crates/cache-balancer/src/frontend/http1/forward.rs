//! Passes an accepted request to the driver and waits for its final response.

use super::request::RequestTerms;
use super::response::{self, HttpResponse};
use crate::input::{AcceptedRequest, DriverInput, FinalResponse, RequestNumber};
use crate::upstream::{ForwardedRequest, ResponsePending};
use hyper::Method;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Reports a client that disconnects before its response: hyper drops the response's future with the
/// connection.
struct DisconnectGuard {
    number: RequestNumber,
    pending: ResponsePending,
    driver: UnboundedSender<DriverInput>,
    responded: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.responded {
            // Cleared here and not when the driver handles its input: no attempt starts in between.
            self.pending.clear();
            // The driver may have ended with all its requests.
            let _ = self.driver.send(DriverInput::ClientDisconnected(self.number));
        }
    }
}

/// Passes a request to its driver; the final response, as HTTP.
pub(super) async fn forward(
    number: RequestNumber,
    received_at: Instant,
    key: u64,
    terms: RequestTerms,
    message: ForwardedRequest,
) -> HttpResponse {
    let pending = message.pending.clone();
    let (sender, receiver) = oneshot::channel();
    let accepted = AcceptedRequest {
        number,
        received_at,
        client_timeout: terms.client_timeout,
        class: terms.class,
        tenant: terms.tenant,
        key: Some(key),
        expected_work: terms.expected_work,
        write: message.method == Method::PUT,
        client_retry: terms.client_retry,
        message,
        response: sender,
    };
    // The driver ends only when nothing refers to it any more; without one the request fails all the same.
    let _ = terms.driver.send(DriverInput::RequestAccepted(Box::new(accepted)));
    let mut guard = DisconnectGuard { number, pending, driver: terms.driver, responded: false };
    let result = receiver.await.unwrap_or(FinalResponse::Failed);
    guard.responded = true;
    response::of(result)
}
