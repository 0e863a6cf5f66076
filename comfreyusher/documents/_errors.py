"""Errors of documents that people write."""

from comfreyusher.errors import ComfreyusherError


class FieldFault(ComfreyusherError):
    """One fault in a document: file, line if known, field path and reason."""

    def __init__(self, source, path, reason, line=0):
        place = f"{source}:{line}" if line else source
        where = f"{place}: {path}" if path else place
        super().__init__(f"{where}: {reason}")
        self.source = source
        self.path = path
        self.reason = reason
        self.line = line


class DocumentError(ExceptionGroup):
    """All faults of one document."""

    def derive(self, exceptions):
        return DocumentError(self.message, exceptions)
