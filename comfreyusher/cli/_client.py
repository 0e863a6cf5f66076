"""Requests to the operators' address."""

import os
import time

import msgspec

from comfreyusher.cli._errors import CliError, RequestRefusedError, UnreachableError

KEY_VARIABLE = "COMFREYUSHER_OPERATOR_KEY"
REQUEST_TIMEOUT_S = 10.0
POLL_PERIOD_S = 0.1


def read_operator_key(context):
    """Return the operator key from a file or the environment."""
    if context.key_file:
        try:
            with open(context.key_file, encoding="utf-8") as file:
                return file.read().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise CliError(f"{context.key_file} cannot be read: {error}") from error
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        hint = f"set {KEY_VARIABLE}, or name a file with --key-file"
        raise CliError("no operator key is given", hint)
    return key


def send_request(context, path, body=None, missing_ok=False):
    """Send a GET, or a POST if there is a body, and return the decoded response.

    Returns ``None`` for status 404 if ``missing_ok`` is true. Raises
    ``UnreachableError`` without a usable response, and ``RequestRefusedError``
    for any other error status.
    """
    # Imported here, since it takes 14 MB of memory and a node never uses it.
    import requests

    headers = {"Authorization": f"Bearer {read_operator_key(context)}"}
    method = "GET" if body is None else "POST"
    data = None if body is None else msgspec.json.encode(body)
    url = context.operators.rstrip("/") + path
    try:
        response = requests.request(
            method, url, headers=headers, data=data, timeout=REQUEST_TIMEOUT_S
        )
        value = response.json()
    except (requests.RequestException, ValueError) as error:
        message = f"{context.operators} does not respond: {type(error).__name__}"
        raise UnreachableError(message) from error
    if missing_ok and response.status_code == 404:
        return None
    if response.status_code >= 400:
        raise RequestRefusedError("; ".join(value.get("faults", ["refused"])))
    return value


def poll(fetch, is_done, timeout_s, show_progress=None):
    """Return the first value for which ``is_done`` is true, or the last one in time.

    Calls ``fetch`` every ``POLL_PERIOD_S`` seconds until ``timeout_s`` seconds have
    passed, and ``show_progress`` with each value that is not done yet.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = fetch()
        if is_done(value) or time.monotonic() > deadline_s:
            return value
        if show_progress is not None:
            show_progress(value)
        time.sleep(POLL_PERIOD_S)
