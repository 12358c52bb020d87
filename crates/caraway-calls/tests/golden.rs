//! Runs the sessions in `tests/golden`, in which up to two instances share one log.
//!
//! In a session file a line that starts with two spaces is an action that an instance returned;
//! every other line is an input. `UPDATE_GOLDEN=1` rewrites the actions.

use std::{
    collections::BTreeMap,
    fs,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_calls::{
    AppendResult, Body, CallCoordinator, CallKey, CallRecord, CoordinatorAction,
    CoordinatorSettings, KeyedCall, LogPage, LogRecord, LookupResult, Outcome, RecordedAnswer,
    Reply, RequestHash, SendResult, Step,
};
use caraway_types::{Reason, Refusal};

type Failure = Box<dyn std::error::Error>;

/// An instance with its pending log actions.
struct Instance {
    coordinator: CallCoordinator,
    /// Records of the append in flight.
    pending_append: Vec<Arc<str>>,
    /// First offset of the read in flight.
    pending_read: Option<u64>,
    /// Nonce of the call that was sent last.
    last_nonce: u64,
}

struct Session {
    now: Instant,
    log: Vec<Arc<str>>,
    oldest: usize,
    instances: BTreeMap<String, Instance>,
    text: String,
}

fn key(name: &str) -> CallKey {
    CallKey {
        account: "coop".into(),
        service: "quotes".into(),
        key: name.into(),
    }
}

fn recorded() -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        content_type: "text/plain".into(),
        body: Body::Text("done".into()),
    }
}

