//! Load and unload orders: fencing, slots and the ledger.

use std::{sync::Arc, time::SystemTime};

use caraway_types::{AdapterRef, FencingToken, LoadName};
use caraway_wire::engine::{EngineError, EngineErrorKind, LoadRequest};

use super::{
    OrderKind, OrderRecord, Violation,
    loads::LoadProgress,
    state::{EngineState, engine_error},
};

/// Result of an accepted load order.
#[derive(Debug)]
pub(crate) enum LoadStart {
    /// The load exists already, complete or in transit.
    Existing(LoadProgress),
    /// The load occupies a slot and its weights must be fetched.
    Fetch {
        /// Distinguishes successive fetches for the same name.
        serial: u64,
        /// Receives the completion of the load.
        progress: LoadProgress,
    },
}

impl EngineState {
    /// Handles a load order and records it in the ledger.
    ///
    /// # Errors
    ///
    /// Fails without effect on a stale or missing fencing token, if all slots are occupied, or if
    /// the name belongs to another adapter version.
    pub(crate) fn begin_load(
        &mut self,
        order: &LoadRequest,
        fence: Option<FencingToken>,
    ) -> Result<LoadStart, EngineError> {
        let result = self.try_load(order, fence);
        let kind = result.as_ref().err().map(|e| e.error);
        self.record_order(OrderKind::Load, &order.lora_name, fence, kind);
        result
    }

    fn try_load(
        &mut self,
        order: &LoadRequest,
        fence: Option<FencingToken>,
    ) -> Result<LoadStart, EngineError> {
        self.check_fence(fence)?;
        if let Some((adapter, progress)) = self.loads.get(&order.lora_name) {
            return self::check_same_adapter(&adapter, &order.lora_path)
                .map(|()| LoadStart::Existing(progress));
        }
        if self.loads.len() >= self.settings.slots as usize {
            return Err(engine_error(
                EngineErrorKind::SlotsFull,
                "every slot is taken",
            ));
        }
        let name = Arc::clone(&order.lora_name);
        let (serial, progress) = self.loads.begin(name, order.lora_path.clone());
        Ok(LoadStart::Fetch { serial, progress })
    }

    /// Ends the fetch of a load; the load fails if the fetch failed or a fault requests it.
    pub(crate) fn end_load(&mut self, name: &LoadName, serial: u64, fetched: bool) {
        let fail = self.faults.fail_loads > 0;
        self.faults.fail_loads = self.faults.fail_loads.saturating_sub(1);
        self.loads.end(name, serial, fetched && !fail);
    }

    /// Handles an unload order and records it in the ledger; an unknown name is a success.
    ///
    /// # Errors
    ///
    /// Fails without effect on a stale or missing fencing token.
    pub(crate) fn unload(
        &mut self,
        name: &LoadName,
        fence: Option<FencingToken>,
    ) -> Result<(), EngineError> {
        let result = self.check_fence(fence);
        let kind = result.as_ref().err().map(|e| e.error);
        self.record_order(OrderKind::Unload, name, fence, kind);
        result?;
        if self.loads.remove(name) {
            let running = self.break_runs_of(name);
            self.record_violation(name, running);
        }
        Ok(())
    }

    /// Records a violation if the unload ended `running` runs with a connected caller.
    fn record_violation(&mut self, name: &LoadName, running: u32) {
        if running == 0 {
            return;
        }
        self.ledger.violations.push(Violation::UnloadWhileRunning {
            engine: Arc::clone(&self.settings.id),
            load: Arc::clone(name),
            running,
        });
    }

    /// Checks the fencing token against the largest one received, if this engine checks fencing.
    fn check_fence(&mut self, fence: Option<FencingToken>) -> Result<(), EngineError> {
        if !self.settings.checks_fencing {
            return Ok(());
        }
        let Some(fence) = fence else {
            let message = "the order carries no fencing token";
            return Err(engine_error(EngineErrorKind::BadRequest, message));
        };
        if fence < self.max_fence {
            let message = format!("token {fence} is older than {}", self.max_fence);
            return Err(engine_error(EngineErrorKind::StaleFence, &message));
        }
        self.max_fence = fence;
        Ok(())
    }

    fn record_order(
        &mut self,
        kind: OrderKind,
        name: &LoadName,
        fence: Option<FencingToken>,
        error: Option<EngineErrorKind>,
    ) {
        self.ledger.orders.push(OrderRecord {
            arrived: SystemTime::now(),
            kind,
            load: Arc::clone(name),
            fence,
            incarnation: self.incarnation,
            error,
        });
    }
}

/// Checks that a repeated load order names the adapter version that the load already has.
fn check_same_adapter(resident: &AdapterRef, requested: &AdapterRef) -> Result<(), EngineError> {
    if resident == requested {
        return Ok(());
    }
    let message = format!("the name belongs to a load of {resident}");
    Err(engine_error(EngineErrorKind::BadRequest, &message))
}
