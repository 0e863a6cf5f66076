"""Structured, rate-limited log lines on standard output."""

from comfreyusher.events._lines import log_info, log_warning, start_logging

__all__ = ["log_info", "log_warning", "start_logging"]
