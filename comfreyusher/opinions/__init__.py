"""Second opinions on whether an upstream can be reached."""

from comfreyusher.opinions._task import OpinionTask

__all__ = ["OpinionTask"]
