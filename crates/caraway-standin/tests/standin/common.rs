//! HTTP requests and waiting for the tests.

use std::{net::SocketAddr, time::Duration};

use caraway_wire::engine::FENCING_TOKEN_HEADER;
use ntex::{client::Client, http::StatusCode, util::Bytes};
use serde::{Serialize, de::DeserializeOwned};

/// Timeout of each request and each wait of a test.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Status and body of a response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Response {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

/// Posts a JSON body; returns `None` if the request fails or the response is incomplete.
pub(crate) async fn post<T: Serialize>(
    addr: SocketAddr,
    path: &str,
    body: &T,
    headers: &[(&'static str, &str)],
) -> Option<Response> {
    let client = Client::new().await;
    let mut request = client.post(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let sent = tokio::time::timeout(TIMEOUT, request.send_json(body)).await;
    let response = sent.expect("a response before the timeout").ok()?;
    let status = response.status();
    let body = response.body().await.ok()?;
    Some(Response { status, body })
}

/// Gets a path; returns `None` if the request fails or the response is incomplete.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Option<Response> {
    let client = Client::new().await;
    let sent = client.get(format!("http://{addr}{path}")).send();
    let sent = tokio::time::timeout(TIMEOUT, sent).await;
    let response = sent.expect("a response before the timeout").ok()?;
    let status = response.status();
    let body = response.body().await.ok()?;
    Some(Response { status, body })
}

/// Sends an order to load `adapter` as `name` and returns its status.
pub(crate) async fn load(addr: SocketAddr, name: &str, adapter: &str, fence: u64) -> StatusCode {
    let order = serde_json::json!({ "lora_name": name, "lora_path": adapter });
    post_order(addr, "/v1/load_lora_adapter", &order, fence).await
}

/// Posts an order with a fencing token and returns its status.
pub(crate) async fn post_order(
    addr: SocketAddr,
    path: &str,
    order: &serde_json::Value,
    fence: u64,
) -> StatusCode {
    let fence = fence.to_string();
    let response = post(addr, path, order, &[(FENCING_TOKEN_HEADER, &fence)]).await;
    response.expect("a response to the order").status
}

/// Polls until `check` returns true.
pub(crate) async fn wait_until(mut check: impl FnMut() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the condition is met before the timeout");
}
