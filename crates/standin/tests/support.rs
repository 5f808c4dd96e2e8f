//! A blocking HTTP client, and stand-ins with settings that make tests fast.
#![allow(dead_code)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use engine_model::answer;
use serde_json::{Value, json};
use standin::{EngineSettings, ServerSettings, ServiceSettings, StandIn, start};

/// Only ends a test that hangs; no assertion depends on it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const MODEL: &str = "small";

pub(crate) fn fast_settings() -> EngineSettings {
    EngineSettings {
        time_scale_permille: 10,
        report_lag_ms: 0,
        cache_event_lag_ms: 0,
        ..EngineSettings::default()
    }
}

pub(crate) fn engine(settings: EngineSettings) -> StandIn {
    serve(ServiceSettings::Engine(settings))
}

pub(crate) fn serve(service: ServiceSettings) -> StandIn {
    start(ServerSettings::default(), service).expect("a free port")
}

/// A reply, up to where its connection ended.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body was received up to its declared end.
    pub(crate) is_complete: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|it| it.split_once(": "));
        lines.into_iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }

    /// The text of an unstreamed answer.
    pub(crate) fn content(&self) -> String {
        assert_eq!(self.status, 200, "{}", self.body);
        self.json()["choices"][0]["message"]["content"].as_str().expect("a message").to_owned()
    }

    /// The text of a streamed answer.
    pub(crate) fn streamed_text(&self) -> String {
        self.tokens().concat()
    }

    pub(crate) fn tokens(&self) -> Vec<String> {
        let events = self.body.lines().filter_map(|it| it.strip_prefix("data: "));
        let values = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
        values.filter_map(|it| Some(token(&it)?.to_owned())).collect()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.is_complete && self.body.ends_with("data: [DONE]\n\n")
    }
}

fn token(event: &Value) -> Option<&str> {
    event["choices"][0]["delta"]["content"].as_str()
}

/// An HTTP client with one connection.
pub(crate) struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub(crate) fn connect(addr: SocketAddr) -> Caller {
        let stream = TcpStream::connect(addr).expect("the server listens");
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a read timeout");
        Caller { reader: BufReader::new(stream) }
    }

    pub(crate) fn send(&mut self, method: &str, path: &str, headers: &str, body: &str) {
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: standin\r\n{headers}content-length: {length}\r\n\r\n{body}"
        );
        self.reader.get_mut().write_all(request.as_bytes()).expect("the request is sent");
    }

    /// Reads a reply; `None` if the connection ends before the end of its head.
    pub(crate) fn receive(&mut self) -> Option<Reply> {
        let head = self.read_head()?;
        let mut received = Reply {
            status: head.split(' ').nth(1)?.parse().ok()?,
            body: String::new(),
            is_complete: false,
            head,
        };
        match received.header("content-length").map(str::to_owned) {
            Some(length) => {
                let mut body = vec![0; length.parse().ok()?];
                received.is_complete = self.reader.read_exact(&mut body).is_ok();
                received.body = String::from_utf8(body).expect("a body of text");
            }
            None => while self.read_chunk(&mut received) {},
        }
        Some(received)
    }

    pub(crate) fn read_head(&mut self) -> Option<String> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        Some(head)
    }

    /// Reads a chunk; returns `false` at the end of the body, complete or not.
    pub(crate) fn read_chunk(&mut self, received: &mut Reply) -> bool {
        let mut size = String::new();
        let is_cut = self.reader.read_line(&mut size).unwrap_or_default() == 0;
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if is_cut || self.reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        received.is_complete = size == 0;
        received.body.push_str(std::str::from_utf8(&chunk[..size]).expect("a chunk of text"));
        size > 0
    }

    /// Reads until the connection ends.
    pub(crate) fn read_to_end(&mut self) -> String {
        let mut rest = String::new();
        let _ = self.reader.read_to_string(&mut rest);
        rest
    }

    /// Whether no byte arrives within 50 ms and the connection stays open.
    pub(crate) fn receives_nothing(&mut self) -> bool {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a read timeout");
        let error = stream.read(&mut [0]).err();
        error.is_some_and(|it| it.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Sends a request on a new connection and reads the reply.
pub(crate) fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Reply {
    let mut caller = Caller::connect(addr);
    caller.send(method, path, "", body);
    caller.receive().expect("a reply")
}

pub(crate) fn read_stat(addr: SocketAddr, name: &str) -> u64 {
    call(addr, "GET", "/stats", "").json()[name].as_u64().expect("a count")
}

pub(crate) fn set_faults(addr: SocketAddr, faults: Value) {
    assert_eq!(call(addr, "POST", "/faults", &faults.to_string()).status, 200);
}

/// Sends a chat request with the request id `name`.
pub(crate) fn send_chat(caller: &mut Caller, name: &str, prompt: &str, stream: bool) {
    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "stream": stream,
    });
    let headers = format!("x-request-id: {name}\r\n");
    caller.send("POST", "/v1/chat/completions", &headers, &body.to_string());
}

pub(crate) fn assert_answer(prompt: &str, text: &str) {
    answer::check(MODEL, prompt, u32::MAX, text).expect("the expected answer");
}

/// A prompt whose answer is long.
pub(crate) fn long_prompt() -> String {
    let mut prompts = (0..).map(|idx| format!("tell me story {idx}"));
    prompts.find(|it| answer::full_length(MODEL, it) > 800).expect("a prompt with a long answer")
}
