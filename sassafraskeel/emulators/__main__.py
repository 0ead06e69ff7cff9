"""Runs one emulator as a process: `python -m sassafraskeel.emulators KIND …`."""

import signal
from pathlib import Path
from typing import Annotated

import cappa
import curio
from pydantic import BaseModel

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.settings import load_settings
from sassafraskeel.core.signals import SignalWaiter
from sassafraskeel.core.tasks import run_kernel
from sassafraskeel.daemon import serve
from sassafraskeel.emulators.engine import EngineEmulator
from sassafraskeel.emulators.gateway import WanControl, build_host, load_wan
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.emulators.replica import ReplicaEmulator
from sassafraskeel.emulators.service import ServiceEmulator
from sassafraskeel.emulators.store import StoreEmulator
from sassafraskeel.host import Host


async def run_until_stopped(*servers) -> None:
    """Start servers, wait for SIGTERM or SIGINT, and close them in reverse order."""
    async with SignalWaiter(signal.SIGTERM, signal.SIGINT) as signals:
        for server in servers:
            await server.start()
        await signals.wait()
        for server in reversed(servers):
            await server.close()


async def run_gateway(control: WanControl, host: Host) -> None:
    """Run a host and the control interface of its Wan until the host has drained."""
    await control.start()
    await serve(host)
    await control.close()


class Platform(BaseModel):
    """Emulate the platform's services."""

    listen: str

    def __call__(self):
        address = parse_address(self.listen)
        server = PlatformEmulator(SystemClock(), TcpNetwork(), address)
        curio.run(run_until_stopped, server)


class Engine(BaseModel):
    """Emulate a model engine."""

    listen: str
    slots: Annotated[int, cappa.Arg(long=True)] = 8
    token_ms: Annotated[float, cappa.Arg(long=True)] = 5.0
    model: Annotated[str | None, cappa.Arg(long=True)] = None
    fencing: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self):
        server = EngineEmulator(
            SystemClock(),
            TcpNetwork(),
            parse_address(self.listen),
            slots=self.slots,
            token_delay=self.token_ms / 1000,
            model=self.model or "",
            fencing=self.fencing,
        )
        curio.run(run_until_stopped, server)


class Service(BaseModel):
    """Emulate a plain service."""

    listen: str

    def __call__(self):
        address = parse_address(self.listen)
        server = ServiceEmulator(SystemClock(), TcpNetwork(), address)
        curio.run(run_until_stopped, server)


class Store(BaseModel):
    """Emulate the store of the users' platform."""

    listen: str

    def __call__(self):
        address = parse_address(self.listen)
        curio.run(
            run_until_stopped, StoreEmulator(SystemClock(), TcpNetwork(), address)
        )


class Replica(BaseModel):
    """Emulate a replica of the users' platform, by default without a version."""

    listen: str
    name: str
    zone: str
    delay_ms: Annotated[float, cappa.Arg(long=True)] = 20.0
    version: Annotated[str | None, cappa.Arg(long="software-version")] = None
    answer_bytes: Annotated[int, cappa.Arg(long=True)] = 0

    def __call__(self):
        address = parse_address(self.listen)
        server = ReplicaEmulator(
            SystemClock(), TcpNetwork(), address, self.name, self.zone
        )
        server.delay = self.delay_ms / 1000
        server.version = self.version or ""
        server.answer_bytes = self.answer_bytes
        curio.run(run_until_stopped, server)


class Gateway(BaseModel):
    """Run a gateway host behind an emulated wide-area network."""

    settings: Path
    wan: Path

    def __call__(self):
        cfg = load_settings(self.settings)
        wan, listen = load_wan(self.wan)
        control = WanControl(wan, SystemClock(), listen)
        host = build_host(cfg, wan)
        run_kernel(run_gateway, control, host, activations=[host.turns])


class Emulators(BaseModel):
    """Emulators of the platform, the upstreams and the wide-area network."""

    command: cappa.Subcommands[Platform | Engine | Service | Store | Replica | Gateway]


if __name__ == "__main__":
    cappa.invoke(Emulators)
