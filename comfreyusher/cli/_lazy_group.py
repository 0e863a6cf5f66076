"""A command group that imports the modules of its commands when they are used."""

import importlib

import click


def build_lazy_group_class(paths):
    """Return the class of a group; ``paths`` maps commands to module and attribute."""

    class LazyGroup(click.Group):
        """A group whose commands are imported when they are looked up."""

        def list_commands(self, context):
            """Return the names of the commands."""
            return sorted(paths)

        def get_command(self, context, name):
            """Return a command, or ``None`` if there is none of that name."""
            if name not in paths:
                return None
            module, attribute = paths[name]
            return getattr(importlib.import_module(module), attribute)

    return LazyGroup
