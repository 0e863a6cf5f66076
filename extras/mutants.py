"""Replays one-line mutations of decisions, and checks that tests catch them.

Each mutation runs on a copy of the tree. A mutation that no test notices is a
hole in the proofs.
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
COPIED = ("comfreyusher", "standins", "tests", "extras", "pyproject.toml")
WORKERS = 4


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A change of one line, the promise that it breaks and its test module."""

    name: str
    promise: str
    path: str
    before: str
    after: str
    tests: str


OWNER = "tests.test_owner_properties"
MUTATIONS = (
    Mutation(
        "ejection ignores the floor",
        "floor",
        "comfreyusher/health/_floor.py",
        "    return left >= floor",
        "    return left >= 0",
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
        "marked work is repeated after a crash",
        "at most once",
        "comfreyusher/owner/_replies.py",
        "        work.offer.idempotent\n",
        "        True\n",
        OWNER,
    ),
    Mutation(
        "work that may have run is told as not run",
        "not run",
        "comfreyusher/owner/_settle.py",
        "    if work.may_have_run and outcome is Outcome.NOT_RUN:",
        "    if False:",
        OWNER,
    ),
    Mutation(
        "running work that is withdrawn is told as not run",
        "not run",
        "comfreyusher/owner/_offers.py",
        "    step = refuse(group, work, Outcome.UNKNOWN, status, reason)",
        "    step = refuse(group, work, Outcome.NOT_RUN, status, reason)",
        OWNER,
    ),
    Mutation(
        "a late reply answers a later dispatch",
        "own answer",
        "comfreyusher/owner/_replies.py",
        "work.attempts != attempt.number",
        "False",
        OWNER,
    ),
    Mutation(
        "a repeated offer is run again",
        "at most once",
        "comfreyusher/owner/_offers.py",
        "    if arrival.work.offer.key in group.works:",
        "    if False:",
        OWNER,
    ),
    Mutation(
        "leaving upstreams still get work",
        "leaving",
        "comfreyusher/health/_standing.py",
        "    if health.standing in (Standing.EJECTED, Standing.LEAVING):",
        "    if health.standing in (Standing.EJECTED,):",
        OWNER,
    ),
    Mutation(
        "a drain answer is ignored",
        "leaving",
        "comfreyusher/owner/_replies.py",
        "    if refused == DRAINING:",
        "    if False:",
        OWNER,
    ),
    Mutation(
        "the first crash condemns a request",
        "poison",
        "comfreyusher/owner/_poison.py",
        "    if len(crashed) < group.plan.profile.poison_crashes:",
        "    if len(crashed) < 1:",
        OWNER,
    ),
    Mutation(
        "a slow group loses its upstreams",
        "floor",
        "comfreyusher/owner/_watch.py",
        "    return present > 2 and len(accused) > present * COMMON_CAUSE_SHARE",
        "    return False",
        OWNER,
    ),
    Mutation(
        "long work takes every slot",
        "short work",
        "comfreyusher/owner/_choose.py",
        "    return max(1, upstream.slots - math.ceil(reserved))",
        "    return upstream.slots",
        OWNER,
    ),
    Mutation(
        "a one-way cut ejects without a second opinion",
        "floor",
        "comfreyusher/owner/_watch.py",
        "    if upstream.health.unreachable and not upstream.opinion_asked_s:",
        "    if False:",
        OWNER,
    ),
    Mutation(
        "the last record on a base wins",
        "configuration",
        "comfreyusher/declarations/_fold.py",
        "    if record.based_on != revision:",
        "    if record.based_on > revision:",
        "tests.test_declarations",
    ),
    Mutation(
        "an earlier offset is folded again",
        "configuration",
        "comfreyusher/declarations/_fold.py",
        "    if offset <= catalogue.offset:",
        "    if False:",
        "tests.test_declarations",
    ),
    Mutation(
        "restated records never replace",
        "configuration",
        "comfreyusher/declarations/_fold.py",
        "    if entry.record.publish_id != current.record.publish_id:",
        "    if False:",
        "tests.test_declarations",
    ),
    Mutation(
        "a later claim takes the key over",
        "at most once",
        "comfreyusher/claims/_decide.py",
        "        if name not in holdings:",
        "        if True:",
        "tests.test_claims",
    ),
    Mutation(
        "a holder runs a finished key again",
        "at most once",
        "comfreyusher/entry/_arrive.py",
        "    if known is None or known.state is ClaimState.FREE:",
        "    if known is None or known.state is not ClaimState.RUNNING:",
        "tests.test_claims",
    ),
    Mutation(
        "a key of a gone holder is run here",
        "at most once",
        "comfreyusher/entry/_arrive.py",
        "    if holder == state.node:",
        "    if holder == state.node or holder not in state.live:",
        "tests.test_claims",
    ),
    Mutation(
        "an old key is accepted",
        "at most once",
        "comfreyusher/entry/_keys.py",
        "    if made_ms < now_ms - window_ms:",
        "    if False:",
        "tests.test_claims",
    ),
    Mutation(
        "the export shows other customers",
        "account",
        "comfreyusher/accounts/_export.py",
        "        if entry.customer != account.customer:",
        "        if False:",
        "tests.test_accounts",
    ),
    Mutation(
        "answers do not wait for the copy",
        "account",
        "comfreyusher/accounts/_ledger.py",
        "        waiting=ledger.waiting + (begun.exchange,),",
        "        waiting=ledger.waiting,",
        "tests.test_accounts",
    ),
    Mutation(
        "gaps are hidden",
        "account",
        "comfreyusher/accounts/_export.py",
        "            if known.first > expected:",
        "            if False:",
        "tests.test_accounts",
    ),
    Mutation(
        "a suspect is dead at once, and never refutes",
        "membership",
        "comfreyusher/membership/_decide.py",
        "    version = max(own.version, record.version) + 1",
        "    version = own.version",
        "tests.test_membership",
    ),
    Mutation(
        "nobody is asked to ping for another",
        "membership",
        "comfreyusher/membership/_decide.py",
        "    helpers = shuffle(names)[: settings.indirect_probes]",
        "    helpers = ()",
        "tests.test_membership",
    ),
)


def run_mutation(mutation):
    """Return a line of text if the mutation was not caught."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        path = copy / mutation.path
        text = path.read_text()
        if text.count(mutation.before) != 1:
            return f"STALE   {mutation.name}: the line is not there once"
        path.write_text(text.replace(mutation.before, mutation.after))
        done = subprocess.run(
            [sys.executable, "-m", "unittest", "-f", mutation.tests],
            cwd=copy,
            env={**os.environ, "PYTHONHASHSEED": "0"},
            capture_output=True,
            text=True,
        )
    if done.returncode == 0:
        return f"MISSED  {mutation.name}"
    print(f"caught  {mutation.promise}: {mutation.name}", flush=True)
    return ""


def main():
    """Replay all mutations; return the exit status."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        faults = [line for line in pool.map(run_mutation, MUTATIONS) if line]
    for line in faults:
        print(line)
    print(f"{len(MUTATIONS) - len(faults)} caught, {len(faults)} not caught")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
