"""Stand-in for an upstream with slots, faults and a record of what it ran.

Request headers control how a request runs: ``Work-Ms`` is the service time,
``Answer-Bytes`` the size of the response, ``Crash: yes`` crashes the upstream.
``POST /control`` sets the fields of ``Faults``. ``GET /runs`` lists the keys of
the requests that it ran.
"""

import dataclasses
import hashlib
import json
import random
import sys

from comfreyusher.flow import Subscribe, Task, Tick, bind_listener
from comfreyusher.http import respond_with_bytes
from comfreyusher.messages import (
    CallerDisconnected,
    InterimResponse,
    RequestBody,
    RequestCredit,
    RequestStart,
    ResponseAbort,
    ResponseBody,
    ResponseHead,
    ResponseStart,
    find_header,
)
from standins._process import run_standin

CHANNEL = "upstream-standin"
DEFAULT_WORK_MS = 5


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults set by tests; the fields are those of ``POST /control``.

    ``stall``, or a share ``stall_share`` of the jobs, makes jobs never end;
    ``flap_ms`` turns ``stall`` on and off at this interval. ``slow_factor``
    multiplies service times, and ``noise`` is the sigma of a log-normal factor on
    them. ``half_answer`` truncates responses, ``draining`` refuses all requests.
    For ``cold_ms`` after its start the upstream has only one slot, and for
    ``crash_ms`` after a crash it refuses connections. ``probe_lies`` makes the
    health probe report a stalled upstream as healthy. ``answer_status`` is the
    status of responses. With ``says_leaving`` all responses say that the upstream
    leaves, with ``limit`` they name that limit. With ``retry_after`` it refuses all
    requests and names that time, in seconds.
    """

    stall: bool = False
    stall_share: float = 0.0
    flap_ms: int = 0
    slow_factor: float = 1.0
    noise: float = 0.0
    half_answer: bool = False
    draining: bool = False
    cold_ms: int = 0
    crash_ms: int = 300
    probe_lies: bool = True
    answer_status: int = 200
    says_leaving: bool = False
    limit: str = ""
    retry_after: str = ""


@dataclasses.dataclass(frozen=True)
class Job:
    """A request in progress.

    ``size`` (in bytes) and ``digest`` cover the part of the body that was received.
    """

    exchange: int
    head: object
    size: int
    digest: object
    started_s: float


class UpstreamStandin(Task):
    """Runs requests as jobs on a limited number of slots."""

    def __init__(self, name, slots, seed):
        super().__init__(CHANNEL)
        self.upstream_name = name
        self.slots = slots
        self.random = random.Random(seed)
        self.faults = Faults()
        self.jobs = {}
        self.control_bodies = {}
        self.runs = []
        self.shed = 0
        self.arrivals = 0
        self.crashes = 0
        self.max_jobs = 0
        self.started_s = self.clock()
        self.message_handlers = {
            RequestStart: self.handle_request_start,
            RequestBody: self.handle_request_body,
            CallerDisconnected: self.handle_caller_disconnected,
            Tick: self.handle_tick,
        }

    def handle_request_start(self, request):
        """Respond to control requests; start or refuse the others."""
        path = request.head.target.partition("?")[0]
        if path in ("/control", "/runs", "/health"):
            self.control_bodies[request.exchange] = (path, request.body)
            if request.ended:
                self.respond_to_control(request.exchange)
        else:
            self.start_job(request)

    def start_job(self, request):
        """Start a job on a free slot, or refuse the request."""
        self.arrivals += 1
        expected = find_header(request.head, b"x-expect-instance")
        if expected not in (None, self.upstream_name):
            self.refuse(request, 421)
            return
        reason = self.find_refusal_reason()
        if reason:
            self.shed += 1
            headers = (
                (b"Request-Refused", reason.encode()),
                (b"X-Not-Executed", b"1"),
            )
            self.refuse(request, 503, headers + self.build_retry_headers())
            return
        if find_header(request.head, b"crash"):
            self.record_run(request.head)
            self.crash()
            return
        digest = hashlib.sha256(request.body)
        job = Job(
            request.exchange, request.head, len(request.body), digest, self.clock()
        )
        self.jobs[job.exchange] = job
        self.max_jobs = max(self.max_jobs, len(self.jobs))
        self.send_message("web", RequestCredit(job.exchange, len(request.body)))
        if find_header(request.head, b"early-hints"):
            self.send_message("web", InterimResponse(job.exchange, ResponseHead(103)))
        if request.ended:
            self.run_job(job)

    def refuse(self, request, status, headers=()):
        """Respond that the request was not run.

        The response repeats the request id, so that the node can match the two.
        """
        request_id = find_header(request.head, b"x-request-id") or ""
        identity_header = (b"X-Request-Id", request_id.encode())
        head = ResponseHead(
            status, (identity_header, (b"Content-Length", b"0"), *headers)
        )
        self.send_message("web", ResponseStart(request.exchange, head, b"", True))

    def find_refusal_reason(self):
        """Return why new requests are refused now, or an empty string."""
        if self.faults.draining:
            return "draining"
        if self.faults.retry_after:
            return "shed"
        is_cold = self.clock() - self.started_s < self.faults.cold_ms / 1000
        slots = 1 if is_cold else self.slots
        return "shed" if len(self.jobs) >= slots else ""

    def build_retry_headers(self):
        """Return the header that names when the node may send again."""
        if not self.faults.retry_after:
            return ()
        return ((b"Retry-After", self.faults.retry_after.encode()),)

    def handle_request_body(self, message):
        """Add a part of the body to its request; run the job once it is complete."""
        if message.exchange in self.control_bodies:
            path, body = self.control_bodies[message.exchange]
            self.control_bodies[message.exchange] = (path, body + message.body)
            if message.ended:
                self.respond_to_control(message.exchange)
            return
        job = self.jobs.get(message.exchange)
        if job is None:
            return
        job.digest.update(message.body)
        job = dataclasses.replace(job, size=job.size + len(message.body))
        self.jobs[job.exchange] = job
        self.send_message("web", RequestCredit(job.exchange, len(message.body)))
        if message.ended:
            self.run_job(job)

    def run_job(self, job):
        """Run a job for the time in its headers; a stalled job never ends."""
        self.record_run(job.head)
        if self.should_stall():
            return
        work_ms = float(find_header(job.head, b"work-ms") or DEFAULT_WORK_MS)
        work_ms *= self.faults.slow_factor
        if self.faults.noise:
            work_ms *= self.random.lognormvariate(0, self.faults.noise)
        subscription = Subscribe(
            CHANNEL, str(job.exchange), work_ms / 1000, repeat=False
        )
        self.send_message("timers", subscription)

    def should_stall(self):
        """Return whether the job that starts now never ends."""
        if self.faults.stall and self.faults.flap_ms:
            return int(self.clock() * 1000 / self.faults.flap_ms) % 2 == 0
        return self.faults.stall or self.random.random() < self.faults.stall_share

    def record_run(self, head):
        """Record the key of a request that is run."""
        key = find_header(head, b"booking")
        if key:
            self.runs.append(key)

    def handle_tick(self, tick):
        """Respond to a job whose time is over, or listen again after a crash."""
        if tick.name == "restart":
            self.http_server.listen_on(bind_listener(*self.address))
            return
        job = self.jobs.pop(int(tick.name), None)
        if job is not None:
            self.send_response(job)

    def send_response(self, job):
        """Respond with the request's target, size and digest for callers to check."""
        value = {
            "upstream": self.upstream_name,
            "target": job.head.target,
            "size": job.size,
            "digest": job.digest.hexdigest(),
            "deadline_ms": find_header(job.head, b"x-deadline-ms"),
        }
        body = json.dumps(value).encode()
        wanted_bytes = int(find_header(job.head, b"answer-bytes") or 0)
        body += b" " * max(0, wanted_bytes - len(body))
        status = int(find_header(job.head, b"answer-status") or 0)
        status = status or self.faults.answer_status
        identity_headers = self.build_identity_headers(job.head)
        if status in (204, 304):
            head = ResponseHead(status, identity_headers)
            self.send_message("web", ResponseStart(job.exchange, head, b"", True))
        elif self.faults.half_answer:
            length = (b"Content-Length", b"%d" % (2 * len(body)))
            head = ResponseHead(200, (length, *identity_headers))
            self.send_message("web", ResponseStart(job.exchange, head, body))
            self.send_message("web", ResponseAbort(job.exchange))
        elif find_header(job.head, b"answer-chunked"):
            head = ResponseHead(status, identity_headers)
            self.send_message("web", ResponseStart(job.exchange, head, body[:5]))
            self.send_message("web", build_last_chunk(job.exchange, body[5:]))
        else:
            response = respond_with_bytes(job.exchange, status, body)
            head = ResponseHead(status, (*response.head.headers, *identity_headers))
            self.send_message("web", dataclasses.replace(response, head=head))

    def build_identity_headers(self, head):
        """Return the headers that tie a response to its request."""
        request_id = find_header(head, b"x-request-id") or ""
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:12]
        headers = (
            (b"X-Request-Id", request_id.encode()),
            (b"X-Response-Seal", seal.encode()),
        )
        if self.faults.says_leaving:
            headers += ((b"Server-Leaving", b"1"),)
        if self.faults.limit:
            headers += ((b"Server-Limit", self.faults.limit.encode()),)
        return headers

    def handle_caller_disconnected(self, message):
        """Free the slot of a cancelled request."""
        self.jobs.pop(message.exchange, None)
        self.control_bodies.pop(message.exchange, None)

    def crash(self):
        """Abort all connections, and refuse new ones for ``crash_ms``."""
        self.crashes += 1
        self.http_server.stop_listening()
        for connection in list(self.http_server.connections):
            self.http_server.abort(connection)
        self.jobs.clear()
        self.started_s = self.clock()
        subscription = Subscribe(
            CHANNEL, "restart", self.faults.crash_ms / 1000, repeat=False
        )
        self.send_message("timers", subscription)

    def respond_to_control(self, exchange):
        """Set faults, list the runs, or respond to a health probe.

        With the ``probe_lies`` fault the probe reports a stalled upstream as healthy.
        """
        path, body = self.control_bodies.pop(exchange)
        if path == "/health":
            healthy = self.faults.probe_lies or not self.faults.stall
            value = {"healthy": healthy, "load": 0.0}
        elif path == "/runs":
            value = {
                "runs": self.runs,
                "shed": self.shed,
                "crashes": self.crashes,
                "jobs": len(self.jobs),
                "arrivals": self.arrivals,
                "max_jobs": self.max_jobs,
            }
        else:
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
            value = dataclasses.asdict(self.faults)
        response = respond_with_bytes(exchange, 200, json.dumps(value).encode())
        self.send_message("web", response)


def build_last_chunk(exchange, body):
    """Return the last part of a chunked response."""
    return ResponseBody(exchange, body, ended=True)


if __name__ == "__main__":
    host, port, name, slots = sys.argv[1:5]
    run_standin(UpstreamStandin(name, int(slots), name), host, int(port))
