//! Decides which instances and endpoints are live, leaving or gone, and which instance holds each
//! replica. No part does I/O; the caller passes the time.
//!
//! - [`Members`] is the state machine of one instance, set up by [`Me`], [`MemberSettings`] and
//!   [`EndpointInfo`]s. It takes [`Heartbeat`]s of peers and the platform's list as
//!   [`ListedMember`]s and reports [`MemberEvent`]s.
//! - [`Right`] says what this instance may order on a replica now.
//! - [`fence_maker`] and [`fence_tag`] tell which instance made a fencing token.
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
