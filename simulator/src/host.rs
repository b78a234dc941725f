//! Hosts the balancer instances of a process: passes each its events and writes its actions to the output.

use std::io::{self, BufRead, Write};
use std::str::from_utf8;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, ClassId, DiscoveryUpdate, LoadReport, MachineTypeId, Member, Request,
    RequestId, TenantId, UpstreamId, ZoneId,
};
use stilelead_decision::{Action, Balancer, Event};
use thiserror::Error;

use crate::setup::{self, Names, ParsedSettings};
use crate::wire::{self, Fields, LineError, invalid_field};

/// Why the adapter stops before the end of its input.
#[derive(Debug, Error)]
pub enum HostError {
    /// A line of the input is invalid.
    #[error("line {line}: {cause}")]
    Line {
        /// The line's number, counted from 1.
        line: u64,
        /// What is wrong with it.
        cause: LineError,
    },
    /// The input cannot be read or the output cannot be written.
    #[error("reading or writing failed: {0}")]
    Io(#[from] io::Error),
}

/// An entry of a list of upstreams. Its zone and machine type are kept as names, because instances that
/// share the list may give them different indices.
struct ListEntry {
    /// The name of the upstream's zone.
    zone: String,
    /// The name of the upstream's machine type.
    machine_type: String,
    /// The upstream, without its zone and machine type.
    member: Member,
}

/// A balancer instance with the requests that it has not finished.
struct Instance {
    /// The state machine that makes the instance's decisions.
    balancer: Balancer,
    /// The names in the instance's settings, with their indices.
    names: Names,
    /// The ids of the tracked requests by their id in the line protocol, the ticket.
    ids_by_ticket: FxHashMap<Box<str>, RequestId>,
    /// The requests that later messages or actions may still refer to.
    tracked_requests: FxHashMap<RequestId, TrackedRequest>,
    /// The number that the next request gets as its id.
    next_request_id: u64,
}

/// A request that later messages or actions may still refer to.
struct TrackedRequest {
    /// The request's id in the line protocol.
    ticket: Box<str>,
    /// Number of the request's attempts in flight.
    attempts_in_flight: u32,
    /// Whether the request has ended for the client.
    ended: bool,
}

impl Instance {
    /// Stops tracking a request that has ended and has no attempts in flight.
    fn remove_if_ended(&mut self, id: RequestId) {
        if let Some(tracked) = self.tracked_requests.get(&id)
            && tracked.ended
            && tracked.attempts_in_flight == 0
        {
            self.ids_by_ticket.remove(&tracked.ticket);
            self.tracked_requests.remove(&id);
        }
    }
}

/// All balancer instances of the process and the lists of upstreams that they share.
#[derive(Default)]
pub struct Host {
    /// The instances by number; `None` for an instance that has been destroyed.
    instances: FxHashMap<u32, Option<Instance>>,
    /// The lists of upstreams by number.
    lists: FxHashMap<u32, Vec<ListEntry>>,
    /// The list that was sent last, and the number of its entries that have not arrived yet.
    unfinished_list: Option<(u32, usize)>,
    /// The time of the latest batch, which is the present time for all instances.
    now: Duration,
    /// The number of the batch being read.
    current_batch: Option<String>,
    /// The number of the instance that the events being read are for.
    target_instance: Option<u32>,
    /// The number of the instance that the latest output of this batch belongs to.
    last_output_instance: Option<u32>,
    /// The actions that the event being processed has caused.
    actions: Vec<Action>,
}

impl Host {
    /// Processes batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        let mut text = Vec::new();
        let mut line = 0;
        loop {
            text.clear();
            if input.read_until(b'\n', &mut text)? == 0 {
                if self.current_batch.is_some() {
                    return Err(HostError::Line { line, cause: LineError::InputEndsInBatch });
                }
                return Ok(());
            }
            line += 1;
            let text = text.strip_suffix(b"\n").unwrap_or(&text);
            let handled = from_utf8(text)
                .map_err(|_| LineError::NotUtf8)
                .and_then(|text| self.handle_line(text, &mut output));
            match handled {
                Ok(LineResult::BatchEnded) => output.flush()?,
                Ok(LineResult::Done) => {}
                Ok(LineResult::OutputFailed(error)) => return Err(error.into()),
                Err(cause) => return Err(HostError::Line { line, cause }),
            }
        }
    }

