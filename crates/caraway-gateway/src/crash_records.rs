//! Shares evidence of crashes with all instances: through a topic of the platform's store and, while
//! the store can't be written to, through the sessions with the zones' holders.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use caraway_platform::{Record, Topic, crash_key, progress_key, quarantine_key};
use caraway_quarantine::{CrashReport, EvidenceSettings, Quarantine, Suspect, Verdict};
use caraway_types::{EndpointId, InstanceId, Millis};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    apply::RecordSource, event::emit, executor::millis, frame::RecordsFrame, shared::Shared,
    store_backoff::StoreBackoff, topics,
};

/// Label of frames with evidence that the store does not have.
pub(crate) const PEER_EVIDENCE_LABEL: &str = "peer-evidence";
/// Number of keys under which crashes and progress are reported. A later record may replace an
/// earlier one, which all running instances have read by then.
const EVIDENCE_KEYS: u64 = 64;
/// Delay of shared progress for each instance of the deployment, so that few of those that see
/// progress with the same segment share it.
const PROGRESS_DELAY: Duration = Duration::from_millis(2);
/// Largest delay of shared progress, a part of the time in which crashes settle.
const MAX_PROGRESS_DELAY: Duration = Duration::from_millis(400);
/// Delay of a shared quarantine for each instance. All instances decide on it at about the same
/// time; only those that start later depend on the record.
const QUARANTINE_DELAY: Duration = Duration::from_millis(20);
/// Age from which on a crash is not reported any more: what has happened since is not known.
const MAX_CRASH_AGE: Duration = Duration::from_secs(1);
/// Number of records that are shared at a time.
const MAX_SHARING: usize = 64;
/// Number of attempts to append a record.
const MAX_APPENDS: u32 = 3;

/// A record of [`Topic::Shared`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EvidenceRecord {
    /// An instance has seen a crash.
    Crash {
        /// The instance.
        instance: InstanceId,
        /// What it has seen.
        report: CrashReport,
    },
    /// A request with this suspect has made progress.
    Progress {
        /// The service.
        service: Arc<str>,
        /// The suspect.
        #[serde(rename = "segment")]
        suspect: Suspect,
        /// Time since the progress.
        age: Millis,
    },
    /// Suspects are in quarantine.
    Quarantine {
        /// The service.
        service: Arc<str>,
        /// The suspects.
        #[serde(rename = "segments")]
        suspects: BTreeSet<Suspect>,
        /// The endpoints that crashed.
        crashed: Vec<EndpointId>,
        /// When the quarantine ends, in Unix milliseconds.
        until_ms: u64,
        /// Time for which it lasts.
        lifetime: Millis,
    },
}

impl EvidenceRecord {
    fn of_quarantine(quarantine: &Quarantine) -> Self {
        let remaining = quarantine.until.saturating_duration_since(Shared::now());
        Self::Quarantine {
            service: quarantine.service.clone(),
            suspects: quarantine.suspects.clone(),
            crashed: quarantine.crashed.clone(),
            until_ms: Shared::unix_ms().saturating_add(millis(remaining)),
            lifetime: quarantine.lifetime.into(),
        }
    }

    /// Returns the key under which the record is stored.
    fn key(&self) -> Arc<str> {
        match self {
            Self::Crash { instance, .. } => crash_key(xxh3_64(instance.as_bytes()) % EVIDENCE_KEYS),
            Self::Progress {
                service, suspect, ..
            } => progress_key(suspects_hash(service, [suspect]) % EVIDENCE_KEYS),
            Self::Quarantine {
                service, suspects, ..
            } => quarantine_key(suspects_hash(service, suspects)),
        }
    }

    /// Sets the time since a crash or progress was seen.
    fn set_age(&mut self, time: Duration) {
        match self {
            Self::Crash { report, .. } => report.age = time.into(),
            Self::Progress { age, .. } => *age = time.into(),
            Self::Quarantine { .. } => {}
        }
    }

    fn encode(&self) -> Bytes {
        let value = serde_json::to_vec(self);
        value.expect("evidence has only strings and numbers").into()
    }
}

