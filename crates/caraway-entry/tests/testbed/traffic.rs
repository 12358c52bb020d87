//! [`Traffic`]: callers that stream completions without a pause during faults, and their answers.

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

/// A request and its answer.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) addr: SocketAddr,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) answer: Streamed,
}

/// Callers that run until [`Traffic::finish`].
pub(crate) struct Traffic {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `callers` callers at each address; each requests the `adapters` in turn.
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

    /// Waits until, from now on, each of the `adapters` has a complete answer at each address.
    pub(crate) fn wait_served(&self, addrs: &[SocketAddr], adapters: usize) {
        let from = self.calls().len();
        eventually("every adapter is served at every address", || {
            let calls = self.calls();
            let mut served: BTreeMap<(SocketAddr, &str), usize> = BTreeMap::new();
            for call in calls[from..].iter().filter(|c| c.answer.is_complete) {
                *served.entry((call.addr, &call.model)).or_default() += 1;
            }
            let served_at = |a: &SocketAddr| served.keys().filter(|(addr, _)| addr == a).count();
            addrs.iter().all(|a| served_at(a) == adapters)
        });
    }

    /// Returns the calls that have ended so far.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Ends the callers after their requests in flight and checks every answer: its tokens are
    /// those of the requested adapter version and prompt, in order, and a stream that ended with
    /// `[DONE]` has all of them.
    pub(crate) fn finish(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Release);
        let calls = Arc::clone(&self.calls);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        let calls = calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for call in &calls {
            let expected_tokens = expected(&call.model, &call.prompt, TOKENS);
            let tokens = &call.answer.tokens;
            assert!(
                expected_tokens.starts_with(tokens),
                "wrong tokens: {call:?}"
            );
            let has_all = tokens.len() == expected_tokens.len();
            assert!(
                !call.answer.is_complete || has_all,
                "truncated but marked complete: {call:?}"
            );
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

/// Number of tokens in each answer.
const TOKENS: u32 = 20;
