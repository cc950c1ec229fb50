//! Parses the lines of the protocol.

use super::error::WireError;
use super::message::{InstanceId, Message};
use balancer_core::platform::{read_load_report, read_wire_settings, Fields, PlatformError};
use balancer_core::{
    AttemptOutcome, AttemptStatus, CacheResult, ClassId, Endpoint, EndpointState, EndpointUpdate, Event,
    LoadReport, Name, Request, RequestId, ServerId, Settings, TenantId, Timestamp,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Bits of the field `options` of a request.
const OPTION_EXPECTED_WORK: u32 = 1;
const OPTION_CLIENT_RETRY: u32 = 2;
const OPTION_WRITE: u32 = 4;
/// Names of the messages that carry an event for an instance.
const EVENT_MESSAGES: [&str; 7] =
    ["peers_known", "submit", "timer", "abandoned", "first_byte", "returned", "sampled"];

/// Parses lines into [`Message`]s.
///
/// Later lines refer to what earlier lines defined, so the parser keeps the endpoint lists, and the class and tenant names
/// of each instance.
#[derive(Debug, Default)]
pub struct Parser {
    /// Endpoint lists by number: `bank` in the protocol.
    endpoint_lists: HashMap<u32, Arc<[Endpoint]>>,
    incomplete_list: Option<IncompleteList>,
    server_ids: HashMap<String, ServerId>,
    names: HashMap<InstanceId, InstanceNames>,
}

/// An endpoint list with entries yet to arrive.
#[derive(Debug)]
struct IncompleteList {
    /// Number of the list.
    number: u32,
    /// Number of entries yet to arrive.
    missing: usize,
    endpoints: Vec<Endpoint>,
}

/// Class and tenant names of an instance, in the order of its settings. The protocol refers to classes and tenants by
/// name, a [`Request`] by index.
#[derive(Debug, Default)]
struct InstanceNames {
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl Parser {
    /// Parses one line. Returns `None` for lines that define an endpoint list and for unknown messages, which are
    /// skipped.
    ///
    /// # Errors
    ///
    /// [`WireError`] if a known message lacks a required field, a field is invalid, an endpoint list is incomplete or
    /// unknown, or a list entry is outside a list.
    pub fn parse_line(&mut self, line: &str) -> Result<Option<Message>, WireError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name == "m" {
            self.parse_list_entry(&Fields::of_line(line, rest))?;
            return Ok(None);
        }
        if let Some(IncompleteList { missing, .. }) = self.incomplete_list.take() {
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
            "power_on" => self.parse_instance_start(&fields).map(Some),
            "retire" => Ok(Some(Message::InstanceStopped(instance_id(&fields)?))),
            name if EVENT_MESSAGES.contains(&name) => self.parse_event(name, &fields),
            _ => Ok(None),
        }
    }

    fn parse_instance_start(&mut self, fields: &Fields) -> Result<Message, WireError> {
        let instance = instance_id(fields)?;
        let settings = Box::new(read_wire_settings(fields)?);
        self.names.insert(instance, InstanceNames::from_settings(&settings));
        Ok(Message::InstanceStarted { instance, seed: fields.required("prng")?, settings })
    }

    /// Parses one of the [`EVENT_MESSAGES`]. Returns `None` if it is an endpoint update of an unknown kind.
    fn parse_event(&mut self, name: &str, fields: &Fields) -> Result<Option<Message>, WireError> {
        let instance = instance_id(fields)?;
        let event = match name {
            "peers_known" => self.parse_endpoints_event(fields)?,
            "submit" => Some(self.parse_request(instance, fields)?),
            "timer" => Some(Event::TimerExpired),
            "abandoned" => Some(Event::RequestCancelled(request_id(fields)?)),
            "first_byte" => Some(Event::ResponseStarted { id: request_id(fields)? }),
            "returned" => Some(Event::AttemptEnded(self.parse_attempt_outcome(fields)?)),
            "sampled" => Some(self.parse_health_check(fields)?),
            _ => return Ok(None),
        };
        Ok(event.map(|event| Message::Event { instance, event }))
    }

    fn parse_endpoints_event(&self, fields: &Fields) -> Result<Option<Event>, WireError> {
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
        list.cloned().ok_or_else(|| WireError::UnknownEndpointList { line: fields.shown_line() })
    }

    fn parse_request(&self, instance: InstanceId, fields: &Fields) -> Result<Event, WireError> {
        let options: u32 = fields.optional("options")?.unwrap_or(0);
        let has_option = |option: u32| options & option != 0;
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
            expected_work: fields.micros("expected_us")?.filter(|_| has_option(OPTION_EXPECTED_WORK)),
            write: has_option(OPTION_WRITE),
            client_retry: has_option(OPTION_CLIENT_RETRY),
        }))
    }

    fn parse_attempt_outcome(&mut self, fields: &Fields) -> Result<AttemptOutcome, WireError> {
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

    fn parse_health_check(&mut self, fields: &Fields) -> Result<Event, WireError> {
        let status = attempt_status(fields)?;
        let elapsed = fields.micros("spent_us")?.unwrap_or_default();
        Ok(Event::HealthCheckEnded {
            server: self.server_id(fields)?,
            status,
            elapsed,
            load: load_report(fields),
        })
    }

    /// Returns the id of the server that the line names. Lines that name the same server share one id.
    fn server_id(&mut self, fields: &Fields) -> Result<ServerId, WireError> {
        let name = fields.required_text("server")?;
        if let Some(id) = self.server_ids.get(name) {
            return Ok(id.clone());
        }
        let id = ServerId::from(name);
        self.server_ids.insert(name.to_owned(), id.clone());
        Ok(id)
    }

    /// Starts an endpoint list, which replaces an earlier list of the same number.
    fn begin_list(&mut self, fields: &Fields) -> Result<(), WireError> {
        let number = fields.required("bank")?;
        let missing = fields.required("hosts")?;
        self.incomplete_list =
            (missing > 0).then(|| IncompleteList { number, missing, endpoints: Vec::new() });
        self.endpoint_lists.insert(number, Vec::new().into());
        Ok(())
    }

    fn parse_list_entry(&mut self, fields: &Fields) -> Result<(), WireError> {
        let endpoint = self.parse_endpoint(fields)?;
        let Some(list) = &mut self.incomplete_list else {
            return Err(WireError::EntryOutsideList { line: fields.shown_line() });
        };
        list.endpoints.push(endpoint);
        list.missing -= 1;
        if list.missing == 0 {
            self.endpoint_lists.insert(list.number, std::mem::take(&mut list.endpoints).into());
            self.incomplete_list = None;
        }
        Ok(())
    }

    fn parse_endpoint(&mut self, fields: &Fields) -> Result<Endpoint, WireError> {
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
    fn from_settings(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            tenants: settings.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        }
    }
}

fn instance_id(fields: &Fields) -> Result<InstanceId, PlatformError> {
    fields.required("who")
}

fn request_id(fields: &Fields) -> Result<RequestId, PlatformError> {
    fields.required_text("request_id").map(RequestId::from)
}

fn endpoint_state(fields: &Fields) -> Result<EndpointState, PlatformError> {
    Ok(match fields.required_text("availability")? {
        "U" => EndpointState::Ready,
        "D" => EndpointState::Removed,
        // With a state unknown to this version, the server gets no new requests.
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
        // A result unknown to this version still ends the attempt. The safe assumption is that the server may have
        // executed the request.
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
