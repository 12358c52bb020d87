//! Decisions on quarantines from reports of single crashes.

use std::time::{Duration, Instant};

use caraway_quarantine::{
    CrashEvidence, CrashReport, EvidenceSettings, RequestDigest, SegmentId, Suspect,
};

/// The segment that all prompts have.
const SYSTEM: SegmentId = 1;
/// A segment that crashes endpoints.
const DEADLY: SegmentId = 666;
/// Time between crashes that are not simultaneous.
const INTERVAL: Duration = Duration::from_millis(300);
const SERVICE: &str = "lm";
/// Number of crashes that condemn a segment.
const CRASHES: usize = 4;

/// The evidence with a clock, and a number for the next endpoint that crashes.
struct Scene {
    evidence: CrashEvidence,
    now: Instant,
    crashed: u64,
}

impl Scene {
    fn new() -> Self {
        Self {
            evidence: CrashEvidence::new(EvidenceSettings::default()),
            now: Instant::now(),
            crashed: 0,
        }
    }

    /// Crashes another endpoint, with these suspects, `after` the last event.
    fn crash(&mut self, after: Duration, suspects: &[SegmentId]) {
        self.now += after;
        self.crashed += 1;
        let report = report(self.crashed, suspects);
        self.evidence.on_report(self.now, &report);
    }

    /// Lets all instances report what they have seen.
    fn settle(&mut self) {
        self.now += EvidenceSettings::default().settling;
        self.evidence.on_tick(self.now, true);
    }

    fn progress(&mut self, segment: SegmentId) {
        self.now += Duration::from_millis(5);
        self.evidence
            .on_progress(self.now, &SERVICE.into(), Suspect::Segment(segment));
    }

    /// Returns whether a prompt with these shared segments is refused.
    fn is_refused(&mut self, segments: &[SegmentId]) -> bool {
        self.settle();
        let has_segment = |s| matches!(s, Suspect::Segment(id) if segments.contains(&id));
        let found = self.evidence.quarantine(self.now, SERVICE, has_segment);
        found.is_some()
    }
}

fn segments(ids: &[SegmentId]) -> Vec<Suspect> {
    ids.iter().copied().map(Suspect::Segment).collect()
}

fn report(endpoint: u64, suspects: &[SegmentId]) -> CrashReport {
    CrashReport {
        service: SERVICE.into(),
        endpoint: format!("e-{endpoint}").into(),
        started_ms: Some(7),
        suspects: segments(suspects),
        ..CrashReport::default()
    }
}

#[test]
fn segment_that_several_crashes_have_in_common_is_refused() {
    let mut scene = Scene::new();
    scene.crash(INTERVAL, &[SYSTEM, DEADLY, 10]);
    scene.progress(SYSTEM);
    scene.crash(INTERVAL, &[DEADLY, 11]);
    scene.crash(INTERVAL, &[DEADLY, 12]);
    assert!(!scene.is_refused(&[SYSTEM, DEADLY]), "three are not enough");
    scene.crash(INTERVAL, &[DEADLY, 13]);
    assert!(scene.is_refused(&[SYSTEM, DEADLY]));
    for sound in [&[SYSTEM][..], &[SYSTEM, 10], &[SYSTEM, 11, 12]] {
        assert!(!scene.is_refused(sound), "{sound:?}");
    }
    let other = scene.evidence.quarantine(scene.now, "other", |_| true);
    assert!(other.is_none(), "other services are not concerned");
}

// Guards against: all engines lose power at once, and the prompts that were there are refused.
#[test]
fn endpoints_that_crash_at_the_same_moment_condemn_nothing() {
    let mut scene = Scene::new();
    for _ in 0..9 {
        scene.crash(Duration::from_millis(2), &[SYSTEM, 10]);
    }
    assert!(!scene.is_refused(&[SYSTEM, 10]));
    // A second time, before any request has made progress.
    scene.now += Duration::from_secs(3);
    for _ in 0..9 {
        scene.crash(Duration::from_millis(2), &[SYSTEM, 10]);
    }
    assert!(!scene.is_refused(&[SYSTEM, 10]));
}

#[test]
fn progress_clears_a_segment() {
    let mut scene = Scene::new();
    scene.crash(INTERVAL, &[DEADLY]);
    scene.crash(INTERVAL, &[DEADLY]);
    scene.progress(DEADLY);
    scene.crash(INTERVAL, &[DEADLY]);
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(!scene.is_refused(&[DEADLY]));
}

// Guards against: a release of the engines makes them crash on a segment that they served before, and
// nothing is concluded from it.
#[test]
fn segment_that_made_progress_before_takes_more_crashes() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    scene.progress(DEADLY);
    for _ in 1..settings.proven_crashes {
        scene.crash(INTERVAL, &[DEADLY]);
        assert!(!scene.is_refused(&[DEADLY]));
    }
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(scene.is_refused(&[DEADLY]));
}

