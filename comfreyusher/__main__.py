"""Entry point of ``python -m comfreyusher``."""

import sys

from comfreyusher.core import main

if __name__ == "__main__":
    sys.exit(main())
