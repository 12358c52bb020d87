//! Callers that stream without a pause while faults happen, and what they were answered.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
};

use super::caller::{Streamed, eventually, expected, stream};

/// One answered request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) addr: SocketAddr,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) answer: Streamed,
}

/// Running callers.
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `callers` callers at each address, who ask for each of `adapters` in turn.
    pub(crate) fn start(addrs: &[SocketAddr], callers: usize, adapters: usize) -> Self {
        let mut traffic = Self {
            stop: Arc::default(),
            calls: Arc::default(),
            threads: Vec::new(),
        };
        for addr in addrs {
            for caller in 0..callers {
                traffic.add(*addr, caller, adapters);
            }
        }
        traffic
    }

    /// Waits until each of `adapters` had a whole answer at each address from now on.
    pub(crate) fn wait_served(&self, addrs: &[SocketAddr], adapters: usize) {
        let from = self.calls().len();
        eventually("every adapter is served at every address", || {
            let calls = self.calls();
            let mut served: BTreeMap<(SocketAddr, &str), usize> = BTreeMap::new();
            for call in calls[from..].iter().filter(|c| c.answer.whole) {
                *served.entry((call.addr, &call.model)).or_default() += 1;
            }
            let at = |a: &SocketAddr| served.keys().filter(|(addr, _)| addr == a).count();
            addrs.iter().all(|a| at(a) == adapters)
        });
    }

    /// Returns the calls answered so far.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Ends the callers after the request that each has in flight, and checks every answer: all
    /// tokens are those of the adapter version and prompt that were asked for, in order, and a
    /// stream that was closed as whole is whole.
    pub(crate) fn finish(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Release);
        let calls = Arc::clone(&self.calls);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for call in &calls {
            let right = expected(&call.model, &call.prompt, TOKENS);
            let tokens = &call.answer.tokens;
            assert!(right.starts_with(tokens), "another answer: {call:?}");
            let whole = tokens.len() == right.len();
            assert!(!call.answer.whole || whole, "cut off as whole: {call:?}");
        }
        calls
    }

    fn add(&mut self, addr: SocketAddr, caller: usize, adapters: usize) {
        let stop = Arc::clone(&self.stop);
        let calls = Arc::clone(&self.calls);
        self.threads.push(std::thread::spawn(move || {
            let mut n = caller;
            while !stop.load(Ordering::Acquire) {
                let model = format!("adapter-{}@v1", n % adapters);
                let prompt = format!("{addr} {caller} {n}");
                let answer = stream(addr, &model, &prompt, TOKENS, |_| ());
                let call = Call {
                    addr,
                    model,
                    prompt,
                    answer,
                };
                calls
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(call);
                n += 1;
            }
        }));
    }
}

/// Tokens of each answer.
const TOKENS: u32 = 20;
