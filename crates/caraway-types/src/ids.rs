//! Identifiers, as aliases of the types that carry them.

use std::sync::Arc;

/// Names a client account.
pub type AccountId = Arc<str>;
/// Names an adapter, without its version.
pub type AdapterId = Arc<str>;
/// Names one version of an adapter.
pub type VersionId = Arc<str>;
/// Names an availability zone.
pub type ZoneId = Arc<str>;
/// Names an entry instance.
pub type InstanceId = Arc<str>;
/// Names an endpoint: an engine replica or a plain service replica.
pub type EndpointId = Arc<str>;
/// Names a caller's request, unique across instances.
pub type RequestId = Arc<str>;
/// Names one load of an adapter version on an engine; the holder that orders it chooses it.
pub type LoadName = Arc<str>;
/// Numbers an attempt, unique within one instance incarnation.
pub type AttemptId = u64;
/// Numbers a request within one instance incarnation.
pub type Ticket = u64;
/// Orders the holders of one replica; a larger token supersedes every smaller one.
pub type Fence = u64;
/// Tells the runs of one instance or endpoint apart; rises with each restart.
pub type Incarnation = u64;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
