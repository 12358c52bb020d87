//! Decides which engine endpoint serves a request and which adapters each endpoint holds. No I/O.
//!
//! A [`Placer`] manages the endpoints of one availability zone: it takes placement requests and the
//! outcomes of their runs, and returns grants, refusals and orders. [`ZoneSelector`] tells an
//! instance which zone's placer to send a request to.

mod announced_versions;
mod connected_share;
mod decay;
mod engine_speed;
mod limiters;
mod order;
mod output;
mod placer;
mod prompt_load;
mod replica;
mod request;
mod run_work;
mod service_rate;
mod settings;
mod shares;
mod urgency;
mod wait_queue;
mod zone_load;
mod zone_selector;

pub use announced_versions::{AnnouncedVersion, AnnouncedVersions};
pub use connected_share::ConnectedShare;
pub use decay::DecayingCount;
pub use order::{Action, Order, OrderNumber, OrderOutcome, Report};
pub use output::{Output, RefuseReason};
pub use placer::{LOW_PRIORITY_WAIT_SHARE, Placer, PlacerStats};
pub use request::{PlacementId, PlacementRequest, RequestOutcome, SourceId};
pub use settings::PlacerSettings;
pub use urgency::Urgency;
pub use zone_load::{GrantMeter, ZoneLoad};
pub use zone_selector::{
    LoadBalance, PressureLimit, ZoneCandidate, ZoneSelector, ZoneSelectorSettings,
};
