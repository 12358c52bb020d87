//! Which requests are the same request, sent again.

use caraway_gateway::request_digest;
use caraway_quarantine::RequestDigest;
use caraway_routes::{ModelRef, PromptSegment, RequestHead};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// A request, with parts that tests change.
struct Request {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    head: RequestHead,
    body: &'static str,
}

impl Request {
    fn new() -> Self {
        let mut request = Self {
            method: Method::POST,
            uri: Uri::from_static("/desk/x?page=1"),
            headers: HeaderMap::new(),
            head: RequestHead {
                id: "r-1".into(),
                model: Some(ModelRef {
                    model: "base".into(),
                    adapter: Some("a7".into()),
                }),
                prompt: [1, 2].map(|id| PromptSegment { id, tokens: 9 }).into(),
                ..RequestHead::default()
            },
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
        let body = self.body.as_bytes();
        request_digest(&self.method, &self.uri, &self.headers, &self.head, body)
    }
}

#[test]
fn request_that_is_sent_again_keeps_its_digest() {
    let mut again = Request::new();
    again.head.id = "r-2".into();
    again.head.resumes = Some("r-1".into());
    again.head.resume_after = Some("3".into());
    again.head.prompt[0].tokens = 10;
    again.set("x-attempt-id", "r-2");
    again.set("user-agent", "other");
    assert_eq!(again.digest(), Request::new().digest());
}

#[test]
fn other_requests_have_other_digests() {
    let changes: [fn(&mut Request); 10] = [
        |r| r.method = Method::PUT,
        |r| r.uri = Uri::from_static("/desk/y?page=1"),
        |r| r.uri = Uri::from_static("/desk/x?page=2"),
        |r| r.set("host", "lab.example"),
        |r| r.set("authorization", "Bearer t"),
        |r| r.body = "bod",
        |r| r.head.model = None,
        |r| r.head.prompt[1].id = 3,
        |r| r.head.prompt.truncate(1),
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
