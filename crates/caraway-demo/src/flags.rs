//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a deployment with stand-ins on this machine and checks what must hold.
    cmd caraway-demo {
        /// The deployment: cooperative or rodopa.
        required --deployment name: String
        /// Seconds over which requests arrive; 15 without it.
        optional --seconds count: u64
        /// Seed of the requests; 1 without it.
        optional --seed number: u64
        /// Writes the report to a file too.
        optional --report file: PathBuf
        /// Breaks rules behind the daemons' backs, to show that the checks see it.
        optional --spoil
        /// Writes the report as JSON.
        optional --json
    }
}
