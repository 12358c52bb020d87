//! Command line of `caraway-measure`.

use std::path::PathBuf;

xflags::xflags! {
    /// Measures decisions and paths of carawayworks.
    cmd measure {
        /// Runs placement policies side by side on the same arrivals under a virtual clock.
        cmd policy {
            /// `cooperative` or `rodopa`.
            optional --deployment deployment: String
            /// Seed of arrivals and faults.
            optional --seed seed: u64
            /// Adapter slots of a replica.
            optional --slots slots: u32
            /// Arrivals per second.
            optional --rate rate: f64
            /// `steady`, `shift`, `restart`, `store-slow`, `store-down`, `zone-cut` or `flood`.
            optional --scenario scenario: String
            /// Runs this policy only.
            optional --policy policy: String
            /// Simulated seconds.
            optional --seconds seconds: u64
            /// Prints JSON.
            optional --json
            /// Writes an SVG plot here.
            optional --plot plot: PathBuf
        }
        /// Measures the configuration: the fold, and how soon a change is in force everywhere.
        cmd config {
            /// Changes in each scenario.
            optional --changes changes: u32
            /// Adapters that are published before.
            optional --adapters adapters: u32
            /// Length of the log's outage, in seconds.
            optional --outage-s seconds: u32
            /// Prints JSON.
            optional --json
        }
        /// Sends calls of all kinds through six daemons while faults are injected.
        cmd calls {
            /// `all`, `services`, `engines`, `log`, `entries` or `none`.
            optional --faults faults: String
            /// Seed of calls and faults.
            optional --seed seed: u64
            /// Calls, without the repeats of keyed ones.
            optional --calls calls: u32
            /// Prints JSON.
            optional --json
        }
        /// Compares the engine called directly with the path through the daemon.
        cmd path {
            /// Requests for each way.
            optional --requests requests: u32
            /// Prints JSON.
            optional --json
        }
        /// Measures what control costs one daemon as the deployment grows.
        cmd slopes {
            /// Virtual seconds of each fleet.
            optional --seconds seconds: u64
            /// Leaves out larger fleets.
            optional --instances instances: usize
            /// Measures real daemons at rest, too.
            optional --daemons
            /// Prints JSON.
            optional --json
        }
        /// Prints two JSON reports side by side with the ratio of new to old.
        cmd compare {
            /// The older report.
            required old: PathBuf
            /// The newer report.
            required new: PathBuf
        }
    }
}
