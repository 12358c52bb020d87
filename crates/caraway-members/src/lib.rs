//! Tracks which instances and endpoints are live, leaving or gone, and decides which instance of
//! a zone holds each replica. Nothing here does I/O; the caller passes the current time.
//!
//! The holder of a replica is the one instance that starts requests on it and sends it orders. An
//! order is a request to an engine to load or unload an adapter. Every load on an engine carries
//! the fencing token of the holder that ordered it; an inherited load is one that an earlier
//! holder ordered.
//!
//! - [`Members`] is the state machine of one instance, built from its [`Identity`],
//!   [`MemberSettings`] and [`EndpointInfo`]s. Its input is the [`Heartbeat`]s of peers and the
//!   platform's member list as [`ListedMember`]s; its output is [`MemberEvent`]s.
//! - [`Permission`] is what this instance may currently do on a replica.
//! - [`instance_tag`] and [`issuer_tag`] match a fencing token to the instance that issued it.
//! - [`Presence`] is the state of an instance or endpoint.

mod departures;
mod event;
mod fences;
mod heartbeat;
mod holders;
mod members;
mod peer;
mod presence;
mod rendezvous;
mod replica;
mod schedule;
mod sent_heartbeats;
mod settings;
mod state;

pub use event::MemberEvent;
pub use fences::{instance_tag, issuer_tag};
pub use heartbeat::{Ack, Contact, Departure, Heartbeat, Holding, Phase, Stage};
pub use members::Members;
pub use rendezvous::weight as rendezvous_weight;
pub use settings::{EndpointInfo, Identity, ListedMember, MemberSettings};
pub use state::{Permission, Presence};
