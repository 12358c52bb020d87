//! Sample deployments, one module each.

mod cooperative;
mod rodopa;

use crate::deployment::Deployment;

/// Deployment names, as listed in the error message for an unknown name.
pub(crate) const EXPECTED_NAMES: &str = "cooperative or rodopa";

/// Returns the deployment with this name, or `None` if there is none.
pub(crate) fn by_name(name: &str) -> Option<Deployment> {
    [cooperative::deployment(), rodopa::deployment()]
        .into_iter()
        .find(|d| d.name == name)
}
