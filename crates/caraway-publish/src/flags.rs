//! The command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Checks, publishes and shows the records that configure the deployment.
    cmd caraway-publish {
        /// Address of the platform's log.
        optional --log addr: SocketAddr
        /// Address of the platform's list of instances.
        optional --list addr: SocketAddr
        /// Name of the author, for records that have none.
        optional --author name: String
        /// Print JSON.
        optional --json

        /// Check a file; with --log also against what is published.
        cmd check {
            required file: PathBuf
        }
        /// Publish a file.
        cmd apply {
            required file: PathBuf
            /// Return when it is in force on every live instance.
            optional --wait
            /// Longest wait, in seconds; 10 by default.
            optional --limit-s seconds: u64
        }
        /// Show the latest record of each key, or of one: KEY or KIND/KEY.
        cmd show {
            optional key: String
        }
        /// Show what was published of a key: KEY or KIND/KEY.
        cmd history {
            required key: String
        }
        /// Show offset and digest of each instance.
        cmd status {}
    }
}