impl Session {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            log: Vec::new(),
            oldest: 0,
            instances: BTreeMap::new(),
            text: String::new(),
        }
    }

    fn run_line(&mut self, line: &str) -> Result<(), Failure> {
        self.text += line;
        self.text += "\n";
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            [] | ["#", ..] => {}
            ["wait", ms] => {
                self.now += Duration::from_millis(ms.parse()?);
                let names: Vec<String> = self.instances.keys().cloned().collect();
                for name in names {
                    self.apply(&name, CallCoordinator::on_tick);
                }
            }
            ["trim", oldest] => self.oldest = oldest.parse()?,
            [name, "start", incarnation] => {
                let coordinator = CallCoordinator::new(
                    CoordinatorSettings::default(),
                    name.into(),
                    incarnation.parse()?,
                    0,
                );
                let instance = Instance {
                    coordinator,
                    pending_append: Vec::new(),
                    pending_read: None,
                    last_nonce: 0,
                };
                self.instances.insert(name.to_owned(), instance);
            }
            [name, "call", ticket, key_name, body, ms] => {
                let call = KeyedCall {
                    ticket: ticket.parse()?,
                    key: key(key_name),
                    hash: RequestHash::of("POST", "/deposits", body.as_bytes()),
                    age: None,
                    deadline: self.now + Duration::from_millis(ms.parse()?),
                };
                self.apply(name, |coordinator, now, out| {
                    coordinator.on_call(now, call, out);
                });
            }
            [name, "append", how] => self.append(name, how)?,
            [name, "read", how] => self.read(name, how)?,
            [name, "end", how] => self.end(name, how)?,
            [name, "disconnect", ticket] => {
                let ticket = ticket.parse()?;
                self.apply(name, |coordinator, _, _| coordinator.on_disconnect(ticket));
            }
            [name, "lookup", ticket, key_name] => {
                let ticket = ticket.parse()?;
                self.apply(name, |coordinator, now, out| {
                    coordinator.on_lookup(now, ticket, key(key_name), out);
                });
            }
            _ => return Err(format!("unknown input: {line}").into()),
        }
        Ok(())
    }

    fn instance(&mut self, name: &str) -> &mut Instance {
        self.instances
            .get_mut(name)
            .expect("the instance was started")
    }

    fn append(&mut self, name: &str, how: &str) -> Result<(), Failure> {
        let records = std::mem::take(&mut self.instance(name).pending_append);
        let result = match how {
            "failed" => AppendResult::Failed,
            "dropped" => AppendResult::Unknown,
            "lost" | "ok" => {
                self.log.extend(records);
                let done = AppendResult::Done(self.log.len() as u64);
                if how == "ok" {
                    done
                } else {
                    AppendResult::Unknown
                }
            }
            _ => return Err(format!("unknown end of an append: {how}").into()),
        };
        self.apply(name, |coordinator, now, out| {
            coordinator.on_append(now, result, out);
        });
        Ok(())
    }

    fn read(&mut self, name: &str, how: &str) -> Result<(), Failure> {
        let Some(from) = self.instance(name).pending_read.take() else {
            self.write_action(name, "has no read in flight");
            return Ok(());
        };
        let from = usize::try_from(from)?.max(self.oldest);
        let records = self.log.iter().enumerate().skip(from);
        let records = records.map(|(i, data)| LogRecord {
            offset: i as u64,
            data: data.clone(),
        });
        let page = LogPage {
            oldest: self.oldest as u64,
            end: self.log.len() as u64,
            records: records.collect(),
        };
        self.apply(name, |coordinator, now, out| match how {
            "ok" => coordinator.on_page(now, &page, out),
            _ => coordinator.on_read_failed(now, out),
        });
        Ok(())
    }

    fn end(&mut self, name: &str, how: &str) -> Result<(), Failure> {
        let nonce = self.instance(name).last_nonce;
        let result = match how {
            "answered" => SendResult::Answered(recorded()),
            "not_run" => SendResult::NotRun(Refusal::not_run(Reason::NoEndpoint, "unreachable")),
            "in_doubt" => SendResult::InDoubt(Refusal::in_doubt(Reason::EndpointFailed, "lost")),
            _ => return Err(format!("unknown end of a call: {how}").into()),
        };
        self.apply(name, |coordinator, now, out| {
            coordinator.on_send_result(now, nonce, result, out);
        });
        Ok(())
    }

    fn apply(
        &mut self,
        name: &str,
        input: impl FnOnce(&mut CallCoordinator, Instant, &mut Vec<CoordinatorAction>),
    ) {
        let now = self.now;
        let mut out = Vec::new();
        input(&mut self.instance(name).coordinator, now, &mut out);
        for action in out {
            let line = self.describe_action(name, action);
            self.write_action(name, &line);
        }
    }

    fn write_action(&mut self, name: &str, action: &str) {
        self.text += &["  ", name, " ", action, "\n"].concat();
    }

    fn describe_action(&mut self, name: &str, action: CoordinatorAction) -> String {
        let now = self.now;
        let instance = self.instance(name);
        match action {
            CoordinatorAction::Append(records) => {
                let steps: Vec<String> = records.iter().map(|r| describe_record(r)).collect();
                instance.pending_append = records;
                format!("appends {}", steps.join(", "))
            }
            CoordinatorAction::Read { from, .. } => {
                instance.pending_read = Some(from);
                format!("reads from {from}")
            }
            CoordinatorAction::Send {
                ticket,
                nonce,
                until,
            } => {
                instance.last_nonce = nonce;
                format!("sends {ticket} within {} ms", (until - now).as_millis())
            }
            CoordinatorAction::Reply {
                ticket,
                reply: Reply::Answer(answer),
            } => {
                format!("answers {ticket} with status {}", answer.status)
            }
            CoordinatorAction::Reply {
                ticket,
                reply: Reply::Refuse(refusal),
            } => {
                format!("refuses {ticket}: {refusal}")
            }
            CoordinatorAction::AnswerLookup { ticket, result } => {
                let result = match result {
                    LookupResult::Ended(outcome) => name_of(&outcome).to_owned(),
                    other => format!("{other:?}"),
                };
                format!("answers lookup {ticket}: {result}")
            }
        }
    }
}

fn describe_record(text: &str) -> String {
    let record = CallRecord::parse(text).expect("a record");
    let step = match &record.step {
        Step::Intent => "intent",
        Step::Outcome(outcome) => name_of(outcome),
        Step::Unknown => "unknown",
    };
    format!("{step} of {} by {}", record.call.key, record.owner)
}

fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::InDoubt(_) => "in doubt",
        Outcome::NotRun => "not run",
    }
}

fn session(path: &Path) -> datatest_stable::Result<()> {
    let golden = fs::read_to_string(path)?;
    let mut session = Session::new();
    for line in golden.lines().filter(|line| !line.starts_with("  ")) {
        session.run_line(line).map_err(|e| e.to_string())?;
    }
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(path, &session.text)?;
    } else if session.text != golden {
        return Err(format!("the session differs:\n{}", session.text).into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = session, root = "tests/golden", pattern = r"\.session$" },
}
