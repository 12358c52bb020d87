//! Connections on which bytes arrive without end.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, Wake},
};

use caraway_http::PacedStream;
use tokio::io::{AsyncRead, ReadBuf, repeat};

/// Size of one read, in bytes.
const READ_BYTES: usize = 4 << 10;
/// Most bytes that may be read before the reader yields.
const MAX_STRETCH: usize = 16 << 10;

/// Counts how often a task is woken.
#[derive(Debug, Default)]
struct WakeCount(AtomicUsize);

impl Wake for WakeCount {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

// Guards against: a parser that finds no end in endless input occupies the thread while the other end sends.
#[test]
fn reader_of_endless_bytes_yields_and_goes_on() {
    let count = Arc::new(WakeCount::default());
    let waker = count.clone().into();
    let mut cx = Context::from_waker(&waker);
    let mut stream = PacedStream::new(repeat(b'x'));
    for stretch in 1..=3 {
        let mut len = 0;
        loop {
            let mut bytes = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            let poll = Pin::new(&mut stream).poll_read(&mut cx, &mut buf);
            match poll {
                Poll::Ready(result) => result.expect("bytes without end"),
                Poll::Pending => break,
            }
            len += buf.filled().len();
            assert!(len <= MAX_STRETCH, "the reader goes on");
        }
        assert!(len > 0, "the reader has made progress");
        assert_eq!(count.0.load(Ordering::Relaxed), stretch);
    }
}
