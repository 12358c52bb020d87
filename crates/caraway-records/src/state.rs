//! [`State`]: the configuration that results from applying the records of the log.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;

use caraway_types::{AdapterId, AdapterRef, Findings, Offset};

use crate::{
    Account, Adapter, CHUNK_LIMIT, KEY_LIMIT, Objective, Outcome, RECORD_LIMIT, Record,
    RefusedRecord, ResolveError, Routing, Service, TOMBSTONE_WINDOW, TOTAL_BYTES_LIMIT,
    active_config::ActiveConfig,
    digest,
    key_history::{AcceptedRecord, BodyStatus, KeyHistory},
    recent_ids::RecentIds,
    record::ParsedBody,
};

/// Kind of the records that carry snapshots.
pub(crate) const SNAPSHOT_KIND: &str = "snapshot";

/// The configuration that results from all records below an offset.
///
/// A pure function of those records: it does not matter whether they came from the log, from a peer
/// or in a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(crate) next: Offset,
    pub(crate) keys: BTreeMap<Arc<str>, Arc<KeyHistory>>,
    pub(crate) ids: RecentIds,
    pub(crate) active: ActiveConfig,
    pub(crate) schema_limit: Option<u32>,
    tombstones: BTreeMap<Offset, Arc<str>>,
    digest_sum: u64,
    record_bytes: usize,
}

/// Partial record, parsed to distinguish snapshot chunks from operators' records.
#[derive(Deserialize)]
struct KindOnly<'a> {
    #[serde(borrow)]
    kind: &'a str,
}

impl State {
    /// Creates an empty state that handles schemas above `schema_limit` as newer than this program.
    ///
    /// During an upgrade, this keeps a new schema out of force until every instance supports it.
    #[must_use]
    pub fn with_schema_limit(schema_limit: Option<u32>) -> Self {
        Self {
            schema_limit,
            ..Self::default()
        }
    }

    /// Applies the record at `offset`.
    ///
    /// Records are applied in the order of their offsets without gaps; a record at any other offset
    /// than [`next`](Self::next) does not change the state.
    pub fn apply(&mut self, offset: Offset, json: &str) -> Outcome {
        if offset < self.next {
            return Outcome::Old;
        }
        if offset > self.next {
            return Outcome::Gap(self.next);
        }
        self.next = offset + 1;
        self.drop_expired_tombstones();
        self.try_apply(offset, json)
            .unwrap_or_else(Outcome::Refused)
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the state has no keys, not even tombstones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns a hash with which instances compare their states at the same offset.
    ///
    /// It covers the accepted records and the remembered ids, and does not depend on the schemas
    /// that the program supports.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest_sum.wrapping_add(self.ids.digest())
    }

    /// Resolves `adapter` or `adapter@version` to a published adapter version.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid, or if the adapter or the version is not published.
    pub fn resolve(&self, model: &str) -> Result<AdapterRef, ResolveError> {
        self.active.resolve(model)
    }

    /// Returns the limits of a client account, or `None` if it is not published.
    #[must_use]
    pub fn account(&self, id: &str) -> Option<&Account> {
        self.active.accounts.get(id).map(|a| &**a)
    }

    /// Returns an adapter's configuration, or `None` if it is not published.
    #[must_use]
    pub fn adapter(&self, id: &str) -> Option<&Adapter> {
        self.active.adapters.get(id).map(|a| &**a)
    }

