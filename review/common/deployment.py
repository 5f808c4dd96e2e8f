"""A small deployment on loopback addresses for the scripts of this review.

It fills in the templates of the deploy file, starts the project's own program as separate processes
with the commands of the deploy file, and ends all of them. Each machine has an address of its own in
127.0.0.0/8, and ports are the same on all machines, as on the platform.
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
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The sheet of the deployment pfvc-backup, as far as the templates use it.
CONTACT_S = 3.0
CATCH_UP_S = 4.0
DRAIN_S = 3.0
RECOVERY_S = 12.0
GRACE_S = 8.0
LIST_LAG_S = 0.8
LOSSES_MAX = 1
# The machines of a site have the numbers from 1 to this one.
MACHINES_MAX = 20

# The path that deploy/wire.toml gives to the question whether a machine is ready.
READY_PATH = "/readyz"


def read_roles():
    """The run commands and templates of deploy/system.toml."""
    roles, role = {}, None
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        for line in file:
            section = re.match(r"\[roles\.(.+)\]", line)
            pair = re.match(r'(run|template) = "(.*)"', line)
            if section:
                role = roles.setdefault(section.group(1), {})
            elif pair and role is not None:
                role[pair.group(1)] = pair.group(2)
    return roles


def fill(template, values):
    """Fills in the plain placeholders of a template."""

    def value(match):
        found = values[match.group(1).strip()]
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{(.*?)\}\}", value, template)


class CannotRun(Exception):
    """The case could not be played; this says nothing of the rule."""


class Machine:
    """One machine with one process of the project."""

    def __init__(self, site, role, name, ip, zone):
        self.site, self.role, self.name, self.ip, self.zone = site, role, name, ip, zone
        self.folder = os.path.join(site.folder, name)
        self.data_dir = os.path.join(self.folder, "data")
        os.makedirs(self.data_dir)
        self.process = None

    def start(self, bootstrap=False):
        site, roles = self.site, self.site.roles
        ports = site.ports
        values = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen.front": f"{self.ip}:{ports['front']}",
            "listen.ready": f"{self.ip}:{ports['ready']}",
            "listen.control": f"{self.ip}:{ports['control']}",
            "port_range.0": ports["range"],
            "port_range.1": ports["range"] + 1,
            "seeds": [f"{it}:{ports['control']}" for it in site.seeds],
            "cloud.addr": site.platform_addr,
            "data_dir": self.data_dir,
            "bootstrap": bootstrap,
            "tolerate.machines": LOSSES_MAX,
        }
        with open(os.path.join(ROOT, roles[self.role]["template"]), encoding="utf-8") as file:
            text = file.read()
        # The comment of the template is no setting.
        settings = os.path.join(self.folder, "local.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill(text, values))
        words = roles[self.role]["run"].split()
        words = [settings if it == "/etc/gooseberrygw/local.yaml" else it for it in words]
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment["GOOSEBERRYGW_BOOT"] = settings
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        site.note(f"{self.name} starts at {self.ip}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.note(f"{self.name} gets {signal.Signals(number).name}")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def stop(self):
        """Stops the process as the platform does: SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while self.is_running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.is_running():
            self.signal(signal.SIGKILL)
        self.process.wait()
        self.site.note(f"{self.name} has ended")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wipe_disk(self):
        shutil.rmtree(self.data_dir)
        os.makedirs(self.data_dir)
        self.site.note(f"{self.name} loses its disk")

    def log_text(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Site:
    """The machines, and the record of what happened."""

    def __init__(self, case_folder):
        self.roles = read_roles()
        program = os.path.join(ROOT, self.roles["control"]["run"].split()[0])
        if not os.path.exists(program):
            raise CannotRun("build the deploy file first")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.machines = []
        self.seeds = []
        self.platform_addr = None
        self.subnet, self.ports = self.find_ports()

    def find_ports(self):
        """A part of 127.0.0.0/8 and ports that nothing else uses there."""
        for _ in range(50):
            subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            base = random.randint(20_000, 30_000)
            ports = {"front": base, "ready": base + 1, "control": base + 2, "range": base + 3}
            try:
                for number in range(1, MACHINES_MAX + 1):
                    for port in range(base, base + 5):
                        with socket.socket() as it:
                            it.bind((f"{subnet}.{number}", port))
                return subnet, ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        line = f"{self.now():8.3f} s  {text}"
        self.record.write(line + "\n")
        self.record.flush()

    def add(self, role, number, zone):
        machine = Machine(self, role, f"{role}-{number}", f"{self.subnet}.{number}", zone)
        self.machines.append(machine)
        return machine

    def close(self):
        for machine in self.machines:
            if machine.is_running():
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def exchange(addr, method, path, headers=(), body=b"", timeout_s=1.0, source=None):
    """One HTTP exchange on a new connection; the status is 0 if there was no complete answer."""

    async def run():
        host, port = addr.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=(source, 0) if source else None
        )
        try:
            head = [f"{method} {path} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                head.append(f"Host: {addr}")
            head += [f"{name}: {value}" for name, value in headers]
            head.append(f"Content-Length: {len(body)}")
            head.append("Connection: close")
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_answer(reader):
    """Reads a whole answer: its status, fields and body."""
    first, fields = await read_head(reader)
    body = b"".join([piece async for piece in body_pieces(reader, fields)])
    return int(first.split()[1]), fields, body


async def body_pieces(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return
            yield piece
    elif int(fields.get("content-length", "0")):
        yield await reader.readexactly(int(fields["content-length"]))


class Platform:
    """The platform's list of replicas."""

    def __init__(self, site):
        self.site = site
        self.entries = []
        # Bytes that another writer has put among the entries, as they stand in the list.
        self.foreign = []
        self.server = None
        self.reads = 0

    async def start(self):
        ip = f"{self.site.subnet}.200"
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.site.platform_addr = f"{ip}:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                self.reads += 1
                entries = [json.dumps(it).encode() for it in self.entries] + self.foreign
                body = b'{"instances":[' + b",".join(entries) + b'],"next":null}'
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Replica:
    """A sound replica. It answers plain requests whole, and streams of events slowly."""

    def __init__(self, site, service, number, zone, software="v1", slots=6, engine=False):
        self.site, self.service, self.zone = site, service, zone
        self.id = f"i-{number:08x}"
        self.ip = f"{site.subnet}.{100 + number}"
        self.software, self.slots, self.engine = software, slots, engine
        self.state = "ready"
        self.running = 0
        # The events of a stream and the pause between two of them.
        self.events, self.pause_s = 40, 0.28
        self.runs = []
        self.server, self.port = None, 0
        self.writers = set()

    async def start(self):
        """Starts, or starts again under the same id and at the same address."""
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.state = "ready"

    async def end(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(0)

    def entry(self):
        entry = {
            "service": self.service,
            "addr": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "id": self.id,
            "born": self.born,
        }
        if self.engine:
            entry["stage"] = "mixed"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        first, fields = await read_head(reader)
        body = b"".join([piece async for piece in body_pieces(reader, fields)])
        method, target, _ = first.split()
        if target == "/health":
            status = 200 if self.state == "ready" else 503
            await self.answer(writer, status, {"X-Instance-Id": self.id}, b"")
            return True
        request_id = fields.get("x-request-id")
        echo = {"X-Request-Id": request_id}
        if request_id is None:
            await self.answer(writer, 400, {"X-Not-Run": "1"}, b"")
        elif fields.get("x-expect-instance", self.id) != self.id:
            await self.answer(writer, 421, {**echo, "X-Not-Run": "1"}, b"")
        else:
            self.runs.append((self.site.now(), request_id, method, target, len(body)))
            self.running += 1
            try:
                if self.engine:
                    await self.stream(reader, writer, echo, fields)
                else:
                    await asyncio.sleep(0.03)
                    await self.answer(writer, 200, {**echo, **self.signed()}, b"x" * 800)
            finally:
                self.running -= 1
        return True

    def signed(self):
        fields = {
            "X-Server-Stamp": f"3e1b.{self.id}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        if self.engine:
            fields["X-Weight-Versions"] = "1"
        if self.state != "ready":
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        return fields

    async def answer(self, writer, status, fields, body):
        head = [f"HTTP/1.1 {status} Answer"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        head.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    async def stream(self, reader, writer, echo, fields):
        head = ["HTTP/1.1 200 OK"]
        shown = {**echo, **self.signed(), "Content-Type": "text/event-stream"}
        head += [f"{name}: {value}" for name, value in shown.items()]
        head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        # The replica drops the request when its connection closes.
        closed = asyncio.ensure_future(reader.read(1))
        try:
            last = int(fields.get("last-event-id", "0"))
            for number in range(last + 1, self.events + 1):
                done, _ = await asyncio.wait([closed], timeout=self.pause_s)
                if done:
                    raise ConnectionResetError
                event = f"id: {number}\ndata: {self.software}-{number:04d}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            closed.cancel()
        raise ConnectionResetError  # The watch for the close has taken the connection.


async def until_ready(site, routers, within_s=10.0):
    """Waits until every router says that it is ready."""
    end = time.monotonic() + within_s
    for router in routers:
        while True:
            addr = f"{router.ip}:{site.ports['ready']}"
            status, _, _ = await exchange(addr, "GET", READY_PATH)
            if status == 200:
                break
            if time.monotonic() > end:
                raise CannotRun(f"{router.name} is not ready")
            await asyncio.sleep(0.05)


class Traffic:
    """Idempotent requests to one path at a steady rate, each on a new connection at any router."""

    def __init__(self, site, routers, path, per_s):
        self.site, self.routers, self.path, self.per_s = site, routers, path, per_s
        self.results, self.tasks = [], []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.tasks.append(asyncio.ensure_future(self.one(random.choice(self.routers))))
            await asyncio.sleep(1 / self.per_s)

    async def one(self, router):
        sent = time.monotonic()
        fields = [
            ("Host", "ficu95.example"),
            ("X-Request-Id", f"{random.getrandbits(64):016x}"),
            ("X-Deadline-Ms", "1000"),
            ("X-Api-Key", "n2ctnfzs989anu6wsjnb"),
        ]
        addr = f"{router.ip}:{self.site.ports['front']}"
        status, answer, body = await exchange(addr, "GET", self.path, fields)
        served = status == 200 and "x-server-stamp" in answer and len(body) == 800
        self.results.append((sent, status, served))

    def share_served(self, since, until, what):
        counted = [it for it in self.results if since <= it[0] < until]
        served = sum(it[2] for it in counted)
        ends = {}
        for _, status, _ in counted:
            ends[status] = ends.get(status, 0) + 1
        self.site.note(f"{what}: {served} of {len(counted)} requests served; by status {ends}")
        return served / len(counted) if counted else 0.0


async def put_config(site, config, nodes, within_s=10.0):
    """Sends a configuration as the operator does, until it is acknowledged."""
    body = json.dumps(config).encode()
    end, turn, last = time.monotonic() + within_s, 0, {}
    while time.monotonic() < end:
        node = nodes[turn % len(nodes)]
        turn += 1
        addr = f"{node.ip}:{site.ports['control']}"
        fields = [("Content-Type", "application/json")]
        status, _, _ = await exchange(addr, "PUT", "/v1/config", fields, body)
        if last.get(node.name) != status:
            version = config["version"]
            site.note(f"operator: PUT version {version} to {node.name}: {status or 'no answer'}")
        last[node.name] = status
        if status == 200:
            return node
        await asyncio.sleep(0.1)
    return None


async def get_version(site, node):
    """The version that a node reads back, or the status or 0 if it gives none."""
    addr = f"{node.ip}:{site.ports['control']}"
    status, _, body = await exchange(addr, "GET", "/v1/config")
    version = json.loads(body)["version"] if status == 200 else None
    return status, version


def config(version, services, routes):
    """A configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
    }


def engine_service(name, slots=64, max_conns=360):
    service = plain_service(name, max_conns)
    service["engine"] = {
        "slots": slots,
        "kv_capacity": 362292,
        "token_kv_bytes": 18432,
        "link_mbps": 370000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return service


def stream_route(name, prefix, service, timeout_ms, resumable, attempts=2):
    route = plain_route(name, prefix, service, "stream", timeout_ms, attempts)
    route.update({"goal_ms": 500, "priority": 0, "sticky": True, "resumable": resumable})
    route["gap_target_ms"] = 300
    return route


def plain_service(name, max_conns=96):
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": max_conns,
        "protocol": "h1",
        "tls": False,
    }


def plain_route(name, prefix, service, kind, timeout_ms=1000, attempts=1):
    return {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 150,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def run(case, case_folder):
    """Plays a case; returns the exit status: 0 held, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A script that is told to stop ends its processes first.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        site = Site(case_folder)
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error}")
        return 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(site, trouble), 115))
        site.note("result: " + ("the rule was broken" if broken else "the rule held"))
        print("broken" if broken else "held")
        return 1 if broken else 0
    except Exception as error:  # A fault of the script says nothing of the rule.
        site.note(f"result: the case could not run: {error!r}")
        print(f"cannot run: {error!r}")
        return 2
    finally:
        site.close()
