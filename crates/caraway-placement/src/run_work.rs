//! [`RunWork`]: what an endpoint does during a run.

use std::time::{Duration, Instant};

use caraway_routes::TokenCount;

use crate::PlacerSettings;

/// Prompt tokens that an engine reads per decoding step at most.
const STEP_TOKENS: f64 = 2048.0;

/// What an endpoint does from the grant of a run to its end, as far as its placer knows: it reads the
/// prompts that were sent before and meanwhile, and decodes one token of the run per step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunWork {
    pub(crate) granted_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) tokens: TokenCount,
    /// Prompt tokens that the endpoint had read once the run was granted, of all that were sent
    /// there.
    pub(crate) read_before: f64,
    /// Prompt tokens that it had to read until the end of the run's own prompt.
    pub(crate) read_first: f64,
}

impl RunWork {
    /// Returns the time that the endpoint takes at the speed of the settings, if it has read this
    /// many of all prompt tokens by the end; `None` if the request does not state its tokens.
    pub(crate) fn expected(&self, settings: &PlacerSettings, read: f64) -> Option<Duration> {
        if self.tokens.output == 0 {
            return None;
        }
        let prompts = (read - self.read_before).max(f64::from(self.tokens.prompt));
        let steps = f64::from(self.tokens.output) + self.read_first / STEP_TOKENS;
        let reading = prompts / settings.prompt_speed / 1000.0;
        let decoding = steps * settings.step_time.as_secs_f64();
        Duration::try_from_secs_f64(reading + decoding).ok()
    }
}
