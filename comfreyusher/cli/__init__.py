"""The command line."""

from comfreyusher.cli._commands import commands

__all__ = ["commands"]
