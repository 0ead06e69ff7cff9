"""Stand-ins for scripts of the second review: store, clients and process control.

Only the standard library is used. Replicas are processes of `replica_2.py`.
"""

import base64
import http.server
import json
import os
import random
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.parse
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST_NAME = "app.example"
# The bounds of the small deployments.
STABLE_SECONDS = 6.0
HEARTBEAT_SECONDS = 1.2
FIELDS = {
    "{{bounds.graceS}}": "8",
    "{{limits.cpuShare}}": "0.537",
    "{{limits.cores}}": "2",
    "{{bounds.retryBudgetRatio}}": "0.2",
    "{{bounds.budgetExtra}}": "52",
    "{{bounds.budgetWindowS}}": "10",
}


def _first_outgoing_port() -> int:
    try:
        path = Path("/proc/sys/net/ipv4/ip_local_port_range")
        return int(path.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError):
        return 32768


FIRST_PORT = 10_000
LAST_PORT = max(_first_outgoing_port(), FIRST_PORT + 1_000)
USED_PORTS: set[int] = set()


def trouble() -> bool:
    """Return whether the disruption of a case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that is free at present.

    It is below the ports that the system gives to outgoing connections, since one of
    those may be taken by a connection before a program listens on it.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class Record:
    """A file of what was sent, answered and run, with the seconds since the start.

    Each line is written at once, so that a script that is ended leaves its lines.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line."""
        seconds = time.monotonic() - self.started_at
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{seconds:8.3f}  {text}\n")

    def close(self) -> None:
        """Close the file; later lines are dropped."""
        with self._lock:
            self._file.close()


class Store:
    """The platform's metadata store: keys, watches, transactions and leases.

    While `silent` is true, no call is answered, nor executed.
    """

    def __init__(self):
        self.silent = False
        self._changed = threading.Condition()
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, list[float]] = {}
        self._revision = 1
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                return

            def _serve(self):
                size = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(size)
                while store.silent:
                    time.sleep(0.05)
                    if is_closed(self.connection):
                        self.close_connection = True
                        return
                status, content = store.handle(self.command, self.path, body)
                data = json.dumps(content).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_PUT = do_DELETE = _serve  # noqa: N815

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                return  # A client has closed its connection.

        self._server = Server((LOOPBACK, 0), Handler)
        self.address = f"{LOOPBACK}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: bytes | None, lease: int = 0) -> None:
        """Write a key, as the operator or a replica; None removes it."""
        with self._changed:
            self._put(key, value, lease)

    def put_json(self, key: str, content) -> None:
        """Write a key with JSON content."""
        self.put(key, json.dumps(content).encode())

    def get(self, key: str) -> dict | None:
        """Return the content of a key, None if it does not exist."""
        with self._changed:
            item = self._items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    def _put(self, key, value, lease=0):
        if value is None and key not in self._items:
            return
        self._revision += 1
        if value is None:
            del self._items[key]
            event = {"key": key, "revision": self._revision, "removed": True}
        else:
            known = self._items.get(key)
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "createdRev": known["createdRev"] if known else self._revision,
                "lease": lease,
            }
            self._items[key] = event
        self._events.append(event)
        self._changed.notify_all()

    def handle(self, method: str, target: str, body: bytes):
        """Return status and content of the answer to a call."""
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        with self._changed:
            self._expire_leases()
            if path == "/standin/key":
                self._put(query["key"], None if method == "DELETE" else body)
                return 200, {"revision": self._revision}
            if path == "/api/kv-key":
                item = self._items.get(query["key"])
                return (200, item | {"asOf": self._revision}) if item else (404, {})
            if path == "/api/kv-range":
                return self._range(query)
            if path == "/api/kv-watch":
                return self._watch(query)
            content = json.loads(body) if body else {}
            if path == "/api/kv-txn":
                return self._transact(content)
            return self._lease(method, path, content)

    def _range(self, query):
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:500]]
        more = len(keys) > len(items)
        return 200, {"items": items, "hasMore": more, "asOf": self._revision}

    def _watch(self, query):
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        expires = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = expires - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self._revision}
            self._changed.wait(min(left, 0.2))
            self._expire_leases()

    def _transact(self, content):
        for row in content.get("expectedRev", ()):
            item = self._items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item] if item else []}
        for put in content.get("puts", ()):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in content.get("puts", ()):
            value = base64.b64decode(put["value"])
            self._put(put["key"], value, put.get("lease", 0))
        for key in content.get("remove", ()):
            self._put(key, None)
        return 200, {"revision": self._revision}

    def _lease(self, method, path, content):
        now = time.monotonic()
        if path == "/api/kv-lease":
            number = 1000 + len(self._leases)
            seconds = content["ttlMs"] / 1000
            self._leases[number] = [now + seconds, seconds]
            return 200, {"lease": number, "ttlMs": content["ttlMs"]}
        number = int(path.rpartition("/")[2])
        lease = self._leases.get(number)
        if lease is None or lease[0] <= now:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            lease[0] = now + lease[1]
        elif method == "DELETE":
            lease[0] = now
            self._expire_leases()
        return 200, {"ttlMs": int(lease[1] * 1000)}

    def _expire_leases(self):
        now = time.monotonic()
        ended = {number for number, lease in self._leases.items() if lease[0] <= now}
        for key, item in list(self._items.items()):
            if item["lease"] in ended:
                self._put(key, None)


def is_closed(sock) -> bool:
    """Return whether the other end of a connection has closed it."""
    try:
        if not select.select([sock], [], [], 0)[0]:
            return False
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


class Deployment:
    """The processes of a small deployment; each zone is a region."""

    def __init__(self, record: Record, zones: tuple[str, ...]):
        self.record = record
        self.zones = zones
        self.store = Store()
        self.runs: list[dict] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.hosts: dict[str, dict[str, str]] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._readers: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._closed = False
        self._born = int(time.time() * 1000)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        with self._lock:
            self._closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for reader in self._readers:
            reader.join(5.0)
        self.store.close()
        self._folder.cleanup()

    def start_host(self, name: str, zone: str) -> None:
        """Start a host with the settings and the command of the deploy files."""
        names = ("front", "directory", "readinessAddress", "gateways", "metrics")
        listen = {item: f"{LOOPBACK}:{free_port()}" for item in names}
        text = (ROOT / "deploy" / "host.ini").read_text(encoding="utf-8")
        fields = FIELDS | {
            "{{nodeName}}": name,
            "{{zone}}": zone,
            "{{listen.front}}": listen["front"],
            "{{listen.directory}}": listen["directory"],
            "{{listen.readinessAddress}}": listen["readinessAddress"],
            "{{ip}}:{{internalPorts.0}}": listen["gateways"],
            "{{ip}}:9464": listen["metrics"],
            "{{platform.address}}": self.store.address,
        }
        for field, value in fields.items():
            text = text.replace(field, value)
        regions = "".join(f"{item} = {item}\n" for item in self.zones)
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}\n?", regions, text, flags=re.S)
        if "{{" in text:
            raise RuntimeError("a field of deploy/host.ini is not filled in")
        path = self.folder / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        keep = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in keep if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "sassafraskeel.platform", str(path)],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.hosts[name] = listen

    def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all hosts are ready."""
        expires = time.monotonic() + seconds
        for name, listen in self.hosts.items():
            url = f"http://{listen['readinessAddress']}/api/ready"
            while not _is_ok(url):
                if self.processes[name].poll() is not None:
                    log = (self.folder / f"{name}.log").read_text(encoding="utf-8")
                    raise RuntimeError(f"{name} has ended: {log.strip()[-300:]}")
                if time.monotonic() > expires:
                    raise TimeoutError(f"{name} is not ready")
                time.sleep(0.1)

    def start_replica(self, name: str, **options) -> int:
        """Start a replica, or start it again at its address; return its start.

        `options` are those of replica_2.py.
        """
        with self._lock:
            if self._closed:
                raise RuntimeError("the deployment has ended")
            born = self._born = max(self._born + 1, int(time.time() * 1000))
            arguments = {"name": name, "store": self.store.address, "born": born}
            command = [sys.executable, str(ROOT / "review" / "replica_2.py")]
            for key, value in (arguments | options).items():
                command.append(f"--{key.replace('_', '-')}={value}")
            process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            self.processes[name] = process
        reader = threading.Thread(target=self._read, args=(process,), daemon=True)
        reader.start()
        self._readers.append(reader)
        return born

    def _read(self, process) -> None:
        for line in process.stdout:
            try:
                entry = json.loads(line)
            except ValueError:
                continue  # The replica was killed while it wrote the line.
            entry["seen_at"] = time.monotonic() - self.record.started_at
            with self._lock:
                self.runs.append(entry)
            if entry["event"] != "piece":
                self.record.add("replica " + line.strip())

    def seen(self, **fields) -> list[dict]:
        """Return what replicas reported with some values."""
        with self._lock:
            return [e for e in self.runs if fields.items() <= e.items()]

    def wait_for(self, text: str, condition, seconds: float = 10.0) -> None:
        """Wait until a condition holds."""
        expires = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > expires:
                raise TimeoutError(text)
            time.sleep(0.01)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.record.add(f"SIGKILL {name}")
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()


