"""Errors in settings files and declarations."""

from comfreyusher.errors import ComfreyusherError


class FieldFault(ComfreyusherError):
    """A fault in a document: its source, line if known, field path and reason."""

    def __init__(self, source, path, reason, line=0):
        position = f"{source}:{line}" if line else source
        location = f"{position}: {path}" if path else position
        super().__init__(f"{location}: {reason}")
        self.source = source
        self.path = path
        self.reason = reason
        self.line = line


class DocumentError(ExceptionGroup):
    """All faults of one document."""

    def derive(self, exceptions):
        return DocumentError(self.message, exceptions)
