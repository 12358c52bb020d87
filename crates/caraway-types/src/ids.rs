//! Type aliases for identifiers: text that is cheap to clone, or integers.

use std::sync::Arc;

/// Name of a client account.
pub type AccountId = Arc<str>;
/// Name of an adapter, without a version.
pub type AdapterId = Arc<str>;
/// Name of a version, unique within its adapter.
pub type VersionId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of an instance; a restart keeps it and changes the [`Incarnation`].
pub type InstanceId = Arc<str>;
/// Name of an endpoint, which is a replica of an engine or of a plain service.
pub type EndpointId = Arc<str>;
/// Version of the software of an endpoint, not of weights or adapters.
pub type SoftwareVersion = Arc<str>;
/// Name of a caller's request, unique across all instances.
pub type RequestId = Arc<str>;
/// Name of one load of an adapter version on an engine, chosen by the holder that orders the load.
pub type LoadName = Arc<str>;
/// Number of an attempt, unique within one incarnation of the instance that sends it.
pub type AttemptId = u64;
/// Number of a request between the components that handle it, such as a placement request; unique
/// within one incarnation of the instance that assigned it.
pub type Ticket = u64;
/// Fencing token of the holder of an endpoint or zone; a larger token supersedes every smaller one.
pub type FencingToken = u64;
/// Number that distinguishes the runs of one instance or endpoint; it increases with each restart.
pub type Incarnation = u64;
/// Position of a record in one stream of the platform's log.
pub type Offset = u64;
/// Number that rises whenever the platform's store returns from an older copy of itself.
pub type StoreEra = u64;
