//! `caraway-measure policy`: placement policies side by side on the same arrivals.

use anyhow::bail;

use crate::flags::Policy;

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error when a flag has an unknown value.
pub(crate) fn run(args: &Policy) -> anyhow::Result<()> {
    let scenario = args.scenario.as_deref().unwrap_or("steady");
    bail!("scenario {scenario} is not built yet")
}
