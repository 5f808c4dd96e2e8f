//! A site: control VMs, routers, engines and the order service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::{Command, ExitStatus, Output},
    time::Duration,
};

use rpc::{ByteCounters, dial};
use rustix::process::Signal;
use serde_json::Value;

use crate::{
    Reply, get, post,
    process::{Process, binary},
    run,
    site_files::{self as files, SiteAddresses},
    wait_for,
};

const BOOTSTRAP_FINISHED: &str = "finished: every voter is synced";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CONTROL_VMS: usize = 3;
const ROUTERS: usize = 2;

/// The variable parts of a site, which always has three control VMs and two routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// The number of engines.
    pub engines: usize,
    /// How long the order service takes for an order.
    pub order_work_ms: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Setup { engines: 2, order_work_ms: 20 }
    }
}

/// The processes of a site, keyed by names such as `router-1`.
pub struct Site {
    processes: BTreeMap<String, Process>,
    net: SiteAddresses,
    engines: Vec<String>,
    dir: tempfile::TempDir,
}

impl Site {
    /// Starts control VMs, routers and backend servers, and waits until the routers are ready.
    #[must_use]
    pub fn start(setup: Setup) -> Site {
        let mut site = Site::start_without_routers(setup);
        for number in 1..=ROUTERS {
            let name = format!("router-{number}");
            let mut control = site.control_addrs();
            control.rotate_left(number - 1);
            site.start_router(&name, &control);
            site.await_ready(&name);
        }
        site
    }

    /// Starts a site without routers, which the test starts itself.
    ///
    /// # Panics
    /// When the folder cannot be made or a program does not run.
    #[must_use]
    pub fn start_without_routers(setup: Setup) -> Site {
        let dir = tempfile::tempdir().expect("a folder for the test");
        let engines = names("engine", setup.engines);
        let mut site =
            Site { dir, net: SiteAddresses::allocate(), engines, processes: BTreeMap::new() };
        files::write_shared(site.dir.path());
        site.start_control();
        for name in site.engines.clone() {
            site.start_standin(&name, "engine", &files::engine(site.net, &name));
        }
        let orders = files::orders(site.net, "orders-1", setup.order_work_ms);
        site.start_standin("orders-1", "orders", &orders);
        site.await_voters();
        site.apply("first", 30_000);
        site
    }

    /// Starts a router that connects to the control VMs `control`, in order of preference.
    pub fn start_router(&mut self, name: &str, control: &[SocketAddr]) {
        files::write(
            self.dir.path(),
            name,
            &files::router(self.dir.path(), self.net, name, control),
        );
        self.run("gooseberry-router", name, &[]);
    }

    /// Restarts a process with the same settings and data folder.
    pub fn restart(&mut self, name: &str) {
        match name.split('-').next() {
            Some("control") => self.run("gooseberry-control", name, &["run"]),
            Some("router") => self.run("gooseberry-router", name, &[]),
            _ => panic!(
                "cannot restart {name}: only control VMs and routers keep state to check after a restart"
            ),
        }
    }

