"""Polls of the load reports of the upstreams of the local failure domain."""

import json
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    ProtocolError,
    SassafraskeelError,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import UpstreamSection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.sheets.model import Sheet, Upstream

MAX_REPORT_BYTES = 64 * 1024
FAILED_POLLS_UNTIL_DOWN = 2
# A poll transfers about 250 bytes, and control traffic may use 3 KB/s of a host.
MAX_POLLS_PER_SECOND = 10.0


class Health(Enum):
    """The health of an upstream, as seen by one poll on a new connection.

    REFUSED: the connection could not be opened or broke. SILENT: any other failure.
    """

    ALIVE = "alive"
    REFUSED = "refused"
    SILENT = "silent"


class PollResult(NamedTuple):
    """The result of a poll; `instance` is "" unless the upstream is alive."""

    health: Health
    instance: str = ""


class LeavingSource(Protocol):
    """The upstreams that the platform lists as leaving."""

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is listed as leaving."""


class UpstreamReports:
    """Polls `/load` of each upstream in a separate task; implements LoadReports.

    Reports of upstreams that were removed from the sheet are dropped, so the size of
    the tables is bounded by the sheet.
    """

    def __init__(
        self,
        cfg: UpstreamSection,
        domain: str,
        clock: Clock,
        network: Network,
        log: LogSink,
        sheet: Callable[[], Sheet | None],
        leaving: LeavingSource,
    ):
        self._cfg = cfg
        self._domain = domain
        self._clock = clock
        self._network = network
        self._log = log
        self._sheet = sheet
        self._leaving = leaving
        self._reports: dict[str, LoadReport] = {}
        self._failed_polls: dict[str, int] = {}
        self._polling_tasks: dict[str, curio.Task] = {}
        self._probe_tasks: dict[str, curio.Task] = {}

    def report(self, upstream: str) -> LoadReport | None:
        return self._reports.get(upstream)

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream is leaving by any source.

        The sources are the sheet, the load report and the platform. An upstream whose
        row was removed or has another address counts as leaving.
        """
        sheet = self._sheet()
        entry = sheet.upstreams.get(upstream.name) if sheet else None
        if entry is None or entry.address != upstream.address:
            return True
        if entry.until is not None and self._clock.now() >= entry.until:
            return True
        report = self._reports.get(upstream.name)
        if report is not None and report.leaving:
            return True
        return self._leaving.is_leaving(entry)

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be sent new calls, including retries."""
        if self._failed_polls.get(upstream.name, 0) >= FAILED_POLLS_UNTIL_DOWN:
            return False
        report = self._reports.get(upstream.name)
        if report is not None and not report.ready:
            return False
        return not self.is_leaving(upstream)

    async def run(self) -> None:
        """Keep one polling task for each upstream of the domain; never returns."""
        group = SupervisedTaskGroup(self._log_failure)
        try:
            while True:
                await self._update_polling_tasks(group)
                await self._clock.sleep(self._cfg.report_interval.total_seconds())
        finally:
            await group.close()

    async def probe(self, upstream: Upstream) -> PollResult:
        """Poll an upstream immediately on a new connection.

        Calls that fail at the same time share one poll.
        """
        task = self._probe_tasks.get(upstream.name)
        if task is None:
            task = await curio.spawn(self._poll, upstream, daemon=True)
            self._probe_tasks[upstream.name] = task
        try:
            await task.wait()
            return task.result
        finally:
            if self._probe_tasks.get(upstream.name) is task:
                del self._probe_tasks[upstream.name]

    def _log_failure(self, exc):
        self._log.emit(Event.TASK_FAILED, type=type(exc).__name__, detail=str(exc))

    async def _update_polling_tasks(self, group):
        sheet = self._sheet()
        upstreams = sheet.upstreams.values() if sheet else ()
        polled_names = {up.name for up in upstreams if up.domain == self._domain}
        for name in self._polling_tasks.keys() - polled_names:
            await self._polling_tasks.pop(name).cancel()
            self._reports.pop(name, None)
            self._failed_polls.pop(name, None)
            self._log.emit(Event.UPSTREAM_LEAVING, upstream=name, source="sheet")
        for name in sorted(polled_names - self._polling_tasks.keys()):
            self._polling_tasks[name] = await group.spawn(self._poll_periodically, name)

    async def _poll_periodically(self, name):
        while True:
            upstream = self._sheet().upstreams.get(name)
            if upstream is not None:
                await self._poll(upstream)
            interval = self._cfg.report_interval.total_seconds()
            min_interval = len(self._polling_tasks) / MAX_POLLS_PER_SECOND
            await self._clock.sleep(max(interval, min_interval))

    async def _poll(self, upstream) -> PollResult:
        name = upstream.name
        try:
            report = await self._fetch_report(upstream)
        except SassafraskeelError as exc:
            self._failed_polls[name] = self._failed_polls.get(name, 0) + 1
            if self._failed_polls[name] == FAILED_POLLS_UNTIL_DOWN:
                self._log.emit(Event.UPSTREAM_DOWN, upstream=name, detail=str(exc))
            refused = isinstance(exc, ConnectionLost)
            return PollResult(Health.REFUSED if refused else Health.SILENT)
        previous = self._reports.get(name)
        if (
            previous is None
            or self._failed_polls.get(name, 0) >= FAILED_POLLS_UNTIL_DOWN
        ):
            self._log.emit(Event.UPSTREAM_UP, upstream=name)
        if report.leaving and not (previous and previous.leaving):
            self._log.emit(Event.UPSTREAM_LEAVING, upstream=name, source="report")
        self._failed_polls[name] = 0
        self._reports[name] = report
        return PollResult(Health.ALIVE, report.instance)

    async def _fetch_report(self, upstream) -> LoadReport:
        timeout = self._cfg.connect_timeout.total_seconds()
        async with self._clock.timeout(timeout):
            head, body = await request_once(
                self._network,
                self._clock,
                upstream.address,
                "GET",
                "/load",
                max_bytes=MAX_REPORT_BYTES,
            )
        if head.status != 200:
            raise ProtocolError(f"/load answered with status {head.status}")
        return parse_report(body, upstream.slots, self._clock.monotonic())


def parse_report(body: bytes, slots: int, now: float) -> LoadReport:
    """Return the report in a `/load` answer; raise ProtocolError if malformed.

    `slots` applies if the answer has no number of slots; `now` is monotonic seconds.
    """
    try:
        content = json.loads(body)
        return LoadReport(
            running=int(content["running"]),
            queued=int(content.get("queued", 0)),
            slots=int(content.get("slots", slots)),
            leaving=bool(content.get("leaving", False)),
            heard_at=now,
            ready=bool(content.get("ready", True)),
            model=str(content.get("model", "")),
            instance=str(content.get("instance", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ProtocolError(f"the load report is malformed: {exc}") from exc
