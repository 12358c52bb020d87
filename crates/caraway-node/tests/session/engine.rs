//! [`Engine`]: the smallest fake of an engine with slots and fencing.

use std::collections::BTreeMap;

use caraway_node::{EndpointSettings, EngineReport, LoadResult, ReportedLoad};
use caraway_types::{AdapterRef, FencingToken};

use super::answer;

/// How an engine answers loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    /// They succeed.
    Good,
    /// They fail.
    Failing,
    /// They succeed, but the answers are lost.
    Losing,
    /// They succeed without any answer.
    Silent,
}

/// The smallest fake of an engine.
pub(crate) struct Engine {
    pub(crate) zone: String,
    pub(crate) mood: Mood,
    slots: u32,
    checks: bool,
    max_fence: FencingToken,
    incarnation: u64,
    loads: BTreeMap<String, (AdapterRef, u32)>,
}

impl Mood {
    pub(crate) fn parse(text: &str) -> Self {
        match text {
            "good" => Self::Good,
            "failing" => Self::Failing,
            "losing" => Self::Losing,
            "silent" => Self::Silent,
            other => panic!("unknown mood {other}"),
        }
    }
}

impl Engine {
    pub(crate) fn new(settings: &EndpointSettings) -> Self {
        Self {
            zone: settings.zone.to_string(),
            mood: Mood::Good,
            slots: settings.slots,
            checks: settings.checks_fencing,
            max_fence: 0,
            incarnation: 1,
            loads: BTreeMap::new(),
        }
    }

    pub(crate) fn load(
        &mut self,
        name: &str,
        adapter: &AdapterRef,
        fence: FencingToken,
    ) -> Option<LoadResult> {
        if self.checks && fence < self.max_fence {
            return Some(LoadResult::Stale(self.max_fence));
        }
        self.max_fence = self.max_fence.max(fence);
        if self.loads.len() >= self.slots as usize {
            return Some(LoadResult::SlotsFull);
        }
        if self.mood != Mood::Failing {
            self.loads.insert(name.to_owned(), (adapter.clone(), 0));
        }
        answer(self.mood)
    }

    /// Unloads; tells whether it was done, and whether something ran on the load.
    pub(crate) fn unload(&mut self, name: &str, fence: FencingToken) -> (bool, bool) {
        if self.checks && fence < self.max_fence {
            return (false, false);
        }
        self.max_fence = self.max_fence.max(fence);
        let pinned = self
            .loads
            .remove(name)
            .is_some_and(|(_, running)| running > 0);
        (true, pinned)
    }

    pub(crate) fn start(&mut self, name: &str) -> bool {
        let Some((_, running)) = self.loads.get_mut(name) else {
            return false;
        };
        *running += 1;
        true
    }

    pub(crate) fn end(&mut self, name: &str) {
        if let Some((_, running)) = self.loads.get_mut(name) {
            *running = running.saturating_sub(1);
        }
    }

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
            max_fence: if self.checks { self.max_fence } else { 0 },
            residents: self.loads.iter().map(resident).collect(),
            ..EngineReport::default()
        }
    }
}
