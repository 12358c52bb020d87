//! A bounded multi-producer, single-consumer queue with an asynchronous receiver.

use std::sync::{Arc, Mutex, PoisonError};

use rtrb::{Consumer, Producer, RingBuffer};
use tokio::sync::Notify;

/// Error of [`Sender::push`]: the ring is full or its receiver was dropped. Holds the item.
#[derive(Debug, PartialEq, Eq)]
pub struct PushError<T>(pub T);

/// The sending end of a ring. Clones share the ring.
#[derive(Debug)]
pub struct Sender<T> {
    /// Always set, except while the sender is dropped.
    producer: Option<Arc<Mutex<Producer<T>>>>,
    wake: Arc<Notify>,
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: Consumer<T>,
    wake: Arc<Notify>,
}

/// Creates a ring that holds at most `capacity` items.
#[must_use]
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let wake = Arc::new(Notify::new());
    let sender = Sender {
        producer: Some(Arc::new(Mutex::new(producer))),
        wake: Arc::clone(&wake),
    };
    (sender, Receiver { consumer, wake })
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            producer: self.producer.clone(),
            wake: Arc::clone(&self.wake),
        }
    }
}

impl<T> Sender<T> {
    /// Appends `item` to the ring, without waiting for free space.
    ///
    /// # Errors
    ///
    /// Returns the item in [`PushError`] if the ring is full or the receiver was dropped.
    pub fn push(&self, item: T) -> Result<(), PushError<T>> {
        let Some(producer) = &self.producer else {
            return Err(PushError(item));
        };
        let mut producer = producer.lock().unwrap_or_else(PoisonError::into_inner);
        if producer.is_abandoned() {
            return Err(PushError(item));
        }
        producer
            .push(item)
            .map_err(|rtrb::PushError::Full(item)| PushError(item))?;
        self.wake.notify_one();
        Ok(())
    }

    /// Returns whether the receiver was dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let Some(producer) = &self.producer else {
            return true;
        };
        producer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_abandoned()
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        // The receiver detects the end only once the producer is dropped, so drop the producer
        // before waking the receiver.
        self.producer = None;
        self.wake.notify_one();
    }
}

impl<T> Receiver<T> {
    /// Removes and returns the oldest item, or `None` if the ring is empty.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Waits for the next item. Returns `None` once the ring is empty and every sender was dropped.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.consumer.is_abandoned() {
                return self.try_recv();
            }
            self.wake.notified().await;
        }
    }
}
