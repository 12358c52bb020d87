//! [`request_digest`]: recognises a request that its caller sends again under another id.

use caraway_quarantine::RequestDigest;
use caraway_routes::RequestHead;
use http::{HeaderMap, Method, Uri, header};
use sha2::{Digest, Sha256};

/// Headers that tell callers apart; the deployment's own headers are in the decoded head.
const CALLER_HEADERS: [header::HeaderName; 2] = [header::HOST, header::AUTHORIZATION];

/// Returns the digest of what stays the same when a caller sends a request again. Ids, deadlines and
/// the point from which a stream is resumed are not part of it.
///
/// The hash is cryptographic, so that no caller can make a request with the digest of another's.
pub fn request_digest(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    head: &RequestHead,
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
    for name in &CALLER_HEADERS {
        add(headers.get(name).map_or(&[], |v| v.as_bytes()));
    }
    let model = head.model.as_ref();
    add(model.map_or(&[], |m| m.model.as_bytes()));
    let adapter = model.and_then(|m| m.adapter.as_ref());
    add(adapter.map_or(&[], |a| a.as_bytes()));
    for segment in &head.prompt {
        add(&segment.id.to_be_bytes());
    }
    add(body);
    let bytes = hash.finalize();
    let first = bytes.iter().take(size_of::<RequestDigest>());
    RequestDigest(first.fold(0, |digest, byte| digest << 8 | u128::from(*byte)))
}
