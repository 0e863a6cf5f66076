"""A faster ``dataclasses.replace`` for state that every request changes."""

import dataclasses


def replace(instance, **fields):
    """Return a copy of a frozen data class with some fields replaced.

    ``dataclasses.replace`` calls the constructor, which sets each field of a
    frozen class with a function call. This function copies the ``__dict__`` of
    an instance without slots instead. Raises ``TypeError`` for an unknown field.
    """
    cls = type(instance)
    if not hasattr(instance, "__dict__"):
        return dataclasses.replace(instance, **fields)
    for name in fields:
        if name not in cls.__dataclass_fields__:
            raise TypeError(f"{cls.__name__} has no field {name!r}")
    copy = object.__new__(cls)
    values = copy.__dict__
    values.update(instance.__dict__)
    values.update(fields)
    return copy
