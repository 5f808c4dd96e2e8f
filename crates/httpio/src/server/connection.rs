//! An accepted connection, which reads requests, runs the handler and writes the replies, one
//! request at a time.

use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{FutureExt, StreamExt, channel::mpsc, future::select, pin_mut, select_biased};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header, uri::Authority};
use monoio::{io::Splitable, net::TcpStream, time};
use monoio_http::{common::request::RequestHead, h1::codec::decoder::RequestHeadDecoder};

use super::{
    Handler, LiveLimits, Reply, Request, Server, StopSignals,
    receiving::until_refusing,
    reply::{Part, ReplyBody},
    slots::{Slot, Stage},
};
use crate::{
    Limits,
    budget::{ByteBudget, Charge, NoRoom, SMALL_MESSAGE_BYTES},
    framing::{self, BodyDecoder, BodyFault, Step},
    held::HeldBody,
    inbound::{HeadFault, Inbound, Received},
    outbound::Outbound,
    signal::{Signal, signal},
};

const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_BYTES_MAX: usize = 1 << 20;
/// A head whose buffer is up to this size is not charged; the cost of a connection contains it.
const UNCHARGED_HEAD_BYTES: usize = 4 << 10;
/// The time for the rest of a body for which there is no memory. Its sender may read no answer before it
/// has sent everything.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection ends.
pub(super) enum End {
    /// The connection is closed without a further reply.
    Close,
    /// The request is rejected with this status and remedy, and the connection is closed.
    Refuse(StatusCode, String),
}

