//! Parses the lines of the wire.

use super::error::WireError;
use super::message::{InstanceId, Message};
use balancer_core::platform::{read_load_report, read_wire_settings, Fields, PlatformError};
use balancer_core::{
    AttemptOutcome, AttemptStatus, CacheResult, ClassId, Endpoint, EndpointState, EndpointUpdate, Event,
    LoadReport, Name, Request, RequestId, ServerId, Settings, TenantId, Timestamp,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Bits of `options` of a request.
const OPTION_EXPECTED_WORK: u32 = 1;
const OPTION_CLIENT_RETRY: u32 = 2;
const OPTION_WRITE: u32 = 4;
/// Messages that are an event of an instance.
const EVENT_MESSAGES: [&str; 7] =
    ["peers_known", "submit", "timer", "abandoned", "first_byte", "returned", "sampled"];

/// Turns lines into [`Message`]s. It holds what earlier lines defined: numbered endpoint lists, and the names of classes and
/// tenants.
#[derive(Debug, Default)]
pub struct Parser {
    /// Endpoint lists by their number: `bank` on the wire.
    endpoint_lists: HashMap<u32, Arc<[Endpoint]>>,
    open_list: Option<OpenList>,
    server_ids: HashMap<String, ServerId>,
    names: HashMap<InstanceId, InstanceNames>,
}

/// An endpoint list of which entries are still to come.
#[derive(Debug)]
struct OpenList {
    bank: u32,
    missing: usize,
    endpoints: Vec<Endpoint>,
}

/// Names that an instance's settings define.
#[derive(Debug, Default)]
struct InstanceNames {
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl Parser {
    /// Reads one line. `None` for one that concerns no instance, and for a message that is not known.
    ///
    /// # Errors
    ///
    /// Where a known message lacks a field, a field is unreadable, or an endpoint list is incomplete or unknown.
    pub fn line(&mut self, line: &str) -> Result<Option<Message>, WireError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name == "m" {
            self.list_entry(&Fields::of_line(line, rest))?;
            return Ok(None);
        }
        if let Some(OpenList { missing, .. }) = self.open_list.take() {
            return Err(WireError::MissingEntries { missing, message: name.to_owned() });
        }
        let fields = Fields::of_line(line, rest);
        match name {
            "tick" => {
                let now = Timestamp::from_micros(fields.required("t_us")?);
                Ok(Some(Message::BatchStarted(now)))
            }
            "your_turn" => Ok(Some(Message::BatchEnded)),
            "roster" => {
                self.begin_list(&fields)?;
                Ok(None)
            }
            "power_on" => self.instance_started(&fields).map(Some),
            "retire" => Ok(Some(Message::InstanceStopped(instance(&fields)?))),
            name if EVENT_MESSAGES.contains(&name) => self.event(name, &fields),
            _ => Ok(None),
        }
    }

    fn instance_started(&mut self, fields: &Fields) -> Result<Message, WireError> {
        let instance = instance(fields)?;
        let settings = Box::new(read_wire_settings(fields)?);
        self.names.insert(instance, InstanceNames::of(&settings));
        Ok(Message::InstanceStarted { instance, seed: fields.required("prng")?, settings })
    }

    /// The event of one of the [`EVENT_MESSAGES`]; `None` where its kind is not known.
    fn event(&mut self, name: &str, fields: &Fields) -> Result<Option<Message>, WireError> {
        let instance = instance(fields)?;
        let event = match name {
            "peers_known" => self.endpoints_event(fields)?,
            "submit" => Some(self.request(instance, fields)?),
            "timer" => Some(Event::TimerExpired),
            "abandoned" => Some(Event::RequestCancelled(request_id(fields)?)),
            "first_byte" => Some(Event::ResponseStarted { id: request_id(fields)? }),
            "returned" => Some(Event::AttemptEnded(self.attempt_outcome(fields)?)),
            "sampled" => Some(self.health_check(fields)?),
            _ => return Ok(None),
        };
        Ok(event.map(|event| Message::Event { instance, event }))
    }

    fn endpoints_event(&self, fields: &Fields) -> Result<Option<Event>, WireError> {
        let event = match fields.required_text("how")? {
            "unavailable" => Event::EndpointsUpdated(EndpointUpdate::Unavailable),
            "update" => Event::EndpointsUpdated(EndpointUpdate::Delta(self.endpoint_list(fields)?)),
            "replace" => Event::EndpointsUpdated(EndpointUpdate::Snapshot(self.endpoint_list(fields)?)),
            "restored" => Event::EndpointsRestored(self.endpoint_list(fields)?),
            _ => return Ok(None),
        };
        Ok(Some(event))
    }

    fn endpoint_list(&self, fields: &Fields) -> Result<Arc<[Endpoint]>, WireError> {
        let list = self.endpoint_lists.get(&fields.required("bank")?);
        list.cloned().ok_or_else(|| WireError::UnknownBank { line: fields.shown_line() })
    }

    fn request(&self, instance: InstanceId, fields: &Fields) -> Result<Event, WireError> {
        let options: u32 = fields.optional("options")?.unwrap_or(0);
        let is_set = |option: u32| options & option != 0;
        let names = self.names.get(&instance);
        let index = |names: Option<&Vec<Name>>, field: &str| {
            let text = fields.text(field)?;
            names?.iter().position(|name| name.as_str() == text)
        };
        Ok(Event::Request(Request {
            id: request_id(fields)?,
            class: index(names.map(|names| &names.classes), "cls").map(ClassId),
            tenant: index(names.map(|names| &names.tenants), "party").map(TenantId),
            key: fields.optional("object")?,
            deadline: Timestamp::from_micros(fields.required("valid_until_us")?),
            expected_work: fields.micros("expected_us")?.filter(|_| is_set(OPTION_EXPECTED_WORK)),
            write: is_set(OPTION_WRITE),
            client_retry: is_set(OPTION_CLIENT_RETRY),
        }))
    }

    fn attempt_outcome(&mut self, fields: &Fields) -> Result<AttemptOutcome, WireError> {
        let status = attempt_status(fields)?;
        Ok(AttemptOutcome {
            id: request_id(fields)?,
            attempt: fields.required("hop")?,
            server: self.server_id(fields)?,
            status,
            cache_result: cache_result(fields)?,
            elapsed: fields.micros("spent_us")?.unwrap_or_default(),
            request_finished: fields.flag("finished")?.unwrap_or(false),
            load: load_report(fields),
        })
    }

    fn health_check(&mut self, fields: &Fields) -> Result<Event, WireError> {
        let status = attempt_status(fields)?;
        let elapsed = fields.micros("spent_us")?.unwrap_or_default();
        Ok(Event::HealthCheckEnded {
            server: self.server_id(fields)?,
            status,
            elapsed,
            load: load_report(fields),
        })
    }

    /// The id of a server, shared by all lines that name it.
    fn server_id(&mut self, fields: &Fields) -> Result<ServerId, WireError> {
        let name = fields.required_text("server")?;
        if let Some(id) = self.server_ids.get(name) {
            return Ok(id.clone());
        }
        let id = ServerId::from(name);
        self.server_ids.insert(name.to_owned(), id.clone());
        Ok(id)
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), WireError> {
        let bank = fields.required("bank")?;
        let missing = fields.required("hosts")?;
        self.open_list = (missing > 0).then(|| OpenList { bank, missing, endpoints: Vec::new() });
        self.endpoint_lists.insert(bank, Vec::new().into());
        Ok(())
    }

    fn list_entry(&mut self, fields: &Fields) -> Result<(), WireError> {
        let endpoint = self.endpoint(fields)?;
        let Some(list) = &mut self.open_list else {
            return Err(WireError::EntryOutsideRoster { line: fields.shown_line() });
        };
        list.endpoints.push(endpoint);
        list.missing -= 1;
        if list.missing == 0 {
            self.endpoint_lists.insert(list.bank, std::mem::take(&mut list.endpoints).into());
            self.open_list = None;
        }
        Ok(())
    }

    fn endpoint(&mut self, fields: &Fields) -> Result<Endpoint, WireError> {
        Ok(Endpoint {
            id: self.server_id(fields)?,
            zone: fields.text("region_part").map(Name::from),
            kind: fields.text("machine").map(Name::from),
            cell: fields.optional("group")?.unwrap_or(0),
            state: endpoint_state(fields)?,
            weight: fields.number("capacity_hint", f64::MAX)?.unwrap_or(1.0),
            started_at: fields.optional("born_us")?.filter(|&at| at > 0).map(Timestamp::from_micros),
        })
    }
}

impl InstanceNames {
    fn of(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }
}

fn instance(fields: &Fields) -> Result<InstanceId, PlatformError> {
    fields.required("who")
}

fn request_id(fields: &Fields) -> Result<RequestId, PlatformError> {
    fields.required_text("request_id").map(RequestId::from)
}

fn endpoint_state(fields: &Fields) -> Result<EndpointState, PlatformError> {
    Ok(match fields.required_text("availability")? {
        "U" => EndpointState::Ready,
        "D" => EndpointState::Removed,
        // A state that this version does not know: nothing new is sent to that server.
        _ => EndpointState::Draining,
    })
}

fn attempt_status(fields: &Fields) -> Result<AttemptStatus, PlatformError> {
    Ok(match fields.required_text("result")? {
        "Ok" => AttemptStatus::Ok,
        "QueueFull" => AttemptStatus::QueueFull,
        "TimedOut" => AttemptStatus::TimedOut,
        "ConnectError" => AttemptStatus::ConnectError,
        "ResetByPeer" => AttemptStatus::Reset,
        "Canceled" => AttemptStatus::Canceled,
        "Ignored" => AttemptStatus::NotSent,
        "Miss" => AttemptStatus::Miss,
        // A result that this version does not know still ends its attempt. The careful reading is that it may have run.
        _ => AttemptStatus::Failed,
    })
}

fn cache_result(fields: &Fields) -> Result<Option<CacheResult>, PlatformError> {
    Ok(match fields.optional::<i64>("info")? {
        Some(1) => Some(CacheResult::Hit),
        Some(2) => Some(CacheResult::Miss),
        Some(3) => Some(CacheResult::MissFetchPending),
        _ => None,
    })
}

fn load_report(fields: &Fields) -> LoadReport {
    fields.text("server_stats").map_or_else(LoadReport::default, |text| read_load_report(text, ':'))
}
