//! Headers of requests to plain services, which accept any method and path.

/// Header with the id of the attempt, in requests to a service and repeated in its responses.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the caller's idempotency key, passed on to the service unchanged.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
