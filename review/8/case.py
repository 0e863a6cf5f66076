"""A booking that has run is answered 503, which promises that it has not."""

import asyncio
import pathlib
import random
import sys

from review.second import client
from review.second.deployment import Backend, run_case

HOST = "h.example"
DEADLINE_MS = 4000
BACKENDS = 7
BOOKINGS = 600
BOOKINGS_PER_S = 60.0
WORK_S = 0.05
# One of seven backends, and the share of its requests that it fails.
FAILING = "i-0"
FAILING_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


class Case:
    """The bookings of the case, and which of them have run."""

    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.record = record
        self.failing = FAILING if trouble else None
        self.random = random.Random(3)
        self.ran = set()
        self.promised = []

    async def respond(self, backend, request, writer):
        """Run a booking; the failing backend fails some after it has run them."""
        backend.run(request)
        self.ran.add(request.headers["x-request-id"])
        await asyncio.sleep(WORK_S)
        fails = backend.name == self.failing
        if fails and self.random.random() < FAILING_SHARE:
            await backend.send(writer, request, 503, [], b"failed", seal=True)
        else:
            await backend.send(writer, request, 200, [], b"booked", seal=True)
        return True

    async def book(self, port):
        """Send a booking, and judge its answer."""
        request_id = client.new_id()
        request = client.build_request(
            "POST", HOST, "/book/x", request_id, DEADLINE_MS, b"{}"
        )
        response = await client.fetch(self.record, port, request, request_id, 5.0)
        if response is None or response.status not in PROMISES:
            return
        if request_id in self.ran:
            self.promised.append(request_id)
            self.record.write(f"id={request_id} got {response.status} and has run")

    async def play(self):
        """Return whether no booking that has run got a promise that it has not."""
        deployment = self.deployment
        deployment.start_store()
        for number in range(BACKENDS):
            backend = Backend(self.record, f"i-{number}", "orders", self.respond)
            await deployment.add_backend(backend)
        route = client.build_route(HOST, "/book/", "unsafe", "orders", "4000ms")
        deployment.write_configuration(5, {"r-1": route}, ["orders"])
        for name in ("n1", "n2"):
            deployment.add_node(name)
            deployment.start_node(name)
        for name in ("n1", "n2"):
            await deployment.wait_ready(name)
        await asyncio.sleep(4.0)
        bookings = []
        for number in range(BOOKINGS):
            port = deployment.nodes[("n1", "n2")[number % 2]]["front"]
            bookings.append(asyncio.create_task(self.book(port)))
            await asyncio.sleep(1 / BOOKINGS_PER_S)
        await asyncio.gather(*bookings)
        self.record.write(
            f"bookings told not to have run that ran={len(self.promised)}"
        )
        return not self.promised


async def play(deployment, record, trouble):
    """Play the case."""
    return await Case(deployment, record, trouble).play()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
