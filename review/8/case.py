"""Uploads whose clients have left are still sent to backends, which run them."""

import asyncio
import os
import pathlib
import socket
import sys

from review.second import client
from review.second.deployment import Backend, run_case

HOST = "h.example"
DEADLINE_MS = 6000
NODES = ("n1", "n2")
BACKENDS = 8
SLOTS = 3
# The longest work of such an upload in the site file is 2600 ms.
WORK_S = 2.0
UPLOAD_BYTES = 1_330_000
# The clients that fill all slots, those that wait behind them, and those that leave.
FIRST = BACKENDS * SLOTS
WAITING = 6
LEAVING = 12
LEAVE_AFTER_S = 0.6
# The rule: "more than a few requests reach a backend over half a second later".
LATE_S = 0.5
FEW = 5
TCP_FIN_WAIT2 = 5
BODY = os.urandom(UPLOAD_BYTES)


class Case:
    """The uploads of the case, and when their clients left."""

    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.record = record
        self.trouble = trouble
        self.left_s = {}
        self.late = []
        self.late_runs = []

    def note_arrival(self, backend, request):
        """Record that a request has reached a backend."""
        request_id = request.headers["x-request-id"]
        left_s = self.left_s.get(request_id)
        if left_s is None:
            return
        after_s = self.record.now() - left_s
        self.record.write(
            f"reached id={request_id} {backend.name} {after_s:.2f}s after the close"
        )
        if after_s > LATE_S:
            self.late.append(request_id)

    async def respond(self, backend, request, writer):
        """Run an upload, and answer it."""
        backend.run(request)
        if request.headers["x-request-id"] in self.left_s:
            self.late_runs.append(request.headers["x-request-id"])
        await asyncio.sleep(WORK_S)
        await backend.send(writer, request, 200, [], b"stored", seal=True)
        return True

    async def upload(self, port, leaves):
        """Send an upload, and wait for its answer or leave before that."""
        request_id = client.new_id()
        request = client.build_request(
            "POST", HOST, "/scans/x", request_id, DEADLINE_MS, BODY
        )
        if not leaves:
            return await client.fetch(self.record, port, request, request_id, 6.0)
        reader, writer = await client.open_streams(port)
        self.record.write(f"sent id={request_id}, whose client leaves")
        writer.write(request)
        await asyncio.wait_for(writer.drain(), 5.0)
        await asyncio.sleep(LEAVE_AFTER_S)
        await self.leave(writer, request_id)
        return None

    async def leave(self, writer, request_id):
        """Close a connection, and record when the close has reached the node.

        The kernel of the client then knows that its end of the stream was received.
        """
        own = writer.get_extra_info("socket")
        own.shutdown(socket.SHUT_RDWR)
        state = 0
        for _ in range(100):
            state = own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            if state == TCP_FIN_WAIT2:
                break
            await asyncio.sleep(0.01)
        writer.close()
        if state == TCP_FIN_WAIT2:
            self.left_s[request_id] = self.record.now()
        self.record.write(
            f"closed id={request_id}, received by the node={state == TCP_FIN_WAIT2}"
        )

    async def play(self):
        """Return whether few uploads reached a backend after their client's close."""
        deployment, record = self.deployment, self.record
        deployment.start_store()
        for number in range(BACKENDS):
            backend = ObservedBackend(
                record, f"i-{number}", "scans", self.respond, slots=SLOTS
            )
            backend.note_arrival = self.note_arrival
            await deployment.add_backend(backend)
        route = client.build_route(HOST, "/scans/", "upload", "scans", "6000ms")
        deployment.write_configuration(5, {"r-1": route}, ["scans"])
        for name in NODES:
            deployment.add_node(name)
            deployment.start_node(name)
        for name in NODES:
            await deployment.wait_ready(name)
        await asyncio.sleep(4.0)
        kinds = [False] * (FIRST + WAITING) + [self.trouble] * LEAVING
        uploads = []
        for number, leaves in enumerate(kinds):
            port = deployment.nodes[NODES[number % 2]]["front"]
            uploads.append(asyncio.create_task(self.upload(port, leaves)))
            await asyncio.sleep(0.03)
        await asyncio.gather(*uploads)
        await asyncio.sleep(3.0)
        record.write(
            f"left={len(self.left_s)} of them reached a backend over {LATE_S}s later="
            f"{len(self.late)} and were run={len(self.late_runs)}"
        )
        return len(self.late) <= FEW


class ObservedBackend(Backend):
    """A backend that tells when the head of a request has reached it."""

    note_arrival = None

    async def handle(self, reader, writer, request):
        """Note the arrival, and handle the request as any backend."""
        self.note_arrival(self, request)
        return await super().handle(reader, writer, request)


async def play(deployment, record, trouble):
    """Play the case."""
    return await Case(deployment, record, trouble).play()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
