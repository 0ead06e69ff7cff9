"""Starts the program of a route host as a process, with code that runs in it."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tools.cluster import SETTINGS as SHEET_SETTINGS, free_address
from tools.route_cluster import LISTENERS, SETTINGS

WAIT_SECONDS = 30.0
# Runs before the program. `before(module)` registers a function that is called before a
# module is imported, `after(module)` one that is called with it right after that.
HOOKS = """
import importlib.abc, importlib.machinery, pathlib, sys, time

BEFORE, AFTER, ACTIVE = {{}}, {{}}, set()

def before(module):
    return lambda function: BEFORE.setdefault(module, function)

def after(module):
    return lambda function: AFTER.setdefault(module, function)

def pause(name):
    '''Tell the test that a point is reached, and wait for it.'''
    folder = pathlib.Path({folder!r})
    (folder / f"{{name}}.reached").touch()
    while not (folder / f"{{name}}.passed").exists():
        time.sleep(0.005)

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name in ACTIVE or name not in BEFORE | AFTER:
            return None
        ACTIVE.add(name)
        if name in BEFORE:
            BEFORE[name]()
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        if name in AFTER:
            run = spec.loader.exec_module
            def exec_module(module):
                run(module)
                AFTER[name](module)
            spec.loader.exec_module = exec_module
        return spec

sys.meta_path.insert(0, Finder())
"""


class Program:
    """A process of the product; a context manager that ends it."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="sassafraskeel-")
        self.folder = Path(self._folder.name)
        self.settings = self.folder / "host.ini"
        self.process: subprocess.Popen | None = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self._folder.cleanup()

    def run(self, *arguments: str, redirections: str = "", stderr=None) -> None:
        """Start a module with its arguments; `redirections` are those of a shell."""
        root = str(Path(__file__).resolve().parents[2])
        env = os.environ | {"PYTHONPATH": f"{self.folder}{os.pathsep}{root}"}
        command = [sys.executable, "-m", *arguments, str(self.settings)]
        if redirections:
            command = ["sh", "-c", f'exec "$@" {redirections}', "sh", *command]
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=stderr or log, env=env, cwd=root
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> int:
        """Send SIGTERM, and return the exit status."""
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Return the exit status; raise TimeoutExpired if the process goes on."""
        return self.process.wait(WAIT_SECONDS)

    def wait_for(self, condition) -> None:
        """Wait until a condition holds; raise AssertionError once the process ends."""
        expires = time.monotonic() + WAIT_SECONDS
        while not condition():
            status = self.process.poll()
            if status is not None or time.monotonic() > expires:
                raise AssertionError(f"status {status}: {self.output()}")
            time.sleep(0.01)

    def wait_event(self, number: int) -> dict:
        """Wait for a log event, and return its line."""
        self.wait_for(lambda: self.events(number))
        return self.events(number)[0]

    def output(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log").read_text(encoding="utf-8")

    def events(self, number: int) -> list[dict]:
        """Return the lines of a log event."""
        lines = [line for line in self.output().splitlines() if line.startswith("{")]
        found = [json.loads(line) for line in lines if line.endswith("}")]
        return [line for line in found if line["number"] == number]


class HostProgram(Program):
    """The process of a host of routes without a store.

    `code` is Python code that runs in the process before the program; it may use the
    functions of HOOKS.
    """

    def __init__(self, code: str = ""):
        super().__init__()
        used: set[str] = set()
        self.listen = {name: free_address(used) for name in LISTENERS}
        text = SETTINGS.format(
            name="host-1", zone="north-a", store=free_address(used), **self.listen
        )
        self.settings.write_text(text + "north-a = north\n", encoding="utf-8")
        site = HOOKS.format(folder=str(self.folder)) + code
        (self.folder / "sitecustomize.py").write_text(site, encoding="utf-8")

    def start(self, redirections: str = "") -> None:
        """Start the process; `redirections` are those of a shell."""
        self.run("sassafraskeel.platform", redirections=redirections)

    def wait_reached(self, name: str) -> None:
        """Wait until the process has reached a point of its code."""
        self.wait_for(lambda: (self.folder / f"{name}.reached").exists())

    def let_pass(self, name: str) -> None:
        """Let the process go on at a point of its code."""
        (self.folder / f"{name}.passed").touch()


class SheetProgram(Program):
    """The process of a host of a sheet without a platform."""

    def __init__(self):
        super().__init__()
        used: set[str] = set()
        listen = {
            name: free_address(used) for name in ("callers", "gateways", "operators")
        }
        self.callers = listen["callers"]
        text = SHEET_SETTINGS.format(
            name="host-1",
            domain="north-a",
            seeds=listen["gateways"],
            platform=free_address(used),
            **listen,
        )
        self.settings.write_text(text, encoding="utf-8")

    def start(self, stderr=None) -> None:
        """Start the process; `stderr` is a descriptor for its log."""
        self.run("sassafraskeel", "serve", stderr=stderr)
