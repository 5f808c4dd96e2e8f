//! The body of a response, read from the connection on demand.

use std::rc::Weak;

use bytes::{Bytes, BytesMut};
use monoio::time;

use super::{ClientError, Connection, FailureKind, Response, Stage, pool::Idle};
use crate::{
    budget::ByteBudget,
    framing::{BodyDecoder, BodyFault, Step},
    held::HeldBody,
    inbound::Received,
};

/// A response body that owns its connection until its end has been read.
#[derive(Debug)]
pub struct Body {
    reading: Option<Reading>,
    declared_bytes: Option<usize>,
    pool: Weak<Idle>,
}

struct Reading {
    connection: Connection,
    decoder: BodyDecoder,
    keeps_alive: bool,
}

impl Body {
    pub(super) fn new(
        connection: Connection,
        decoder: BodyDecoder,
        declared_bytes: Option<usize>,
        keeps_alive: bool,
    ) -> Body {
        let reading = Some(Reading { connection, decoder, keeps_alive });
        Body { reading, declared_bytes, pool: Weak::new() }
    }

    pub(super) fn attach_pool(&mut self, pool: Weak<Idle>) {
        self.pool = pool;
    }

    /// Whether the end of the connection is the only sign of the body's end.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.reading.as_ref().is_some_and(|it| it.decoder.ends_at_eof())
    }

    pub(super) fn is_on_kept_connection(&self) -> bool {
        self.reading.as_ref().is_some_and(|it| it.connection.reused)
    }

    pub(super) fn close_afterwards(&mut self) {
        if let Some(reading) = &mut self.reading {
            reading.keeps_alive = false;
        }
    }

    /// Reads the next piece, or returns `None` after the end. Dropping the future loses no data.
    ///
    /// # Errors
    /// When the body is truncated, malformed or too big, or when no data arrives within the idle
    /// timeout. The connection is then closed, and further calls return `None`.
    pub async fn next(&mut self) -> Option<Result<Bytes, ClientError>> {
        let result = self.reading.as_mut()?.next().await;
        match result {
            Ok(Some(data)) => Some(Ok(data)),
            Ok(None) => {
                self.release();
                None
            }
            Err(kind) => {
                let reading = self.reading.take()?;
                Some(Err(reading.connection.fail(Stage::HeadReceived, kind)))
            }
        }
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// As for [`Body::next`].
    pub async fn collect(mut self) -> Result<Bytes, ClientError> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.next().await {
            whole.extend_from_slice(&data?);
        }
        Ok(whole.freeze())
    }

    /// Reads the body to its end within `memory`. While there is no room, nothing is read, so that the
    /// server has to wait. The memory is free again once the last user of the bytes has dropped them.
    ///
    /// # Errors
    /// As for [`Body::next`].
    pub async fn collect_within(mut self, memory: &ByteBudget) -> Result<Bytes, ClientError> {
        let mut whole = HeldBody::new(memory, self.declared_bytes);
        whole.reserve_declared().await;
        while let Some(data) = self.next().await {
            whole.extend(&data?).await;
        }
        Ok(whole.freeze())
    }

    pub(super) async fn next_response(mut self) -> Result<Response, ClientError> {
        let pool = std::mem::take(&mut self.pool);
        let Some(mut reading) = self.reading.take() else {
            let kind = FailureKind::CutShort;
            return Err(ClientError { stage: Stage::Sent, kind, reused: true });
        };
        loop {
            match reading.next().await {
                Ok(Some(_)) => {}
                Ok(None) if reading.keeps_alive => break,
                Ok(None) => {
                    return Err(reading.connection.fail(Stage::Sent, FailureKind::CutShort));
                }
                Err(kind) => return Err(reading.connection.fail(Stage::Sent, kind)),
            }
        }
        let mut response = reading.connection.read_response().await?;
        response.body.attach_pool(pool);
        Ok(response)
    }

    fn release(&mut self) {
        let Some(reading) = self.reading.take() else { return };
        // Bytes after the end belong to no request, so a connection with such bytes is not reused.
        let clean = reading.keeps_alive && reading.connection.inbound.buffer.is_empty();
        if let (true, Some(pool)) = (clean, self.pool.upgrade()) {
            pool.put(reading.connection);
        }
    }
}

impl Reading {
    async fn next(&mut self) -> Result<Option<Bytes>, FailureKind> {
        let idle_timeout = self.connection.limits.idle_timeout();
        loop {
            let inbound = &mut self.connection.inbound;
            match self.decoder.decode(&mut inbound.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedsData => match time::timeout(idle_timeout, inbound.fill()).await {
                    Ok(Ok(Received::Data)) => {}
                    Ok(Ok(Received::Eof)) if self.decoder.ends_at_eof() => return Ok(None),
                    Ok(Ok(Received::Eof)) => return Err(FailureKind::CutShort),
                    Ok(Err(error)) => return Err(FailureKind::Io(error)),
                    Err(_) => return Err(FailureKind::IdleTimeout),
                },
            }
        }
    }
}

impl std::fmt::Debug for Reading {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reading").field("connection", &self.connection).finish_non_exhaustive()
    }
}

impl From<BodyFault> for FailureKind {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooBig => FailureKind::BodyTooBig,
            BodyFault::ChunkTooBig => FailureKind::ChunkTooBig,
            BodyFault::Malformed => FailureKind::Malformed("a chunk is malformed".to_owned()),
        }
    }
}