    /// Processes a line of input: the start or end of a batch, a part of a list, or an event.
    fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<LineResult, LineError> {
        let (name, rest) = match text.split_once('\t') {
            Some((name, rest)) => (name, Some(rest)),
            None => (text, None),
        };
        let mut fields = Fields::new(rest);
        if let Some((list, missing)) = self.unfinished_list
            && missing > 0
            && name != "M"
        {
            return Err(LineError::IncompleteList { list, missing });
        }
        if name == "TURN" {
            return self.start_batch(fields).map(|()| LineResult::Done);
        }
        if self.current_batch.is_none() {
            return Err(match name {
                "YOUR_TURN" => LineError::OutsideBatch("YOUR_TURN"),
                _ => LineError::OutsideBatch("a message"),
            });
        }
        match name {
            "YOUR_TURN" => {
                fields.expect_end()?;
                let batch = self.current_batch.take().unwrap_or_default();
                return Ok(LineResult::from_write(
                    writeln!(output, "READY\t{batch}"),
                    LineResult::BatchEnded,
                ));
            }
            "TO" => {
                self.target_instance = Some(fields.number("balancerId")?);
                fields.expect_end()?;
            }
            "INVENTORY" => self.start_list(fields)?,
            "M" => self.add_list_entry(fields)?,
            _ => {
                let instance_number = self.target_instance.ok_or(LineError::NoTargetInstance)?;
                self.handle_event(instance_number, name, fields)?;
                return Ok(LineResult::from_write(
                    self.write_actions(instance_number, output),
                    LineResult::Done,
                ));
            }
        }
        Ok(LineResult::Done)
    }

    /// Processes a `TURN` line, which starts a batch and sets the time.
    fn start_batch(&mut self, mut fields: Fields) -> Result<(), LineError> {
        if self.current_batch.is_some() {
            return Err(LineError::OutsideBatch("a TURN line must be"));
        }
        let now = fields.seconds("clock")?;
        let batch = fields.text("batch")?;
        batch.parse::<u64>().map_err(|_| invalid_field("batch", batch))?;
        fields.expect_end()?;
        if now < self.now {
            return Err(LineError::ClockWentBack);
        }
        self.now = now;
        self.current_batch = Some(batch.to_owned());
        self.target_instance = None;
        self.last_output_instance = None;
        Ok(())
    }

    /// Processes an `INVENTORY` line, which announces the entries of a list.
    fn start_list(&mut self, mut fields: Fields) -> Result<(), LineError> {
        let list = fields.number("buffer")?;
        let count: usize = fields.number("membersList")?;
        fields.expect_end()?;
        self.unfinished_list = Some((list, count));
        self.lists.insert(list, Vec::new());
        Ok(())
    }

    /// Processes an `M` line, which is an entry of the announced list.
    fn add_list_entry(&mut self, mut fields: Fields) -> Result<(), LineError> {
        let Some((list, missing)) = self.unfinished_list.filter(|&(_, missing)| missing > 0) else {
            return Err(LineError::EntryOutsideList);
        };
        let id = UpstreamId(fields.number("upstream")?);
        let zone = fields.optional("regionPart")?.unwrap_or_default().to_owned();
        let machine_type = fields.optional("machine")?.unwrap_or_default().to_owned();
        let cell = fields.optional("cluster")?;
        let cell = cell
            .map(|cell| cell.parse().map_err(|_| invalid_field("cluster", cell)))
            .transpose()?
            .unwrap_or_default();
        let phase = wire::parse_phase(fields.text("phase")?)?;
        let weight = match fields.optional("nominal")? {
            Some(value) => value
                .parse()
                .ok()
                .filter(|weight: &f64| weight.is_finite() && *weight >= 0.0)
                .ok_or_else(|| invalid_field("nominal", value))?,
            None => 1.0,
        };
        let started_at = fields.optional_seconds("readyAtS")?.filter(|started_at| !started_at.is_zero());
        fields.expect_end()?;
        let member = Member { id, zone: None, machine_type: None, cell, phase, weight, started_at };
        self.lists.entry(list).or_default().push(ListEntry { zone, machine_type, member });
        self.unfinished_list = Some((list, missing - 1));
        Ok(())
    }