    /// The address that a process serves requests on.
    #[must_use]
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.net.addr(name)
    }

    /// The address that a process serves health and metrics on.
    #[must_use]
    pub fn admin(&self, name: &str) -> SocketAddr {
        self.net.admin(name)
    }

    /// The addresses of the control VMs.
    #[must_use]
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        names("control", CONTROL_VMS).iter().map(|it| self.addr(it)).collect()
    }

    /// Kills a process with SIGKILL, as a power loss of its VM would.
    pub fn kill(&mut self, name: &str) {
        // Dropping the process kills it and waits for its exit.
        self.processes.remove(name).expect("the process runs");
    }

    /// Suspends a process with SIGSTOP; its connections stay open.
    pub fn suspend(&self, name: &str) {
        self.processes[name].signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self, name: &str) {
        self.processes[name].signal(Signal::CONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self, name: &str) {
        self.processes[name].signal(Signal::TERM);
    }

    /// Waits until a process exits.
    ///
    /// # Panics
    /// When the process is not running.
    pub fn wait(&mut self, name: &str) -> ExitStatus {
        self.processes.remove(name).expect("the process runs").wait()
    }

    /// The number of engines that have exited by themselves.
    pub fn crashed_engines(&mut self) -> usize {
        let engines = self.engines.clone();
        let has_exited =
            |it: &&String| self.processes.get_mut(*it).is_some_and(Process::has_exited);
        engines.iter().filter(has_exited).count()
    }

    /// Submits a change of the tables until it is accepted, and returns the latest revision.
    ///
    /// Changes differ only in the deadline of the chat route.
    pub fn apply(&self, change: &str, chat_deadline_ms: u64) -> u64 {
        wait_for("an accepted change", || {
            let output = self.try_apply(change, chat_deadline_ms);
            output.status.success().then_some(())
        });
        let vms = names("control", CONTROL_VMS);
        let revisions = vms.iter().filter_map(|it| self.status(it)?["revision"].as_u64());
        revisions.max().expect("a control VM that answers")
    }

    /// Submits a change of the tables once, with `gooseberryctl`.
    ///
    /// # Panics
    /// When `gooseberryctl` cannot be started.
    pub fn try_apply(&self, change: &str, chat_deadline_ms: u64) -> Output {
        let dir = self.dir.path();
        let routes = files::routes(chat_deadline_ms);
        files::write(dir, &format!("routes-{change}"), &routes);
        files::write(dir, "pools", &files::pools(self.net, &self.engines));
        let control = self.control_addrs();
        let control: Vec<_> = control.iter().map(SocketAddr::to_string).collect();
        let mut command = Command::new(binary("gooseberryctl"));
        command.arg("--control").arg(control.join(","));
        command.arg("--token-file").arg(dir.join("command.token"));
        command.args(["apply", "--change-id", change]);
        command.arg("--routes").arg(files::path(dir, &format!("routes-{change}")));
        command.arg("--pools").arg(files::path(dir, "pools"));
        command.output().expect("the program runs")
    }

    /// The log of a process, across its restarts.
    ///
    /// # Panics
    /// When it was never started.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        let path = self.dir.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).expect("the log of a started process")
    }

    /// The status of a control VM, or `None` if it does not answer.
    #[must_use]
    pub fn status(&self, name: &str) -> Option<Value> {
        run(async {
            let counters = ByteCounters::default();
            let connection = dial(self.addr(name), CONNECT_TIMEOUT, &counters).await.ok()?;
            let status = connection.client.status();
            let text = monoio::time::timeout(CONNECT_TIMEOUT, status).await.ok()?.ok()?;
            serde_json::from_str(&text).ok()
        })
    }

    /// A router's metric without labels, or `None` if the router does not answer.
    #[must_use]
    pub fn metric(&self, router: &str, name: &str) -> Option<u64> {
        let reply = get(self.net.admin(router), "/metrics")?;
        let line = reply.body.lines().find(|it| it.split(' ').next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// The revision of the tables in force at a router.
    #[must_use]
    pub fn revision(&self, router: &str) -> Option<u64> {
        self.metric(router, "router_tables_revision")
    }

    /// Waits until a router has applied `revision` or a later one.
    pub fn await_revision(&self, router: &str, revision: u64) {
        wait_for("the revision at the router", || {
            self.revision(router).filter(|it| *it >= revision).map(drop)
        });
    }

    /// Waits until a router reports that it is ready.
    pub fn await_ready(&self, router: &str) {
        wait_for("a ready router", || {
            get(self.net.admin(router), "/readyz").filter(|it| it.status == 200).map(drop)
        });
    }

    /// Sends an order.
    #[must_use]
    pub fn order(&self, router: &str, key: &str, body: &str) -> Option<Reply> {
        order(self.addr(router), key, body)
    }

    /// How many times the order service has executed an order with this key.
    ///
    /// # Panics
    /// When the order service does not answer.
    #[must_use]
    pub fn order_count(&self, key: &str) -> u64 {
        let reply = get(self.addr("orders-1"), &format!("/orders/count?key={key}"));
        reply.and_then(|it| it.json()["count"].as_u64()).expect("the order service answers")
    }

    /// Waits until the order service has started at least `count` orders.
    pub fn await_orders_started(&self, count: u64) {
        wait_for("the start of the order", || {
            let stats = get(self.addr("orders-1"), "/stats")?.json();
            (stats["requests_started"].as_u64()? >= count).then_some(())
        });
    }

    fn start_control(&mut self) {
        let all = names("control", CONTROL_VMS);
        for name in &all {
            let text = files::control(self.dir.path(), self.net, name, &all);
            files::write(self.dir.path(), name, &text);
            let mut command = Command::new(binary("gooseberry-control"));
            command.arg("format").arg("--config").arg(files::path(self.dir.path(), name));
            if name == &all[0] {
                command.arg("--found");
            }
            assert!(command.output().expect("the program runs").status.success());
            self.run("gooseberry-control", name, &["run"]);
        }
    }

    fn await_voters(&self) {
        let all = names("control", CONTROL_VMS);
        wait_for("all voters synced", || {
            all.iter().find(|it| {
                let status = self.status(it).unwrap_or_default();
                let voters = status["voters"].as_array().map_or(0, Vec::len);
                voters == CONTROL_VMS && status["next-step"] == BOOTSTRAP_FINISHED
            })
        });
    }

    fn start_standin(&mut self, name: &str, service: &str, settings: &str) {
        files::write(self.dir.path(), name, settings);
        self.run("gooseberry-standin", name, &[service]);
        wait_for("a stand-in that answers", || get(self.addr(name), "/stats"));
    }

    fn run(&mut self, program: &str, name: &str, verbs: &[&str]) {
        let mut args: Vec<_> = verbs.iter().map(ToString::to_string).collect();
        let settings = files::path(self.dir.path(), name);
        args.extend(["--config".to_owned(), settings.display().to_string()]);
        let log = self.dir.path().join(format!("{name}.log"));
        self.processes.insert(name.to_owned(), Process::start(&binary(program), &args, &log));
    }
}

/// Sends an order to the router at `addr`.
#[must_use]
pub fn order(addr: SocketAddr, key: &str, body: &str) -> Option<Reply> {
    let bearer = format!("Bearer {}", files::CALLER_TOKEN);
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    post(addr, "/orders", &headers, body)
}

/// Sends a streamed chat request to the router at `addr`.
#[must_use]
pub fn chat(addr: SocketAddr, prompt: &str, max_tokens: u32) -> Option<Reply> {
    let bearer = format!("Bearer {}", files::CALLER_TOKEN);
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    let body = serde_json::json!({
        "model": "small", "stream": true, "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    post(addr, "/v1/chat/completions", &headers, &body.to_string())
}

fn names(kind: &str, count: usize) -> Vec<String> {
    (1..=count).map(|number| format!("{kind}-{number}")).collect()
}
