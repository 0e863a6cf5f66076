"""Set-up of scenarios: each scenario gets a fleet of processes of its own."""

from behave.model import Status

from extras.example import SLOTS
from standins.fleet import Fleet


def before_scenario(context, scenario):
    """Give each scenario a fleet without processes, and empty state."""
    context.fleet = Fleet()
    context.responses = []
    context.pending = []
    context.shared = {}
    context.node_overrides = {}
    context.slots = SLOTS
    context.profile = None
    context.routes = None


def after_scenario(context, scenario):
    """End all processes, and print log lines of the nodes.

    All lines of a failed scenario are printed; of others, those with faults and
    tracebacks.
    """
    for request in context.pending:
        request.join(30)
    failed = scenario.status != Status.passed
    context.fleet.stop()
    for name, line in context.fleet.read_logs():
        if failed or "fault=" in line or "Traceback" in line:
            print(f"{name}: {line}")
    context.fleet.clean()
