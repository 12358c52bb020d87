//! [`State`]: the configuration that results from folding the log.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;

use caraway_types::{AdapterId, AdapterRef, Findings, Offset};

use crate::{
    Account, Adapter, CHUNK_LIMIT, KEY_LIMIT, Objective, Outcome, RECORD_LIMIT, Record,
    RefusedRecord, ResolveError, Routing, Service, TEXT_LIMIT, TOMBSTONE_WINDOW, digest,
    head::{Head, Kept, Standing},
    ids::Ids,
    record::Reading,
    values::Values,
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
    pub(crate) heads: BTreeMap<Arc<str>, Arc<Head>>,
    pub(crate) ids: Ids,
    pub(crate) values: Values,
    pub(crate) limit: Option<u32>,
    tombstones: BTreeMap<Offset, Arc<str>>,
    sum: u64,
    bytes: usize,
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
    pub fn limited(limit: Option<u32>) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Folds the record at `offset`.
    ///
    /// Records are folded in the order of their offsets without gaps; a record at any other offset
    /// than [`next`](Self::next) does not change the state.
    pub fn apply(&mut self, offset: Offset, data: &str) -> Outcome {
        if offset < self.next {
            return Outcome::Old;
        }
        if offset > self.next {
            return Outcome::Gap(self.next);
        }
        self.next = offset + 1;
        self.forget_tombstones();
        self.judge(offset, data).unwrap_or_else(Outcome::Refused)
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the state has no keys, not even tombstones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heads.is_empty()
    }

    /// Returns a hash with which instances compare their states at the same offset.
    ///
    /// It covers the accepted records and the remembered ids, and does not depend on the schemas
    /// that the program supports.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.sum.wrapping_add(self.ids.sum())
    }

    /// Resolves `adapter` or `adapter@version` to a published adapter version.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is invalid, or if the adapter or the version is not published.
    pub fn resolve(&self, model: &str) -> Result<AdapterRef, ResolveError> {
        self.values.resolve(model)
    }

    /// Returns the limits of a client account, or `None` if it is not published.
    #[must_use]
    pub fn account(&self, id: &str) -> Option<&Account> {
        self.values.accounts.get(id).map(|a| &**a)
    }

    /// Returns an adapter's configuration, or `None` if it is not published.
    #[must_use]
    pub fn adapter(&self, id: &str) -> Option<&Adapter> {
        self.values.adapters.get(id).map(|a| &**a)
    }

    /// Returns all adapters in unspecified order.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterId, &Adapter)> {
        self.values.adapters.iter().map(|(id, a)| (id, &**a))
    }

    /// Returns the routing configuration, which is the default if none is published.
    #[must_use]
    pub fn routing(&self) -> &Routing {
        &self.values.routing
    }

    /// Returns the service-level objectives, ordered by name.
    pub fn objectives(&self) -> impl Iterator<Item = (&Arc<str>, &Objective)> {
        self.values.objectives.iter().map(|(name, o)| (name, &**o))
    }

    /// Returns the settings of a service, or `None` if it is not published.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.values.services.get(name).map(|s| &**s)
    }

    /// Returns the revision of a key, which is the offset of its latest accepted record.
    #[must_use]
    pub fn revision(&self, kind: &str, key: &str) -> Option<Offset> {
        let name = format!("{kind}/{key}");
        self.heads.get(name.as_str()).map(|h| h.revision)
    }

    /// Folds the record at the next offset; a rejected record is returned as an error.
    fn judge(&mut self, offset: Offset, data: &str) -> Result<Outcome, RefusedRecord> {
        let bytes = data.len();
        if bytes > CHUNK_LIMIT {
            return Err(RefusedRecord::TooLarge { bytes });
        }
        let kind = serde_json::from_str::<KindOnly<'_>>(data).map(|k| k.kind);
        if kind.is_ok_and(|k| k == SNAPSHOT_KIND) {
            return Ok(Outcome::Chunk);
        }
        if bytes > RECORD_LIMIT {
            return Err(RefusedRecord::TooLarge { bytes });
        }
        let record = Record::parse(data).map_err(RefusedRecord::Malformed)?;
        let hash = digest::text(data);
        if let Some((first, same)) = self.ids.find(&record.id) {
            return if same == hash {
                Ok(Outcome::Duplicate(first))
            } else {
                Err(RefusedRecord::IdReused(first))
            };
        }
        self.ids.insert(&record.id, hash, offset);
        let name = record.name();
        self.check_base(&name, &record)?;
        self.check_room(&name, bytes)?;
        Ok(self.accept(offset, &name, &record, data))
    }

    /// Rejects a record whose base is not the current revision of its key.
    fn check_base(&self, name: &str, record: &Record) -> Result<(), RefusedRecord> {
        let head = self.heads.get(name);
        let current = head.map(|h| h.revision);
        if record.base == current {
            return Ok(());
        }
        Err(RefusedRecord::Conflict {
            base: record.base,
            current,
            author: head.and_then(|h| h.author.clone()),
        })
    }

    /// Rejects a record that would exceed the limits on keys and bytes.
    fn check_room(&self, name: &str, bytes: usize) -> Result<(), RefusedRecord> {
        let head = self.heads.get(name);
        let keys = self.heads.len() + usize::from(head.is_none());
        let total = self.bytes + bytes - head.map_or(0, |h| h.bytes());
        if keys > KEY_LIMIT || total > TEXT_LIMIT {
            return Err(RefusedRecord::Full);
        }
        Ok(())
    }

    /// Makes a record the latest revision of its key, and puts its body in force if it is valid.
    fn accept(&mut self, offset: Offset, name: &Arc<str>, record: &Record, data: &str) -> Outcome {
        let (outcome, standing, deleted) = self.enforce(record);
        let kept = Kept {
            offset,
            schema: record.schema,
            standing,
            text: data.into(),
        };
        let mut head = self.take_head(name);
        head.author.clone_from(&record.author);
        if deleted {
            head.delete(kept);
        } else {
            head.deleted = false;
            head.push(kept);
        }
        self.put_head(name.clone(), head);
        outcome
    }

    /// Puts a body in force if it is valid; the returned flag is true if the record deletes its key.
    fn enforce(&mut self, record: &Record) -> (Outcome, Standing, bool) {
        let mut found = Findings::default();
        match record.read(self.limit) {
            Err(found) => return (Outcome::Void(found), Standing::Void, false),
            Ok(Reading::Newer) => {
                return (Outcome::Held, Standing::Held, record.body.is_null());
            }
            Ok(Reading::Tombstone(kind)) => {
                self.values.check_unused(kind, &record.key, &mut found);
                if found.is_empty() {
                    self.values.remove(kind, &record.key);
                    return (Outcome::Applied, Standing::Valid, true);
                }
            }
            Ok(Reading::Body(_, body)) => {
                self.values.check_references(&record.key, &body, &mut found);
                if found.is_empty() {
                    self.values.set(&record.key, *body);
                    return (Outcome::Applied, Standing::Valid, false);
                }
            }
        }
        (Outcome::Void(found), Standing::Void, false)
    }

    /// Removes a key from the state and the digest; returns an empty history for an unknown key.
    fn take_head(&mut self, name: &Arc<str>) -> Head {
        let Some(head) = self.heads.remove(name) else {
            return Head::default();
        };
        self.sum = self.sum.wrapping_sub(head.mark(name));
        self.bytes -= head.bytes();
        if head.deleted {
            self.tombstones.remove(&head.revision);
        }
        Arc::unwrap_or_clone(head)
    }

    /// Inserts a key into the state and the digest.
    pub(crate) fn put_head(&mut self, name: Arc<str>, head: Head) {
        self.sum = self.sum.wrapping_add(head.mark(&name));
        self.bytes += head.bytes();
        if head.deleted {
            self.tombstones.insert(head.revision, name.clone());
        }
        self.heads.insert(name, head.into());
    }

    /// Drops tombstones that are at least [`TOMBSTONE_WINDOW`] offsets old.
    fn forget_tombstones(&mut self) {
        while let Some(oldest) = self.tombstones.first_entry() {
            if oldest.key() + TOMBSTONE_WINDOW > self.next {
                return;
            }
            let name = oldest.get().clone();
            self.take_head(&name);
        }
    }
}
