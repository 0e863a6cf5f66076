"""HTTP/1.1 server and client tasks with strict parsing."""

from comfreyusher.http._client import HttpClientTask
from comfreyusher.http._encode import (
    build_text_response,
    respond_with_bytes,
    respond_with_text,
)
from comfreyusher.http._errors import HttpError
from comfreyusher.http._memory_budget import CONNECTION_BYTES
from comfreyusher.http._parse import MatchedRequest, RequestParser, ResponseParser
from comfreyusher.http._server import (
    HttpLimits,
    HttpServerTask,
    IdleTimeout,
)

__all__ = [
    "CONNECTION_BYTES",
    "HttpClientTask",
    "HttpError",
    "HttpLimits",
    "HttpServerTask",
    "IdleTimeout",
    "MatchedRequest",
    "RequestParser",
    "ResponseParser",
    "build_text_response",
    "respond_with_bytes",
    "respond_with_text",
]
