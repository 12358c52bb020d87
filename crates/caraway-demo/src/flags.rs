//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a sample deployment against stand-ins on this machine and checks its rules.
    cmd caraway-demo {
        /// Deployment to run: cooperative or rodopa.
        required --deployment name: String
        /// Seconds over which requests are sent (default: 15).
        optional --seconds count: u64
        /// Seed of the generated requests (default: 1).
        optional --seed number: u64
        /// Also writes the report to this file.
        optional --report file: PathBuf
        /// Injects rule violations into the stand-ins, to show that the checks detect them.
        optional --spoil
        /// Prints the report as JSON instead of a table.
        optional --json
    }
}
