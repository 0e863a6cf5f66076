"""Printing of results: JSON for programs, short lines for people."""

import json

import click


def print_result(context, value, format_lines):
    """Print a value as JSON, or as the lines that ``format_lines`` returns for it."""
    if context.as_json:
        click.echo(json.dumps(value))
        return
    for line in format_lines(value):
        click.echo(line)


def print_to_stderr(text):
    """Print progress, a plan or a summary, apart from the result on standard output."""
    click.echo(text, err=True)


def format_in_force(reports):
    """Return a line for each data centre."""
    return [
        f"{report['data_centre']}: in force on {report['confirmed']} of "
        f"{report['nodes']} nodes"
        for report in reports
    ]


def format_status(status):
    """Return the lines of a node's status."""
    lines = [
        f"node {status['node']} in {status['data_centre']} ({status['region']})",
        f"phase {status['phase']}, configuration offset {status['offset']}, "
        f"{status['requests_in_flight']} requests in flight",
        f"{len(status['members'])} nodes in the fleet",
    ]
    for group in status["groups"]:
        lines.append(
            f"group {group['name']}: {group['healthy_slots']} healthy slots, floor "
            f"{group['floor_slots']}, {group['queued']} queued"
        )
        for upstream in group["upstreams"]:
            lines.append(
                f"  {upstream['name']}: {upstream['standing']}, "
                f"{upstream['in_flight']}/{upstream['slots']} busy"
            )
    return lines


def format_declarations(reports):
    """Return a line for each declaration."""
    return [
        f"{report['name']}  revision {report['revision']}  by "
        f"{report['author'] or 'unknown'}"
        for report in reports
    ]


def format_history(items):
    """Return a line for each publication."""
    return [
        f"offset {item['offset']}  revision {item['revision'] or '-'}  "
        f"{item['author'] or 'unknown'}  {item['outcome']}"
        for item in items
    ]
