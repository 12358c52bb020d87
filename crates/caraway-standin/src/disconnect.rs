//! Closing a connection without an answer, for injected faults.

use ntex::web::{HttpRequest, HttpResponse};

/// Closes the connection of `request`. The returned response satisfies the handler's signature and
/// does not reach the caller.
pub(crate) fn abort_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::ServiceUnavailable().finish()
}
