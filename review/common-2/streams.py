"""Stand-ins of replicas and clients of streams that may be resumed."""

import asyncio

import site_of as system

EVENTS = 80
EVENT_INTERVAL_S = 0.05
# The longest deadline of the sheets.
DEADLINE_S = 12.0


class StreamReplica(system.Replica):
    """A replica whose streams may be resumed."""

    def __init__(self, site, name, version):
        super().__init__(site, name, "drafts", version, slots=64)

    async def handle(self, writer, method, path, fields, body):
        request, expected = fields["x-request-id"], fields.get("x-expect-instance")
        if expected not in (None, self.id):
            return await self.reply(writer, 421, {"x-request-id": request, "x-not-run": "1"}, b"another one")
        after = int(fields.get("last-event-id", 0))
        self.site.record.add(f"replica {self.id} at {self.version} runs {request} after event {after}")
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
            + f"x-request-id: {request}\r\nx-server-stamp: {self.id}.{request}\r\n\r\n".encode()
        )
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """One stream of a client, which takes it up after a broken connection, at most once for each of `waits_s`, until
    its deadline."""

    def __init__(self, site, name, router, waits_s):
        self.site, self.name, self.router, self.waits_s = site, name, router, waits_s
        self.deadline = site.record.now() + DEADLINE_S
        self.versions, self.last, self.is_whole = [], 0, False
        self.sent_at, self.brought_at = [], 0.0

    async def run(self):
        await self.attempt(0)
        for number, wait in enumerate(self.waits_s, 1):
            if self.is_whole or self.site.record.now() + wait >= self.deadline:
                return
            await asyncio.sleep(wait)
            await self.attempt(number)

    async def attempt(self, number):
        """One client attempt."""
        request = f"{self.name}-{number}"
        left_ms = int(1000 * (self.deadline - self.site.record.now()))
        fields = {"host": "shop.example", "x-request-id": request, "x-deadline-ms": left_ms, "x-api-key": "key-north",
                  "content-length": 0}
        if self.last:
            fields |= {"last-event-id": self.last, "resumes": f"{self.name}-0"}
        head = "".join(f"{name}: {field}\r\n" for name, field in fields.items())
        self.sent_at.append(self.site.record.now())
        self.site.record.add(f"client sends {request} after event {self.last}")
        try:
            reader, writer = await asyncio.open_connection(self.site.router_ips[self.router], self.site.front_port)
        except OSError as error:
            self.site.record.add(f"client gets no connection for {request}: {error}")
            return
        try:
            writer.write(f"POST /draft/{self.name} HTTP/1.1\r\n{head}\r\n".encode())
            message = await system.read_head(reader)
            if message is None or not message[0].startswith("HTTP/1.1 200"):
                self.site.record.add(f"client gets for {request}: {message and message[0]}")
                return
            async with asyncio.timeout(left_ms / 1000):
                await self.read_events(reader, request)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()
        if not self.is_whole:
            self.site.record.add(f"the answer to {request} breaks off after event {self.last}")

    async def read_events(self, reader, request):
        text = b""
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            text += (await reader.readexactly(size + 2))[:-2]
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                self.last, self.brought_at = int(fields["id"]), self.site.record.now()
                if not self.versions or self.versions[-1] != fields["data"]:
                    self.site.record.add(f"{request} brings event {self.last} of {fields['data']}")
                    self.versions.append(fields["data"])
        self.is_whole = True
