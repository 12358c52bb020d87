//! Log lines: the queue is bounded, and writing to it never blocks.

use std::{
    io::Write,
    time::{Duration, Instant},
};

use caraway_gateway::{LogLimits, LogQueue, json_logger};

fn limits(max_queued: usize) -> LogLimits {
    LogLimits {
        max_queued,
        flush_interval: Duration::ZERO,
    }
}

#[test]
fn full_queue_drops_and_counts_lines() {
    let (mut queue, lines) = LogQueue::new(limits(2));
    for number in 0..5 {
        let line = format!("{number}\n");
        queue
            .write_all(line.as_bytes())
            .expect("a full queue returns no error");
    }
    let kept: Vec<Vec<u8>> = lines.try_iter().collect();
    assert_eq!(kept.concat(), b"0\n1\n");
    assert_eq!(queue.dropped(), 3);
}

#[test]
fn blocked_writer_does_not_block_logging() {
    let (queue, _lines) = LogQueue::new(limits(1));
    let log = json_logger(queue.clone(), "i", "z");
    let start = Instant::now();
    for number in 0..1000 {
        slog::info!(log, "line"; "number" => number);
    }
    // Nothing reads the queue, so that a logger that waits for space would never return.
    assert!(start.elapsed() < Duration::from_secs(20));
    assert_eq!(queue.dropped(), 999);
}

#[test]
fn line_is_json_with_the_instance_and_zone() {
    let (queue, lines) = LogQueue::new(limits(8));
    let log = json_logger(queue, "gate-1", "east");
    slog::warn!(log, "request failed"; "event" => 1402, "request" => "r1");
    let line = lines.try_recv().expect("a line");
    let line: serde_json::Value = serde_json::from_slice(&line).expect("JSON");
    assert_eq!(line["instance"], "gate-1");
    assert_eq!(line["zone"], "east");
    assert_eq!(line["event"], 1402);
    assert_eq!(line["request"], "r1");
}
