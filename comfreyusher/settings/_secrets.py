"""Secrets from files or the environment, which can be reread at run time."""

import os

from comfreyusher.errors import ComfreyusherError

MIN_SECRET_CHARACTERS = 16


class SecretError(ComfreyusherError):
    """A secret that is unreadable or too short."""

    hint = "put at least 16 characters into the file or environment variable"


class SecretKeys:
    """The current keys of a list of references.

    A call of an instance returns the keys. ``refresh`` reads them again; if one
    is unusable, it keeps the earlier keys, so that a faulty rotation cannot lock
    out the fleet.
    """

    def __init__(self, refs):
        self.refs = refs
        self.keys = [read_secret(ref) for ref in refs]

    def __call__(self):
        return self.keys

    def refresh(self):
        """Read all secrets again; return the error if the old ones are kept."""
        try:
            self.keys = [read_secret(ref) for ref in self.refs]
        except SecretError as error:
            return error
        return None


def read_secret(ref):
    """Return the bytes of a secret, or raise ``SecretError``."""
    if ref.environment:
        text = os.environ.get(ref.environment, "")
        source = f"environment variable {ref.environment}"
    else:
        text = _read_file(ref.file)
        source = ref.file
    secret = text.strip()
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise SecretError(f"{source} holds no usable secret")
    return secret.encode()


def _read_file(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SecretError(f"{path} cannot be read: {error}") from error
