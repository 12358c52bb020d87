//! Explains a failed request from the logs of two instances.

use caraway_explain::{Explanation, Logs};

/// Log of the instance that served the request; the last line is truncated.
const SERVING_LOG: &str = r#"
{"msg":"configuration applied","ts":"2026-09-16T05:56:20.000000000Z","instance":"gate-1","version":7,"event":1100}
{"msg":"configuration applied","ts":"2026-09-16T05:56:21.000000000Z","instance":"gate-1","version":9,"event":1100}
{"msg":"holder changed","ts":"2026-09-16T05:56:22.000000000Z","instance":"gate-1","holder":"gate-2","held_zone":"z1","event":1200}
{"msg":"endpoint changed","ts":"2026-09-16T05:56:22.500000000Z","instance":"gate-1","endpoint":"e-1","change":"New","event":1120}
{"msg":"endpoint granted","ts":"2026-09-16T05:56:26.300000000Z","instance":"gate-1","ms":263,"waited":true,"by":"z1","endpoint":"e-1","adapter":"m/a1","request":"r1","event":1400}
{"msg":"answered","ts":"2026-09-16T05:56:26.340000000Z","instance":"gate-1","ms":298,"request":"r2","event":1401}
{"msg":"attempt failed","ts":"2026-09-16T05:56:27.300000000Z","instance":"gate-1","endpoint":"e-1","why":"the stream broke off","request":"r1","event":1403}
{"msg":"request failed","ts":"2026-09-16T05:56:27.301000000Z","instance":"gate-1","reason":"the stream broke off","request":"r1","event":1402}
{"msg":"configuration applied","ts":"2026-09-16T05:56:28.000000000Z","instance":"gate-1","version":10,"event":1100}
{"msg":"endpoint changed","ts":"2026-09-16T05:56:30.000000000Z","instance":"gate-1","endpoint":"e-1","change":"Gone","event":1120}
{"msg":"endpoint changed","ts":"2026-09-16T05:56:50.000000000Z","instance":"gate-1","endpoint":"e-1","change":"New","event":1120}
{"msg":"request fai"#;
/// Log of the instance that was the holder of the zone.
const HOLDER_LOG: &str = r#"
no JSON
{"msg":"order ended","ts":"2026-09-16T05:56:26.050000000Z","instance":"gate-2","held_zone":"z1","order":"load","end":"accepted","adapter":"m/a1","event":1300}
{"msg":"order ended","ts":"2026-09-16T05:56:26.060000000Z","instance":"gate-2","held_zone":"z1","order":"load","end":"accepted","adapter":"m/a2","event":1300}
{"msg":"order ended","ts":"2026-09-16T05:56:26.299000000Z","instance":"gate-2","held_zone":"z1","order":"poll","end":"holds","adapter":"m/a1","event":1300}
{"msg":"placer levels","ts":"2026-09-16T05:56:25.500000000Z","instance":"gate-2","held_zone":"z1","waiting":12,"event":1303}
{"msg":"placer levels","ts":"2026-09-16T05:56:26.500000000Z","instance":"gate-2","held_zone":"z2","waiting":99,"event":1303}
"#;

fn logs() -> Logs {
    let mut logs = Logs::default();
    for log in [SERVING_LOG, HOLDER_LOG] {
        logs.read(log.as_bytes()).expect("memory can be read");
    }
    logs
}

#[test]
fn the_lines_of_a_request_are_listed_in_order_with_their_context() {
    let logs = logs();
    let explanation = Explanation::of_request(&logs, "r1").expect("the request is named");
    let request_lines: Vec<u16> = explanation.request_lines.iter().map(|l| l.event).collect();
    assert_eq!(request_lines, [1400, 1403, 1402]);
    let text = explanation.to_string();
    let expected = [
        "its configuration: configuration applied (1100) version=9",
        "the holder of z1: holder changed (1200) held_zone=\"z1\" holder=\"gate-2\"",
        "endpoint e-1 before: endpoint changed (1120) change=\"New\"",
        "endpoint e-1 later: endpoint changed (1120) change=\"Gone\"",
        "the placer of z1: placer levels (1303) held_zone=\"z1\" waiting=12",
        "order=\"load\"",
        "order=\"poll\"",
        "2 lines could not be read",
    ];
    for part in expected {
        assert!(text.contains(part), "{part} is missing in\n{text}");
    }
    for part in ["version=7", "version=10", "m/a2", "waiting=99", "r2"] {
        assert!(!text.contains(part), "{part} does not belong into\n{text}");
    }
}

#[test]
fn a_request_that_no_line_names_has_no_explanation() {
    assert_eq!(Explanation::of_request(&logs(), "r9"), None);
    assert_eq!(
        logs().unreadable(),
        2,
        "the cut line and the one without JSON"
    );
}

/// Log of an instance that refused a request as the limits of all endpoints left no room.
const LIMITED_LOG: &str = r#"
{"msg":"endpoint limit","ts":"2026-12-04T15:38:40.100000000Z","instance":"gate-1","endpoint":"d-1","per_second":9,"from":"answer","request":"r0","event":1123}
{"msg":"endpoint limit","ts":"2026-12-04T15:38:44.100000000Z","instance":"gate-1","endpoint":"d-1","per_second":5,"former":9,"from":"holder","request":"","event":1123}
{"msg":"endpoint limit","ts":"2026-12-04T15:38:44.200000000Z","instance":"gate-1","endpoint":"d-2","per_second":7,"from":"holder","request":"","event":1123}
{"msg":"permit denied","ts":"2026-12-04T15:38:45.100000000Z","instance":"gate-1","held_zone":"z1","endpoint":"d-1","per_second":5,"source":"holder","after_ms":900,"request":"r3","event":1124}
{"msg":"request failed","ts":"2026-12-04T15:38:45.101000000Z","instance":"gate-1","detail":"all endpoints asked for a pause or limit their requests","request":"r3","event":1402}
{"msg":"holder changed","ts":"2026-12-04T15:38:30.000000000Z","instance":"gate-1","holder":"gate-2","held_zone":"z1","event":1200}
{"msg":"placer levels","ts":"2026-12-04T15:38:44.500000000Z","instance":"gate-2","held_zone":"z1","limited":2,"held_back":31,"event":1303}
"#;

#[test]
fn a_request_that_got_no_permit_is_explained_by_the_limit_and_the_zone_that_kept_it() {
    let mut logs = Logs::default();
    logs.read(LIMITED_LOG.as_bytes())
        .expect("memory can be read");
    let explanation = Explanation::of_request(&logs, "r3").expect("the request is named");
    let text = explanation.to_string();
    let expected = [
        "permit denied (1124)",
        "limit of endpoint d-1: endpoint limit (1123)",
        "per_second=5",
        "the holder of z1: holder changed (1200)",
        "the placer of z1: placer levels (1303)",
    ];
    for part in expected {
        assert!(text.contains(part), "{part} is missing in\n{text}");
    }
    for part in ["per_second=9", "per_second=7", "r0"] {
        assert!(!text.contains(part), "{part} does not belong into\n{text}");
    }
}

/// Logs of instances that put prompts with the segments `a` and `b` in quarantine.
const QUARANTINE_LOG: &str = r#"
{"msg":"endpoint crashed","ts":"2026-12-04T15:38:40.100000000Z","instance":"gate-1","endpoint":"e-1","seen_by":"gate-1","suspects":"a,b,c","requests":"r1,r2","event":1125}
{"msg":"endpoint crashed","ts":"2026-12-04T15:38:41.100000000Z","instance":"gate-1","endpoint":"e-2","seen_by":"gate-2","suspects":"a,b","requests":"r4","event":1125}
{"msg":"endpoint crashed","ts":"2026-12-04T15:38:41.200000000Z","instance":"gate-1","endpoint":"e-3","seen_by":"gate-2","suspects":"a,d","requests":"r5","event":1125}
{"msg":"quarantine started","ts":"2026-12-04T15:38:41.500000000Z","instance":"gate-1","suspects":"d","crashed":"e-3","event":1126}
{"msg":"quarantine started","ts":"2026-12-04T15:38:41.400000000Z","instance":"gate-1","suspects":"a,b","crashed":"e-1,e-2","event":1126}
{"msg":"request failed","ts":"2026-12-04T15:38:45.101000000Z","instance":"gate-1","reason":"Quarantined","detail":"the endpoints e-1, e-2 crashed on requests with a,b","request":"r9","event":1402}
{"msg":"attempt failed","ts":"2026-12-04T15:38:40.090000000Z","instance":"gate-1","endpoint":"e-1","why":"the connection broke","request":"r2","event":1403}
"#;

#[test]
fn a_quarantined_request_is_explained_by_the_crashes_before() {
    let mut logs = Logs::default();
    logs.read(QUARANTINE_LOG.as_bytes())
        .expect("memory can be read");
    let text = |id| {
        let explanation = Explanation::of_request(&logs, id).expect("the request is named");
        explanation.to_string()
    };
    let refused = text("r9");
    for part in [
        "the quarantine that it is in: quarantine started (1126)",
        "a crash that led to it: endpoint crashed (1125) endpoint=\"e-1\"",
        "a crash that led to it: endpoint crashed (1125) endpoint=\"e-2\"",
    ] {
        assert!(refused.contains(part), "{part} is missing in\n{refused}");
    }
    assert!(!refused.contains("e-3"), "{refused}");
    let crashed = text("r2");
    assert!(
        crashed.contains("a crash that it may have caused: endpoint crashed (1125)"),
        "{crashed}"
    );
}

/// Log of an instance that refused requests for their key or for their account's quota.
const DENIED_LOG: &str = r#"
{"msg":"configuration applied","ts":"2026-12-06T05:40:13.286000000Z","instance":"gate-2","version":4,"event":1100}
{"msg":"quota exhausted","ts":"2026-12-06T05:40:13.409761653Z","instance":"gate-2","account":"few","exhausted":true,"rate":10.0,"event":1150}
{"msg":"quota exhausted","ts":"2026-12-06T05:40:13.500000000Z","instance":"gate-2","account":"many","exhausted":true,"rate":99.0,"event":1150}
{"msg":"request denied","ts":"2026-12-06T05:40:16.421262128Z","instance":"gate-2","status":429,"account":"few","spent":15.0,"allowance_age_ms":32,"config_age_ms":3134,"request":"r7","event":1409}
{"msg":"request denied","ts":"2026-12-06T05:40:16.500000000Z","instance":"gate-2","status":401,"detail":"the request has no key","version":4,"config_age_ms":3213,"request":"r8","event":1409}
"#;

#[test]
fn a_request_that_was_denied_is_explained_by_the_quota_and_the_configuration() {
    let mut logs = Logs::default();
    logs.read(DENIED_LOG.as_bytes())
        .expect("memory can be read");
    let text = |id| {
        let explanation = Explanation::of_request(&logs, id);
        explanation.expect("the request is named").to_string()
    };
    let (quota, key) = (text("r7"), text("r8"));
    for part in [
        "the quota of few: quota exhausted (1150)",
        "rate=10.0",
        "spent=15.0",
        "allowance_age_ms=32",
        "config_age_ms=3134",
    ] {
        assert!(quota.contains(part), "{part} is missing in\n{quota}");
    }
    assert!(!quota.contains("many"), "{quota}");
    for part in [
        "the request has no key",
        "configuration applied (1100) version=4",
    ] {
        assert!(key.contains(part), "{part} is missing in\n{key}");
    }
    assert!(!key.contains("1150"), "{key}");
}
