"""Replays one-line mutations of decisions, and checks that tests catch them.

Each mutation runs on a copy of the source tree. A mutation that no test catches
shows a gap in the tests.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED_PATHS = ("comfreyusher", "standins", "tests", "extras", "pyproject.toml")
WORKERS = 4


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A change of one line, the guarantee that it breaks, and its test module."""

    name: str
    guarantee: str
    path: str
    before: str
    after: str
    tests: str


OWNER = "tests.test_owner_properties"
ENTRY = "tests.test_entry"
FEEDS = "tests.test_feeds"
CLIENT = "tests.test_http_client"
ACCOUNTS = "tests.test_client_accounts"
HEDGES = "tests.test_pattern_hedges"
FAILING = "tests.test_pattern_failing_for_seconds"
OVERLOAD = "tests.test_pattern_crest"
REGION = "tests.test_pattern_region_failing"
STATEMENTS = "tests.test_upstream_statements"
ERA = "tests.test_store_era"
PIPELINING = "tests.test_pipelining"
REFUSALS = "tests.test_entry_refusals"
ERA_FEEDS = "tests.test_store_era_feeds"
MUTATIONS = (
    Mutation(
        "a reader tells its region everything in one burst",
        "feeds",
        "comfreyusher/feeds/_publisher.py",
        "        count = max(1, self.slice_datagrams // len(messages))",
        "        count = len(self.waiting_nodes)",
        "tests.test_pattern_many_changes",
    ),
    Mutation(
        "a returning node refutes its death by gossip alone",
        "membership",
        "comfreyusher/membership/_protocol.py",
        "    if not is_new_death:",
        "    if True:",
        "tests.test_membership",
    ),
    Mutation(
        "an upstream's refusal that states nothing is handed on",
        "not run",
        "comfreyusher/entry/_responses.py",
        "    return head.status in NOT_RUN_STATUSES and",
        "    return False and",
        REFUSALS,
    ),
    Mutation(
        "such a refusal is streamed if it is large",
        "not run",
        "comfreyusher/entry/_attempts.py",
        "    if is_unconfirmed_refusal(request, attempt.head):",
        "    if False:",
        REFUSALS,
    ),
    Mutation(
        "a request is given up while an attempt still runs",
        "not run",
        "comfreyusher/entry/_grant_requests.py",
        "    if live_attempts(request):",
        "    if False:",
        REFUSALS,
    ),
    Mutation(
        "a departure is forgotten when the store says ready",
        "drain",
        "comfreyusher/departures/_state.py",
        "    return departure is not None and started_ms <= departure.started_ms",
        "    return False",
        STATEMENTS,
    ),
    Mutation(
        "a node asks again before Retry-After is over",
        "statements",
        "comfreyusher/entry/_statements.py",
        "    if said.retry_after_s:",
        "    if False:",
        STATEMENTS,
    ),
    Mutation(
        "what other owners granted is not counted",
        "owner",
        "comfreyusher/owner/_choose.py",
        "    in_flight = upstream.in_flight + other_load",
        "    in_flight = upstream.in_flight",
        "tests.test_pattern_owner_change",
    ),
    Mutation(
        "waiting requests go to an upstream that fails them all",
        "failing",
        "comfreyusher/owner/_known_failing.py",
        "        if upstream.failures_in_row < MIN_FAILURES:",
        "        if upstream.failures_in_row < 1000:",
        "tests.test_pattern_failing_fast",
    ),
    Mutation(
        "idle upstreams are not explored",
        "floor",
        "comfreyusher/owner/_choose.py",
        "        return Purpose.EXPLORE",
        "        return Purpose.SERVE",
        "tests.test_pattern_idle_upstreams",
    ),
    Mutation(
        "ejection ignores the floor",
        "floor",
        "comfreyusher/health/_floor.py",
        "    return remaining_slots >= floor",
        "    return remaining_slots >= 0",
        OWNER,
    ),
    Mutation(
        "cold upstreams count as healthy",
        "floor",
        "comfreyusher/health/_floor.py",
        "if upstream.health.standing is Standing.HEALTHY",
        "if upstream.health.standing is not Standing.EJECTED",
        OWNER,
    ),
    Mutation(
        "requests are not spread while many of them fail",
        "floor",
        "comfreyusher/owner/_load_spreading.py",
        "    return failed > SPREAD_ABOVE_FAILED_SHARE * (served + failed)",
        "    return False",
        FAILING,
    ),
    Mutation(
        "last attempts go to upstreams that would probably fail them",
        "failing region",
        "comfreyusher/owner/_grants.py",
        "    if choice.risk > attempt.request.max_risk and not spread:",
        "    if False:",
        REGION,
    ),
    Mutation(
        "a request counts for the retry budget at each grant request",
        "retry budget",
        "comfreyusher/owner/_grants.py",
        "    if request.attempt == FIRST_ATTEMPT and not request.prior_sends:",
        "    if not request.prior_sends:",
        REGION,
    ),
    Mutation(
        "first attempts do not wait for healthy upstreams",
        "failing for seconds",
        "comfreyusher/owner/_choose.py",
        "    if much_safer and is_served_in_time(",
        "    if much_safer and is_failure_final(attempt.request) "
        "and is_served_in_time(",
        FAILING,
    ),
    Mutation(
        "arrivals of higher priority are not counted",
        "overload",
        "comfreyusher/owner/_arrivals.py",
        "    return arrived / ARRIVALS_SPAN_S",
        "    return 0.0",
        OVERLOAD,
    ),
    Mutation(
        "a request that may have run is retried",
        "at most once",
        "comfreyusher/entry/_attempt_ends.py",
        "    if request.may_have_run and not request.match.route.idempotent:",
        "    if False:",
        ENTRY,
    ),
    Mutation(
        "a request that is not idempotent gets a hedge",
        "at most once",
        "comfreyusher/entry/_hedges.py",
        "    if not request.match.route.idempotent or request.sends",
        "    if request.sends",
        ENTRY,
    ),
    Mutation(
        "hedges are granted beyond their share",
        "limit on hedges",
        "comfreyusher/owner/_hedges.py",
        "    if group.hedge_tokens < 1.0:",
        "    if False:",
        HEDGES,
    ),
    Mutation(
        "hedges are granted while requests are queued or fail",
        "limit on hedges",
        "comfreyusher/owner/_hedges.py",
        "    if group.queue or do_many_requests_fail(group, now):",
        "    if False:",
        HEDGES,
    ),
    Mutation(
        "a request that may have run is reported as not run",
        "not run",
        "comfreyusher/entry/_grant_requests.py",
        "    if request.may_have_run or request.streaming_attempt:",
        "    if request.streaming_attempt:",
        ENTRY,
    ),
    Mutation(
        "a truncated response counts as a crash",
        "poison request",
        "comfreyusher/entry/_attempts.py",
        "    if failure.response_started:",
        "    if False:",
        ENTRY,
    ),
    Mutation(
        "a success needs no seal",
        "complete response",
        "comfreyusher/entry/_attempts.py",
        "    if head.status < 300 and not upstream_headers.sealed:",
        "    if False:",
        ENTRY,
    ),
    Mutation(
        "responses to other requests are accepted",
        "own response",
        "comfreyusher/http/_parse.py",
        "            self.skipping = True",
        "            self.skipping = False",
        "tests.test_http_parsing",
    ),
    Mutation(
        "a silent owner is asked forever",
        "owner failure",
        "comfreyusher/entry/_grant_requests.py",
        "    if is_silent and attempt.owner != state.node:",
        "    if False:",
        ENTRY,
    ),
    Mutation(
        "the retry budget is not enforced",
        "retry budget",
        "comfreyusher/owner/_retry_budget.py",
        "    return retries + 1 <= share * first_attempts + slack",
        "    return True",
        OWNER,
    ),
    Mutation(
        "a quarantined request is granted",
        "poison request",
        "comfreyusher/owner/_grants.py",
        "    if until_s is not None and arrival.now < until_s:",
        "    if False:",
        OWNER,
    ),
    Mutation(
        "leaving upstreams still get requests",
        "leaving",
        "comfreyusher/owner/_state.py",
        "        elif spec.leaving:",
        "        elif False:",
        OWNER,
    ),
    Mutation(
        "a failure does not change the failure estimate",
        "gray failure",
        "comfreyusher/owner/_reports.py",
        "    failure_estimate = estimate_after_failure(\n"
        "        upstream.failure_estimate, group.plan.profile.detection, now\n"
        "    )",
        "    failure_estimate = upstream.failure_estimate",
        FAILING,
    ),
    Mutation(
        "high-priority requests wait behind low-priority ones",
        "overload",
        "comfreyusher/owner/_fair_queue.py",
        "        request.priority, attempt.deadline_s, attempt.queued_s, request.key",
        "        0, attempt.deadline_s, attempt.queued_s, request.key",
        OVERLOAD,
    ),
    Mutation(
        "requests that would miss their deadline are queued",
        "overload",
        "comfreyusher/owner/_load_shedding.py",
        "    return now + wait_s + min_service_s > due_s",
        "    return False",
        OVERLOAD,
    ),
    Mutation(
        "entries that expire in an outage are removed at once",
        "outage",
        "comfreyusher/feeds/_outage.py",
        "        return due_s if due_s > now else AT_ONCE_S",
        "        return AT_ONCE_S",
        FEEDS,
    ),
    Mutation(
        "a deferred removal is not sent to other nodes",
        "leaving",
        "comfreyusher/feeds/_state.py",
        "(registry, pending_removals=pending_removals), Effect.DEFERRED",
        "(registry, pending_removals=pending_removals), Effect.NONE",
        FEEDS,
    ),
    Mutation(
        "an expired offset is read again after a snapshot",
        "configuration",
        "comfreyusher/feeds/_topic.py",
        "        return self.position.known and not self.offset_expired",
        "        return self.position.known",
        FEEDS,
    ),
    Mutation(
        "a page of a delta is applied before the others arrive",
        "leaving",
        "comfreyusher/feeds/_topic.py",
        "        if len(received.pages) < delta.page_count:",
        "        if False:",
        FEEDS,
    ),
    Mutation(
        "a delta contains an upstream more than once",
        "leaving",
        "comfreyusher/feeds/_state.py",
        "    return tuple({entry.name: entry for entry in entries}.values())",
        "    return tuple(entries)",
        FEEDS,
    ),
    Mutation(
        "a topic stays in backoff while the store responds for another",
        "configuration",
        "comfreyusher/feeds/_task.py",
        "state.next_call_s = min(state.next_call_s, now)\n\n    def _last",
        "pass\n\n    def _last",
        FEEDS,
    ),
    Mutation(
        "newest records are sent as a delta",
        "leaving",
        "comfreyusher/feeds/_task.py",
        "        if not whole and self.is_reader:",
        "        if True:",
        FEEDS,
    ),
    Mutation(
        "a reader that cannot read the store stops other readers",
        "configuration",
        "comfreyusher/feeds/_task.py",
        "if message.read_age_ms / 1000 < self.timings.max_staleness_s(rank):",
        "if True:",
        FEEDS,
    ),
    Mutation(
        "a grant of an upstream that has left is used",
        "leaving",
        "comfreyusher/entry/_grants.py",
        "    if grant.upstream in state.departed:",
        "    if False:",
        ENTRY,
    ),
    Mutation(
        "a refusal without an id is accepted on a reused connection",
        "correct outcome",
        "comfreyusher/http/_client.py",
        "return MatchedRequest.UNKNOWN if state.used else MatchedRequest.CURRENT",
        "return MatchedRequest.CURRENT",
        CLIENT,
    ),
    Mutation(
        "a refused request is sent again on the same connection",
        "correct outcome",
        "comfreyusher/http/_client.py",
        "elif request.response_id and request.response_id in state.failed_ids:",
        "elif False:",
        CLIENT,
    ),
    Mutation(
        "a head without an end is read forever",
        "memory bound",
        "comfreyusher/http/_parse.py",
        '            raise HttpError(502, f"no part of a reply in',
        '            HttpError(502, f"no part of a reply in',
        CLIENT,
    ),
    Mutation(
        "an upstream that is registered again stays leaving",
        "floor",
        "comfreyusher/owner/_state.py",
        "        elif current.unlisted:",
        "        elif False:",
        OWNER,
    ),
    Mutation(
        "an older configuration is applied",
        "configuration",
        "comfreyusher/feeds/_state.py",
        "    if current is not None and newest.version <= current.version:",
        "    if False:",
        FEEDS,
    ),
    Mutation(
        "a silent reader is never replaced",
        "configuration",
        "comfreyusher/feeds/_task.py",
        "if not self.is_reader and stale_s > self.timings.max_staleness_s(self.rank):",
        "if False:",
        FEEDS,
    ),
    Mutation(
        "a publication that lost a conflict is written",
        "configuration",
        "comfreyusher/configuration/_task.py",
        "update_outcome(mark_moved_on(publication), self.declarations)",
        "mark_moved_on(publication)",
        "tests.test_configuration",
    ),
    Mutation(
        "a frozen member never returns",
        "membership",
        "comfreyusher/membership/_records.py",
        "    version = max(own.version, record.version) + 1",
        "    version = own.version",
        "tests.test_membership",
    ),
    Mutation(
        "a paused process declares others dead",
        "membership",
        "comfreyusher/membership/_task.py",
        "        running_s = self.tick_monitor.running_s(tick.now_s)",
        "        running_s = tick.now_s",
        "tests.test_membership",
    ),
    Mutation(
        "a busy owner counts as silent",
        "retries",
        "comfreyusher/entry/_owners.py",
        "    return last_s is not None and state.running_s - last_s < BUSY_OWNER_S",
        "    return False",
        "tests.test_entry",
    ),
    Mutation(
        "a large body that arrived early is kept forever",
        "buffered bodies",
        "comfreyusher/entry/_body.py",
        "    if request.buffered_bytes <= MAX_BUFFERED_BODY_BYTES:",
        "    if True:",
        "tests.test_entry",
    ),
    Mutation(
        "entries of a replication that timed out are never sent again",
        "accounts",
        "comfreyusher/accounts/_ledger.py",
        "    pending = ledger.replicating + ledger.unreplicated",
        "    pending = ledger.unreplicated",
        "tests.test_accounts",
    ),
    Mutation(
        "a batch of accounts replaces another",
        "accounts",
        "comfreyusher/accounts/_ledger.py",
        '    batch = Batch(f"{ledger.origin}/{total}", numbers, text)',
        "    batch = Batch(ledger.origin, numbers, text)",
        "tests.test_accounts",
    ),
    Mutation(
        "a read on a silent connection waits for its timeout",
        "configuration",
        "comfreyusher/platform/_task.py",
        "            self._repeat_reads()",
        "            pass",
        "tests.test_platform",
    ),
    Mutation(
        "a holder counts every crash as the first",
        "poison request",
        "comfreyusher/quarantine/_state.py",
        "    suspect = Suspect(known.notices.set(crash, notice), now)",
        "    suspect = Suspect(immutables.Map({crash: notice}), now)",
        "tests.test_quarantine",
    ),
    Mutation(
        "a new holder is told nothing",
        "poison request",
        "comfreyusher/quarantine/_task.py",
        "            for node in new_holders:",
        "            for node in ():",
        "tests.test_quarantine",
    ),
    Mutation(
        "a limit takes no tokens",
        "limit of an upstream",
        "comfreyusher/owner/_rate_limit.py",
        "    tokens = count_tokens(limit, now) - cost",
        "    tokens = count_tokens(limit, now)",
        "tests.test_rate_limit",
    ),
    Mutation(
        "a new owner need not know the limit",
        "limit of an upstream",
        "comfreyusher/entry/_statements.py",
        "    return bool(statement.limit_per_s) and grant.limit_per_s == UNKNOWN_LIMIT",
        "    return False",
        "tests.test_rate_limit",
    ),
    Mutation(
        "a grant just before the end of a shutdown is used",
        "graceful shutdown",
        "comfreyusher/entry/_grants.py",
        "    if _ends_too_soon(state, grant):",
        "    if False:",
        "tests.test_entry_shutdown",
    ),
    Mutation(
        "a request that waited for its body keeps a removed key",
        "keys of client accounts",
        "comfreyusher/entry/_body.py",
        "RELEASE_PIPE = pipe(identify_client_account, require_token, begin_attempt)",
        "RELEASE_PIPE = pipe(require_token, begin_attempt)",
        ACCOUNTS,
    ),
    Mutation(
        "a caller has the name of its account removed by Connection",
        "keys of client accounts",
        "comfreyusher/platform/_headers.py",
        "        if lower == CONNECTION_NAME:",
        "        if False:",
        ACCOUNTS,
    ),
    Mutation(
        "a key behind a comma reaches the upstream",
        "keys of client accounts",
        "comfreyusher/platform/_headers.py",
        "KEY_SCHEME_PATTERN.search(value)",
        "KEY_PATTERN.fullmatch(value)",
        ACCOUNTS,
    ),
    Mutation(
        "a key that moves to another account is lost",
        "keys of client accounts",
        "comfreyusher/routing/_client_accounts.py",
        "    return (*removed, *added)",
        "    return (*added, *removed)",
        ACCOUNTS,
    ),
    Mutation(
        "a read goes on at a reused offset",
        "restored store",
        "comfreyusher/feeds/_task.py",
        "        if not self._is_current(read.era) or state.call_era != self.era:",
        "        if not self._is_current(read.era):",
        ERA_FEEDS,
    ),
    Mutation(
        "an upstream that was leaving is used again",
        "restored store",
        "comfreyusher/feeds/_state.py",
        "    return registry, replace(entry, leaving=True)",
        "    return registry, entry",
        ERA_FEEDS,
    ),
    Mutation(
        "upstreams that are not registered again yet are removed",
        "restored store",
        "comfreyusher/feeds/_outage.py",
        "        return AT_ONCE_S if due_s <= now else due_s",
        "        return AT_ONCE_S",
        ERA_FEEDS,
    ),
    Mutation(
        "a reader is not told of a newer configuration",
        "restored store",
        "comfreyusher/feeds/_received.py",
        "        elif message.topics and message.configuration_version < own_version:",
        "        elif False:",
        ERA_FEEDS,
    ),
    Mutation(
        "a lower revision replaces a lost one",
        "restored store",
        "comfreyusher/declarations/_fold.py",
        "    if entry.record.revision < held.record.revision:",
        "    if False:",
        ERA,
    ),
    Mutation(
        "a response of an older era is used",
        "restored store",
        "comfreyusher/platform/_task.py",
        "        if is_outdated(request, pending.era, self.store_era.era):",
        "        if False:",
        ERA,
    ),
    Mutation(
        "acknowledged entries are forgotten",
        "restored store",
        "comfreyusher/accounts/_kept.py",
        "    return replace(kept, records=(), lost=lost)",
        "    return replace(kept, records=(), lost=())",
        ERA,
    ),
    Mutation(
        "a response cut during its upload is complete",
        "whole answer",
        "comfreyusher/http/_client.py",
        "        if state.request_ended and not self.unsent_bytes(number):",
        "        if True:",
        CLIENT,
    ),
    Mutation(
        "status 600 is a response",
        "whole answer",
        "comfreyusher/http/_parse.py",
        "FINAL_STATUSES = range(200, 600)",
        "FINAL_STATUSES = range(200, 601)",
        CLIENT,
    ),
    Mutation(
        "circuits loads pkg_resources",
        "start",
        "comfreyusher/flow/_circuits.py",
        "    sys.modules[PACKAGE] = None",
        "    pass",
        "tests.test_startup",
    ),
    Mutation(
        "orders use connections that were idle for long",
        "reuse of connections",
        "comfreyusher/entry/_connections.py",
        "IDEMPOTENT_MAX_IDLE_S if route.idempotent else NON_IDEMPOTENT_MAX_IDLE_S",
        "IDEMPOTENT_MAX_IDLE_S",
        "tests.test_connections",
    ),
    Mutation(
        "a request with effects runs beside others",
        "pipelining",
        "comfreyusher/http/_pipelining.py",
        "        and first.head.method in SAFE_METHODS",
        "        and True",
        PIPELINING,
    ),
    Mutation(
        "requests behind a closing response run on",
        "pipelining",
        "comfreyusher/http/_server.py",
        "        if state.close_after_response and state.waiting:",
        "        if False:",
        PIPELINING,
    ),
    Mutation(
        "one connection takes all slots beside the first requests",
        "pipelining",
        "comfreyusher/http/_pipelining.py",
        "        return own_count < self.count - self.used",
        "        return self.used < self.count",
        PIPELINING,
    ),
)


def run_mutation(mutation):
    """Return a line of text if the mutation was not caught, or else an empty one."""
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, tree / name)
            else:
                shutil.copy(source, tree / name)
        path = tree / mutation.path
        text = path.read_text()
        if text.count(mutation.before) != 1:
            return f"STALE   {mutation.name}: the line must occur exactly once"
        path.write_text(text.replace(mutation.before, mutation.after))
        done = subprocess.run(
            [sys.executable, "-m", "unittest", "-f", mutation.tests],
            cwd=tree,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            capture_output=True,
            text=True,
        )
    if done.returncode == 0:
        return f"MISSED  {mutation.name}"
    print(f"caught  {mutation.guarantee}: {mutation.name}", flush=True)
    return ""


def main():
    """Replay all mutations, and return the exit status."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        faults = [line for line in pool.map(run_mutation, MUTATIONS) if line]
    for line in faults:
        print(line)
    print(f"{len(MUTATIONS) - len(faults)} caught, {len(faults)} not caught")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
