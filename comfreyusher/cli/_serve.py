"""The command that runs a node."""

import dataclasses
import gc
import json
import sys

import click
from absl import flags, logging

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

    context.document_status = ExitStatus.INVALID_SETTINGS
    settings = load_settings(path)
    start_logging()
    node = assemble(settings)
    ports = {
        field.name: getattr(node, field.name)
        for field in dataclasses.fields(node)
        if field.name != "root"
    }
    click.echo(json.dumps(ports))
    sys.stdout.flush()
    logging.info("node: listening callers=%d", node.callers_port)
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


def start_logging():
    """Send logs to standard error, one line each."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    logging.set_stderrthreshold("info")
