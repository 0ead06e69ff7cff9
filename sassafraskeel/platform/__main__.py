"""Runs a host on the platform: python -m sassafraskeel.platform SETTINGS."""

import sys
from pathlib import Path

from sassafraskeel.platform.daemon import main

if __name__ == "__main__":
    main(Path(sys.argv[1]))
