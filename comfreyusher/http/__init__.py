"""HTTP/1.1 server and client tasks with strict parsing."""

from comfreyusher.http._client import HttpClientTask
from comfreyusher.http._errors import HttpError
from comfreyusher.http._parse import Origin, ReplyParser, RequestParser
from comfreyusher.http._server import (
    HttpLimits,
    HttpServerTask,
    IdleTimeout,
    answer_bytes,
    answer_text,
)
from comfreyusher.http._write import plain_answer

__all__ = [
    "HttpClientTask",
    "HttpError",
    "HttpLimits",
    "HttpServerTask",
    "IdleTimeout",
    "Origin",
    "ReplyParser",
    "RequestParser",
    "answer_bytes",
    "answer_text",
    "plain_answer",
]