    /// Passes an event to an instance, or creates or destroys the instance.
    fn handle_event(
        &mut self,
        instance_number: u32,
        name: &str,
        mut fields: Fields,
    ) -> Result<(), LineError> {
        if name == "START" {
            return self.start_instance(instance_number, fields);
        }
        let instance =
            self.instances.get_mut(&instance_number).ok_or(LineError::InstanceNotStarted(instance_number))?;
        if name == "DESTROY" {
            *instance = None;
            return fields.expect_end();
        }
        // Events for a destroyed instance are still valid input, but are dropped.
        let Some(instance) = instance else { return check_message_name(name) };
        let event = match name {
            "PEERS_KNOWN" => Some(parse_list_update(&self.lists, &instance.names, &mut fields)?),
            "ASK" => Some(parse_request(instance, &mut fields)?),
            "FIRST" => {
                let id = instance.ids_by_ticket.get(fields.text("ticket")?).copied();
                let attempt = AttemptNumber(fields.number("n")?);
                fields.number::<u32>("upstream")?;
                fields.seconds("durationS")?;
                id.map(|request| Event::ResponseStarted { request, attempt })
            }
            "ATTEMPT_END" => parse_attempt_end(instance, &mut fields)?,
            "TIMED_OUT_CLIENT" => {
                let id = instance.ids_by_ticket.get(fields.text("ticket")?).copied();
                if let Some(tracked) = id.and_then(|id| instance.tracked_requests.get_mut(&id)) {
                    tracked.ended = true;
                }
                id.map(Event::RequestAbandoned)
            }
            "REMINDER" => {
                fields.text("ref")?;
                Some(Event::TimerFired)
            }
            "HEALTH" => {
                let outcome = wire::parse_outcome(fields.text("outcome")?)?;
                let duration = fields.seconds("durationS")?;
                let upstream = UpstreamId(fields.number("upstream")?);
                let load = parse_load_report(&instance.names, &mut fields)?;
                Some(Event::ProbeEnded { upstream, outcome, duration, load })
            }
            "NOTE_FROM" => {
                let sender = fields.number("by")?;
                let payload = wire::parse_hex(fields.text("content")?)?;
                Some(Event::PeerMessage { sender, payload })
            }
            _ => return check_message_name(name),
        };
        fields.expect_end()?;
        if let Some(event) = event {
            let ended_request = match event {
                Event::RequestAbandoned(id) | Event::AttemptEnded(AttemptEnded { request: id, .. }) => {
                    Some(id)
                }
                _ => None,
            };
            instance.balancer.handle(self.now, event, &mut self.actions);
            track_actions(instance, &self.actions);
            // Actions may still refer to the request, in which case it is removed after they are written.
            if let Some(id) = ended_request
                && self.actions.is_empty()
            {
                instance.remove_if_ended(id);
            }
        }
        Ok(())
    }

    /// Processes a `START` message, which creates an instance with its settings and seed.
    fn start_instance(&mut self, instance_number: u32, mut fields: Fields) -> Result<(), LineError> {
        let seed = fields.number("nonce64")?;
        let ParsedSettings { settings, names, .. } = setup::parse_settings(fields.remainder("setup")?)?;
        let mut balancer = Balancer::new(settings, seed)?;
        balancer.handle(self.now, Event::Started, &mut self.actions);
        let instance = Instance {
            balancer,
            names,
            ids_by_ticket: FxHashMap::default(),
            tracked_requests: FxHashMap::default(),
            next_request_id: 0,
        };
        self.instances.insert(instance_number, Some(instance));
        Ok(())
    }

    /// Writes the pending actions of an instance, preceded by its number where that has changed.
    fn write_actions(&mut self, instance_number: u32, output: &mut impl Write) -> io::Result<()> {
        if self.actions.is_empty() {
            return Ok(());
        }
        let Some(Some(instance)) = self.instances.get_mut(&instance_number) else { return Ok(()) };
        if self.last_output_instance != Some(instance_number) {
            self.last_output_instance = Some(instance_number);
            writeln!(output, "INSTANCE\t{instance_number}")?;
        }
        for action in self.actions.drain(..) {
            write_action(instance, &action, output)?;
            if let Some(id) = request_of(&action) {
                instance.remove_if_ended(id);
            }
        }
        Ok(())
    }
}

/// The effect of a valid line of input.
enum LineResult {
    /// The line has been processed and needs nothing further.
    Done,
    /// A batch has ended, so the output must be flushed.
    BatchEnded,
    /// Writing the output has failed.
    OutputFailed(io::Error),
}