    /// Returns all adapters in unspecified order.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterId, &Adapter)> {
        self.active.adapters.iter().map(|(id, a)| (id, &**a))
    }

    /// Returns the routing configuration, which is the default if none is published.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.active.routing
    }

    /// Returns the service-level objectives, ordered by name.
    pub fn objectives(&self) -> impl Iterator<Item = (&Arc<str>, &Objective)> {
        self.active.objectives.iter().map(|(name, o)| (name, &**o))
    }

    /// Returns the settings of a service, or `None` if it is not published.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.active.services.get(name).map(|s| &**s)
    }

    /// Returns the revision of a key, which is the offset of its latest accepted record.
    #[must_use]
    pub fn revision(&self, kind: &str, key: &str) -> Option<Offset> {
        let name = format!("{kind}/{key}");
        self.keys.get(name.as_str()).map(|h| h.revision)
    }

    /// Applies the record at the next offset; a rejected record is returned as an error.
    fn try_apply(&mut self, offset: Offset, json: &str) -> Result<Outcome, RefusedRecord> {
        let bytes = json.len();
        if bytes > CHUNK_LIMIT {
            return Err(RefusedRecord::TooLarge { bytes });
        }
        let kind = serde_json::from_str::<KindOnly<'_>>(json).map(|k| k.kind);
        if kind.is_ok_and(|k| k == SNAPSHOT_KIND) {
            return Ok(Outcome::Chunk);
        }
        if bytes > RECORD_LIMIT {
            return Err(RefusedRecord::TooLarge { bytes });
        }
        let record = Record::parse(json).map_err(RefusedRecord::Malformed)?;
        let digest = digest::record(json);
        if let Some((first, first_digest)) = self.ids.find(&record.id) {
            return if first_digest == digest {
                Ok(Outcome::Duplicate(first))
            } else {
                Err(RefusedRecord::IdReused(first))
            };
        }
        self.ids.insert(&record.id, digest, offset);
        let state_key = record.state_key();
        self.check_base(&state_key, &record)?;
        self.check_limits(&state_key, bytes)?;
        Ok(self.accept(offset, &state_key, &record, json))
    }

    /// Rejects a record whose base is not the current revision of its key.
    fn check_base(&self, state_key: &str, record: &Record) -> Result<(), RefusedRecord> {
        let history = self.keys.get(state_key);
        let current = history.map(|h| h.revision);
        if record.base == current {
            return Ok(());
        }
        Err(RefusedRecord::Conflict {
            base: record.base,
            current,
            author: history.and_then(|h| h.author.clone()),
        })
    }

    /// Rejects a record that would exceed the limits on keys and bytes.
    fn check_limits(&self, state_key: &str, bytes: usize) -> Result<(), RefusedRecord> {
        let history = self.keys.get(state_key);
        let keys = self.keys.len() + usize::from(history.is_none());
        let total = self.record_bytes + bytes - history.map_or(0, |h| h.size());
        if keys > KEY_LIMIT || total > TOTAL_BYTES_LIMIT {
            return Err(RefusedRecord::Full);
        }
        Ok(())
    }

    /// Makes a record the latest revision of its key, and puts its body in force if it is valid.
    fn accept(
        &mut self,
        offset: Offset,
        state_key: &Arc<str>,
        record: &Record,
        json: &str,
    ) -> Outcome {
        let (outcome, status, deleted) = self.apply_body(record);
        let accepted = AcceptedRecord {
            offset,
            schema: record.schema,
            status,
            json: json.into(),
        };
        let mut history = self.remove_key(state_key);
        history.author.clone_from(&record.author);
        if deleted {
            history.delete(accepted);
        } else {
            history.deleted = false;
            history.push(accepted);
        }
        self.insert_key(state_key.clone(), history);
        outcome
    }

    /// Puts a body in force if it is valid; the returned flag is true if the key is deleted.
    fn apply_body(&mut self, record: &Record) -> (Outcome, BodyStatus, bool) {
        let mut findings = Findings::default();
        match record.parse_body(self.schema_limit) {
            Err(findings) => return (Outcome::Void(findings), BodyStatus::Void, false),
            Ok(ParsedBody::Newer) => {
                return (Outcome::Held, BodyStatus::Held, record.body.is_null());
            }
            Ok(ParsedBody::Tombstone(kind)) => {
                self.active.check_unused(kind, &record.key, &mut findings);
                if findings.is_empty() {
                    self.active.remove(kind, &record.key);
                    return (Outcome::Applied, BodyStatus::Valid, true);
                }
            }
            Ok(ParsedBody::Body(_, body)) => {
                self.active
                    .check_references(&record.key, &body, &mut findings);
                if findings.is_empty() {
                    self.active.set(&record.key, *body);
                    return (Outcome::Applied, BodyStatus::Valid, false);
                }
            }
        }
        (Outcome::Void(findings), BodyStatus::Void, false)
    }

    /// Removes a key from the state and the digest; returns an empty history for an unknown key.
    fn remove_key(&mut self, state_key: &Arc<str>) -> KeyHistory {
        let Some(history) = self.keys.remove(state_key) else {
            return KeyHistory::default();
        };
        self.digest_sum = self.digest_sum.wrapping_sub(history.digest(state_key));
        self.record_bytes -= history.size();
        if history.deleted {
            self.tombstones.remove(&history.revision);
        }
        Arc::unwrap_or_clone(history)
    }

    /// Inserts a key into the state and the digest.
    pub(crate) fn insert_key(&mut self, state_key: Arc<str>, history: KeyHistory) {
        self.digest_sum = self.digest_sum.wrapping_add(history.digest(&state_key));
        self.record_bytes += history.size();
        if history.deleted {
            self.tombstones.insert(history.revision, state_key.clone());
        }
        self.keys.insert(state_key, history.into());
    }

    /// Drops tombstones that are at least [`TOMBSTONE_WINDOW`] offsets old.
    fn drop_expired_tombstones(&mut self) {
        while let Some(oldest) = self.tombstones.first_entry() {
            if oldest.key() + TOMBSTONE_WINDOW > self.next {
                return;
            }
            let state_key = oldest.get().clone();
            self.remove_key(&state_key);
        }
    }
}
