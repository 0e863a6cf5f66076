"""Applying a directory of declarations to the fleet."""

import dataclasses
import json
import pathlib

from comfreyusher.cli._errors import CliError

REVISIONS_FILE = ".comfreyusher.json"
FILE_PATTERNS = ("*.json", "*.jsonc")


@dataclasses.dataclass(frozen=True)
class PlanStep:
    """What ``apply`` does with one file."""

    name: str
    action: str
    body: dict
    based_on: int


def apply_directory(directory, in_force, read, publish, print_line):
    """Plan the changes of a directory, and publish them unless ``publish`` is ``None``.

    ``in_force`` maps names to reports, ``read`` returns the checked body of a
    file, and ``print_line`` prints a line. Returns the steps of the plan.
    Raises ``CliError`` if the directory or its revisions file is unusable.
    """
    folder = pathlib.Path(directory)
    if not folder.is_dir():
        raise CliError(f"{directory} is not a directory")
    bodies = [read(str(path)) for path in _list_files(folder)]
    revisions = _read_revisions(folder)
    plan = [_plan_step(body, in_force, revisions) for body in bodies]
    for step in plan:
        print_line(f"{step.action:9} {step.name}")
    if publish is not None:
        for step in plan:
            _apply_step(step, in_force, revisions, publish)
        _write_revisions(folder, revisions)
    return plan


def _list_files(folder):
    paths = [path for pattern in FILE_PATTERNS for path in folder.glob(pattern)]
    return sorted(path for path in paths if path.name != REVISIONS_FILE)


def _plan_step(body, in_force, revisions):
    name = body["name"]
    current = in_force.get(name)
    if current is None:
        return PlanStep(name, "create", body, 0)
    if current["body"] == body:
        return PlanStep(name, "unchanged", body, current["revision"])
    if revisions.get(name) != current["revision"]:
        return PlanStep(name, "conflict", body, current["revision"])
    return PlanStep(name, "revise", body, current["revision"])


def _apply_step(step, in_force, revisions, publish):
    if step.action in ("create", "revise"):
        revisions[step.name] = publish(step.body, step.based_on)["revision"]
    elif step.action == "unchanged":
        revisions[step.name] = in_force[step.name]["revision"]


def _read_revisions(folder):
    path = folder / REVISIONS_FILE
    try:
        revisions = json.loads(path.read_text())
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise CliError(f"{path} cannot be read: {error}") from error
    if not isinstance(revisions, dict):
        raise CliError(f"{path} does not contain a JSON object of revisions")
    return revisions


def _write_revisions(folder, revisions):
    path = folder / REVISIONS_FILE
    text = json.dumps(revisions, indent=2, sort_keys=True) + "\n"
    try:
        path.write_text(text)
    except OSError as error:
        raise CliError(f"{path} cannot be written: {error}") from error