impl LineResult {
    /// The result of writing output: `on_success` unless it has failed.
    fn from_write(result: io::Result<()>, on_success: Self) -> Self {
        result.map_or_else(Self::OutputFailed, |()| on_success)
    }
}

/// Checks that the protocol has an event of this name.
fn check_message_name(name: &str) -> Result<(), LineError> {
    const EVENTS: [&str; 9] = [
        "PEERS_KNOWN",
        "ASK",
        "FIRST",
        "ATTEMPT_END",
        "TIMED_OUT_CLIENT",
        "REMINDER",
        "HEALTH",
        "NOTE_FROM",
        "DESTROY",
    ];
    if EVENTS.contains(&name) {
        Ok(())
    } else {
        Err(LineError::UnknownMessage(name.chars().take(80).collect()))
    }
}

/// Parses a `PEERS_KNOWN` message: an update of the list of upstreams, or its failure.
fn parse_list_update(
    lists: &FxHashMap<u32, Vec<ListEntry>>,
    names: &Names,
    fields: &mut Fields,
) -> Result<Event, LineError> {
    let scope = fields.text("scope")?;
    fields.number::<u64>("version")?;
    let buffer = fields.text("buffer")?;
    if scope == "broken" {
        return Ok(Event::Discovery(DiscoveryUpdate::Failed));
    }
    let list = buffer.parse().map_err(|_| invalid_field("buffer", buffer))?;
    let entries = lists.get(&list).ok_or(LineError::UnknownList(list))?;
    let members = entries
        .iter()
        .map(|entry| Member {
            zone: names.zones.get(&entry.zone).copied().map(ZoneId),
            machine_type: names.machine_types.get(&entry.machine_type).copied().map(MachineTypeId),
            ..entry.member
        })
        .collect();
    Ok(Event::Discovery(match scope {
        "patch" => DiscoveryUpdate::Incremental(members),
        "whole" => DiscoveryUpdate::Full(members),
        "stale_copy" => DiscoveryUpdate::Stale(members),
        _ => return Err(invalid_field("scope", scope)),
    }))
}

/// Parses an `ASK` message, a new request, and starts to track the request.
fn parse_request(instance: &mut Instance, fields: &mut Fields) -> Result<Event, LineError> {
    const EXPECTED_WORK_VALID_BIT: u32 = 1;
    const RETRY_BIT: u32 = 2;
    let ticket = fields.text("ticket")?;
    if instance.ids_by_ticket.contains_key(ticket) {
        return Err(LineError::DuplicateRequest(ticket.to_owned()));
    }
    let class = fields.text("cls")?;
    let class = *instance.names.classes.get(class).ok_or_else(|| invalid_field("cls", class))?;
    let tenant = match fields.optional("owner")? {
        None | Some("0") => None,
        Some(name) => Some(*instance.names.tenants.get(name).ok_or_else(|| invalid_field("owner", name))?),
    };
    let resource_key = fields.optional("pathKey")?;
    let resource_key =
        resource_key.map(|key| key.parse().map_err(|_| invalid_field("pathKey", key))).transpose()?;
    let time_left = fields.seconds("ttlS")?;
    let expected_work = fields.optional_seconds("expectedS")?;
    let state_bits = fields.optional("stateBits")?.unwrap_or("0");
    let state_bits: u32 = state_bits.parse().map_err(|_| invalid_field("stateBits", state_bits))?;
    let id = RequestId(instance.next_request_id);
    instance.next_request_id += 1;
    instance.ids_by_ticket.insert(ticket.into(), id);
    instance
        .tracked_requests
        .insert(id, TrackedRequest { ticket: ticket.into(), attempts_in_flight: 0, ended: false });
    Ok(Event::Request(Request {
        id,
        class: ClassId(class),
        tenant: tenant.map(TenantId),
        resource_key,
        time_left,
        expected_work: expected_work.filter(|_| state_bits & EXPECTED_WORK_VALID_BIT != 0),
        is_retry: state_bits & RETRY_BIT != 0,
    }))
}

