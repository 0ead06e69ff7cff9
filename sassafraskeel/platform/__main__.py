"""Runs a host on the platform: python -m sassafraskeel.platform SETTINGS."""

import gc
import signal
import sys
from pathlib import Path

from sassafraskeel.core.descriptors import open_standard_streams
from sassafraskeel.core.signals import SignalWaiter


def run(path: Path) -> None:
    """Import the daemon without garbage collection, then run it.

    What the imports create lasts as long as the process. Collections during the imports
    take a quarter of their time, and later ones need not look at it again.
    """
    open_standard_streams()
    signals = SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    gc.disable()
    from sassafraskeel.platform.daemon import main

    gc.freeze()
    gc.enable()
    main(path, signals)


if __name__ == "__main__":
    run(Path(sys.argv[1]))
