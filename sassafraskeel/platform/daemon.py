"""The gateway process on the platform: builds and runs a host."""

import logging
import random
import signal
import sys
from pathlib import Path

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.descriptors import STDOUT
from sassafraskeel.core.errors import UserError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import (
    LibraryHandler,
    NonBlockingOutput,
    RateLimitedLog,
    StructuredLog,
)
from sassafraskeel.core.net import TcpNetwork
from sassafraskeel.core.process import failure_logged
from sassafraskeel.core.route_settings import RouteSettings
from sassafraskeel.core.settings import load_settings
from sassafraskeel.core.signals import SignalWaiter
from sassafraskeel.core.tasks import SupervisedTaskGroup, run_kernel, run_until_first
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.platform.callers import (
    DirectoryInterface,
    ReadinessInterface,
    RouteInterface,
)
from sassafraskeel.platform.documents import PlatformDocumentCodec
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from sassafraskeel.platform.store_client import StoreClient
from sassafraskeel.route_host import Interfaces, RouteEnvironment, RouteHost


def build_interfaces(host: RouteHost) -> Interfaces:
    """Return the platform's interfaces of a host."""
    ttl = host.cfg.callers.directory_ttl.total_seconds()
    return Interfaces(
        RouteInterface(host.fleet, host.clock),
        DirectoryInterface(host.fleet, host.hosts_for_callers, ttl),
        ReadinessInterface(host.is_ready),
    )


def build_host(cfg: RouteSettings) -> RouteHost:
    """Return a host that uses the system clock and TCP."""
    clock = SystemClock()
    output = NonBlockingOutput(STDOUT)
    log = StructuredLog(clock, cfg.host.name, output)
    bounded_log = RateLimitedLog(log, clock, debug=cfg.host.log_level == "debug")
    logging.getLogger().addHandler(LibraryHandler(bounded_log))
    turns = TurnTimer(clock, bounded_log)
    network = TcpNetwork(turns=turns)
    env = RouteEnvironment(
        clock=clock,
        network=network,
        rng=random.SystemRandom(),
        log=bounded_log,
        store=StoreClient(cfg.store.address, clock, network, bounded_log),
        codec=PlatformDocumentCodec(),
        replicas=PlatformReplicaInterface(),
        interfaces=build_interfaces,
        turns=turns,
    )
    return RouteHost(cfg, env)


async def serve(host: RouteHost, path: Path, signals: SignalWaiter) -> None:
    """Run a host until it has drained; the first SIGTERM or SIGINT starts the drain.

    A host that has not started by then ends at once.
    """
    group = SupervisedTaskGroup(
        lambda exc: host.log.emit(Event.TASK_FAILED, detail=str(exc))
    )
    async with signals:
        # The task goes on until it is asked for: a signal is received only once.
        stopping = await group.spawn_service(
            host.clock, _wait_for_stop, host, path, signals
        )
        start = host.start
        try:
            if await run_until_first(start, stopping.wait) is not start:
                return
            await stopping.wait()
            drain = await group.spawn(host.drain)
            await drain.wait()
        finally:
            await group.close()
            await host.close()


async def _wait_for_stop(host: RouteHost, path: Path, signals: SignalWaiter) -> None:
    while await signals.wait() == signal.SIGHUP:
        _report_changed_settings(host, path)


def _report_changed_settings(host: RouteHost, path: Path) -> None:
    """Read the settings again and log whether they differ from those in force.

    Changed settings take effect at the next start.
    """
    try:
        changed = load_settings(path, RouteSettings) != host.cfg
    except UserError as exc:
        host.log.emit(Event.SETTINGS_REJECTED, detail=str(exc))
        return
    host.log.emit(Event.SETTINGS_READ, changed=changed)


def main(path: Path, signals: SignalWaiter) -> None:
    """Run the process; print a UserError and exit with status 2."""
    try:
        cfg = load_settings(path, RouteSettings)
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
    host = build_host(cfg)
    try:
        with failure_logged(host.log):
            run_kernel(serve, host, path, signals, activations=[host.turns])
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
