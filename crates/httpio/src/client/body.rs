//! The body of an answer, read from the connection when its user asks for more.

use std::rc::Weak;

use bytes::{Bytes, BytesMut};
use monoio::time;

use super::{ClientError, Connection, FailureKind, Response, Stage, pool::Idle};
use crate::{
    framing::{BodyDecoder, BodyFault, Step},
    inbound::Filled,
};

/// A body that owns its connection until it has been read to its end.
#[derive(Debug)]
pub struct Body {
    reading: Option<Reading>,
    home: Weak<Idle>,
}

struct Reading {
    connection: Connection,
    decoder: BodyDecoder,
    keeps_alive: bool,
}

impl Body {
    pub(super) fn new(connection: Connection, decoder: BodyDecoder, keeps_alive: bool) -> Body {
        let reading = Some(Reading { connection, decoder, keeps_alive });
        Body { reading, home: Weak::new() }
    }

    pub(super) fn return_to(&mut self, home: Weak<Idle>) {
        self.home = home;
    }

    /// Reads the next piece; nothing after the end. Dropping the future loses no data.
    ///
    /// # Errors
    /// When the body is cut short, malformed, too big or paused for too long. The connection is
    /// closed then, and nothing follows.
    pub async fn next(&mut self) -> Option<Result<Bytes, ClientError>> {
        let result = self.reading.as_mut()?.next().await;
        match result {
            Ok(Some(data)) => Some(Ok(data)),
            Ok(None) => {
                self.go_home();
                None
            }
            Err(kind) => {
                let reading = self.reading.take()?;
                Some(Err(reading.connection.fail(Stage::HeadReceived, kind)))
            }
        }
    }

    /// Reads to the end.
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

    pub(super) async fn next_response(mut self) -> Result<Response, ClientError> {
        let home = std::mem::take(&mut self.home);
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
        let mut response = reading.connection.read_answer().await?;
        response.body.return_to(home);
        Ok(response)
    }

    fn go_home(&mut self) {
        let Some(reading) = self.reading.take() else { return };
        // Bytes after the end belong to no request, so such a connection is not used again.
        let clean = reading.keeps_alive && reading.connection.inbound.buffer.is_empty();
        if let (true, Some(home)) = (clean, self.home.upgrade()) {
            home.put(reading.connection);
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
                Step::More => match time::timeout(idle_timeout, inbound.fill()).await {
                    Ok(Ok(Filled::Data)) => {}
                    Ok(Ok(Filled::End)) if self.decoder.ends_with_connection() => return Ok(None),
                    Ok(Ok(Filled::End)) => return Err(FailureKind::CutShort),
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
