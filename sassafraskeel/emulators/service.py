"""Emulated plain service with a ledger of the writes it executed."""

from collections import Counter

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.faults import Faults
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply


class ServiceEmulator:
    """Counts the executions of each write by order id; reads are idempotent.

    `delay` is the duration of each call in seconds. `lose_answers` counts the next
    writes that are executed but not answered, and `refuse` the next calls that are
    refused unexecuted.
    """

    def __init__(
        self, clock: Clock, network: Network, address: Address, delay: float = 0.005
    ):
        self._clock = clock
        self.faults = Faults()
        self._server = HttpServer(clock, network, address, self.handle, self.faults)
        self.delay = delay
        self.lose_answers = 0
        self.refuse = 0
        self.leaving = False
        self.running = 0
        self.reads = 0
        self.ledger = Counter()

    @property
    def address(self) -> Address:
        """Return the address of the service."""
        return self._server.address

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/load":
            return json_reply({"running": self.running, "leaving": self.leaving})
        if request.path == "/ledger":
            return json_reply({"writes": self.ledger, "reads": self.reads})
        if request.path == "/faults":
            return self._set_faults(request)
        self.running += 1
        try:
            return await self._execute(request)
        finally:
            self.running -= 1

    async def _execute(self, request: Request) -> Reply:
        if self.refuse > 0:
            self.refuse -= 1
            return json_reply({"error": "busy"}, 503, ((b"x-not-run", b"1"),))
        if request.method in ("GET", "HEAD"):
            self.reads += 1
            await self._clock.sleep(self.delay)
            return json_reply({"path": request.path, "stock": len(request.path)})
        order_id = request.header(b"idempotency-key")
        self.ledger[order_id] += 1
        await self._clock.sleep(self.delay)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Reply(close_unanswered=True)
        return json_reply({"order": order_id, "accepted": True}, 201)

    def _set_faults(self, request) -> Reply:
        settings = request.json()
        self.delay = settings.get("delay", self.delay)
        self.lose_answers = settings.get("lose_answers", self.lose_answers)
        self.refuse = settings.get("refuse", self.refuse)
        self.leaving = settings.get("leaving", self.leaving)
        self.faults.update({"answers": settings.get("answers", ())})
        return json_reply({})
