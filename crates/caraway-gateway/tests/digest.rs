//! Which requests are the same request, sent again.

use caraway_gateway::{Caller, request_digest};
use caraway_quarantine::RequestDigest;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// A request, with parts that tests change.
struct Request {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    account: Option<&'static str>,
    body: &'static str,
}

impl Request {
    fn new() -> Self {
        let mut request = Self {
            method: Method::POST,
            uri: Uri::from_static("/desk/x?page=1"),
            headers: HeaderMap::new(),
            account: None,
            body: "body",
        };
        request.set("host", "desk.example");
        request
    }

    fn set(&mut self, name: &'static str, value: &'static str) {
        let name = HeaderName::from_static(name);
        self.headers.insert(name, HeaderValue::from_static(value));
    }

    fn digest(&self) -> RequestDigest {
        let caller = self
            .account
            .map_or(Caller::Headers(&self.headers), Caller::Account);
        request_digest(&self.method, &self.uri, caller, self.body.as_bytes())
    }
}

// Guards against: a request that crashes engines is not recognised when it comes again for another
// model or adapter, or with other segments of its prompt, and crashes as many engines once more.
#[test]
fn request_that_is_sent_again_keeps_its_digest() {
    let changes: [fn(&mut Request); 6] = [
        |r| r.set("x-attempt-id", "r-2"),
        |r| r.set("user-agent", "other"),
        |r| r.set("x-model", "base/a8"),
        |r| r.set("x-model", "other"),
        |r| r.set("x-prompt-prefix", "1:9,3:9"),
        |r| r.set("x-token-count", "20,5"),
    ];
    for change in changes {
        let mut again = Request::new();
        change(&mut again);
        assert_eq!(again.digest(), Request::new().digest());
    }
}

#[test]
fn account_is_one_caller_with_all_its_keys_and_hosts() {
    let mut request = Request::new();
    request.account = Some("hule930");
    let digest = request.digest();
    request.set("authorization", "Token another");
    request.set("host", "lab.example");
    assert_eq!(request.digest(), digest);
}

// Guards against: two builds side by side recognise no request together, also of plain services.
#[test]
fn request_without_a_model_keeps_the_digest_of_former_builds() {
    let digest = RequestDigest(0xc75f_e111_d83c_cdb0_a66f_8929_9b3e_96d2);
    assert_eq!(Request::new().digest(), digest);
}

#[test]
fn other_requests_have_other_digests() {
    let changes: [fn(&mut Request); 11] = [
        |r| r.method = Method::PUT,
        |r| r.uri = Uri::from_static("/desk/y?page=1"),
        |r| r.uri = Uri::from_static("/desk/x?page=2"),
        |r| r.set("host", "lab.example"),
        |r| r.set("authorization", "Bearer t"),
        |r| r.body = "bod",
        |r| r.account = Some(""),
        |r| r.account = Some("hule930"),
        |r| r.account = Some("desk.example"),
        // An account is another caller than a host of this name.
        |r| {
            r.set("host", "account");
            r.set("authorization", "hule930");
        },
        // The bytes are the same, but not where one part ends and the next begins.
        |r| r.uri = Uri::from_static("/desk/xpage?=1"),
    ];
    let mut digests = vec![Request::new().digest()];
    for change in changes {
        let mut request = Request::new();
        change(&mut request);
        digests.push(request.digest());
    }
    let count = digests.len();
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), count);
}

#[test]
fn digests_are_written_as_hexadecimal_text() {
    let digest = RequestDigest(0xfe);
    let text = serde_json::to_string(&digest).expect("text");
    assert_eq!(text, "\"000000000000000000000000000000fe\"");
    assert_eq!(
        serde_json::from_str::<RequestDigest>(&text).ok(),
        Some(digest)
    );
}
