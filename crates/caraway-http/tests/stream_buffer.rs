//! Streams whose readers are slow.

use std::time::Duration;

use bytes::Bytes;
use caraway_http::{Payload, ReaderGone, StreamBudget, StreamBuffer};
use http_body_util::BodyExt;
use tokio::time::timeout;

const CHUNK: &[u8] = &[b'x'; 1024];

/// Sends chunks until one has to wait; returns how many did not.
async fn fill(buffer: &StreamBuffer) -> usize {
    let mut sent = 0;
    while let Ok(result) = timeout(Duration::from_millis(1), buffer.send(CHUNK.into())).await {
        result.expect("the reader is there");
        sent += 1;
    }
    sent
}

async fn read(body: &mut Payload) -> Bytes {
    let frame = body.frame().await.expect("a chunk").expect("no abort");
    frame.into_data().expect("data")
}

// Guards against: the rest of an answer stays unread at its endpoint, which cuts it off, as soon as the
// caller does not read; or what waits for such callers takes the instance's memory.
#[tokio::test(start_paused = true)]
async fn stream_goes_on_without_its_reader_up_to_its_limit_and_that_of_all() {
    let budget = StreamBudget::new(100 << 10);
    let (first, mut first_body) = StreamBuffer::new(&budget);
    assert_eq!(fill(&first).await, 64);
    let (second, second_body) = StreamBuffer::new(&budget);
    assert_eq!(fill(&second).await, 36);
    let (third, _third_body) = StreamBuffer::new(&budget);
    assert_eq!(fill(&third).await, 1, "each stream may go on");
    assert_eq!(budget.waiting(), 101 << 10);
    // A chunk counts until it is written.
    let chunk = read(&mut first_body).await;
    assert_eq!(fill(&first).await, 0);
    drop(chunk);
    drop(second_body);
    assert_eq!(second.send(CHUNK.into()).await, Err(ReaderGone));
    assert_eq!(fill(&first).await, 1);
    drop(first_body);
    drop(first);
    assert_eq!(budget.waiting(), 1 << 10, "only the third is left");
}

#[tokio::test(start_paused = true)]
async fn chunk_that_waits_is_sent_once_the_reader_goes_on() {
    let (buffer, mut body) = StreamBuffer::new(&StreamBudget::new(0));
    buffer.send(CHUNK.into()).await.expect("it is the only one");
    let reader = async {
        drop(read(&mut body).await);
        read(&mut body).await
    };
    let (sent, chunk) = tokio::join!(buffer.send("end".into()), reader);
    assert_eq!((sent, chunk), (Ok(()), "end".into()));
    buffer.abort().await;
    assert!(body.frame().await.is_some_and(|frame| frame.is_err()));
}
