"""Loading of a settings file."""

from comfreyusher.documents import build_from_text, read_document
from comfreyusher.settings._model import Settings


def load_settings(path):
    """Return the settings in a file, or raise ``DocumentError``."""
    text = read_document(path)
    return build_from_text(Settings, text, str(path))
