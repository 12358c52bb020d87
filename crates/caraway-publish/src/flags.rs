//! The command-line flags.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Checks, publishes and shows the records that configure the deployment.
    cmd caraway-publish {
        /// Address of the platform's log.
        optional --log addr: SocketAddr
        /// Address of the platform's list of instances.
        optional --list addr: SocketAddr
        /// Author of records that name none.
        optional --author name: String
        /// Print the report as one line of JSON.
        optional --json

        /// Check a file; with --log also against the published records.
        cmd check {
            required file: PathBuf
        }
        /// Publish the records of a file.
        cmd apply {
            required file: PathBuf
            /// Wait until the records are in force on every live instance.
            optional --wait
            /// Maximum time to wait, in seconds; 10 by default.
            optional --limit-s seconds: u64
        }
        /// Show the latest record of each key, or of one: KEY or KIND/KEY.
        cmd show {
            optional key: String
        }
        /// Show the published records of a key, including refused ones: KEY or KIND/KEY.
        cmd history {
            required key: String
        }
        /// Show the configuration offset and digest of each live instance.
        cmd status {}
    }
}
