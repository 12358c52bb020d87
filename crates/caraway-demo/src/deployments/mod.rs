//! The deployments that the demo knows, one module each.

mod cooperative;
mod rodopa;

use crate::deployment::Deployment;

/// Names of the deployments.
pub(crate) const NAMES: &str = "cooperative or rodopa";

/// Returns the deployment of this name.
pub(crate) fn by_name(name: &str) -> Option<Deployment> {
    [cooperative::deployment(), rodopa::deployment()]
        .into_iter()
        .find(|d| d.name == name)
}
