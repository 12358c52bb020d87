//! A bounded ring with an asynchronous receiving end.

use std::sync::{Arc, Mutex, PoisonError};

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// Returned with the item when the ring is full or its receiver is gone.
#[derive(Debug, PartialEq, Eq)]
pub struct Full<T>(pub T);

/// The sending end; clones share the ring.
#[derive(Debug)]
pub struct Sender<T> {
    tail: Option<Arc<Mutex<Producer<T>>>>,
    wake: Arc<Notify>,
}

/// The receiving end.
#[derive(Debug)]
pub struct Receiver<T> {
    head: Consumer<T>,
    wake: Arc<Notify>,
}

/// Makes a ring that holds at most `capacity` items.
#[must_use]
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (tail, head) = RingBuffer::new(capacity);
    let wake = Arc::new(Notify::new());
    let sender = Sender {
        tail: Some(Arc::new(Mutex::new(tail))),
        wake: Arc::clone(&wake),
    };
    (sender, Receiver { head, wake })
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            tail: self.tail.clone(),
            wake: Arc::clone(&self.wake),
        }
    }
}

impl<T> Sender<T> {
    /// Puts `item` into the ring.
    ///
    /// # Errors
    ///
    /// Returns the item in [`Full`] when the ring is full or the receiver is gone.
    pub fn push(&self, item: T) -> Result<(), Full<T>> {
        let Some(tail) = &self.tail else {
            return Err(Full(item));
        };
        let mut tail = tail.lock().unwrap_or_else(PoisonError::into_inner);
        if tail.is_abandoned() {
            return Err(Full(item));
        }
        tail.push(item)
            .map_err(|rtrb::PushError::Full(item)| Full(item))?;
        self.wake.notify_one();
        Ok(())
    }

    /// Tells whether the receiver is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let Some(tail) = &self.tail else {
            return true;
        };
        tail.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_abandoned()
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        // The ring counts as abandoned only once its producer is gone, so that goes first.
        self.tail = None;
        self.wake.notify_one();
    }
}

impl<T> Receiver<T> {
    /// Takes the oldest item, if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        self.head.pop().ok()
    }

    /// Waits for the next item; returns `None` once every sender is gone.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.head.is_abandoned() {
                return self.try_recv();
            }
            self.wake.notified().await;
        }
    }
}