pub(super) struct Connection {
    inbound: Inbound,
    outbound: Outbound,
    slot: Slot,
    peer: SocketAddr,
    live_limits: LiveLimits,
    limits: Limits,
    memory: ByteBudget,
    request_bytes: usize,
    stop: StopSignals,
    handler: Rc<dyn Handler>,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        slot: Slot,
        server: &Server,
    ) -> Connection {
        // Nagle's algorithm would delay a small chunk until the previous one is acknowledged. A
        // failure to disable it costs latency only.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let limits = server.limits.get();
        Connection {
            inbound: Inbound::new(read, server.turns.clone(), slot.progress()),
            outbound: Outbound::new(write, limits.write_timeout(), slot.progress()),
            slot,
            peer,
            live_limits: server.limits.clone(),
            limits,
            memory: server.memory.clone(),
            request_bytes: server.request_bytes,
            stop: server.stop.clone(),
            handler: Rc::clone(&server.handler),
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let end = match self.next_request().await {
                // The states of these futures take memory only while there is a request to answer.
                Ok(request) => Box::pin(self.handle(request)).await,
                Err(end) => Err(end),
            };
            match end {
                // The shutdown began after the head of the reply was written, so that head did not
                // ask the caller to close the connection.
                Ok(()) if self.stop.closing.is_raised() => return,
                Ok(()) => {}
                Err(End::Close) => return,
                Err(End::Refuse(status, remedy)) => {
                    return Box::pin(self.refuse(status, remedy)).await;
                }
            }
        }
    }

    async fn next_request(&mut self) -> Result<RequestHeadAndBody, End> {
        self.limits = self.live_limits.get();
        self.slot.enter(Stage::Idle);
        self.await_first_byte().await?;
        self.slot.enter(Stage::Receiving);
        let (refusing, ended) = (self.stop.refusing.clone(), self.slot.ended());
        // An idle connection takes no memory for this.
        until_refusing(&refusing, &ended, Box::pin(self.receive())).await
    }

    async fn receive(&mut self) -> Result<RequestHeadAndBody, End> {
        let (head, head_charge) = self.read_head().await?;
        self.inbound.spend_turn();
        check_host(&head)?;
        let body = time::timeout(self.limits.body_timeout(), self.read_body(&head))
            .await
            .map_err(|_| refusal(StatusCode::REQUEST_TIMEOUT, "send the whole body faster"))??;
        let mut state_charge = self.memory.charge(None);
        state_charge.try_resize(self.request_bytes).map_err(|it| memory_refusal(&self.slot, it))?;
        Ok(RequestHeadAndBody { head, body, _charges: [head_charge, state_charge] })
    }

    /// Waits for a request on an idle connection. A shutdown, the keep-alive timeout or the need of others closes it.
    async fn await_first_byte(&mut self) -> Result<(), End> {
        self.inbound.release_empty_buffer();
        let ended = self.slot.ended();
        while self.inbound.buffer.is_empty() {
            let closing = closing_grace(&self.stop.closing, self.limits.closing_grace()).fuse();
            let idle = time::sleep(self.limits.keep_alive()).fuse();
            let ended = ended.raised().fuse();
            let filled = self.inbound.fill().fuse();
            pin_mut!(closing, idle, ended, filled);
            // Received data has priority, so that a shutdown does not cut off a request.
            select_biased! {
                filled = filled => match filled {
                    Ok(Received::Data) => {}
                    Ok(Received::Eof) | Err(_) => return Err(End::Close),
                },
                () = closing => return Err(End::Close),
                () = idle => return Err(End::Close),
                () = ended => return Err(End::Close),
            }
        }
        Ok(())
    }

    /// Reads a head. The memory of a large one is charged until the request has been answered.
    async fn read_head(&mut self) -> Result<(RequestHead, Charge), End> {
        let limits = self.limits;
        let (inbound, slot) = (&mut self.inbound, &self.slot);
        // Large heads are kept out of the part for small messages, which many stalled ones would use up.
        let mut charge = self.memory.charge(Some(SMALL_MESSAGE_BYTES + 1));
        let head = async {
            loop {
                if let Some(head) =
                    inbound.take_head(RequestHeadDecoder, &limits).map_err(head_refusal)?
                {
                    return Ok(head);
                }
                match inbound.fill().await {
                    Ok(Received::Data) => {}
                    Ok(Received::Eof) | Err(_) => return Err(End::Close),
                }
                // What is allocated is charged, not only what is filled.
                let held = Some(inbound.buffer.capacity()).filter(|it| *it > UNCHARGED_HEAD_BYTES);
                charge
                    .try_resize(held.unwrap_or_default())
                    .map_err(|it| memory_refusal(slot, it))?;
            }
        };
        let head: RequestHead = time::timeout(limits.head_timeout(), head)
            .await
            .map_err(|_| refusal(StatusCode::REQUEST_TIMEOUT, "send the whole head faster"))??;
        if head.headers.len() > limits.header_count {
            return Err(head_refusal(HeadFault::TooBig));
        }
        Ok((head, charge))
    }

    async fn read_body(&mut self, head: &RequestHead) -> Result<Bytes, End> {
        let framing = framing::of_request(&head.headers)
            .map_err(|fault| refusal(StatusCode::BAD_REQUEST, fault))?;
        let mut decoder = BodyDecoder::new(framing, &self.limits).map_err(body_refusal)?;
        let mut body = HeldBody::new(&self.memory, framing.declared_bytes());
        let slot = &self.slot;
        body.check_declared().map_err(|it| memory_refusal(slot, it))?;
        if expects_continue(&head.headers) && self.inbound.buffer.is_empty() {
            self.outbound.write_continue().await.map_err(|_| End::Close)?;
        }
        loop {
            let buffered = self.inbound.buffer.len();
            body.charge_beside(buffered).map_err(|it| memory_refusal(slot, it))?;
            match decoder.decode(&mut self.inbound.buffer).map_err(body_refusal)? {
                Step::Data(data) => {
                    body.try_extend(&data).map_err(|it| memory_refusal(slot, it))?;
                }
                Step::End => return Ok(body.freeze()),
                Step::NeedsData => match self.inbound.fill().await {
                    Ok(Received::Data) => {}
                    Ok(Received::Eof) | Err(_) => return Err(End::Close),
                },
            }
        }
    }

    async fn handle(&mut self, request: RequestHeadAndBody) -> Result<(), End> {
        let RequestHeadAndBody { head, body, _charges } = request;
        self.slot.enter(Stage::Answering);
        let close_requested = requests_close(&head.headers);
        let (trigger, disconnected) = signal();
        let request = Request {
            method: head.method.clone(),
            uri: head.uri,
            headers: head.headers,
            body,
            peer: self.peer,
            disconnected,
        };
        let mut call = self.handler.call(request).fuse();
        let completed = {
            let closed = self.inbound.closed().fuse();
            pin_mut!(closed);
            select_biased! {
                reply = call => Some(reply),
                () = closed => None,
            }
        };
        let Some(reply) = completed else {
            // The handler continues, because its work may have to be completed or undone.
            trigger.raise();
            drop(call.await);
            return Err(End::Close);
        };
        let closes = close_requested || self.is_stopping();
        let ended = self.slot.ended();
        let write = pin!(self.write(reply, &head.method, closes));
        let written = until_ended(&ended, write).await;
        if written.is_err() {
            trigger.raise();
        }
        match written {
            Ok(()) if closes => Err(End::Close),
            written => written,
        }
    }

    fn is_stopping(&self) -> bool {
        self.stop.draining.is_raised() || self.stop.closing.is_raised()
    }

    async fn write(&mut self, reply: Reply, method: &Method, closes: bool) -> Result<(), End> {
        self.slot.enter(Stage::Writing);
        let Reply { status, mut headers, body } = reply;
        if closes {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        match body {
            // The caller would take the bytes of a body for the next reply.
            ReplyBody::Whole(_) | ReplyBody::Stream(_)
                if framing::is_always_empty(method, status) =>
            {
                self.outbound.write_response(status, headers, Bytes::new()).await
            }
            ReplyBody::Whole(body) => self.outbound.write_response(status, headers, body).await,
            ReplyBody::Stream(parts) => {
                self.outbound.write_stream_head(status, headers).await.map_err(|_| End::Close)?;
                return self.write_parts(parts).await;
            }
            ReplyBody::Abort => return Err(End::Close),
        }
        .map_err(|_| End::Close)
    }

    async fn write_parts(&mut self, mut parts: mpsc::Receiver<Part>) -> Result<(), End> {
        loop {
            self.slot.enter(Stage::Answering);
            let part = {
                let closed = self.inbound.closed().fuse();
                pin_mut!(closed);
                select_biased! {
                    part = parts.next() => part,
                    () = closed => return Err(End::Close),
                }
            };
            self.slot.enter(Stage::Writing);
            match part {
                Some(Part::Data(data)) => self.outbound.write_chunk(&data).await,
                Some(Part::End) => {
                    return self.outbound.write_last_chunk().await.map_err(|_| End::Close);
                }
                None => return Err(End::Close),
            }
            .map_err(|_| End::Close)?;
        }
    }

    async fn refuse(&mut self, status: StatusCode, remedy: String) {
        let reply = self.handler.refuse(status, &remedy);
        // What has been read is not needed any more, and may be as large as a chunk.
        self.inbound.buffer = BytesMut::new();
        let (timeout, bytes) = match status {
            StatusCode::SERVICE_UNAVAILABLE => {
                (DISCARD_TIMEOUT, LINGER_BYTES_MAX.max(self.limits.body_bytes))
            }
            _ => (LINGER_TIMEOUT, LINGER_BYTES_MAX),
        };
        // The connection is closed in any case, and at once if others need its room.
        if self.write(reply, &Method::GET, true).await.is_ok() {
            let (ended, discarded) =
                (self.slot.ended(), time::timeout(timeout, self.linger(bytes)));
            select(pin!(ended.raised()), pin!(discarded)).await;
        }
    }

    /// Reads and discards further data for a limited time. Closing a connection with unread bytes
    /// resets it, and the caller might then lose the reply.
    async fn linger(&mut self, bytes: usize) {
        let mut left_bytes = bytes;
        self.slot.enter(Stage::Discarding);
        if self.outbound.shutdown().await.is_err() {
            return;
        }
        while left_bytes > 0 && matches!(self.inbound.fill().await, Ok(Received::Data)) {
            left_bytes = left_bytes.saturating_sub(self.inbound.buffer.len());
            self.inbound.buffer.clear();
        }
    }
}

