"""The operators' address: HTTP by circuits.web, answers by plain functions."""

from comfreyusher.operators._api import ApiAnswer, ApiRequest, answer_request
from comfreyusher.operators._messages import NodeStatus
from comfreyusher.operators._task import OperatorServer, OperatorTask

__all__ = [
    "ApiAnswer",
    "ApiRequest",
    "NodeStatus",
    "OperatorServer",
    "OperatorTask",
    "answer_request",
]
