//! Command line of `caraway-measure`.

use std::path::PathBuf;

xflags::xflags! {
    /// Benchmarks of carawayworks.
    cmd measure {
        /// Simulates placement policies on the same arrivals under a virtual clock.
        cmd policy {
            /// Profile of sizes, arrivals and weights: `cooperative` or `rodopa`.
            optional --deployment deployment: String
            /// Seed of arrivals and faults.
            optional --seed seed: u64
            /// Adapter slots of a replica.
            optional --slots slots: u32
            /// Arrivals per second.
            optional --rate rate: f64
            /// `steady`, `shift`, `restart`, `store-slow`, `store-down`, `zone-cut` or `flood`.
            optional --scenario scenario: String
            /// Runs only this policy.
            optional --policy policy: String
            /// Simulated seconds.
            optional --seconds seconds: u64
            /// Prints JSON.
            optional --json
            /// File for an SVG plot of the load stalls.
            optional --plot plot: PathBuf
        }
        /// Measures how fast configuration records are applied and changes reach every instance.
        cmd config {
            /// Published changes in each scenario; at least 10.
            optional --changes changes: u32
            /// Adapters that are published before the measurement starts.
            optional --adapters adapters: u32
            /// Length of the log's outage, in seconds.
            optional --outage-s seconds: u32
            /// Prints JSON.
            optional --json
        }
        /// Sends calls of all kinds through six daemons under faults and checks their outcomes.
        cmd calls {
            /// What fails: `all`, `services`, `engines`, `log`, `entries` or `none`.
            optional --faults faults: String
            /// Seed of calls and faults.
            optional --seed seed: u64
            /// Calls; further attempts of calls with an idempotency key are not counted.
            optional --calls calls: u32
            /// Prints JSON.
            optional --json
        }
        /// Compares requests through the daemon with requests sent directly to the engine.
        cmd path {
            /// Requests on each path; at least 100.
            optional --requests requests: u32
            /// Prints JSON.
            optional --json
        }
        /// Measures the control traffic, CPU time and memory of one daemon as the fleet grows.
        cmd slopes {
            /// Measured virtual seconds of each fleet.
            optional --seconds seconds: u64
            /// Largest fleet to measure, in instances.
            optional --instances instances: usize
            /// Also measures real daemons without requests.
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
