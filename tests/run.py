"""Runs the formatter, the linter, all tests, the demo and scenarios; counts them.

The last line is ``N passed, N failed``. Failures that KNOWN-RED.txt lists are
printed, but not counted as failed and not part of the exit status.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_CONCURRENT_FEATURES = 3
EXCLUSIVE_FEATURES = ("burst.feature",)
HASH_SEED = "0"
MAX_REASON_CHARACTERS = 600
FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): .*?\(([^()\s]+)\)", re.M)
TESTS_RUN = re.compile(r"^Ran (\d+) tests?", re.M)
SKIPPED = re.compile(r"skipped=(\d+)")
# Run apart from all other load, since these tests bound the memory of a process.
HOSTILE_CALLERS = "tests.hostile.callers"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


@dataclasses.dataclass(frozen=True)
class Check:
    """Result of one check or test, with the reason if it failed."""

    name: str
    passed: bool
    reason: str = ""


def run_command(name, *arguments):
    """Run a Python module as one check, named ``name``."""
    print(f"== {name}", flush=True)
    completed = subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print(completed.stdout, flush=True)
    lines = completed.stdout.strip().splitlines()
    return [Check(name, completed.returncode == 0, lines[-1] if lines else "")]


def run_tests(name, *modules):
    """Run modules with nose2, by default all, and return one check for each test."""
    print(f"== {name}", flush=True)
    completed = subprocess.run(
        [sys.executable, "-m", "nose2", "-s", "tests", "-t", ".", "-v", *modules],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": HASH_SEED},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    print(completed.stdout, flush=True)
    failed_tests = set(FAILED_TEST.findall(completed.stdout))
    tests_run = TESTS_RUN.search(completed.stdout)
    count = int(tests_run.group(1)) if tests_run else 0
    skipped = SKIPPED.search(completed.stdout)
    passed = count - len(failed_tests) - (int(skipped.group(1)) if skipped else 0)
    checks = [Check(f"{name} {number}", True) for number in range(passed)]
    if not tests_run or (completed.returncode and not failed_tests):
        checks.append(Check(name, False))
    return checks + [Check(test, False) for test in sorted(failed_tests)]


def run_scenarios():
    """Run the features, and return one check for each scenario.

    Some features run at the same time; those of ``EXCLUSIVE_FEATURES`` run alone
    after them.
    """
    print("== behave", flush=True)
    features = sorted((ROOT / "tests" / "scenarios").glob("*.feature"))
    concurrent_paths = [
        path for path in features if path.name not in EXCLUSIVE_FEATURES
    ]
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FEATURES) as pool:
        checks_by_feature = list(pool.map(run_feature, concurrent_paths))
    checks_by_feature += [
        run_feature(path) for path in features if path.name in EXCLUSIVE_FEATURES
    ]
    return [check for checks in checks_by_feature for check in checks]


def run_feature(path):
    """Run one feature in its own process; return one check for each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        arguments = ["--no-capture", "-f", "json", "-o", str(report)]
        completed = subprocess.run(
            [sys.executable, "-m", "behave", *arguments, str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            features = []
    checks = list(read_report(path, features))
    if not checks or not all(check.passed for check in checks):
        print(completed.stdout + completed.stderr, flush=True)
    return checks or [Check(path.name, False)]


def read_report(path, features):
    """Yield a check for each scenario of a JSON report, and print it."""
    for feature in features:
        for element in feature["elements"]:
            name = f"{path.name}: {element['name']}"
            passed = element.get("status") == "passed"
            print(f"{'ok' if passed else 'FAILED':6} {name}", flush=True)
            reason = "" if passed else find_reason(element)
            if reason:
                print(f"       {reason}", flush=True)
            yield Check(name, passed, reason)


def find_reason(element):
    """Return the steps that did not pass, with their error messages."""
    reasons = [
        f"{step['name']}: {step['result'].get('error_message')}"
        for step in element["steps"]
        if step.get("result", {}).get("status") not in ("passed", None)
    ]
    return "; ".join(reasons)


def read_known_red():
    """Return a dictionary from the names of known failures to their lines."""
    known_red = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line and not line.startswith("#"):
            known_red[line.partition(" | ")[0].strip()] = line
    return known_red


def main():
    """Run all checks, print the result, and return the exit status."""
    checks = [
        *run_command("formatter", "ruff", "format", "--check", "."),
        *run_command("linter", "ruff", "check", "."),
        *run_tests("nose2"),
        *run_command("demo", "extras.demo"),
        *run_scenarios(),
        *run_tests("hostile callers", HOSTILE_CALLERS),
    ]
    known_red = read_known_red()
    failed = [check for check in checks if not check.passed]
    known_failures = [check for check in failed if check.name in known_red]
    new_failures = [check for check in failed if check.name not in known_red]
    for check in known_failures:
        print(f"KNOWN RED: {known_red[check.name]}")
    for check in new_failures:
        print(f"FAILED: {check.name}: {check.reason[:MAX_REASON_CHARACTERS]}")
    passed = len(checks) - len(failed)
    print(f"{passed} passed, {len(new_failures)} failed", flush=True)
    return 1 if new_failures else 0


if __name__ == "__main__":
    sys.exit(main())