// Guards against: only instances that have seen no crash know that requests with a segment have made
// progress before.
#[test]
fn instance_that_knows_better_says_so() {
    let mut scene = Scene::new();
    scene.progress(SYSTEM);
    scene.now += INTERVAL;
    scene
        .evidence
        .on_report(scene.now, &report(1, &[SYSTEM, DEADLY]));
    scene.now += INTERVAL;
    let report = report(2, &[SYSTEM, DEADLY]);
    let proven = scene.evidence.on_report(scene.now, &report);
    let suspects: Vec<Suspect> = proven.iter().map(|(suspect, _)| *suspect).collect();
    assert_eq!(suspects, segments(&[SYSTEM]));

    assert!(scene.evidence.is_known(scene.now, &report));
    let mut other = CrashEvidence::new(EvidenceSettings::default());
    assert_eq!(other.on_report(scene.now, &report), []);
    for (segment, at) in proven {
        other.on_progress(at, &SERVICE.into(), segment);
    }
    assert!(
        other.is_suspect(SERVICE, Suspect::Segment(SYSTEM)),
        "progress before the crash"
    );
}

#[test]
fn report_of_a_crash_before_the_progress_changes_nothing() {
    let mut scene = Scene::new();
    scene.crash(INTERVAL, &[10]);
    scene.crash(INTERVAL, &[10]);
    scene.progress(SYSTEM);
    // Another instance saw the first two crashes as well, with the segment that was cleared since.
    for endpoint in [1, 2] {
        let late = report(endpoint, &[SYSTEM, 10]);
        scene.evidence.on_report(scene.now, &late);
    }
    scene.crash(INTERVAL, &[SYSTEM]);
    assert!(!scene.is_refused(&[SYSTEM]));
}

#[test]
fn reports_of_one_crash_by_several_instances_count_once() {
    let mut scene = Scene::new();
    for _ in 0..5 {
        scene.now += INTERVAL;
        scene.evidence.on_report(scene.now, &report(1, &[DEADLY]));
    }
    assert!(!scene.is_refused(&[DEADLY]));
}

// Guards against: a caller that sends another caller's segment with one that crashes endpoints
// gets the other's requests refused.
#[test]
fn segment_beside_the_deadly_one_is_not_refused_by_itself() {
    let mut scene = Scene::new();
    let victim = 20;
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[victim, DEADLY]);
    }
    scene.settle();
    assert!(scene.is_refused(&[SYSTEM, victim, DEADLY]));
    assert!(!scene.is_refused(&[SYSTEM, victim]));
    scene.progress(victim);
    assert!(scene.is_refused(&[SYSTEM, DEADLY]), "the victim is cleared");
}

#[test]
fn crashes_that_a_quarantine_explains_do_not_count_against_other_segments() {
    let mut scene = Scene::new();
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[DEADLY]);
    }
    scene.settle();
    // Requests that were under way when the quarantine came.
    for _ in 0..6 {
        scene.crash(INTERVAL, &[DEADLY, 30]);
    }
    assert!(!scene.is_refused(&[30]));
}

// Guards against: the instance that sent the deadly request reports a crash later than others, and
// what these had there is condemned meanwhile.
#[test]
fn conclusions_wait_for_the_reports_of_all_instances() {
    let mut scene = Scene::new();
    scene.crash(INTERVAL, &[DEADLY, 60]);
    scene.crash(INTERVAL, &[DEADLY, 60]);
    scene.crash(INTERVAL, &[60]);
    scene.evidence.on_tick(scene.now, true);
    scene.now += Duration::from_millis(60);
    scene.evidence.on_report(scene.now, &report(3, &[DEADLY]));
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(scene.is_refused(&[DEADLY]));
    assert!(!scene.is_refused(&[60]));
}

// Guards against: a segment is condemned by crashes that another segment explains, once that has
// more of them.
#[test]
fn later_crashes_show_the_true_cause() {
    let mut scene = Scene::new();
    let second = 667;
    scene.crash(INTERVAL, &[DEADLY, 70]);
    scene.crash(INTERVAL, &[second, 70]);
    scene.crash(INTERVAL, &[DEADLY, 70]);
    scene.crash(INTERVAL, &[DEADLY, 70]);
    assert!(scene.is_refused(&[70]), "it has most crashes");
    scene.crash(INTERVAL, &[DEADLY]);
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(scene.is_refused(&[DEADLY]));
    assert!(!scene.is_refused(&[70]));
}

