//! Closes a connection in place of answering.

use ntex::web::{HttpRequest, HttpResponse};

/// Closes the connection of `request`; the returned answer does not reach the caller.
pub(crate) fn abort_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::ServiceUnavailable().finish()
}
