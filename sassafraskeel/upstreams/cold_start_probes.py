"""Health probes of replicas that may have restarted and be cold."""

from collections.abc import Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.events import Event
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.upstreams.replicas import ReplicaHealth, ReplicaInterface

# The replica queues a probe for a slot like any other request.
PROBE_TIMEOUT_SECONDS = 1.0
SCAN_SECONDS = 0.1
IDLE_SECONDS = 1.0
MAX_ANSWER_BYTES = 64 * 1024


class ProbeObserver(Protocol):
    """Counts probes, which replicas take like other requests, and reads the answers."""

    def may_probe(self, replica: Replica) -> bool:
        """Return whether a replica takes requests of the local host at present."""

    def on_probe_sent(self, replica: Replica, sent_at: float) -> None:
        """Count a probe."""

    def on_probe_answered(
        self, replica: Replica, health: ReplicaHealth, sent_at: float
    ) -> None:
        """Record the state in an answer to a probe that was sent at `sent_at`."""

    def on_probe_rejected(self, replica: Replica, sent_at: float) -> None:
        """Record that a replica had no room for a probe."""


class ColdStartProber:
    """Probes each replica of the local region that is only suspected of being cold.

    Until a probe shows that the replica is warm, it is sent calls at its cold rate.
    `places_calls` returns whether the local host places calls at the replicas; another
    host has no use for a probe. `observer` counts probes and learns of limits.
    """

    def __init__(
        self,
        region: str,
        places_calls: Callable[[], bool],
        fleet: Fleet,
        observer: ProbeObserver,
        interface: ReplicaInterface,
        clock: Clock,
        network: Network,
        log: LogSink,
    ):
        self._region = region
        self._places_calls = places_calls
        self._fleet = fleet
        self._observer = observer
        self._interface = interface
        self._clock = clock
        self._network = network
        self._log = log
        self._probed: set[str] = set()

    async def run(self, group: SupervisedTaskGroup) -> None:
        """Probe newly suspected replicas periodically; never returns."""
        while True:
            if not self._places_calls():
                await self._clock.sleep(IDLE_SECONDS)
                continue
            now = self._clock.monotonic()
            suspected = {
                replica.name: replica
                for replica in self._fleet.suspected_cold(now)
                if self._fleet.region_of(replica.zone) == self._region
            }
            self._probed &= suspected.keys()
            for name in suspected.keys() - self._probed:
                if not self._observer.may_probe(suspected[name]):
                    continue
                self._probed.add(name)
                await group.spawn(self._probe, suspected[name])
            await self._clock.sleep(SCAN_SECONDS)

    async def _probe(self, replica: Replica) -> None:
        service = self._fleet.service(replica.service)
        if service is None:
            return
        sent_at = self._clock.monotonic()
        self._observer.on_probe_sent(replica, sent_at)
        try:
            async with self._clock.timeout(PROBE_TIMEOUT_SECONDS):
                head, _ = await request_once(
                    self._network,
                    self._clock,
                    replica.address,
                    "GET",
                    service.health_path,
                    max_bytes=MAX_ANSWER_BYTES,
                )
        except SassafraskeelError as exc:
            self._log_probe(replica, cold=None, detail=str(exc))
            return
        health = self._interface.read_health(head)
        # A replica may reject a probe before it has a name to tell.
        if health.rejected and health.name in ("", replica.name):
            self._observer.on_probe_rejected(replica, sent_at)
        if health.name == replica.name:
            self._observer.on_probe_answered(replica, health, sent_at)
        cold = _cold_seconds(replica, health)
        if cold == 0:
            self._fleet.mark_warm(replica.name)
        self._log_probe(replica, cold=cold, detail="")

    def _log_probe(self, replica, cold, detail) -> None:
        self._log.emit(
            Event.COLD_PROBE, replica=replica.name, cold_seconds=cold, detail=detail
        )


def _cold_seconds(replica: Replica, health: ReplicaHealth) -> float | None:
    """Return the seconds for which a replica stays cold.

    Returns None if the replica is unhealthy or if another one answered at its address.
    """
    if not health.healthy or health.name != replica.name:
        return None
    return health.cold_seconds
