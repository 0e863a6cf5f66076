"""The command that runs a node."""

import dataclasses
import gc
import json
import os
import signal
import sys

import click

from comfreyusher.events import log_info, start_logging
from comfreyusher.settings import load_settings
from comfreyusher.status import ExitStatus

GC_YOUNG_OBJECTS = 3000
GC_MIDDLE_ROUNDS = 50
GC_OLD_ROUNDS = 1000


@click.command(
    epilog="\b\nExample:\n  comfreyusher serve --settings node.json",
)
@click.option("--settings", "path", required=True, help="Settings file.")
@click.pass_obj
def serve(context, path):
    """Run a node until a signal ends it gracefully.

    The first line of the output is a JSON object with the node's ports.
    """
    from comfreyusher.node import assemble

    context.document_error_status = ExitStatus.INVALID_SETTINGS
    settings = load_settings(path)
    node = assemble(settings, watch_file(path))
    ports = {
        field.name: getattr(node, field.name)
        for field in dataclasses.fields(node)
        if field.name != "root"
    }
    click.echo(json.dumps(ports))
    sys.stdout.flush()
    start_logging()
    log_info("node", "started", node=settings.node.name, callers=node.callers_port)
    signal.signal(signal.SIGHUP, node.root._signal_handler)
    tune_garbage_collector()
    node.root.run()
    return ExitStatus.SUCCESS


def tune_garbage_collector():
    """Keep the loaded modules out of collections, and collect less often.

    Messages are freed by their reference counts; collections only look for
    cycles, and each one delays the requests that wait.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_OBJECTS, GC_MIDDLE_ROUNDS, GC_OLD_ROUNDS)


def watch_file(path):
    """Return a function that reads the settings again once the file changed.

    It returns ``None`` as long as the file is the same.
    """
    seen = _version_of(path)

    def read():
        nonlocal seen
        found = _version_of(path)
        if found == seen:
            return None
        seen = found
        return load_settings(path)

    return read


def _version_of(path):
    """Return what changes with a file's content, ``None`` while it is absent."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