/// Handles a crash that this instance has seen at `broke_at`, unless others have reported the same.
pub(crate) fn on_own_crash(shared: &Rc<Shared>, report: CrashReport, broke_at: Instant) {
    if shared.crash_watch.is_known(&report) {
        return;
    }
    apply_crash(shared, &shared.site.instance, &report);
    let instance = shared.site.instance.clone();
    let evidence = EvidenceRecord::Crash { instance, report };
    spawn_append(shared, evidence.key(), Some(evidence), broke_at);
}

/// Handles progress with a suspect that this instance has seen at `at`.
pub(crate) fn on_own_progress(
    shared: &Rc<Shared>,
    service: &Arc<str>,
    suspect: Suspect,
    at: Instant,
) {
    apply_progress(shared, service, suspect, at);
    share_progress(shared, service, suspect, at);
}

/// Applies a record of [`Topic::Shared`]; returns whether it was new. Crashes and progress that may
/// be old are not applied: what they led to is in the records of quarantines.
pub(crate) fn on_record(shared: &Rc<Shared>, record: &Record, source: RecordSource) -> bool {
    let Some(value) = &record.value else {
        return lift(shared, &record.key);
    };
    let evidence = match serde_json::from_slice::<EvidenceRecord>(value) {
        Ok(evidence) => evidence,
        Err(e) => {
            emit!(shared, warn, ConfigFinding; "key" => &*record.key, "offset" => record.offset,
                "finding" => %e);
            return false;
        }
    };
    let may_be_old = source == RecordSource::Snapshot || topics::may_miss_shared(shared);
    match evidence {
        EvidenceRecord::Quarantine {
            service,
            suspects,
            crashed,
            until_ms,
            lifetime,
        } => {
            let remaining = Duration::from_millis(until_ms.saturating_sub(Shared::unix_ms()));
            let lifetime = lifetime.get().min(EvidenceSettings::default().max_lifetime);
            let now = Shared::now();
            let quarantine = Quarantine {
                service,
                suspects,
                crashed,
                decided_at: now,
                // The clock of the instance that wrote the record may be wrong.
                until: now + remaining.min(lifetime * 2),
                lifetime,
            };
            adopt(shared, &record.key, &quarantine)
        }
        EvidenceRecord::Crash { .. } | EvidenceRecord::Progress { .. } if may_be_old => false,
        EvidenceRecord::Crash { instance, report } => {
            let is_own = instance == shared.site.instance;
            if is_own || shared.crash_watch.is_known(&report) {
                return false;
            }
            apply_crash(shared, &instance, &report);
            true
        }
        EvidenceRecord::Progress {
            service,
            suspect,
            age,
        } => {
            let watch = &shared.crash_watch;
            let key = (service, suspect);
            watch.unshared_progress.borrow_mut().remove(&key);
            let (service, suspect) = key;
            let is_suspect = watch.evidence.borrow().is_suspect(&service, suspect);
            if is_suspect {
                let now = Instant::now();
                let at = now.checked_sub(age.get()).unwrap_or(now);
                apply_progress(shared, &service, suspect, at);
            }
            is_suspect
        }
    }
}

/// Handles evidence that another instance could not write to the store.
pub(crate) fn on_peer_evidence(shared: &Rc<Shared>, frame: &RecordsFrame) {
    let holds = !shared.held_zones.borrow().is_empty();
    for record in &frame.records {
        if on_record(shared, record, RecordSource::Log) && holds {
            topics::send_to_peers(shared, PEER_EVIDENCE_LABEL, record.clone());
        }
    }
}

/// Logs how a quarantine changed, and shares that unless another instance does.
pub(crate) fn on_verdict(shared: &Rc<Shared>, verdict: Verdict) {
    let Verdict { before, after } = verdict;
    if let Some(before) = before
        && after.as_ref().is_none_or(|a| a.suspects != before.suspects)
    {
        emit!(shared, info, QuarantineEnded; "service" => &*before.service,
            "suspects" => suspect_list(&before.suspects),
            "why" => "other suspects explain its crashes, or others need the room");
        share_quarantine(shared, key_of(&before), None);
    }
    if let Some(after) = after {
        log_quarantine(shared, &after, "own evidence");
        share_quarantine(shared, key_of(&after), Some(after));
    }
}

