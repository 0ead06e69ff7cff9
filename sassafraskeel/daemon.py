"""The gateway process: runs a host with the system clock, TCP and a log."""

import random
import signal

import curio

from sassafraskeel.core.clock import Clock, SystemClock
from sassafraskeel.core.descriptors import STDERR, open_standard_streams
from sassafraskeel.core.log import NonBlockingOutput, RateLimitedLog, StructuredLog
from sassafraskeel.core.net import TcpNetwork
from sassafraskeel.core.process import failure_logged
from sassafraskeel.core.settings import HostSection, Settings
from sassafraskeel.core.signals import SignalWaiter
from sassafraskeel.core.tasks import run_kernel, run_until_first
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient


def build_log(cfg: HostSection, clock: Clock) -> RateLimitedLog:
    """Return a log for a host that writes to standard error."""
    output = NonBlockingOutput(STDERR)
    log = StructuredLog(clock, cfg.name, output, json=cfg.log_format == "json")
    return RateLimitedLog(log, clock, debug=cfg.log_level == "debug")


def build_host(cfg: Settings) -> Host:
    """Return a host that uses the system clock and TCP."""
    clock = SystemClock()
    log = build_log(cfg.host, clock)
    turns = TurnTimer(clock, log)
    network = TcpNetwork(turns=turns)
    env = Environment(
        clock=clock,
        network=network,
        rng=random.SystemRandom(),
        log=log,
        platform=PlatformClient(cfg.platform, clock, network),
        turns=turns,
    )
    return Host(cfg, env)


async def serve(host: Host) -> None:
    """Run a host until it has drained.

    The first SIGTERM or SIGINT, or an operator's request, starts the drain. A signal
    before the host has started, or during the drain, stops it immediately.
    """
    async with SignalWaiter(signal.SIGTERM, signal.SIGINT) as signals:
        stopping = await curio.spawn(signals.wait, daemon=True)
        start = host.start
        try:
            if await run_until_first(start, stopping.wait) is not start:
                return
            await run_until_first(stopping.wait, host.drain_requested.wait)
            next_signal = signals.wait if stopping.terminated else stopping.wait
            await run_until_first(host.drain, next_signal)
        finally:
            await stopping.cancel()
            await host.close()


def run(cfg: Settings) -> None:
    """Run the gateway process."""
    open_standard_streams()
    host = build_host(cfg)
    with failure_logged(host.log):
        run_kernel(serve, host, activations=[host.turns])
