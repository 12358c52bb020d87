//! [`ActiveConfig`]: the parsed configuration in force.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use caraway_types::{AccountId, AdapterId, AdapterRef, Findings, VersionId};

use crate::{
    Account, Adapter, AdapterVersion, Body, Kind, Objective, ResolveError, Routing, Service,
};

/// The published versions of one adapter.
type Versions = BTreeMap<VersionId, AdapterVersion>;

/// The parsed configuration in force, by kind and key.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ActiveConfig {
    pub(crate) adapters: HashMap<AdapterId, Arc<Adapter>>,
    pub(crate) versions: HashMap<AdapterId, Arc<Versions>>,
    pub(crate) accounts: HashMap<AccountId, Arc<Account>>,
    pub(crate) objectives: BTreeMap<Arc<str>, Arc<Objective>>,
    pub(crate) services: BTreeMap<Arc<str>, Arc<Service>>,
    pub(crate) routing: Arc<Routing>,
}

impl ActiveConfig {
    /// Puts a body in force.
    pub(crate) fn set(&mut self, key: &Arc<str>, body: Body) {
        let key = key.clone();
        match body {
            Body::Adapter(body) => drop(self.adapters.insert(key, body.into())),
            Body::AdapterVersion(body) => self.set_version(&key, body),
            Body::Routing(body) => self.routing = body.into(),
            Body::Account(body) => drop(self.accounts.insert(key, body.into())),
            Body::Objective(body) => drop(self.objectives.insert(key, body.into())),
            Body::Service(body) => drop(self.services.insert(key, body.into())),
        }
    }

    /// Removes the configuration of a deleted key.
    pub(crate) fn remove(&mut self, kind: Kind, key: &str) {
        match kind {
            Kind::Adapter => drop(self.adapters.remove(key)),
            Kind::AdapterVersion => self.remove_version(key),
            Kind::Routing => self.routing = Arc::default(),
            Kind::Account => drop(self.accounts.remove(key)),
            Kind::Objective => drop(self.objectives.remove(key)),
            Kind::Service => drop(self.services.remove(key)),
        }
    }

    /// Adds a finding for each object that `body` refers to and that is not in force.
    pub(crate) fn check_references(&self, key: &str, body: &Body, findings: &mut Findings) {
        match body {
            Body::Adapter(adapter) => {
                self.check_version(key, &adapter.serve, "/body/serve", findings);
                for (i, version) in adapter.warm.iter().enumerate() {
                    self.check_version(key, version, &format!("/body/warm/{i}"), findings);
                }
            }
            Body::Objective(Objective {
                account: Some(account),
                ..
            }) if !self.accounts.contains_key(account) => {
                findings.add("/body/account", format!("no client account {account}"));
            }
            _ => {}
        }
    }

    /// Adds a finding for each object that still refers to a key to be deleted.
    pub(crate) fn check_unused(&self, kind: Kind, key: &str, findings: &mut Findings) {
        match kind {
            Kind::AdapterVersion => {
                let Ok(reference) = key.parse::<AdapterRef>() else {
                    return;
                };
                let adapter = self.adapters.get(&reference.adapter);
                let refers = |a: &Arc<Adapter>| {
                    a.serve == reference.version || a.warm.contains(&reference.version)
                };
                if adapter.is_some_and(refers) {
                    findings.add("/key", format!("adapter {} uses it", reference.adapter));
                }
            }
            Kind::Account => {
                let refers = |o: &Arc<Objective>| o.account.as_deref() == Some(key);
                for (name, _) in self.objectives.iter().filter(|(_, o)| refers(o)) {
                    findings.add("/key", format!("objective {name} uses it"));
                }
            }
            _ => {}
        }
    }

    /// Resolves `adapter` or `adapter@version` to a published adapter version.
    pub(crate) fn resolve(&self, model: &str) -> Result<AdapterRef, ResolveError> {
        let (adapter, version) = match model.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (model, None),
        };
        if !AdapterRef::is_valid_name(adapter) || !version.is_none_or(AdapterRef::is_valid_name) {
            return Err(ResolveError::BadName);
        }
        let default_version = self.adapters.get(adapter).map(|a| &*a.serve);
        let versions = self.versions.get_key_value(adapter);
        if default_version.is_none() && versions.is_none() {
            return Err(ResolveError::UnknownAdapter);
        }
        let version = version
            .or(default_version)
            .ok_or(ResolveError::UnknownVersion)?;
        let (adapter, versions) = versions.ok_or(ResolveError::UnknownVersion)?;
        let (version, _) = versions
            .get_key_value(version)
            .ok_or(ResolveError::UnknownVersion)?;
        Ok(AdapterRef::new(adapter.clone(), version.clone()))
    }

    fn check_version(&self, adapter: &str, version: &str, pointer: &str, findings: &mut Findings) {
        let versions = self.versions.get(adapter);
        if !versions.is_some_and(|v| v.contains_key(version)) {
            findings.add(pointer, format!("no adapter version {adapter}@{version}"));
        }
    }

    fn set_version(&mut self, key: &str, body: AdapterVersion) {
        if let Ok(reference) = key.parse::<AdapterRef>() {
            let versions = self.versions.entry(reference.adapter).or_default();
            Arc::make_mut(versions).insert(reference.version, body);
        }
    }

    fn remove_version(&mut self, key: &str) {
        let Ok(reference) = key.parse::<AdapterRef>() else {
            return;
        };
        if let Some(versions) = self.versions.get_mut(&reference.adapter) {
            let versions = Arc::make_mut(versions);
            versions.remove(&reference.version);
            if versions.is_empty() {
                self.versions.remove(&reference.adapter);
            }
        }
    }
}