/// Shares all quarantines again, as the store may have lost them.
pub(crate) fn share_quarantines(shared: &Rc<Shared>) {
    let quarantines: Vec<Quarantine> = {
        let evidence = shared.crash_watch.evidence.borrow();
        evidence.quarantines(Shared::now()).cloned().collect()
    };
    for quarantine in quarantines {
        share_quarantine(shared, key_of(&quarantine), Some(quarantine));
    }
}

fn apply_crash(shared: &Rc<Shared>, instance: &InstanceId, report: &CrashReport) {
    emit!(shared, info, EndpointCrashed; "endpoint" => &*report.endpoint,
        "service" => &*report.service, "seen_by" => &**instance,
        "suspects" => suspect_list(&report.suspects), "proven" => suspect_list(&report.proven),
        "requests" => report.requests.join(","), "age_ms" => millis(report.age.get()));
    let proven = {
        let mut evidence = shared.crash_watch.evidence.borrow_mut();
        evidence.on_report(Shared::now(), report)
    };
    for (suspect, at) in proven {
        share_progress(shared, &report.service, suspect, Instant::from_std(at));
    }
}

fn apply_progress(shared: &Rc<Shared>, service: &Arc<str>, suspect: Suspect, at: Instant) {
    let verdicts = {
        let mut evidence = shared.crash_watch.evidence.borrow_mut();
        evidence.on_progress(at.into_std(), service, suspect)
    };
    for verdict in verdicts {
        on_verdict(shared, verdict);
    }
}

fn log_quarantine(shared: &Shared, quarantine: &Quarantine, source: &str) {
    emit!(shared, warn, QuarantineStarted; "service" => &*quarantine.service,
        "suspects" => suspect_list(&quarantine.suspects),
        "crashed" => quarantine.crashed.join(","), "source" => source,
        "ms" => millis(quarantine.until.saturating_duration_since(Shared::now())));
}

fn adopt(shared: &Rc<Shared>, key: &Arc<str>, quarantine: &Quarantine) -> bool {
    let watch = &shared.crash_watch;
    watch.unshared_quarantines.borrow_mut().remove(key);
    if quarantine.until <= Shared::now() {
        return false;
    }
    let is_new = watch.evidence.borrow_mut().adopt(quarantine.clone());
    if is_new {
        log_quarantine(shared, quarantine, "another instance");
    }
    is_new
}

/// Ends the quarantine with this key; returns whether it was known.
fn lift(shared: &Rc<Shared>, key: &Arc<str>) -> bool {
    let watch = &shared.crash_watch;
    watch.unshared_quarantines.borrow_mut().remove(key);
    let known: Vec<Quarantine> = {
        let evidence = watch.evidence.borrow();
        let all = evidence.quarantines(Shared::now());
        all.filter(|q| key_of(q) == *key).cloned().collect()
    };
    for quarantine in &known {
        emit!(shared, info, QuarantineEnded; "service" => &*quarantine.service,
            "suspects" => suspect_list(&quarantine.suspects), "why" => "its record was deleted");
        let mut evidence = watch.evidence.borrow_mut();
        evidence.lift(&quarantine.service, &quarantine.suspects);
    }
    !known.is_empty()
}

/// Shares progress with a suspect after a random delay, unless another instance does.
fn share_progress(shared: &Rc<Shared>, service: &Arc<str>, suspect: Suspect, at: Instant) {
    let key = (service.clone(), suspect);
    let is_scheduled = {
        let mut unshared = shared.crash_watch.unshared_progress.borrow_mut();
        !unshared.insert(key.clone())
    };
    if is_scheduled {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        sleep(shared.random_delay(PROGRESS_DELAY).min(MAX_PROGRESS_DELAY)).await;
        let is_unshared = {
            let mut unshared = shared.crash_watch.unshared_progress.borrow_mut();
            unshared.remove(&key)
        };
        if is_unshared {
            let (service, suspect) = key;
            let evidence = EvidenceRecord::Progress {
                service,
                suspect,
                age: Millis::default(),
            };
            spawn_append(&shared, evidence.key(), Some(evidence), at);
        }
    });
}

