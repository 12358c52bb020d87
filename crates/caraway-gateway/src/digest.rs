//! [`request_digest`]: recognises a request that its caller sends again under another id.

use caraway_quarantine::RequestDigest;
use http::{HeaderMap, Method, Uri, header};
use sha2::{Digest, Sha256};

/// Headers that tell callers without accounts apart.
const CALLER_HEADERS: [header::HeaderName; 2] = [header::HOST, header::AUTHORIZATION];
/// First part of a caller with an account, for which callers without accounts have their host.
const ACCOUNT_LABEL: &[u8] = b"account";

/// Who sends a request.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'a> {
    /// A client account by its name, whichever of its keys it uses; empty on a public route.
    Account(&'a str),
    /// The sender of a request with these headers, in a deployment without accounts.
    Headers(&'a HeaderMap),
}

/// Returns the digest of what stays the same when a caller sends a request again. Ids, deadlines and
/// the point from which a stream is resumed are not part of it, nor are the model, the adapter and
/// the segments of the prompt: a request that crashes engines also comes again with other models.
///
/// The hash is cryptographic, so that no caller can make a request with the digest of another's.
pub fn request_digest(
    method: &Method,
    uri: &Uri,
    caller: Caller<'_>,
    body: &[u8],
) -> RequestDigest {
    let mut hash = Sha256::new();
    // Each part is preceded by its length, so that bytes can't move from one part to the next.
    let mut add = |part: &[u8]| {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    };
    add(method.as_str().as_bytes());
    add(uri.path().as_bytes());
    add(uri.query().unwrap_or_default().as_bytes());
    match caller {
        // One part more than of a caller by its headers, so that the two are never the same.
        Caller::Account(name) => {
            for part in [ACCOUNT_LABEL, name.as_bytes(), &[]] {
                add(part);
            }
        }
        Caller::Headers(headers) => {
            for name in &CALLER_HEADERS {
                add(headers.get(name).map_or(&[], |v| v.as_bytes()));
            }
        }
    }
    // Former builds hash the model and the adapter here. Requests without a model keep the digest
    // that those builds compute.
    add(&[]);
    add(&[]);
    add(body);
    let bytes = hash.finalize();
    let first = bytes.iter().take(size_of::<RequestDigest>());
    RequestDigest(first.fold(0, |digest, byte| digest << 8 | u128::from(*byte)))
}
