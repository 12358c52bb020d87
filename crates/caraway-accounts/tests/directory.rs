//! Keys and names of accounts. Without these rules, a key could authenticate the wrong account.

use caraway_accounts::{Account, AccountDirectory, DirectoryProblem, KeyHash, MAX_KEY_BYTES};

fn entry(name: &str, keys: &[&str]) -> (Account, Vec<KeyHash>) {
    let account = Account {
        name: name.into(),
        priority: None,
        quota: None,
    };
    let hash = |k: &&str| KeyHash::new(k.as_bytes()).expect("a valid key");
    (account, keys.iter().map(hash).collect())
}

#[test]
fn a_key_of_two_accounts_is_valid_for_neither() {
    let (directory, problems) = AccountDirectory::new(vec![
        entry("a", &["one", "two", "two"]),
        entry("b", &["three", "one"]),
        entry("", &["three"]),
    ]);
    let name = |key: &str| directory.authenticate(key.as_bytes()).map(|a| &*a.name);
    assert_eq!(["one", "two", "three"].map(name), [None, Some("a"), None]);
    let expected = [
        DirectoryProblem::SharedKey { account: 0, key: 0 },
        DirectoryProblem::SharedKey { account: 1, key: 0 },
        DirectoryProblem::SharedKey { account: 1, key: 1 },
        DirectoryProblem::SharedKey { account: 2, key: 0 },
        DirectoryProblem::UnnamedAccount { account: 2 },
    ];
    assert_eq!(problems, expected);
}

#[test]
fn empty_and_long_keys_are_never_valid() {
    assert!(KeyHash::new(b"").is_none());
    assert!(KeyHash::new(&[b'k'; MAX_KEY_BYTES]).is_some());
    assert!(KeyHash::new(&[b'k'; MAX_KEY_BYTES + 1]).is_none());
}

/// Fails if accounts that were all left out, or could not be read, opened the gateway.
#[test]
fn a_directory_without_a_valid_account_needs_keys() {
    let (invalid, _) = AccountDirectory::new(vec![entry("", &["k"])]);
    for directory in [invalid, AccountDirectory::locked()] {
        assert!(!directory.is_empty() && directory.authenticate(b"k").is_none());
    }
    assert!(AccountDirectory::new(Vec::new()).0.is_empty());
    assert!(AccountDirectory::default().is_empty());
}

#[test]
fn debug_output_shows_no_hash() {
    let (directory, _) = AccountDirectory::new(vec![entry("a", &["one"])]);
    let text = format!("{directory:?}");
    assert!(text.contains("KeyHash(..)"), "{text}");
    // The hash of "one" begins with these digits.
    assert!(
        !text.contains("7692") && !text.contains("118, 146"),
        "{text}"
    );
}
