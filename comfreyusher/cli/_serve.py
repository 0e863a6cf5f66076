"""The command that runs a node."""

import dataclasses
import gc
import json
import os
import signal
import sys

import click

from comfreyusher.listener import open_listener
from comfreyusher.settings import load_settings
from comfreyusher.status import ExitStatus

GC_YOUNG_OBJECTS = 3000
GC_YOUNG_ROUNDS_PER_MIDDLE = 50
GC_MIDDLE_ROUNDS_PER_OLD = 1000


@click.command(
    epilog="\b\nExample:\n  comfreyusher serve --settings node.json",
)
@click.option("--settings", "path", required=True, help="Settings file.")
@click.pass_obj
def serve(context, path):
    """Run a node until a signal ends it gracefully.

    The first line of the output is a JSON object with the node's ports. Callers that
    connect while the rest of the program is loaded wait; they are not refused.
    """
    context.document_error_status = ExitStatus.INVALID_SETTINGS
    settings = load_settings(path)
    callers_listener = open_listener(settings.callers)
    from comfreyusher.events import log_info, start_logging
    from comfreyusher.node import assemble

    node = assemble(settings, build_settings_reader(path), callers_listener)
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
    """Exclude the loaded modules from garbage collection, and collect less often.

    Messages are freed by reference counting; collections only search for
    reference cycles, and each one delays the requests in flight.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GC_YOUNG_OBJECTS, GC_YOUNG_ROUNDS_PER_MIDDLE, GC_MIDDLE_ROUNDS_PER_OLD
    )


def build_settings_reader(path):
    """Return a function that reads the settings again after the file has changed.

    The function returns ``None`` while the file is unchanged.
    """
    last_version = _read_file_version(path)

    def read_if_changed():
        nonlocal last_version
        version = _read_file_version(path)
        if version == last_version:
            return None
        last_version = version
        return load_settings(path)

    return read_if_changed


def _read_file_version(path):
    """Return values that change with a file's content, or ``None`` if it is absent."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
