//! The simulator's wire: text lines in, text lines out. It parses and formats, and decides nothing.

use balancer_core::platform::{read_load, settings, Fields, PlatformError};
use balancer_core::*;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

/// What a line said.
#[derive(Debug)]
pub enum Input {
    /// A batch begins, at this time.
    Tick(Timestamp),
    /// A batch ends; a reply is due.
    Turn,
    /// An instance starts.
    Start {
        /// Its number.
        who: u32,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Stop {
        /// Its number.
        who: u32,
    },
    /// An instance has an event.
    Event {
        /// Its number.
        who: u32,
        /// The event.
        event: Event,
    },
}

/// Turns lines into [`Input`]s. It keeps the numbered lists of servers and the names the settings defined.
#[derive(Debug, Default)]
pub struct Parser {
    banks: HashMap<u32, Arc<[Endpoint]>>,
    open_bank: Option<(u32, usize, Vec<Endpoint>)>,
    server_names: HashMap<String, ServerId>,
    names: HashMap<u32, (Vec<Name>, Vec<Name>)>,
}

impl Parser {
    /// Reads one line. `None` for a line that concerns no instance, or that is not known.
    pub fn line(&mut self, line: &str) -> Result<Option<Input>, PlatformError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if word == "m" {
            self.entry(&Fields::new(line, rest))?;
            return Ok(None);
        }
        if let Some((_, missing, _)) = self.open_bank.take() {
            return Err(PlatformError::new(format!(
                "malformed line, {missing} roster entries missing before: {word}"
            )));
        }
        let fields = match word {
            "tick" | "power_on" | "roster" | "peers_known" | "submit" | "timer" | "retire" | "sampled"
            | "first_byte" | "abandoned" | "returned" => Fields::new(line, rest),
            "your_turn" => return Ok(Some(Input::Turn)),
            _ => return Ok(None),
        };
        if word == "tick" {
            return Ok(Some(Input::Tick(Timestamp::from_micros(fields.need("t_us")?))));
        }
        if word == "roster" {
            let (bank, hosts) = (fields.need("bank")?, fields.need("hosts")?);
            self.open_bank = (hosts > 0).then_some((bank, hosts, Vec::new()));
            self.banks.insert(bank, Vec::new().into());
            return Ok(None);
        }
        let who = fields.need("who")?;
        let event = match word {
            "power_on" => {
                let settings = Box::new(settings(&fields)?);
                let classes = settings.classes.iter().map(|class| class.name.clone()).collect();
                let tenants = settings.tenants.iter().map(|tenant| tenant.name.clone()).collect();
                self.names.insert(who, (classes, tenants));
                return Ok(Some(Input::Start { who, seed: fields.need("prng")?, settings }));
            }
            "retire" => return Ok(Some(Input::Stop { who })),
            "peers_known" => match fields.need::<String>("how")?.as_str() {
                "unavailable" => Event::EndpointsUpdated(EndpointUpdate::Unavailable),
                how @ ("update" | "replace" | "restored") => {
                    let bank = self.banks.get(&fields.need("bank")?);
                    let entries = bank.ok_or_else(|| fields.bad("unknown bank"))?.clone();
                    match how {
                        "update" => Event::EndpointsUpdated(EndpointUpdate::Delta(entries)),
                        "replace" => Event::EndpointsUpdated(EndpointUpdate::Snapshot(entries)),
                        _ => Event::EndpointsRestored(entries),
                    }
                }
                _ => return Ok(None),
            },
            "submit" => {
                let options: u32 = fields.optional("options")?.unwrap_or(0);
                let (classes, tenants) = self.names.get(&who).map_or((&[][..], &[][..]), |n| (&n.0, &n.1));
                let find = |names: &[Name], name: &str| {
                    fields.text(name).and_then(|text| names.iter().position(|n| n.as_str() == text))
                };
                Event::Request(Request {
                    id: request_id(&fields)?,
                    class: find(classes, "cls").map(ClassId),
                    tenant: find(tenants, "party").map(TenantId),
                    key: fields.optional("object")?,
                    deadline: Timestamp::from_micros(fields.need("valid_until_us")?),
                    expected_work: fields.micros("expected_us")?.filter(|_| options & 1 != 0),
                    write: options & 4 != 0,
                    client_retry: options & 2 != 0,
                })
            }
            "timer" => Event::TimerExpired,
            "abandoned" => Event::RequestCancelled(request_id(&fields)?),
            "first_byte" => Event::ResponseStarted { id: request_id(&fields)? },
            "returned" => {
                let status = status(&fields)?;
                Event::AttemptEnded(AttemptOutcome {
                    id: request_id(&fields)?,
                    attempt: fields.need("hop")?,
                    server: self.server(&fields)?,
                    status,
                    cache_result: match fields.optional::<i64>("info")? {
                        Some(1) => Some(CacheResult::Hit),
                        Some(2) => Some(CacheResult::Miss),
                        Some(3) => Some(CacheResult::MissFetchPending),
                        _ => None,
                    },
                    elapsed: fields.micros("spent_us")?.unwrap_or_default(),
                    request_finished: fields.flag("finished")?.unwrap_or(false),
                    load: wire_load(&fields),
                })
            }
            _ => {
                let status = status(&fields)?;
                let took = fields.micros("spent_us")?.unwrap_or_default();
                Event::HealthCheckEnded {
                    server: self.server(&fields)?,
                    status,
                    elapsed: took,
                    load: wire_load(&fields),
                }
            }
        };
        Ok(Some(Input::Event { who, event }))
    }

