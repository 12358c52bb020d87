//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs stand-ins of the platform and the endpoints.
    cmd caraway-standin {
        /// The stand-ins to start, in JSON.
        required --settings file: PathBuf
    }
}