/// Resolves `grace` after `closing` is raised, because a request may still be in transit to an idle
/// connection.
async fn closing_grace(closing: &Signal, grace: Duration) {
    closing.raised().await;
    time::sleep(grace).await;
}

struct RequestHeadAndBody {
    head: RequestHead,
    body: Bytes,
    /// Of its head and of the state of its handler, until it has been answered.
    _charges: [Charge; 2],
}

fn check_host(head: &RequestHead) -> Result<(), End> {
    if head.version != Version::HTTP_11 {
        return Err(refusal(StatusCode::HTTP_VERSION_NOT_SUPPORTED, "use HTTP/1.1"));
    }
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(refusal(StatusCode::BAD_REQUEST, "send the host header exactly once"));
    };
    if Authority::try_from(host.as_bytes()).is_err() {
        return Err(refusal(StatusCode::BAD_REQUEST, "send a host header of the form host:port"));
    }
    Ok(())
}

fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(header::EXPECT)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

fn requests_close(headers: &HeaderMap) -> bool {
    headers.get(header::CONNECTION).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

pub(super) fn refusal(status: StatusCode, remedy: impl ToString) -> End {
    End::Refuse(status, remedy.to_string())
}

fn head_refusal(fault: HeadFault) -> End {
    let status = match fault {
        HeadFault::TooBig => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        HeadFault::BareLineFeed | HeadFault::Malformed(_) => StatusCode::BAD_REQUEST,
    };
    refusal(status, fault)
}

/// Writes an answer, unless its peer takes none of it and others need the room of the connection.
async fn until_ended(
    ended: &Signal,
    write: impl Future<Output = Result<(), End>> + Unpin,
) -> Result<(), End> {
    if ended.is_raised() {
        // The room was needed when the connection was idle; its next request came at that moment.
        return write.await;
    }
    let (ended, mut write) = (ended.raised().fuse(), write.fuse());
    pin_mut!(ended);
    select_biased! {
        written = write => written,
        () = ended => Err(End::Close),
    }
}

/// The request has not been handled, so the caller may come back. Requests that have stalled make room for it.
fn memory_refusal(slot: &Slot, reason: NoRoom) -> End {
    slot.end_stalled_receivers();
    refusal(StatusCode::SERVICE_UNAVAILABLE, reason)
}

fn body_refusal(fault: BodyFault) -> End {
    match fault {
        BodyFault::TooBig => refusal(StatusCode::PAYLOAD_TOO_LARGE, "send a smaller body"),
        BodyFault::ChunkTooBig => refusal(StatusCode::PAYLOAD_TOO_LARGE, "send smaller chunks"),
        BodyFault::Malformed => refusal(StatusCode::BAD_REQUEST, "the chunked body is malformed"),
    }
}
