//! Plain services: any method and path, with the daemon's attempt id in a header.

/// Header that carries the attempt's id towards a service and back in its answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that carries the idempotency key, as callers send it.
pub const KEY_HEADER: &str = "idempotency-key";
