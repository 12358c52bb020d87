//! [`Engine`]: a simulated engine with adapter slots and fencing tokens.

use std::collections::BTreeMap;

use caraway_node::{EndpointSettings, EngineReport, LoadResult, ReportedLoad};
use caraway_types::{AdapterRef, FencingToken};

use super::load_result;

/// How an engine handles load orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadBehavior {
    /// Loads succeed.
    Succeed,
    /// Loads fail.
    Fail,
    /// Loads succeed, but their answers are lost, which the node learns.
    LoseAnswers,
    /// Loads succeed, but the node receives no result.
    NeverAnswer,
}

/// A simulated engine. Requests run on it until the session ends them.
pub(crate) struct Engine {
    pub(crate) zone: String,
    pub(crate) load_behavior: LoadBehavior,
    slots: u32,
    checks_fencing: bool,
    max_fence: FencingToken,
    incarnation: u64,
    /// Adapter version and number of running requests of each load, by its name.
    loads: BTreeMap<String, (AdapterRef, u32)>,
}

impl LoadBehavior {
    pub(crate) fn parse(text: &str) -> Self {
        match text {
            "succeed" => Self::Succeed,
            "fail" => Self::Fail,
            "lose-answers" => Self::LoseAnswers,
            "never-answer" => Self::NeverAnswer,
            other => panic!("unknown load behavior {other}"),
        }
    }
}

impl Engine {
    pub(crate) fn new(settings: &EndpointSettings) -> Self {
        Self {
            zone: settings.zone.to_string(),
            load_behavior: LoadBehavior::Succeed,
            slots: settings.slots,
            checks_fencing: settings.checks_fencing,
            max_fence: 0,
            incarnation: 1,
            loads: BTreeMap::new(),
        }
    }

    /// Handles a load order; returns the result that the node receives, if any.
    pub(crate) fn load(
        &mut self,
        name: &str,
        adapter: &AdapterRef,
        fence: FencingToken,
    ) -> Option<LoadResult> {
        if self.checks_fencing && fence < self.max_fence {
            return Some(LoadResult::Stale(self.max_fence));
        }
        self.max_fence = self.max_fence.max(fence);
        if self.loads.len() >= self.slots as usize {
            return Some(LoadResult::SlotsFull);
        }
        if self.load_behavior != LoadBehavior::Fail {
            self.loads.insert(name.to_owned(), (adapter.clone(), 0));
        }
        load_result(self.load_behavior)
    }

    /// Handles an unload order; returns whether it was accepted, and whether requests ran on the
    /// load.
    pub(crate) fn unload(&mut self, name: &str, fence: FencingToken) -> (bool, bool) {
        if self.checks_fencing && fence < self.max_fence {
            return (false, false);
        }
        self.max_fence = self.max_fence.max(fence);
        let was_in_use = self
            .loads
            .remove(name)
            .is_some_and(|(_, running)| running > 0);
        (true, was_in_use)
    }

    /// Starts a request on a load; returns false if the load is not resident.
    pub(crate) fn start(&mut self, name: &str) -> bool {
        let Some((_, running)) = self.loads.get_mut(name) else {
            return false;
        };
        *running += 1;
        true
    }

    /// Ends a request on a load.
    pub(crate) fn end(&mut self, name: &str) {
        if let Some((_, running)) = self.loads.get_mut(name) {
            *running = running.saturating_sub(1);
        }
    }

    /// Restarts the engine with empty slots.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.loads.clear();
    }

    pub(crate) fn report(&self) -> EngineReport {
        let resident = |(name, (adapter, running)): (&String, &(AdapterRef, u32))| ReportedLoad {
            name: name.as_str().into(),
            adapter: adapter.clone(),
            running: *running,
        };
        EngineReport {
            incarnation: self.incarnation,
            slots: self.slots,
            max_fence: if self.checks_fencing {
                self.max_fence
            } else {
                0
            },
            residents: self.loads.iter().map(resident).collect(),
            ..EngineReport::default()
        }
    }
}
