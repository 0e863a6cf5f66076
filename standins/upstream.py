"""Stand-in for an upstream with slots, faults and a record of what it ran.

Requests set their work by header: ``Work-Ms`` is the time of service,
``Answer-Bytes`` the size of the answer, ``Crash: yes`` crashes the upstream.
``POST /control`` sets faults: ``stall``, ``stall_share``, ``slow_factor``,
``noise``, ``half_answer``, ``draining``, ``refuse_connections``, ``cold_ms``,
``crash_ms``, ``probe_lies``. ``GET /runs`` lists the keys it ran.
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
    """Faults that tests set."""

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


@dataclasses.dataclass(frozen=True)
class Job:
    """A request that runs; ``ready`` once its body is complete."""

    exchange: int
    head: object
    size: int
    digest: object
    started_s: float


class UpstreamStandin(Task):
    """Runs jobs on a number of slots."""

    def __init__(self, name, slots, seed):
        super().__init__(CHANNEL)
        self.label = name
        self.slots = slots
        self.random = random.Random(seed)
        self.faults = Faults()
        self.jobs = {}
        self.control_bodies = {}
        self.runs = []
        self.shed = 0
        self.max_jobs = 0
        self.began_s = self.clock()
        self.message_handlers = {
            RequestStart: self.start_request,
            RequestBody: self.continue_request,
            CallerDisconnected: self.cancel,
            Tick: self.on_tick,
        }

    def start_request(self, request):
        """Answer control requests; start or shed the others."""
        path = request.head.target.partition("?")[0]
        if path in ("/control", "/runs", "/health"):
            self.control_bodies[request.exchange] = (path, request.body)
            if request.ended:
                self.control(request.exchange)
        else:
            self.start_job(request)

    def start_job(self, request):
        """Take a slot, or refuse."""
        expected = find_header(request.head, b"x-expect-instance")
        if expected not in (None, self.label):
            self.refuse(request, 421)
            return
        refused = self.refusal()
        if refused:
            self.shed += 1
            headers = (
                (b"Request-Refused", refused.encode()),
                (b"X-Not-Executed", b"1"),
            )
            self.refuse(request, 503, headers)
            return
        if find_header(request.head, b"crash"):
            self.note_run(request.head)
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
        """Answer that the request was not run; the answer names the request."""
        request_id = find_header(request.head, b"x-request-id") or ""
        named = (b"X-Request-Id", request_id.encode())
        head = ResponseHead(status, (named, (b"Content-Length", b"0"), *headers))
        self.send_message("web", ResponseStart(request.exchange, head, b"", True))

    def refusal(self):
        """Return why no work is taken now, or an empty text."""
        if self.faults.draining:
            return "draining"
        cold = self.clock() - self.began_s < self.faults.cold_ms / 1000
        slots = 1 if cold else self.slots
        return "shed" if len(self.jobs) >= slots else ""

    def continue_request(self, more):
        """Take more of a body."""
        if more.exchange in self.control_bodies:
            path, body = self.control_bodies[more.exchange]
            self.control_bodies[more.exchange] = (path, body + more.body)
            if more.ended:
                self.control(more.exchange)
            return
        job = self.jobs.get(more.exchange)
        if job is None:
            return
        job.digest.update(more.body)
        job = dataclasses.replace(job, size=job.size + len(more.body))
        self.jobs[job.exchange] = job
        self.send_message("web", RequestCredit(job.exchange, len(more.body)))
        if more.ended:
            self.run_job(job)

    def run_job(self, job):
        """Run for the asked time, unless a stall is set."""
        self.note_run(job.head)
        if self.stalls():
            return
        work_ms = float(find_header(job.head, b"work-ms") or DEFAULT_WORK_MS)
        work_ms *= self.faults.slow_factor
        if self.faults.noise:
            work_ms *= self.random.lognormvariate(0, self.faults.noise)
        wait = Subscribe(CHANNEL, str(job.exchange), work_ms / 1000, repeat=False)
        self.send_message("timers", wait)

    def stalls(self):
        """Tell whether the job that starts now never ends."""
        if self.faults.stall and self.faults.flap_ms:
            return int(self.clock() * 1000 / self.faults.flap_ms) % 2 == 0
        return self.faults.stall or self.random.random() < self.faults.stall_share

    def note_run(self, head):
        """Record that a request was run."""
        key = find_header(head, b"booking")
        if key:
            self.runs.append(key)

    def on_tick(self, tick):
        """End a job, or listen again after a crash."""
        if tick.name == "restart":
            self.web.listen_on(bind_listener(*self.address))
            return
        job = self.jobs.pop(int(tick.name), None)
        if job is not None:
            self.answer(job)

    def answer(self, job):
        """Answer with what the request was, so that callers can check it."""
        value = {
            "upstream": self.label,
            "target": job.head.target,
            "size": job.size,
            "digest": job.digest.hexdigest(),
            "deadline_ms": find_header(job.head, b"x-deadline-ms"),
        }
        body = json.dumps(value).encode()
        wanted = int(find_header(job.head, b"answer-bytes") or 0)
        body += b" " * max(0, wanted - len(body))
        status = int(find_header(job.head, b"answer-status") or 0)
        status = status or self.faults.answer_status
        own = self.own_headers(job.head)
        if status in (204, 304):
            head = ResponseHead(status, own)
            self.send_message("web", ResponseStart(job.exchange, head, b"", True))
        elif self.faults.half_answer:
            length = (b"Content-Length", b"%d" % (2 * len(body)))
            head = ResponseHead(200, (length, *own))
            self.send_message("web", ResponseStart(job.exchange, head, body))
            self.send_message("web", ResponseAbort(job.exchange))
        elif find_header(job.head, b"answer-chunked"):
            head = ResponseHead(status, own)
            self.send_message("web", ResponseStart(job.exchange, head, body[:5]))
            self.send_message("web", more_of(job.exchange, body[5:]))
        else:
            whole = respond_with_bytes(job.exchange, status, body)
            head = ResponseHead(status, (*whole.head.headers, *own))
            self.send_message("web", dataclasses.replace(whole, head=head))

    def own_headers(self, head):
        """Return the headers that mark an answer as this upstream's."""
        request_id = find_header(head, b"x-request-id") or ""
        seal = hashlib.sha256(request_id.encode()).hexdigest()[:12]
        return (
            (b"X-Request-Id", request_id.encode()),
            (b"X-Response-Seal", seal.encode()),
        )

    def cancel(self, gone):
        """Free the slot of a request that was cancelled."""
        self.jobs.pop(gone.exchange, None)
        self.control_bodies.pop(gone.exchange, None)

    def crash(self):
        """Break all connections and refuse new ones for a while."""
        self.web.stop_listening()
        for number in list(self.web.connections):
            self.web.abort(number)
        self.jobs.clear()
        self.began_s = self.clock()
        wait = Subscribe(CHANNEL, "restart", self.faults.crash_ms / 1000, repeat=False)
        self.send_message("timers", wait)

    def control(self, exchange):
        """Set faults, list runs, or lie about health."""
        path, body = self.control_bodies.pop(exchange)
        if path == "/health":
            healthy = self.faults.probe_lies or not self.faults.stall
            value = {"healthy": healthy, "load": 0.0}
        elif path == "/runs":
            value = {
                "runs": self.runs,
                "shed": self.shed,
                "jobs": len(self.jobs),
                "max_jobs": self.max_jobs,
            }
        else:
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
            value = dataclasses.asdict(self.faults)
        answer = respond_with_bytes(exchange, 200, json.dumps(value).encode())
        self.send_message("web", answer)


def more_of(exchange, body):
    """Return the last part of a chunked answer."""
    return ResponseBody(exchange, body, ended=True)


if __name__ == "__main__":
    host, port, name, slots = sys.argv[1:5]
    run_standin(UpstreamStandin(name, int(slots), name), host, int(port))
