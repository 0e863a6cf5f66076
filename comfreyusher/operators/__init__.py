"""The HTTP API for operators: circuits.web as the server, plain functions behind it."""

from comfreyusher.operators._api import ApiRequest, ApiResponse, handle_request
from comfreyusher.operators._messages import NodeStatus
from comfreyusher.operators._task import OperatorServer, OperatorTask

__all__ = [
    "ApiRequest",
    "ApiResponse",
    "NodeStatus",
    "OperatorServer",
    "OperatorTask",
    "handle_request",
]