#[test]
fn isolated_instance_needs_more_crashes() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    let mut verdicts = Vec::new();
    for number in 1..=settings.crashes * settings.isolated_factor {
        assert!(verdicts.is_empty(), "after {} crashes", number - 1);
        scene.crash(INTERVAL, &[DEADLY]);
        let settled_at = scene.now + settings.settling;
        verdicts = scene.evidence.on_tick(settled_at, false);
    }
    assert_eq!(verdicts.len(), 1);
}

#[test]
fn two_deadly_segments_are_both_found() {
    let mut scene = Scene::new();
    let second = 667;
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[DEADLY]);
        scene.crash(INTERVAL, &[second]);
    }
    assert!(scene.is_refused(&[SYSTEM, DEADLY]));
    assert!(scene.is_refused(&[SYSTEM, second]));
}

// Guards against: the first three crashes had two segments in common, and further crashes with only
// one of them take as long as the first ones to be understood.
#[test]
fn crash_with_fewer_segments_narrows_a_quarantine() {
    let mut scene = Scene::new();
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[DEADLY, 50]);
    }
    assert!(!scene.is_refused(&[DEADLY]));
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(scene.is_refused(&[DEADLY]));
    assert!(!scene.is_refused(&[50]));
}

#[test]
fn one_crash_renews_a_quarantine_that_has_ended() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[DEADLY]);
    }
    scene.settle();
    scene.now += settings.lifetime;
    assert!(!scene.is_refused(&[DEADLY]), "it is tried again");
    scene.crash(INTERVAL, &[DEADLY, 40]);
    assert!(scene.is_refused(&[DEADLY]));
    scene.now += settings.lifetime;
    assert!(scene.is_refused(&[DEADLY]), "it lasts longer this time");
    assert!(!scene.is_refused(&[40]));
}

#[test]
fn progress_after_the_end_of_a_quarantine_ends_it_for_good() {
    let mut scene = Scene::new();
    for _ in 0..CRASHES {
        scene.crash(INTERVAL, &[DEADLY]);
    }
    scene.settle();
    scene.now += EvidenceSettings::default().lifetime;
    scene.progress(DEADLY);
    scene.crash(INTERVAL, &[DEADLY]);
    assert!(!scene.is_refused(&[DEADLY]));
}

#[test]
fn memory_is_bounded() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    for number in 0..100 {
        let suspects: Vec<SegmentId> = (0..200).map(|s| number * 1000 + s).collect();
        for _ in 0..CRASHES {
            scene.crash(Duration::from_millis(50), &suspects);
        }
        scene.settle();
    }
    let quarantines = scene.evidence.quarantines(scene.now).count();
    assert_eq!(quarantines, settings.max_quarantines);
}

// Guards against: instances pass the same report on to each other without end, as what it says was
// cleared meanwhile.
#[test]
fn report_whose_suspects_were_cleared_is_known() {
    let mut scene = Scene::new();
    scene.crash(INTERVAL, &[SYSTEM, DEADLY]);
    scene.progress(SYSTEM);
    scene.progress(DEADLY);
    let again = report(1, &[SYSTEM, DEADLY]);
    assert!(scene.evidence.is_known(scene.now, &again));
    assert!(
        !scene
            .evidence
            .is_known(scene.now, &report(1, &[SYSTEM, 80]))
    );
}

/// A request that crashes endpoints.
const DEADLY_REQUEST: RequestDigest = RequestDigest(999);

fn request(number: u128) -> Suspect {
    Suspect::Request(RequestDigest(number))
}

impl Scene {
    /// Crashes another endpoint, with these requests as suspects, `after` the last event.
    fn crash_with(&mut self, after: Duration, requests: &[u128]) {
        self.now += after;
        self.crashed += 1;
        let report = CrashReport {
            suspects: requests.iter().map(|n| request(*n)).collect(),
            ..report(self.crashed, &[])
        };
        self.evidence.on_report(self.now, &report);
    }

    fn end(&mut self, number: u128) {
        self.now += Duration::from_millis(5);
        let service = SERVICE.into();
        self.evidence
            .on_progress(self.now, &service, request(number));
    }

    fn is_request_refused(&mut self, number: u128) -> bool {
        self.settle();
        let has = |s| s == request(number);
        self.evidence.quarantine(self.now, SERVICE, has).is_some()
    }
}

// Guards against: a request crashes endpoints while sound ones share all segments of its prompt.
#[test]
fn request_at_several_crashes_is_refused() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    for number in 0..settings.request_crashes {
        assert!(!scene.is_request_refused(DEADLY_REQUEST.0), "{number}");
        scene.now += INTERVAL;
        scene.crashed += 1;
        let report = CrashReport {
            suspects: [
                segments(&[SYSTEM, 10]),
                vec![Suspect::Request(DEADLY_REQUEST)],
            ]
            .concat(),
            ..report(scene.crashed, &[])
        };
        scene.evidence.on_report(scene.now, &report);
        scene.progress(SYSTEM);
    }
    assert!(scene.is_request_refused(DEADLY_REQUEST.0));
    assert!(!scene.is_request_refused(1000));
    assert!(!scene.is_refused(&[SYSTEM, 10]), "its segments are not");
}

