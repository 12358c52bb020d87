//! [`Requester`]: on whose behalf a request is served. Checks the keys of client accounts.

use std::sync::Arc;

use caraway_accounts::{Account, AccountDirectory};
use caraway_platform::{remove_account_headers, request_key};
use caraway_routes::{Route, RoutingConfig};
use caraway_types::Reason;
use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::request::RefusalResponse;

/// Header of a request that an instance hands over: the name of the account that the instance has
/// found, empty on a public route. Callers can't set it.
const ACCOUNT_HEADER: HeaderName = HeaderName::from_static(ACCOUNT_HEADER_NAME);
const ACCOUNT_HEADER_NAME: &str = "caraway-account";

/// On whose behalf a request is served.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) enum Requester {
    /// The configuration has no accounts. Headers of accounts are forwarded like any other.
    #[default]
    Unchecked,
    /// The route is public, and the request belongs to no account.
    Public,
    /// The request has a key of this account.
    Account(Arc<Account>),
}

impl Requester {
    /// Returns the account that the request belongs to.
    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Account(account) => Some(account),
            Self::Unchecked | Self::Public => None,
        }
    }

    /// Returns the name of the account that the request belongs to.
    pub(crate) fn name(&self) -> Option<&str> {
        self.account().map(|a| &*a.name)
    }

    /// Returns the priority of a request on `route`: the account's, or the route's if it has none.
    pub(crate) fn priority(&self, route: &Route) -> u8 {
        let own = self.account().and_then(|a| a.priority);
        own.unwrap_or(route.priority)
    }

    /// Removes the headers that only name an account to this instance.
    pub(crate) fn strip_headers(&self, headers: &mut HeaderMap) {
        // Without accounts, `identify` has found no header of another instance.
        if *self != Self::Unchecked {
            remove_handed_account(headers);
            remove_account_headers(headers);
        }
    }

    /// Tells the instance that a request is handed over to whose it is, so that it checks no key.
    pub(crate) fn set_handed_account(&self, headers: &mut HeaderMap) {
        if *self == Self::Unchecked {
            return;
        }
        let name = self.name().unwrap_or_default();
        if let Ok(name) = HeaderValue::from_bytes(name.as_bytes()) {
            headers.insert(ACCOUNT_HEADER, name);
            // Builds without accounts remove a header that is named here, and so forward it to no
            // endpoint.
            let name = HeaderValue::from_static(ACCOUNT_HEADER_NAME);
            headers.insert(header::CONNECTION, name);
        }
    }
}

/// Removes the header by which instances name the account of a request that they hand over.
pub(crate) fn remove_handed_account(headers: &mut HeaderMap) {
    headers.remove(ACCOUNT_HEADER);
}

/// Finds out on whose behalf a request is to be served. The instance that hands a request over has
/// checked its key; one of a build without accounts has not, and forwards the key.
///
/// # Errors
///
/// Returns the refusal of a request that needs the key of an account and has none.
pub(crate) fn identify(
    routing: &RoutingConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Requester, RefusalResponse> {
    let accounts = routing.accounts();
    if let Some(requester) = handed_requester(accounts, headers) {
        return Ok(requester);
    }
    if accounts.is_empty() {
        return Ok(Requester::Unchecked);
    }
    if route.public {
        return Ok(Requester::Public);
    }
    let refusal = |why| RefusalResponse::not_run(Reason::UnknownAccount, why);
    let key = request_key(headers).map_err(|problem| refusal(problem.as_str()))?;
    let account = accounts.authenticate(key);
    account
        .cloned()
        .map(Requester::Account)
        .ok_or_else(|| refusal("the request's key belongs to no account"))
}

/// Returns the requester that another instance has found; `None` if it has not said.
fn handed_requester(accounts: &AccountDirectory, headers: &HeaderMap) -> Option<Requester> {
    let name = headers.get(ACCOUNT_HEADER)?;
    let name = String::from_utf8_lossy(name.as_bytes());
    if name.is_empty() {
        return Some(Requester::Public);
    }
    // The other instance may know a newer configuration. It has charged the quota.
    let account = Account {
        priority: accounts.get(&name).and_then(|a| a.priority),
        name: name.into(),
        quota: None,
    };
    Some(Requester::Account(Arc::new(account)))
}
