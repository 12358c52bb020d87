//! [`AccountDirectory`]: the accounts of one version of the configuration.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use caraway_types::AccountId;

use crate::{Account, KeyHash};

/// Why an account or a key was left out; positions are those in the list passed to
/// [`AccountDirectory::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryProblem {
    /// The account has no name.
    UnnamedAccount {
        /// Position of the account.
        account: usize,
    },
    /// An account before this one has the same name.
    RepeatedName {
        /// Position of the account.
        account: usize,
    },
    /// Another account has the same key, which is valid for neither.
    SharedKey {
        /// Position of the account.
        account: usize,
        /// Position of the key in the list of the account.
        key: usize,
    },
}

/// The accounts of one version of the configuration, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountDirectory {
    by_name: HashMap<AccountId, Arc<Account>>,
    by_key: HashMap<KeyHash, Arc<Account>>,
    /// Whether requests need a key; also if every configured account was left out.
    needs_key: bool,
}

impl AccountDirectory {
    /// Creates a directory in which no key is valid, for accounts that can't be read.
    #[must_use]
    pub fn locked() -> Self {
        Self {
            needs_key: true,
            ..Self::default()
        }
    }

    /// Creates a directory from accounts and the hashes of their keys. Accounts without a name or
    /// with the name of an earlier one, and keys of two accounts, are left out.
    #[must_use]
    pub fn new(accounts: Vec<(Account, Vec<KeyHash>)>) -> (Self, Vec<DirectoryProblem>) {
        let mut problems = Vec::new();
        let owners = key_owners(&accounts);
        let mut directory = Self {
            needs_key: !accounts.is_empty(),
            ..Self::default()
        };
        for (i, (account, keys)) in accounts.into_iter().enumerate() {
            for (j, key) in keys.iter().enumerate() {
                if owners[key].is_none() {
                    problems.push(DirectoryProblem::SharedKey { account: i, key: j });
                }
            }
            if account.name.is_empty() {
                problems.push(DirectoryProblem::UnnamedAccount { account: i });
                continue;
            }
            if directory.by_name.contains_key(&account.name) {
                problems.push(DirectoryProblem::RepeatedName { account: i });
                continue;
            }
            let account = Arc::new(account);
            let valid = keys.iter().filter(|k| owners[*k].is_some());
            directory
                .by_key
                .extend(valid.map(|k| (*k, Arc::clone(&account))));
            directory.by_name.insert(account.name.clone(), account);
        }
        (directory, problems)
    }

    /// Returns the account with this key.
    #[must_use]
    pub fn authenticate(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&KeyHash::new(key)?)
    }

    /// Returns the account with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns whether no accounts are configured, so that requests need no key. Returns `false` if
    /// there are some and all were left out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.needs_key
    }

    /// Returns every account, in arbitrary order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Returns the name of each key's account; `None` for a key of several accounts.
fn key_owners(accounts: &[(Account, Vec<KeyHash>)]) -> HashMap<KeyHash, Option<AccountId>> {
    let mut owners = HashMap::new();
    for (account, keys) in accounts {
        for key in keys {
            match owners.entry(*key) {
                Entry::Vacant(entry) => {
                    entry.insert(Some(account.name.clone()));
                }
                Entry::Occupied(mut entry) => {
                    if entry.get().as_ref() != Some(&account.name) {
                        entry.insert(None);
                    }
                }
            }
        }
    }
    owners
}
