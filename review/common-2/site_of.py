"""A small deployment on loopback: the project's own programs, started with the commands and templates of the
deploy file, and stand-ins of the platform's list, of replicas and of clients.

Only the standard library is used. All times are those of the real clock. Every process that is started here is
ended by its id, and all files are in one temporary folder.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The project's path for `GET /v1/ready`, as deploy/wire.toml names it.
READY_PATH = "/readyz"


class CouldNotRun(Exception):
    """The case could not be brought about, so that it shows nothing."""


# --- settings ---------------------------------------------------------------------------------------


def free_port(ips, taken):
    """A port that is free on all of these addresses."""
    for _ in range(500):
        port = random.randint(20000, 32000)
        if port in taken:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((ip, port))
        except OSError:
            continue
        taken.add(port)
        return port
    raise CouldNotRun("no free port")


def render(template, fields):
    """Fills a template in as DEPLOY.md says: values, lists joined by commas, and sections."""

    def value(path):
        found = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    def text(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(text(it) for it in found)
        return json.dumps(found) if isinstance(found, dict) else str(found)

    def section(match):
        found = value(match[1])
        return match[2].replace("{{.}}", text(found)) if found not in (None, False) else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(value(match[1])), template)


def deploy_commands():
    """The command and the template of each role in the deploy file."""
    roles, role = {}, None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            if match := re.match(r"\[roles\.([\w-]+)\]", line):
                role = roles.setdefault(match[1], {})
            elif role is not None and (match := re.match(r'(\w+)\s*=\s*"(.*)"', line)):
                role[match[1]] = match[2]
    return roles


# --- record -----------------------------------------------------------------------------------------


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------------------------------


async def read_head(reader):
    """The start line and the header fields of a message, or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, field = line.partition(":")
            fields[name.strip().lower()] = field.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Answer:
    """An answer as a client sees it."""

    def __init__(self, status, fields, body, is_whole=True):
        self.status, self.fields, self.body, self.is_whole = status, fields, body, is_whole

    def __str__(self):
        return f"{self.status} {self.body[:80]!r}{'' if self.is_whole else ' (cut)'}"


async def call(addr, method, path, fields, body=b"", timeout=5.0):
    """One request on a new connection. The answer's status is None if none came."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*addr)
            head = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}content-length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                return Answer(None, {}, b"closed without an answer", False)
            status = int(message[0].split(" ")[1])
            try:
                return Answer(status, message[1], await read_body(reader, message[1]))
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                return Answer(status, message[1], getattr(error, "partial", b""), False)
    except TimeoutError:
        return Answer(None, {}, b"no answer in time", False)
    except OSError as error:
        return Answer(None, {}, f"no connection: {error}".encode(), False)
    finally:
        if writer is not None:
            writer.close()


# --- the platform and its replicas ------------------------------------------------------------------


class Listener:
    """A listener of this process, with its open connections."""

    def __init__(self, ip, taken):
        self.addr = (ip, free_port([ip], taken))
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.addr, limit=1 << 20)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Replica(Listener):
    """A sound replica of a plain service, as PROTOCOL.md describes it."""

    def __init__(self, site, name, service, version="v1", slots=8, work_s=0.02):
        super().__init__("127.0.0.1", site.taken)
        self.site, self.id, self.service, self.version, self.slots = site, name, service, version, slots
        self.work_s = work_s
        self.runs = []
        self.cut_pids = {}
        site.replicas.append(self)

    def entry(self):
        return {
            "id": self.id, "service": self.service, "addr": "%s:%d" % self.addr, "zone": "zone-a",
            "version": self.version, "slots": self.slots, "state": "ready", "cold_left_ms": 0,
        }

    async def serve(self, reader, writer):
        if await self.is_cut(writer):
            # What a partition that resets looks like to the side that opens the connection.
            reset(writer)
            return
        while (message := await read_head(reader)) is not None:
            line, fields = message
            method, path, _ = line.split(" ")
            body = await read_body(reader, fields)
            if path == "/health":
                await self.reply(writer, 200, {"x-instance-id": self.id}, b"ok")
            else:
                await self.handle(writer, method, path, fields, body)

    async def is_cut(self, writer):
        """Whether the path of the process that opened the connection is cut now."""
        for pid in self.cut_pids:
            if is_owner(writer, await self.site.sockets_now(pid)):
                return True
        return False

    async def handle(self, writer, method, path, fields, body):
        request = fields.get("x-request-id")
        expected = fields.get("x-expect-instance")
        if request is None:
            return await self.reply(writer, 400, {"x-not-run": "1"}, b"no id")
        named = {"x-request-id": request}
        if expected not in (None, self.id):
            self.site.record.add(f"replica {self.id} ({self.service}) is not {expected}: 421 to {request}")
            return await self.reply(writer, 421, {**named, "x-not-run": "1"}, b"another one")
        self.site.record.add(
            f"replica {self.id} ({self.service}) runs {request}: {method} {path} tenant={fields.get('x-tenant')}"
        )
        self.runs.append({"id": request, "at": self.site.record.now(), "tenant": fields.get("x-tenant"), "path": path})
        await asyncio.sleep(self.work_s)
        await self.reply(writer, 200, {**named, "x-server-stamp": f"{self.id}.{request}"}, self.body_of(request))

    def body_of(self, request):
        return f"{self.service} {self.id} {request}".encode()

    async def reply(self, writer, status, fields, body):
        head = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{head}content-length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def cut(self, pid, sockets):
        """Cuts the path from a process: its connections are reset, and new ones too."""
        self.cut_pids[pid] = True
        for writer in list(self.writers):
            if is_owner(writer, sockets):
                reset(writer)


def cut_all(replicas, pid):
    """Cuts the paths from a process to all of these replicas."""
    sockets = Sockets(pid)
    for replica in replicas:
        replica.cut(pid, sockets)


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Sockets:
    """The TCP connections that a process holds at a moment, by their local and remote addresses."""

    def __init__(self, pid):
        own = set()
        try:
            for descriptor in os.listdir(f"/proc/{pid}/fd"):
                try:
                    own.add(os.readlink(f"/proc/{pid}/fd/{descriptor}"))
                except OSError:
                    continue
        except OSError:
            pass
        self.ends = set()
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                columns = line.split(None, 10)
                if len(columns) > 9 and f"socket:[{columns[9]}]" in own:
                    self.ends.add((columns[1], columns[2]))


def table_form(addr):
    return "%08X:%04X" % (int.from_bytes(socket.inet_aton(addr[0]), "little"), addr[1])


def is_owner(writer, sockets):
    """Whether the other end of a connection to this process is one of a process's sockets."""
    peer, own = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
    if peer is None or own is None:
        return False
    return (table_form(peer), table_form(own)) in sockets.ends


