//! One connection to a server.

use std::{io, net::SocketAddr, time::Duration};

use http::{HeaderValue, Method, StatusCode, Version, header};
use monoio::{io::Splitable, net::TcpStream, time};
use monoio_http::{common::response::ResponseHead, h1::codec::decoder::ResponseHeadDecoder};

use super::{Body, ClientError, FailureKind, Request, Response, Stage};
use crate::{
    Limits,
    framing::{self, BodyDecoder},
    inbound::{HeadFault, Inbound, Received},
    outbound::Outbound,
    progress::Progress,
    turns::ReadTurns,
};

/// A connection that carries one exchange at a time.
pub struct Connection {
    pub(super) inbound: Inbound,
    outbound: Outbound,
    pub(super) limits: Limits,
    addr: SocketAddr,
    pub(super) reused: bool,
    /// The method of the request under way.
    method: Method,
    /// How long the server keeps an idle connection, from the `Keep-Alive` field of its response.
    pub(super) server_idle_timeout: Option<Duration>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// With [`Stage::NotConnected`] when the connection is refused or times out.
    pub async fn open(addr: SocketAddr, limits: Limits) -> Result<Connection, ClientError> {
        Connection::open_with(addr, limits, ReadTurns::default()).await
    }

    /// Opens a connection that shares turns to read with others.
    pub(super) async fn open_with(
        addr: SocketAddr,
        limits: Limits,
        turns: ReadTurns,
    ) -> Result<Connection, ClientError> {
        let fail = |kind| Err(ClientError { stage: Stage::NotConnected, kind, reused: false });
        let stream =
            match time::timeout(limits.connect_timeout(), TcpStream::connect_addr(addr)).await {
                Ok(Ok(stream)) => stream,
                Ok(Err(error)) => return fail(FailureKind::Connect(error)),
                Err(_) => return fail(FailureKind::ConnectTimeout),
            };
        // A failure to disable Nagle's algorithm costs latency only.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let progress = Progress::default();
        let inbound = Inbound::new(read, turns, progress.clone());
        let outbound = Outbound::new(write, limits.write_timeout(), progress);
        Ok(Connection {
            inbound,
            outbound,
            limits,
            addr,
            reused: false,
            method: Method::default(),
            server_idle_timeout: None,
        })
    }

    /// The address of the server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// With the stage that the exchange had reached. The connection is closed.
    pub async fn send(mut self, request: Request) -> Result<Response, ClientError> {
        self.write(request).await?;
        self.read_response().await
    }

    pub(super) async fn read_response(mut self) -> Result<Response, ClientError> {
        let head = self.read_head().await?;
        let unsized_body = self.limits.unsized_body;
        let framing = framing::of_response(&self.method, head.status, &head.headers, unsized_body)
            .map_err(|fault| self.fail(Stage::HeadReceived, FailureKind::Framing(fault)))?;
        let decoder = BodyDecoder::new(framing, &self.limits)
            .map_err(|fault| self.fail(Stage::HeadReceived, fault.into()))?;
        self.server_idle_timeout = keep_alive_timeout(&head);
        let keeps_alive = keeps_alive(&head) && !decoder.ends_at_eof();
        let body = Body::new(self, decoder, framing.declared_bytes(), keeps_alive);
        Ok(Response { head, body })
    }

    async fn write(&mut self, request: Request) -> Result<(), ClientError> {
        let Request { method, uri, mut headers, body } = request;
        if !headers.contains_key(header::HOST) {
            let host = HeaderValue::try_from(self.addr.to_string())
                .expect("a socket address is made of visible characters");
            headers.insert(header::HOST, host);
        }
        self.method = method.clone();
        let result = self.outbound.write_request(method, uri, headers, body).await;
        result.map_err(|error| {
            let sent = self.outbound.sent_bytes > 0;
            self.fail(if sent { Stage::Sent } else { Stage::NothingSent }, write_failure(error))
        })
    }

    async fn read_head(&mut self) -> Result<ResponseHead, ClientError> {
        let head = time::timeout(self.limits.head_timeout(), self.read_final_head())
            .await
            .unwrap_or(Err(FailureKind::HeadTimeout));
        let head = head.map_err(|kind| self.fail(Stage::Sent, kind))?;
        if head.headers.len() > self.limits.header_count {
            return Err(self.fail(Stage::HeadReceived, FailureKind::HeadTooBig));
        }
        Ok(head)
    }

    /// Reads heads until one does not belong to an interim (1xx) response. Those of interim responses
    /// together are bounded like one head.
    async fn read_final_head(&mut self) -> Result<ResponseHead, FailureKind> {
        let mut interim_bytes = 0;
        loop {
            let buffered = self.inbound.buffer.len();
            match self.inbound.take_head(ResponseHeadDecoder, &self.limits)? {
                Some(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    let reason = "it switches to a protocol that was not asked for";
                    return Err(FailureKind::Malformed(reason.to_owned()));
                }
                Some(head) if head.status.is_informational() => {
                    interim_bytes += buffered - self.inbound.buffer.len();
                    if interim_bytes > self.limits.head_bytes {
                        return Err(FailureKind::HeadTooBig);
                    }
                }
                Some(head) => return Ok(head),
                None => match self.inbound.fill().await.map_err(FailureKind::Io)? {
                    Received::Data => {}
                    Received::Eof => return Err(FailureKind::CutShort),
                },
            }
        }
    }

    pub(super) fn fail(&self, stage: Stage, kind: FailureKind) -> ClientError {
        ClientError { stage, kind, reused: self.reused }
    }

    /// Whether an idle connection can be used again: no bytes are unread and the server has not
    /// closed it.
    pub(super) fn is_reusable(&mut self) -> bool {
        self.inbound.is_silent()
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl From<HeadFault> for FailureKind {
    fn from(fault: HeadFault) -> Self {
        match fault {
            HeadFault::TooBig => FailureKind::HeadTooBig,
            HeadFault::BareLineFeed => FailureKind::Malformed(fault.to_string()),
            HeadFault::Malformed(error) => FailureKind::Malformed(error.to_string()),
        }
    }
}

fn write_failure(error: io::Error) -> FailureKind {
    match error.kind() {
        io::ErrorKind::TimedOut => FailureKind::WriteTimeout,
        _ => FailureKind::Io(error),
    }
}

/// The `timeout` parameter of the `Keep-Alive` header field.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn keeps_alive(head: &ResponseHead) -> bool {
    let closes = head
        .headers
        .get(header::CONNECTION)
        .is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
    head.version == Version::HTTP_11 && !closes
}
