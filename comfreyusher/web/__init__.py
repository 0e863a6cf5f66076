"""Pages of a node for the platform: readiness and metrics."""

from comfreyusher.web._task import PageTask, build_metrics_page, build_readiness_page

__all__ = ["PageTask", "build_metrics_page", "build_readiness_page"]
