//! Tests of the `caraway-standin` program.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Stdio},
};

use crate::common::{get, post};
use serde_json::json;

fn write_settings(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file
}

fn program(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_caraway-standin"));
    command.arg("--settings").arg(settings);
    command
}

#[ntex::test]
async fn prints_the_addresses_and_serves_the_control_port() {
    let text = r#"{ "engines": [{ "engine": { "id": "e1" } }] }"#;
    let mut child = program(&write_settings("good.json", text))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    stdout.read_line(&mut line).unwrap();
    let addresses: BTreeMap<String, SocketAddr> = serde_json::from_str(&line).unwrap();
    let request = json!({ "target": "list", "faults": { "down": true } });
    let control = addresses["control"];
    let response = post(control, "/control/faults", &request, &[])
        .await
        .unwrap();
    let list = get(addresses["list"], "/v1/instances").await.unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!((response.status.as_u16(), list.status.as_u16()), (200, 503));
}

#[test]
fn reports_the_place_of_invalid_settings() {
    for (text, place) in [
        (r#"{ "engines": 1 }"#, "line 1"),
        (r#"{ "relays": [{ "id": "log" }] }"#, "/relays/0/id"),
    ] {
        let output = program(&write_settings("bad.json", text)).output().unwrap();
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success());
        assert!(message.contains(place), "{message}");
    }
}
