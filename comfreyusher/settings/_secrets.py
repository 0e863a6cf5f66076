"""Secrets from files or the environment, read again while the node runs."""

import os

from comfreyusher.errors import ComfreyusherError

MIN_SECRET_CHARACTERS = 16


class SecretError(ComfreyusherError):
    """A secret that cannot be used."""

    hint = "put at least 16 characters into the file or environment variable"


class SecretKeys:
    """The current keys of a list of references.

    Calling it returns the keys; ``refresh`` reads them again and keeps the
    earlier ones when a file is unreadable, so that a rotation cannot lock the
    fleet out.
    """

    def __init__(self, refs):
        self.refs = refs
        self.keys = [read_secret(ref) for ref in refs]

    def __call__(self):
        return self.keys

    def refresh(self):
        """Read all secrets again; return the error that kept the old ones."""
        try:
            self.keys = [read_secret(ref) for ref in self.refs]
        except SecretError as error:
            return error
        return None


def read_secret(ref):
    """Return the bytes of a secret, or raise ``SecretError``."""
    if ref.environment:
        text = os.environ.get(ref.environment, "")
        place = f"environment variable {ref.environment}"
    else:
        text = _read_file(ref.file)
        place = ref.file
    secret = text.strip()
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise SecretError(f"{place} holds no usable secret")
    return secret.encode()


def _read_file(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SecretError(f"{path} cannot be read: {error}") from error
