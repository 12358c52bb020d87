//! Decides which engine endpoint serves a request and which adapters each endpoint holds. No I/O.
//!
//! A [`Placer`] manages the endpoints of one availability zone: it takes placement requests and the
//! outcomes of their runs, and returns grants, refusals and orders. [`Homes`] tells an instance
//! which zone's placer to send a request to.

mod ask;
mod decay;
mod homes;
mod order;
mod output;
mod placer;
mod replica;
mod settings;
mod urgency;
mod waiting;

pub use ask::{Ask, AskId, End, SourceId};
pub use decay::Decayed;
pub use homes::{HomeSettings, Homes, PressureBounds, ZoneWeight};
pub use order::{Action, Order, OrderEnd, OrderNumber, Report};
pub use output::{Output, RefuseReason};
pub use placer::{Levels, Placer};
pub use settings::PlacerSettings;
pub use urgency::Urgency;
