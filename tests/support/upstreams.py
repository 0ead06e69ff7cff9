"""Fixture of emulated upstreams and the host components that call them."""

import json
from datetime import timedelta

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import UpstreamSection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import Call, CallKind
from sassafraskeel.emulators.engine import EngineEmulator
from sassafraskeel.emulators.service import ServiceEmulator
from sassafraskeel.sheets.parse import parse_sheet
from sassafraskeel.upstreams.client import HttpUpstreamClient
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.reports import UpstreamReports
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork

ANY_PORT = Address("127.0.0.1", 0)
SHEET_HEADER = """kind,name,domain,address,service,type,regions,home,model,until,fencing
domain,a,,,,,north,,,,
service,chat,,,,model,north,,m-1,,
service,desk,,,,plain,north,,,,
workspace,shop,,,,,north,a,,,
"""


class UpstreamFixture:
    """Emulated engines and a plain service `desk`, their load reports and client."""

    def __init__(self, clock, engines=2, report_interval=0.5, **engine_options):
        self.clock = clock
        self.network = MemoryNetwork()
        self.leaving = set()
        self.engines = [
            EngineEmulator(clock, self.network, ANY_PORT, **engine_options)
            for _ in range(engines)
        ]
        self.desk = ServiceEmulator(clock, self.network, ANY_PORT)
        self.sheet = None
        interval = timedelta(seconds=report_interval)
        self.cfg = UpstreamSection(report_interval=interval)
        self.group = SupervisedTaskGroup()
        self.reports = UpstreamReports(
            self.cfg,
            "a",
            clock,
            self.network,
            NullLog(),
            lambda: self.sheet,
            self,
        )
        self.pool = ConnectionPool(self.cfg, clock, self.network)
        self.client = HttpUpstreamClient(
            self.cfg, clock, self.network, self.pool, self.reports
        )

    def is_leaving(self, upstream):
        return upstream.name in self.leaving

    async def start(self):
        for emulator in (*self.engines, self.desk):
            await emulator.start()
        rows = [
            f"upstream,engine-{number},a,{engine.address},chat,,,,,,"
            for number, engine in enumerate(self.engines)
        ]
        rows.append(f"upstream,desk-0,a,{self.desk.address},desk,,,,,,")
        self.sheet = parse_sheet(SHEET_HEADER + "\n".join(rows), "sheet", 1)
        await self.group.spawn(self.reports.run)
        await self.clock.sleep(1)

    async def close(self):
        await self.group.close()
        await self.pool.close()
        for emulator in (*self.engines, self.desk):
            await emulator.close()

    def upstream(self, name):
        return self.sheet.upstreams[name]

    def call(self, kind, seconds=60.0, number=0):
        plain = kind is not CallKind.MODEL
        return Call(
            call_id=f"call-{number}",
            workspace="shop",
            service="desk" if plain else "chat",
            kind=kind,
            method="GET" if kind is CallKind.READ else "POST",
            path="/stock" if plain else "/v1/chat/completions",
            headers=((b"idempotency-key", b"order-1"),),
            expires=self.clock.monotonic() + seconds,
        )


def chat(prompt, tokens=4, stream=True, **fields):
    """Return the body of a model call."""
    message = {"role": "user", "content": prompt}
    content = {"messages": [message], "max_tokens": tokens, "stream": stream}
    return json.dumps({**content, **fields}).encode()


async def answer_or_error(client, upstream, call, body=b""):
    """Return the complete answer body of a call, or the error that ended it."""
    try:
        answer = await client.send(upstream, call, body)
    except SassafraskeelError as exc:
        return exc
    chunks = []
    try:
        while data := await answer.read():
            chunks.append(data)
        return b"".join(chunks)
    except SassafraskeelError as exc:
        return exc
    finally:
        await answer.close()


def with_upstreams(**options):
    """Run an async test method with a started UpstreamFixture in virtual time."""

    def decorate(test):
        def run(self):
            async def main(clock):
                fixture = UpstreamFixture(clock, **options)
                await fixture.start()
                try:
                    await test(self, fixture)
                finally:
                    await fixture.close()

            run_virtual(main)

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate
