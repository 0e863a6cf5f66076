"""Writes docs/SETTINGS.md from the data classes; ``--check`` only compares it."""

import pathlib
import sys

from comfreyusher.declarations import KINDS
from comfreyusher.documents import describe_fields
from comfreyusher.settings import EXAMPLE, Settings

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "SETTINGS.md"
INTRODUCTION = """# Settings and declarations

This page is generated from the code by `python -m extras.document_settings`.
All files are JSON with comments. Field names carry their units. Unknown fields
are faults; all faults of a file are reported at once. Check a file with
`comfreyusher settings check FILE` or `comfreyusher profile check FILE`.
"""


def render():
    """Return the text of the page."""
    parts = [INTRODUCTION, "## Settings of a node\n"]
    parts.append(render_table(Settings))
    for kind, cls in KINDS.items():
        parts.append(f"## Declaration of a {kind}\n")
        parts.append(render_table(cls))
    parts.append("## Example of a settings file\n")
    parts.append(f"```jsonc\n{EXAMPLE}```\n")
    return "\n".join(parts)


def render_table(cls):
    """Return the table of the fields of a data class."""
    lines = ["| field | type | default | meaning |", "| --- | --- | --- | --- |"]
    for field in describe_fields(cls):
        lines.append(
            f"| `{field.path}` | {field.type_name} | {field.default} | {field.text} |"
        )
    return "\n".join(lines) + "\n"


def main(arguments):
    """Write or check the page, and return the exit status."""
    text = render()
    if "--check" in arguments:
        return 0 if PAGE.read_text() == text else 1
    PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
