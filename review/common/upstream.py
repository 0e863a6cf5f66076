"""Stand-in for a sound backend, which registers itself and runs requests."""

import asyncio
import time

from common.wire import Request, build_response, read_body, read_head

HEARTBEAT_S = 1.5
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Upstream:
    """A backend of a service.

    ``run`` is a coroutine function that gets this backend, a request and the writer
    of its connection; it does the work and returns a status, headers and a body, or
    ``None`` once it has written the answer itself. A request for which
    ``answers_early`` returns true is answered before its body has been read; how many
    bytes of such bodies came stands in ``bodies``, by the ids of the requests.
    """

    def __init__(self, world, name, service, run, slots=4):
        self.world = world
        self.name = name
        self.service = service
        self.run = run
        self.slots = slots
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.server = None
        self.beating = None
        self.busy = 0
        self.writers = set()
        self.answers_early = lambda headers: False
        self.early_ids = set()
        self.bodies = {}

    async def start(self, host, port):
        """Begin to serve, and register this backend."""
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self._serve, host, port)
        self.beating = asyncio.create_task(self._beat())

    def entry(self):
        """Return the next entry of this backend for the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.world.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self.seq,
            "born": self.born,
        }

    def write_entry(self):
        """Write this backend's entry into the store, which acknowledges it."""
        self.world.store.write("keyed.servers", self.name, self.entry())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self):
        """End at once: nothing answers from now on."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await self._read(reader, writer)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(self, reader, writer):
        """Return the next request that is to be answered after it was read."""
        while True:
            head = await read_head(reader)
            if head is None:
                return None
            line, headers = head
            if self.world.on_head is not None:
                self.world.on_head(self.name, headers)
            if not self.answers_early(headers):
                method, target, _ = line.split(" ", 2)
                return Request(
                    method, target, headers, await read_body(reader, headers)
                )
            await self._answer_early(headers, reader, writer)

    async def _answer_early(self, headers, reader, writer):
        """Accept an upload, and read its body on the kept connection after that."""
        request_id = headers["x-request-id"]
        self.early_ids.add(request_id)
        answered = {"X-Request-Id": request_id, "X-Response-Seal": SEAL}
        writer.write(build_response(200, answered, b"accepted"))
        self.world.record(f"run id={request_id} on={self.name}, answered 200 early")
        expected, size, error = int(headers["content-length"]), 0, ""
        try:
            while size < expected:
                part = await reader.read(min(65536, expected - size))
                if not part:
                    raise EOFError("the connection was closed")
                size += len(part)
        except (OSError, EOFError) as cut:
            error = f"{type(cut).__name__}: {cut}"
            raise
        finally:
            self.bodies[request_id] = size
            self.world.record(
                f"body id={request_id} on={self.name}: {size} of {expected} {error}"
            )

    async def _answer(self, request, writer):
        headers = {"X-Instance-Id": self.name}
        request_id = request.headers.get("x-request-id")
        if request_id:
            headers["X-Request-Id"] = request_id
        if self.state == "draining":
            headers["Server-Leaving"] = "1"
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(build_response(421, headers))
            return
        if request.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(build_response(status, headers))
            return
        if self.busy >= self.slots:
            refusal = {**headers, "X-Not-Executed": "1"}
            writer.write(build_response(503, refusal))
            return
        self.busy += 1
        try:
            self.world.record(f"run id={request_id} on={self.name}")
            self.world.runs.append((request_id, self.name, time.monotonic()))
            result = await self.run(self, request, writer)
        finally:
            self.busy -= 1
        if result is not None:
            status, own, body = result
            sealed = {**headers, "X-Response-Seal": SEAL, **own}
            writer.write(build_response(status, sealed, body))
            self.world.record(f"answered id={request_id} by={self.name} as={status}")