    fn server(&mut self, fields: &Fields) -> Result<ServerId, PlatformError> {
        let name = fields.text("server").ok_or_else(|| fields.bad("no server"))?;
        if let Some(id) = self.server_names.get(name) {
            return Ok(id.clone());
        }
        let id = ServerId::from(name);
        self.server_names.insert(name.to_owned(), id.clone());
        Ok(id)
    }

    fn entry(&mut self, fields: &Fields) -> Result<(), PlatformError> {
        let entry = Endpoint {
            id: self.server(fields)?,
            zone: fields.text("region_part").map(Name::from),
            kind: fields.text("machine").map(Name::from),
            cell: fields.optional("group")?.unwrap_or(0),
            state: match fields.text("availability") {
                Some("U") => EndpointState::Ready,
                Some("D") => EndpointState::Removed,
                // A state this version does not know: keep away from that server.
                Some(_) => EndpointState::Draining,
                None => return Err(fields.bad("no availability")),
            },
            weight: fields.number("capacity_hint", f64::MAX)?.unwrap_or(1.0),
            started_at: fields.optional("born_us")?.filter(|&at| at > 0).map(Timestamp::from_micros),
        };
        let Some((bank, missing, entries)) = &mut self.open_bank else {
            return Err(fields.bad("an entry outside a roster"));
        };
        entries.push(entry);
        *missing -= 1;
        if *missing == 0 {
            self.banks.insert(*bank, std::mem::take(entries).into());
            self.open_bank = None;
        }
        Ok(())
    }
}

fn request_id(fields: &Fields) -> Result<RequestId, PlatformError> {
    fields.text("request_id").map(RequestId::from).ok_or_else(|| fields.bad("no request_id"))
}

fn status(fields: &Fields) -> Result<AttemptStatus, PlatformError> {
    Ok(match fields.text("result").ok_or_else(|| fields.bad("no result"))? {
        "Ok" => AttemptStatus::Ok,
        "QueueFull" => AttemptStatus::QueueFull,
        "TimedOut" => AttemptStatus::TimedOut,
        "ConnectError" => AttemptStatus::ConnectError,
        "ResetByPeer" => AttemptStatus::Reset,
        "Canceled" => AttemptStatus::Canceled,
        "Ignored" => AttemptStatus::NotSent,
        "Miss" => AttemptStatus::Miss,
        // An unknown outcome still ends its attempt: the careful reading is a failure that may have run.
        _ => AttemptStatus::Failed,
    })
}

fn wire_load(fields: &Fields) -> LoadReport {
    fields.text("server_stats").map_or_else(LoadReport::default, |text| read_load(text, ':'))
}

/// Appends an action of instance `who` to a reply.
pub fn write_action(out: &mut String, who: u32, action: &Action) {
    let written = match action {
        Action::StartAttempt { id, server, timeout, .. } => {
            // 0 would mean no time-out at all.
            let allow = timeout.as_micros().max(1);
            writeln!(out, "send who={who} request_id={id} server={server} allow_for_us={allow}")
        }
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "abort_attempt who={who} request_id={id} hop={attempt}")
        }
        Action::Reject { id, retry_after } => {
            writeln!(out, "busy who={who} request_id={id} hold_off_us={}", retry_after.as_micros())
        }
        Action::Fail { id } => writeln!(out, "report_failure who={who} request_id={id}"),
        Action::SetTimer { after } => {
            writeln!(out, "wake_at who={who} nonce=w sleep_for_us={}", after.as_micros())
        }
        Action::CheckHealth { server } => writeln!(out, "health_check who={who} server={server}"),
        Action::CloseIdleConnections { server } => writeln!(out, "close who={who} server={server}"),
        Action::SubscribeToEndpoints => writeln!(out, "follow who={who} on=1"),
        Action::Log(text) => writeln!(out, "write_log who={who} body_text={}", one_line(text)),
    };
    written.expect("writing to a String cannot fail");
}

/// Appends the word that the decision code of instance `who` has failed.
pub fn write_fault(out: &mut String, who: u32, text: &str) {
    writeln!(out, "bail_out who={who} body_text={}", one_line(text))
        .expect("writing to a String cannot fail");
}

/// Ends a reply.
pub fn end_reply(out: &mut String) {
    out.push_str("ack\n");
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
