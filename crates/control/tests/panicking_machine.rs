//! A panic of the state machine, which must end the process wherever it happens.

use std::{
    cell::RefCell,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    rc::Rc,
    time::Duration,
};

use clock::SystemClock;
use consensus::{LogIndex, NodeId};
use control::{
    FormatMode, LogRules, LogState, Settings, StateMachine,
    daemon::{Listeners, Parts, serve},
    format,
};
use control_state::{Command, Document, encode_command};
use duties::{UsageReport, WindowId};
use futures::stream;
use monoio::{LegacyDriver, RuntimeBuilder, time};
use rpc::{ByteCounters, dial};
use storage::LogFile;
use tables::{Revision, TablesText};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Keeps a broken test from hanging; far longer than any step takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The log's state machine, which panics when it applies the first document.
#[derive(Default)]
struct Panicking(LogState);

impl StateMachine for Panicking {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        let answer = self.0.apply(index, command);
        assert_eq!(self.0.document().version, 0, "a panic of the state machine");
        answer
    }

    fn admit(&self, command: &[u8]) -> Result<(), String> {
        self.0.admit(command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }

    fn restore(&mut self, data: &[u8]) -> anyhow::Result<()> {
        self.0.restore(data)
    }

    fn revision(&self) -> Revision {
        self.0.revision()
    }

    fn tables(&self) -> (Revision, TablesText) {
        self.0.tables()
    }

    fn document(&self) -> Rc<Document> {
        self.0.document()
    }

    fn fencing_holder(&self) -> String {
        self.0.fencing_holder()
    }

    fn fencing_token(&self) -> u64 {
        self.0.fencing_token()
    }

    fn is_usage_settled(&self, window: WindowId) -> bool {
        self.0.is_usage_settled(window)
    }

    fn open_usage(&self) -> Vec<UsageReport> {
        self.0.open_usage()
    }

    fn settled_usage(&self) -> Vec<(UsageReport, bool)> {
        self.0.settled_usage()
    }

    fn has_timed_entries(&self) -> bool {
        self.0.has_timed_entries()
    }
}

/// Submits a document until the process has ended, or the time is up.
async fn submit(addr: SocketAddr) {
    let command = encode_command(&Command::PutDocument(Document { version: 1, text: Vec::new() }));
    let submitted = async {
        loop {
            if let Ok(connection) = dial(addr, CALL_TIMEOUT, &ByteCounters::default()).await {
                // No answer tells whether the process lives on.
                let _ = connection.client.submit("", &command, CALL_TIMEOUT).await;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let _: Result<(), _> = time::timeout(WAIT_TIMEOUT, submitted).await;
}

/// Guards against a member that goes on with a state that differs from the others'.
#[test]
fn process_ends() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let settings = Settings {
        node: NodeId(1),
        data_dir: dir.path().join("data"),
        peers: [(NodeId(1), SocketAddr::from(([127, 0, 0, 1], 0)))].into(),
        ..Settings::default()
    };
    format(&settings, FormatMode::Bootstrap).expect("an empty folder");
    let ended = catch_unwind(AssertUnwindSafe(|| {
        let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
        builder.build().expect("a runtime").block_on(async {
            let storage = LogFile::open(&settings.data_dir, &storage::Settings::default());
            let parts = Parts {
                storage: Box::new(storage.expect("a formatted folder")),
                machine: Rc::new(RefCell::new(Panicking::default())),
                check: Rc::new(LogRules),
                tokens: None,
                clock: Rc::new(SystemClock),
                seed: 1,
                platform: None,
            };
            let listeners = Listeners::new(&settings).expect("free ports");
            let addr = listeners.rpc.local_addr().expect("a bound listener");
            monoio::spawn(submit(addr));
            let served = serve(settings, parts, listeners, stream::pending());
            let _ = time::timeout(WAIT_TIMEOUT, served).await;
        });
    }));
    assert!(ended.is_err(), "the process serves on after a panic of its state machine");
}
