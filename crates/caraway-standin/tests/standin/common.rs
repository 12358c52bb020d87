//! An HTTP caller for the tests.
use std::{net::SocketAddr, time::Duration};

use caraway_wire::engine::FENCING_TOKEN_HEADER;
use ntex::{client::Client, http::StatusCode, util::Bytes};
use serde::{Serialize, de::DeserializeOwned};

/// Bound on each wait of a test.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A status and a body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

/// Posts JSON; `None` says that no answer came.
pub(crate) async fn post<T: Serialize>(
    addr: SocketAddr,
    path: &str,
    body: &T,
    headers: &[(&'static str, &str)],
) -> Option<Answer> {
    let client = Client::new().await;
    let mut request = client.post(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let sent = tokio::time::timeout(PATIENCE, request.send_json(body)).await;
    let response = sent.expect("an answer in time").ok()?;
    let status = response.status();
    let body = response.body().await.ok()?;
    Some(Answer { status, body })
}

/// Gets a path.
pub(crate) async fn get(addr: SocketAddr, path: &str) -> Option<Answer> {
    let client = Client::new().await;
    let sent = client.get(format!("http://{addr}{path}")).send();
    let sent = tokio::time::timeout(PATIENCE, sent).await;
    let response = sent.expect("an answer in time").ok()?;
    let status = response.status();
    let body = response.body().await.ok()?;
    Some(Answer { status, body })
}

/// Orders a load.
pub(crate) async fn load(addr: SocketAddr, name: &str, adapter: &str, fence: u64) -> StatusCode {
    let order = serde_json::json!({ "lora_name": name, "lora_path": adapter });
    order_at(addr, "/v1/load_lora_adapter", &order, fence).await
}

/// Gives an order.
pub(crate) async fn order_at(
    addr: SocketAddr,
    path: &str,
    order: &serde_json::Value,
    fence: u64,
) -> StatusCode {
    let fence = fence.to_string();
    let answer = post(addr, path, order, &[(FENCING_TOKEN_HEADER, &fence)]).await;
    answer.expect("an answer to the order").status
}

/// Waits until `check` holds.
pub(crate) async fn until(mut check: impl FnMut() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("it holds in time");
}
