//! [`StreamOrigins`]: the software versions at which streams began.

use caraway_types::{RequestId, SoftwareVersion};
use indexmap::IndexMap;

/// Number of streams in one generation; two generations are kept.
const GENERATION_SIZE: usize = 16_384;

/// The software versions at which streams began, by the id of the request that brought the first
/// event. The number of streams is bounded; the oldest are dropped first.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    current: IndexMap<RequestId, SoftwareVersion>,
    previous: IndexMap<RequestId, SoftwareVersion>,
}

impl StreamOrigins {
    /// Records that the stream of a request began at a version. The first record of a request stays.
    pub fn insert(&mut self, request: &RequestId, software: &SoftwareVersion) {
        if self.get(request).is_some() {
            return;
        }
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(request.clone(), software.clone());
    }

    /// Returns up to `count` streams, those that were recorded last first.
    pub fn newest(&self, count: usize) -> impl Iterator<Item = (&RequestId, &SoftwareVersion)> {
        let (current, previous) = (self.current.iter(), self.previous.iter());
        current.rev().chain(previous.rev()).take(count)
    }

    /// Returns the version at which the stream of a request began, `None` if it is not known.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<&SoftwareVersion> {
        let current = self.current.get(request);
        current.or_else(|| self.previous.get(request))
    }
}
