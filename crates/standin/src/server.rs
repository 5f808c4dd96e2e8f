//! Runs a stand-in, on the calling thread for the binary or on a thread of its own for tests.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::mpsc,
    thread::{self, JoinHandle},
};

use clock::{Clock, SystemClock};
use futures::{FutureExt, pin_mut, select};
use httpio::{
    Limits,
    server::{self, ServerSettings as HttpSettings, StopSignals},
    signal::{Signal, Trigger, signal},
};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};

use crate::{
    FrontKind, ServerSettings, ServiceSettings,
    engine::EngineService,
    faults::FaultInjector,
    handler::{FaultHandler, Service},
    lookup::Lookup,
    orders::Orders,
    platform::Platform,
    relay,
};

/// A stand-in that runs on a thread of its own; dropping it stops it.
#[derive(Debug)]
pub struct StandIn {
    /// The address at which it listens.
    pub addr: SocketAddr,
    stop: Option<Trigger>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl StandIn {
    /// Closes the listener, finishes requests in flight and joins the thread.
    pub fn stop(mut self) {
        self.end();
    }

    /// Waits until the server ends on its own, as it does after a crash.
    pub fn wait(mut self) {
        self.join();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.raise();
        }
        self.join();
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed to standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a stand-in on a thread of its own and returns once it listens.
///
/// # Errors
/// I/O errors, such as an address in use.
pub fn start(server: ServerSettings, service: ServiceSettings) -> io::Result<StandIn> {
    let (stop, stopped) = signal();
    let (addr_sender, addr_receiver) = mpsc::channel();
    let thread = thread::Builder::new().name("standin".to_owned()).spawn(move || {
        let bound_sender = addr_sender.clone();
        let result = run(server, service, stopped, move |addr| {
            // The send fails only if the starting thread no longer waits.
            let _ = bound_sender.send(Ok(addr));
        });
        if let Err(error) = &result {
            let _ = addr_sender.send(Err(io::Error::new(error.kind(), error.to_string())));
        }
        result
    })?;
    let addr = addr_receiver
        .recv()
        .map_err(|_| io::Error::other("the stand-in's thread ended before it listened"))??;
    Ok(StandIn { addr, stop: Some(stop), thread: Some(thread) })
}

/// Runs a stand-in on this thread until `stopped` is raised or a fault crashes it.
///
/// Calls `on_bound` with the address at which it listens.
///
/// # Errors
/// I/O errors, such as an address in use.
pub fn run(
    server: ServerSettings,
    service: ServiceSettings,
    stopped: Signal,
    on_bound: impl FnOnce(SocketAddr),
) -> io::Result<()> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(async {
        let listener = server::bind(server.listen)?;
        on_bound(listener.local_addr()?);
        serve(listener, server, service, stopped).await
    })
}

async fn serve(
    listener: TcpListener,
    server: ServerSettings,
    service: ServiceSettings,
    stopped: Signal,
) -> io::Result<()> {
    let injector = Rc::new(FaultInjector::new(server.faults, server.front, server.on_crash));
    let service = build_service(service, &injector);
    service.faults_changed();
    let handler = Rc::new(FaultHandler { service, injector: Rc::clone(&injector) });
    // A stop closes idle connections at once, since a stopping stand-in is what is under test.
    let limits = Limits { closing_grace_ms: 0, ..Limits::default() };
    let settings = HttpSettings { limits: limits.into(), ..HttpSettings::default() };
    let stop = StopSignals { closing: injector.closing.clone(), ..StopSignals::default() };
    // The wait for the signal must end with this future: a task that outlives it would be dropped
    // inside the wake-up of a signal raised later, which deadlocks.
    let closed = close_when_stopped(stopped, Rc::clone(&injector)).fuse();
    let served = serve_through(server.front, listener, settings, stop, handler, injector).fuse();
    pin_mut!(closed, served);
    select! {
        () = closed => served.await,
        served = served => served,
    }
}

async fn serve_through(
    front: FrontKind,
    listener: TcpListener,
    settings: HttpSettings,
    stop: StopSignals,
    handler: Rc<FaultHandler>,
    injector: Rc<FaultInjector>,
) -> io::Result<()> {
    match front {
        FrontKind::Direct => server::serve(listener, settings, stop, handler).await,
        FrontKind::Relay => {
            let upstream = server::bind((Ipv4Addr::LOCALHOST, 0).into())?;
            let relayed = relay::serve(listener, upstream.local_addr()?, injector);
            let served = server::serve(upstream, settings, stop, handler);
            futures::join!(relayed, served);
        }
    }
    Ok(())
}

async fn close_when_stopped(stopped: Signal, injector: Rc<FaultInjector>) {
    stopped.raised().await;
    injector.close();
}

fn build_service(service: ServiceSettings, injector: &Rc<FaultInjector>) -> Rc<dyn Service> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let injector = Rc::clone(injector);
    match service {
        ServiceSettings::Engine(settings) => EngineService::start(settings, clock, injector),
        ServiceSettings::Orders(settings) => Rc::new(Orders::new(settings, injector)),
        ServiceSettings::Lookup(settings) => Rc::new(Lookup::new(settings, injector)),
        ServiceSettings::Platform(settings) => Rc::new(Platform::new(settings, clock)),
    }
}