class PlatformList(Listener):
    """The platform's list of replicas. `odd` holds the entries of another writer, which come first."""

    def __init__(self, site):
        super().__init__("127.0.0.1", site.taken)
        self.site = site
        self.odd = []

    async def serve(self, reader, writer):
        while (message := await read_head(reader)) is not None:
            entries = self.odd + [it.entry() for it in self.site.replicas]
            body = json.dumps({"instances": entries, "next": None}).encode()
            head = f"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()


class Link(Listener):
    """A proxy on the path from one machine to another, which can hold up what passes, as a partition does."""

    def __init__(self, ip, port, target):
        self.addr, self.target = (ip, port), target
        self.writers, self.server = set(), None
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def serve(self, reader, writer):
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        try:
            await asyncio.gather(self.pass_on(reader, far_writer), self.pass_on(far_reader, writer))
        finally:
            far_writer.close()

    async def pass_on(self, reader, writer):
        while data := await reader.read(65536):
            await self.is_open.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


# --- the system -------------------------------------------------------------------------------------


class Process:
    """One process of the system."""

    def __init__(self, site, name, command, log):
        self.site, self.name, self.command, self.log = site, name, command, log
        self.child = None

    def start(self):
        log = open(self.log, "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.child = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, env=environment)
        log.close()
        self.site.record.add(f"{self.name} starts")

    @property
    def pid(self):
        return self.child.pid

    def send(self, number):
        self.site.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def log_text(self):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return file.read()


class Site:
    """A deployment of some control VMs and routers in one zone. The routers named in `behind_link`, by their
    index, reach the first control VM through a proxy."""

    def __init__(self, case_folder, routers=2, controls=3, behind_link=()):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.taken = set()
        self.replicas = []
        self.list = PlatformList(self)
        self.control_ips = [f"127.0.0.{11 + idx}" for idx in range(controls)]
        self.router_ips = [f"127.0.0.{31 + idx}" for idx in range(routers)]
        self.links = {}
        self.readings = {}
        ips = self.control_ips + self.router_ips + [f"127.0.0.{51 + idx}" for idx in behind_link]
        self.first_port = free_port(ips, self.taken)
        self.admin_port = free_port(ips, self.taken)
        self.front_port = free_port(ips, self.taken)
        self.ready_port = free_port(ips, self.taken)
        self.control_port = free_port(ips, self.taken)
        self.roles = deploy_commands()
        for idx in behind_link:
            target = (self.control_ips[0], self.first_port)
            self.links[idx] = Link(f"127.0.0.{51 + idx}", self.first_port, target)
        self.controls = [self.process("control", ip, idx) for idx, ip in enumerate(self.control_ips)]
        self.routers = [self.process("router", ip, idx) for idx, ip in enumerate(self.router_ips)]
        self.version = 0

    def fields(self, role, ip, idx):
        """The platform's fields of one process, with the figures of a small deployment."""
        name = f"{'front' if role == 'router' else 'core'}-zone-a-{idx + 1}"
        data_dir = os.path.join(self.folder, name) if role == "control" else None
        if data_dir:
            os.makedirs(data_dir, exist_ok=True)
        seeds = self.control_ips[:3]
        if role == "router" and idx in self.links:
            seeds = [self.links[idx].addr[0]]
        return {
            "node": name, "role": role, "ip": ip, "zone": "zone-a", "region": "region",
            "listen": {
                "front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            },
            "port_range": [self.first_port, self.admin_port],
            "seeds": [f"{it}:{self.control_port}" for it in seeds],
            "bootstrap": True, "loss_counts": role == "control",
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 256, "max_fds": 4100},
            "data_dir": data_dir, "tolerate": {"machines": len(self.control_ips) // 2, "zones": 1, "regions": 0},
            "bounds": {"contact_ms": 3000, "config_apply_ms": 2000, "rollback_slack_ms": 250, "grace_s": 8,
                       "drain_ms": 3000},
            "cloud": {"addr": "%s:%d" % self.list.addr, "rate_per_s": 47.0, "duties": [], "max_lag_ms": 800},
        }

    def process(self, role, ip, idx):
        fields = self.fields(role, ip, idx)
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        path = os.path.join(self.folder, f"{fields['node']}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = self.roles[role]["run"].replace("/etc/gooseberrygw/local.yaml", path).split()
        words[0] = os.path.join(ROOT, words[0])
        return Process(self, fields["node"], words, os.path.join(self.folder, f"{fields['node']}.log"))

    async def start(self):
        if not os.path.exists(self.controls[0].command[0]):
            raise CouldNotRun("the programs are not built")
        for listener in [self.list, *self.links.values()]:
            await listener.start()
        for replica in self.replicas:
            await replica.start()
        for process in self.controls + self.routers:
            process.start()

    async def sockets_now(self, pid):
        """The sockets of a process, read after this call; calls that come together share one reading."""
        if pid not in self.readings:
            async def read():
                await asyncio.sleep(0)
                del self.readings[pid]
                return Sockets(pid)

            self.readings[pid] = asyncio.create_task(read())
        return await self.readings[pid]

    async def put(self, config, control=None, timeout=20.0):
        """Sends a configuration to any control VM, as the operator does, until it is acknowledged."""
        self.version = config["version"]
        end = time.monotonic() + timeout
        body = json.dumps(config).encode()
        ips = [control] if control else self.control_ips
        while time.monotonic() < end:
            for ip in ips:
                addr = (ip, self.control_port)
                answer = await call(addr, "PUT", "/v1/config", {"host": "control"}, body, 1.0)
                if answer.status == 200:
                    self.record.add(f"operator: version {config['version']} is acknowledged by {ip}")
                    return self.record.now()
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"version {config['version']} is not acknowledged")

    async def until_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        for ip in self.router_ips:
            while True:
                answer = await call((ip, self.ready_port), "GET", READY_PATH, {"host": "ready"}, b"", 1.0)
                if answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CouldNotRun(f"{ip} is not ready: {answer}")
                await asyncio.sleep(0.1)

    async def request(self, router, path, request_id, key="key-north", method="POST", body=b"x", timeout_ms=4000,
                      more=None):
        """One client attempt at a router."""
        fields = {"host": "shop.example", "x-request-id": request_id, "x-deadline-ms": timeout_ms, "x-api-key": key,
                  **(more or {})}
        ip = self.router_ips[router]
        self.record.add(f"client sends {request_id} to {self.routers[router].name}: {method} {path}")
        answer = await call((ip, self.front_port), method, path, fields, body, timeout_ms / 1000 + 1.0)
        self.record.add(f"client gets for {request_id}: {answer}")
        return answer

    async def stop(self):
        """Ends all processes and listeners."""
        for process in self.controls + self.routers:
            process.end()
        for listener in [self.list, *self.links.values(), *self.replicas]:
            if listener.server is not None:
                listener.server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version, routes, services, tenants=None):
    """A configuration of plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": it, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False} for it in services
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "north", "api_keys": ["key-north"]}],
    }


def route(name, prefix, service, kind="idempotent", **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 4000,
            "goal_ms": 300, "priority": 1, "service": service, "attempts": 2, "public": False, **more}


def main(case, case_folder):
    """Runs a case within its time and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Connections that are still open at the end are cut off; that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(110):
            return await case(has_trouble, case_folder)

    try:
        verdict = asyncio.run(run())
    except (CouldNotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    print("broken" if verdict == BROKEN else "held")
    return verdict
