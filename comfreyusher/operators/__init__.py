"""The HTTP API for operators: circuits.web as the server, plain functions behind it."""

from comfreyusher.operators._api import ApiRequest, ApiResponse, handle_request
from comfreyusher.operators._messages import NodeStatus
from comfreyusher.operators._task import OperatorListenerTask, OperatorTask

__all__ = [
    "ApiRequest",
    "ApiResponse",
    "NodeStatus",
    "OperatorListenerTask",
    "OperatorTask",
    "handle_request",
]
