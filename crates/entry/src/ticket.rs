//! Issues tickets, and reads the ticket or idempotency key of a call that must run at most once.

use {
    crate::{
        Context, Exchange,
        answer::{self, Body},
        call::Call,
    },
    base::{Reason, Refusal, key},
    hyper::{Response, StatusCode},
    once::{Id, Source, Ticket, registry::fingerprint, ticket::Invalid},
    serde_json::{Value, json},
    std::sync::Arc,
};

/// Path that issues tickets.
pub const PATH: &str = "/v1/tickets";
/// Header with a ticket.
pub const HEADER: &str = "x-ticket";
/// Header with an idempotency key that the caller chose.
pub const KEY_HEADER: &str = "idempotency-key";
/// Most tickets in one response.
const MAX_COUNT: u64 = 100;
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Issues the number of tickets that the body asks for.
///
/// # Errors
/// Returns a refusal for an invalid count, or once this VM hands its records over.
pub fn issue(
    context: &Arc<Context>,
    customer: key::Customer,
    body: &[u8],
) -> Result<Response<Body>, Refusal> {
    let count = parse_count(body)?;
    let now = context.now();
    let tickets: Result<Vec<_>, _> = (0..count)
        .map(|_| context.registry.issue(now, customer))
        .collect();
    let tickets = tickets?.into_iter();
    let tickets: Vec<_> = tickets.map(|ticket| ticket.encode(&context.key)).collect();
    Ok(answer::json(StatusCode::OK, &json!({"tickets": tickets})))
}

/// Parses the number of tickets; an empty body asks for one.
fn parse_count(body: &[u8]) -> Result<u64, Refusal> {
    let bad_request = || {
        let message = format!("`count` must be a number from 1 to {MAX_COUNT}");
        Refusal::not_run(Reason::BadRequest, message)
    };
    if body.is_empty() {
        return Ok(1);
    }
    let value: Value = serde_json::from_slice(body).map_err(|_error| bad_request())?;
    match &value["count"] {
        Value::Null => Ok(1),
        count => count
            .as_u64()
            .filter(|count| (1..=MAX_COUNT).contains(count))
            .ok_or_else(bad_request),
    }
}

/// Identifies a call to the registry by its ticket or idempotency key; `None` if it has neither.
///
/// # Errors
/// Returns a refusal for an invalid ticket or key, another customer's ticket, or both headers.
pub fn claim(
    context: &Context,
    exchange: &Exchange,
    call: &Call,
) -> Result<Option<once::Call>, Refusal> {
    let header = |name| match call.headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(Some).map_err(|_error| {
            Refusal::not_run(Reason::BadRequest, format!("`{name}` must be plain text"))
        }),
    };
    let (id, source) = match (header(HEADER)?, header(KEY_HEADER)?) {
        (None, None) => return Ok(None),
        (Some(_), Some(_)) => {
            let message = format!("`{HEADER}` and `{KEY_HEADER}` exclude each other");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        (Some(text), None) => {
            let ticket = open_ticket(context, exchange.customer, text)?;
            (ticket.id(), Source::Ticket(ticket))
        }
        (None, Some(key)) => (key_id(exchange.customer, key)?, Source::Key),
    };
    Ok(Some(once::Call {
        id,
        source,
        fingerprint: fingerprint(&[
            &exchange.service.raw().to_be_bytes(),
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ]),
    }))
}

fn open_ticket(context: &Context, customer: key::Customer, text: &str) -> Result<Ticket, Refusal> {
    Ticket::decode(text, &context.key, customer).map_err(|invalid| {
        let reason = match invalid {
            Invalid::Foreign => Reason::Forbidden,
            Invalid::Malformed | Invalid::Unauthentic => Reason::BadTicket,
        };
        Refusal::not_run(reason, invalid.to_string())
    })
}

fn key_id(customer: key::Customer, key: &str) -> Result<Id, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("`{KEY_HEADER}` must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    }
    Ok(Id::of_key(customer, key))
}