/// Parses an `ATTEMPT_END` message; `None` if its request is no longer tracked.
fn parse_attempt_end(instance: &mut Instance, fields: &mut Fields) -> Result<Option<Event>, LineError> {
    let id = instance.ids_by_ticket.get(fields.text("ticket")?).copied();
    let attempt = AttemptNumber(fields.number("n")?);
    fields.number::<u32>("upstream")?;
    let outcome = wire::parse_outcome(fields.text("outcome")?)?;
    let duration = fields.seconds("durationS")?;
    let request_ended = fields.flag("terminal")?;
    let load = parse_load_report(&instance.names, fields)?;
    let Some(request) = id else { return Ok(None) };
    if let Some(tracked) = instance.tracked_requests.get_mut(&request) {
        tracked.attempts_in_flight = tracked.attempts_in_flight.saturating_sub(1);
        tracked.ended |= request_ended;
    }
    Ok(Some(Event::AttemptEnded(AttemptEnded { request, attempt, outcome, duration, request_ended, load })))
}

/// Parses the load report of an upstream; `None` if the message carries none.
fn parse_load_report(names: &Names, fields: &mut Fields) -> Result<Option<LoadReport>, LineError> {
    let Some(text) = fields.optional("stats")? else { return Ok(None) };
    let mut report = LoadReport::default();
    for (index, value) in text.split(',').enumerate() {
        let number: f64 = value.parse().map_err(|_| invalid_field("stats", text))?;
        let name = names.load_fields.get(index).ok_or_else(|| invalid_field("stats", text))?;
        setup::set_load_field(&mut report, name, number);
    }
    Ok(Some(report))
}

/// The request that an action refers to.
fn request_of(action: &Action) -> Option<RequestId> {
    match *action {
        Action::Send { request, .. }
        | Action::CancelAttempt { request, .. }
        | Action::Refuse { request, .. }
        | Action::Fail { request } => Some(request),
        Action::SubscribeToDiscovery
        | Action::Probe { .. }
        | Action::AbortPendingConnects { .. }
        | Action::CloseIdleConnections { .. }
        | Action::SetTimer(_)
        | Action::Report(_) => None,
    }
}

/// Records the sends and the ends of requests among the actions.
fn track_actions(instance: &mut Instance, actions: &[Action]) {
    for action in actions {
        let Some(tracked) = request_of(action).and_then(|id| instance.tracked_requests.get_mut(&id)) else {
            continue;
        };
        match action {
            Action::Send { .. } => tracked.attempts_in_flight += 1,
            Action::Refuse { .. } | Action::Fail { .. } => tracked.ended = true,
            _ => {}
        }
    }
}

/// Writes an action as a line of output.
fn write_action(instance: &Instance, action: &Action, output: &mut impl Write) -> io::Result<()> {
    let tracked = request_of(action).and_then(|id| instance.tracked_requests.get(&id));
    let ticket = tracked.map_or("-", |tracked| &*tracked.ticket);
    match action {
        Action::Send { upstream, timeout, .. } => {
            write!(output, "CALL_OUT\t{ticket}\t{}\t", upstream.0)?;
            write_seconds(*timeout, output)
        }
        Action::CancelAttempt { attempt, .. } => writeln!(output, "WITHDRAW\t{ticket}\t{}", attempt.0),
        Action::Refuse { retry_after, .. } => {
            write!(output, "DENY\t{ticket}\t")?;
            write_seconds(*retry_after, output)
        }
        Action::Fail { .. } => writeln!(output, "ABORT\t{ticket}"),
        Action::SubscribeToDiscovery => writeln!(output, "OBSERVE\t1"),
        // The simulator does not report when connections open, and ends pending ones by itself.
        Action::AbortPendingConnects { .. } => Ok(()),
        Action::Probe { upstream } => writeln!(output, "POLL\t{}", upstream.0),
        Action::CloseIdleConnections { upstream } => writeln!(output, "DROP_CONNS\t{}", upstream.0),
        Action::SetTimer(duration) => writeln!(output, "AFTER\t{:.6}\tsweep", duration.as_secs_f64()),
        // Every line counts in what the simulator measures of an instance, so reports are not written.
        Action::Report(_) => Ok(()),
    }
}

/// Writes a duration in seconds, or `-` for none, and ends the line.
fn write_seconds(duration: Option<Duration>, output: &mut impl Write) -> io::Result<()> {
    match duration {
        Some(duration) => writeln!(output, "{:.6}", duration.as_secs_f64()),
        None => writeln!(output, "-"),
    }
}