#[test]
fn request_that_ended_well_since_is_cleared() {
    let mut scene = Scene::new();
    scene.crash_with(INTERVAL, &[7]);
    scene.crash_with(INTERVAL, &[7]);
    scene.end(7);
    scene.crash_with(INTERVAL, &[7]);
    scene.crash_with(INTERVAL, &[7]);
    assert!(!scene.is_request_refused(7));
}

// Guards against: a request that is sent again after each crash that another one caused is refused.
#[test]
fn bystander_that_is_sent_again_is_not_refused() {
    let mut scene = Scene::new();
    let deadly = DEADLY_REQUEST.0;
    for _ in 0..3 {
        scene.crash_with(INTERVAL, &[7, deadly]);
    }
    assert!(!scene.is_request_refused(7), "they can't be told apart");
    assert!(
        !scene.is_request_refused(deadly),
        "they can't be told apart"
    );
    scene.crash_with(INTERVAL, &[deadly]);
    assert!(scene.is_request_refused(deadly));
    scene.crash_with(INTERVAL, &[7, deadly]);
    assert!(!scene.is_request_refused(7));
}

// Guards against: endpoints crash for another reason, and what all callers poll is refused.
#[test]
fn frequent_request_that_ended_well_before_is_not_refused() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    scene.end(7);
    for _ in 1..settings.proven_crashes {
        scene.crash_with(INTERVAL, &[7, 8]);
    }
    assert!(!scene.is_request_refused(7));
}

#[test]
fn requests_that_are_at_the_same_moment_at_all_endpoints_are_not_refused() {
    let mut scene = Scene::new();
    for _ in 0..9 {
        scene.crash_with(Duration::from_millis(2), &[7]);
    }
    assert!(!scene.is_request_refused(7));
}

#[test]
fn repeats_of_a_deadly_segment_do_not_hide_it() {
    let mut scene = Scene::new();
    for number in 0..6 {
        scene.now += INTERVAL;
        scene.crashed += 1;
        // The first callers send their requests again.
        let report = CrashReport {
            suspects: vec![Suspect::Segment(DEADLY), request(number / 3)],
            ..report(scene.crashed, &[])
        };
        scene.evidence.on_report(scene.now, &report);
        scene.settle();
    }
    assert!(scene.is_refused(&[DEADLY]));
}

#[test]
fn ten_deadly_requests_are_all_found() {
    let mut scene = Scene::new();
    for round in 0..4 {
        for number in 0..10 {
            let bystander = 100 + number + 10 * round;
            scene.crash_with(INTERVAL / 3, &[number, bystander]);
        }
    }
    for number in 0..10 {
        assert!(scene.is_request_refused(number), "{number}");
    }
    assert!(!scene.is_request_refused(103));
}

// Guards against: callers that fill the quarantines keep later requests from being refused.
#[test]
fn quarantine_that_ends_first_makes_room_for_another() {
    let settings = EvidenceSettings::default();
    let mut scene = Scene::new();
    let last = settings.max_quarantines as u128;
    for number in 0..=last {
        // One more than for a request that was at all crashes.
        for _ in 0..=settings.request_crashes {
            scene.crash_with(INTERVAL, &[number]);
        }
        scene.settle();
    }
    assert!(scene.is_request_refused(last));
    assert!(!scene.is_request_refused(0));
    let quarantines = scene.evidence.quarantines(scene.now).count();
    assert_eq!(quarantines, settings.max_quarantines);
}

// Guards against: reports of instances with an earlier version of the software can't be read.
#[test]
fn report_of_an_earlier_version_is_read() {
    let text = r#"{"service":"lm","endpoint":"e-1","born":7,"age":5,"suspects":[11],"proven":[12],
        "requests":["r1"]}"#;
    let read: CrashReport = serde_json::from_str(text).expect("a report");
    assert_eq!(read.suspects, segments(&[11]));
    assert_eq!(read.proven, segments(&[12]));
}

// Guards against: what all callers poll is refused, as few instances know that it has ended well and
// crashes follow each other too fast for them to say so.
#[test]
fn instance_that_knows_a_request_says_so_at_its_first_crash() {
    let mut scene = Scene::new();
    scene.end(7);
    scene.now += INTERVAL;
    let report = CrashReport {
        suspects: vec![request(7), request(8)],
        ..report(1, &[SYSTEM])
    };
    let proven = scene.evidence.on_report(scene.now, &report);
    let suspects: Vec<Suspect> = proven.iter().map(|(suspect, _)| *suspect).collect();
    assert_eq!(suspects, [request(7)]);
}
