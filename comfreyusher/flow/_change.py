"""A faster ``dataclasses.replace`` for the states on the path of a request."""

import dataclasses


def change(instance, **fields):
    """Return a copy of a frozen data class with some fields replaced.

    ``dataclasses.replace`` calls the constructor, which sets every field of a
    frozen class by a function call. A class without slots is copied through
    its dictionary instead. Raises ``TypeError`` for an unknown field.
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