def _is_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1.0) as answer:
            return answer.status == 200
    except (OSError, urllib.error.URLError):
        return False


class Answer:
    """An answer as a client sees it.

    `complete` says whether it ended as complete; `status` is 0 without a head.
    """

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.sent_at = self.ended_at = time.monotonic()
        self.error = ""

    def events(self) -> list[tuple[int, str]]:
        """Return the ids and the data of the whole events."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            match = re.search(rb"id: (\d+)\ndata: (.*)", event)
            if match:
                found.append((int(match[1]), match[2].decode()))
        return found


class Caller:
    """Sends requests, each on a new connection, and records the answers."""

    def __init__(self, record: Record):
        self._record = record

    def send(
        self, address, method, path, request_id, deadline=8.0, headers=None, body=b""
    ) -> Answer:
        """Send one request and return its answer."""
        answer = Answer(request_id)
        fields = {
            "Host": HOST_NAME,
            "X-Sassafraskeel-Request-Id": request_id,
            "X-Sassafraskeel-Deadline-Ms": str(int(deadline * 1000)),
            "Content-Length": str(len(body)),
        } | (headers or {})
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._record.add(f"client sends {request_id} {method} {path} {headers or ''}")
        try:
            ip, _, port = address.rpartition(":")
            with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
                sock.settimeout(deadline + 1.0)
                sock.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
                self._receive(sock, answer)
        except (OSError, ValueError) as exc:
            answer.error = f"{type(exc).__name__}: {exc}"
        answer.ended_at = time.monotonic()
        ids = [number for number, _ in answer.events()]
        shown = f"events {ids[0]} to {ids[-1]}" if ids else f"{len(answer.body)} bytes"
        self._record.add(
            f"client has {request_id}: status {answer.status}, {shown}, "
            f"{'complete' if answer.complete else 'not complete'} {answer.error}"
        )
        return answer

    def _receive(self, sock, answer: Answer) -> None:
        stream = sock.makefile("rb")
        line = stream.readline()
        if not line:
            answer.error = "closed without an answer"
            return
        answer.status = int(line.split()[1])
        while (line := stream.readline().strip()) != b"":
            name, _, value = line.decode("latin-1").partition(":")
            answer.headers[name.lower()] = value.strip()
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            while len(answer.body) < size:
                data = stream.read1(size - len(answer.body))
                if not data:
                    return
                answer.body += data
            answer.complete = True
        elif answer.headers.get("transfer-encoding") == "chunked":
            while line := stream.readline():
                size = int(line, 16)
                if not size:
                    stream.readline()
                    answer.complete = True
                    return
                data = stream.read(size + 2)
                if len(data) < size + 2:
                    return
                answer.body += data[:size]
        else:
            while data := stream.read1(65536):
                answer.body += data
            answer.complete = True  # The end of the connection ends the answer.


def run_all(functions) -> None:
    """Run functions in one thread each and wait for them."""
    threads = [threading.Thread(target=function, daemon=True) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest; fields of routes that are left out have usual values."""
    route_defaults = {
        "host": HOST_NAME,
        "timeoutMs": 15000,
        "targetLatencyMs": 800,
        "priority": 1,
        "attempts": 2,
        "sticky": False,
        "canResume": False,
        "gapAimMs": 400,
        "homeRegions": [],
    }
    service_defaults = {
        "healthPath": "/healthz",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }
    return {
        "version": version,
        "routes": [route_defaults | route for route in routes],
        "services": [service_defaults | service for service in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def main(play, path: Path) -> None:
    """Play a case and write its record to a file.

    Exit with 1 if the rule was broken, 0 if it held, 2 on an error.
    """
    # A script that is stopped ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(2))
    record = Record(path)
    status = 2
    try:
        problems = play(record)
        for problem in problems:
            record.add(f"BROKEN {problem}")
            print(f"BROKEN {problem}")
        status = 1 if problems else 0
        record.add("the rule was broken" if problems else "the rule held")
        print("the rule was broken" if problems else "the rule held")
    except Exception as exc:
        record.add(f"the case could not run: {type(exc).__name__}: {exc}")
        print(f"the case could not run: {type(exc).__name__}: {exc}")
    finally:
        record.close()
    sys.exit(status)
