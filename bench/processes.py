"""Starts processes for a measurement and reads their resource use."""

import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from tools.cluster import SETTINGS, accept_sheet_text, free_address, request_json

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
READY_SECONDS = 20.0
SHEET = """kind,name,domain,address,service,type,regions,home,slots
domain,here-a,,,,,here,,
service,chat,,,,model,here,,
workspace,shop,,,,,here,here-a,
upstream,engine-1,here-a,{upstream},chat,,,,256
"""


class Processes:
    """The processes of a measurement; a context manager that ends them."""

    def __init__(self):
        self._processes = []
        self._folder = tempfile.TemporaryDirectory(prefix="sassafraskeel-bench-")
        self._used_addresses: set[str] = set()

    def __enter__(self):
        return self

    def __exit__(self, exc_type, exc, traceback):
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def address(self) -> str:
        """Return a free loopback address that was not returned before."""
        return free_address(self._used_addresses)

    def start(self, *args) -> subprocess.Popen:
        """Start a Python module with arguments as a process."""
        log = (Path(self._folder.name) / "errors.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", *args], stdout=log, stderr=log
        )
        self._processes.append(process)
        return process

    def start_gateway(
        self, upstream: str, sheet: str = SHEET
    ) -> tuple[subprocess.Popen, str]:
        """Start a platform and a gateway host in front of an upstream of a sheet.

        Return the process and the callers' address of the gateway when it is ready.
        """
        platform, callers = self.address(), self.address()
        self.start("sassafraskeel.emulators", "platform", platform)
        settings = Path(self._folder.name) / "gateway.ini"
        text = SETTINGS.format(
            name="bench-1",
            domain="here-a",
            callers=callers,
            gateways=self.address(),
            operators=self.address(),
            seeds="",
            platform=platform,
        )
        settings.write_text(text, encoding="utf-8")
        process = self.start("sassafraskeel", "serve", str(settings))
        wait_until(lambda: request_json("GET", callers, "/health"))
        wait_until(lambda: request_json("GET", platform, "/hosts") is not None)
        accept_sheet_text(platform, sheet.format(upstream=upstream))
        query = "workspace=shop&service=chat"
        wait_until(lambda: request_json("GET", callers, f"/v1/directory?{query}"))
        content = {"messages": [{"role": "user", "content": "ready?"}]}
        path = "/w/shop/chat/v1/chat/completions"
        wait_until(lambda: request_json("POST", callers, path, content))
        return process, callers


def wait_until(condition) -> None:
    """Wait until a condition is true without an OSError; exit after READY_SECONDS."""
    expires = time.monotonic() + READY_SECONDS
    while time.monotonic() < expires:
        try:
            if condition():
                return
        except OSError:
            pass  # The process is not listening yet, or answers with an error.
        time.sleep(0.1)
    sys.exit("a process was not ready in time")


def run_client(*args) -> str:
    """Run a Python module with arguments and return its output."""
    command = [sys.executable, "-m", *args]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def processor_seconds(process: subprocess.Popen) -> float:
    """Return the user and system time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(process: subprocess.Popen) -> int:
    """Return the size of a process's resident memory."""
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE_BYTES


def is_listening(address: str) -> bool:
    """Return True if a request for /load succeeds; raise OSError otherwise."""
    with urllib.request.urlopen(f"http://{address}/load", timeout=5):
        return True