/// Shares that a quarantine has started, or ended if `quarantine` is `None`, after a random delay
/// and unless another instance has done so.
fn share_quarantine(shared: &Rc<Shared>, key: Arc<str>, quarantine: Option<Quarantine>) {
    let is_scheduled = {
        let mut unshared = shared.crash_watch.unshared_quarantines.borrow_mut();
        unshared.insert(key.clone(), quarantine).is_some()
    };
    if is_scheduled {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        sleep(shared.random_delay(QUARANTINE_DELAY)).await;
        let unshared = {
            let mut unshared = shared.crash_watch.unshared_quarantines.borrow_mut();
            unshared.remove(&key)
        };
        if let Some(quarantine) = unshared {
            let evidence = quarantine.as_ref().map(EvidenceRecord::of_quarantine);
            spawn_append(&shared, key, evidence, Instant::now());
        }
    });
}

/// Appends a record to the store; `None` deletes the key. `seen_at` is when this instance saw what
/// the record says.
fn spawn_append(
    shared: &Rc<Shared>,
    key: Arc<str>,
    evidence: Option<EvidenceRecord>,
    seen_at: Instant,
) {
    let sharing = &shared.crash_watch.sharing;
    let is_admitted = {
        let mut limiter = shared.crash_watch.share_limiter.borrow_mut();
        limiter.admit(Instant::now(), shared.estimated_instances())
    };
    if sharing.get() >= MAX_SHARING || !is_admitted {
        emit!(shared, warn, EvidenceLost; "key" => &*key, "error" => "too many are being shared");
        return;
    }
    sharing.set(sharing.get() + 1);
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        append(&shared, &key, evidence, seen_at).await;
        let sharing = &shared.crash_watch.sharing;
        sharing.set(sharing.get() - 1);
    });
}

/// Appends a record to the store, and sends it to other instances directly while that fails.
async fn append(
    shared: &Rc<Shared>,
    key: &Arc<str>,
    mut evidence: Option<EvidenceRecord>,
    seen_at: Instant,
) {
    let mut retry = StoreBackoff::default();
    for attempt in 1..=MAX_APPENDS {
        if let Some(evidence) = &mut evidence {
            evidence.set_age(seen_at.elapsed());
        }
        let value = evidence.as_ref().map(EvidenceRecord::encode);
        let text = value.as_deref().unwrap_or_default();
        let result = shared.store.append(Topic::Shared, key, text).await;
        shared.metrics.record_store_call("evidence", result.is_ok());
        let Err(error) = result else {
            return;
        };
        if attempt == 1 {
            let record = Record {
                offset: 0,
                key: key.clone(),
                value,
            };
            topics::send_to_peers(shared, PEER_EVIDENCE_LABEL, record);
        }
        let is_crash = matches!(evidence, Some(EvidenceRecord::Crash { .. }));
        let is_old = is_crash && seen_at.elapsed() > MAX_CRASH_AGE;
        if attempt == MAX_APPENDS || is_old {
            emit!(shared, warn, EvidenceLost; "key" => &**key, "error" => %error);
            return;
        }
        sleep(retry.record_failure(true, shared.zone_instances())).await;
    }
}

/// Returns the key of a quarantine's record.
fn key_of(quarantine: &Quarantine) -> Arc<str> {
    quarantine_key(suspects_hash(&quarantine.service, &quarantine.suspects))
}

fn suspects_hash<'a>(service: &str, suspects: impl IntoIterator<Item = &'a Suspect>) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    for suspect in suspects {
        match suspect {
            Suspect::Segment(segment) => bytes.extend_from_slice(&segment.to_be_bytes()),
            Suspect::Request(digest) => bytes.extend_from_slice(&digest.0.to_be_bytes()),
        }
    }
    xxh3_64(&bytes)
}

/// Returns suspects as in log lines: hexadecimal, segments as callers write them.
pub(crate) fn suspect_list<'a>(suspects: impl IntoIterator<Item = &'a Suspect>) -> String {
    let ids: Vec<String> = suspects.into_iter().map(ToString::to_string).collect();
    ids.join(",")
}
