"""Gateway host whose outgoing connections cross an emulated wide-area network."""

import configparser
import random
from pathlib import Path

from sassafraskeel.core.clock import Clock, SystemClock
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.daemon import build_log
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply
from sassafraskeel.emulators.network import Wan, WanNetwork
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient


def load_wan(path: Path) -> tuple[Wan, str]:
    """Read an INI file that describes a Wan.

    The section [places] maps addresses to sites, [delays] sites to one-way delays in
    milliseconds, and [control] has the address of the control interface. Return the
    Wan and this address.
    """
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    parser.read_string(path.read_text(encoding="utf-8"), str(path))
    sites = {parse_address(address): site for address, site in parser["places"].items()}
    delays = {site: float(ms) / 1000 for site, ms in parser["delays"].items()}
    return Wan(sites, delays), parser["control"]["listen"]


class WanControl:
    """HTTP interface that sets the cuts of a Wan."""

    def __init__(self, wan: Wan, clock: Clock, listen: str):
        self._wan = wan
        self._server = HttpServer(
            clock, TcpNetwork(), parse_address(listen), self.handle
        )

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def handle(self, request: Request) -> Reply:
        """Replace the sets of sites that are cut off."""
        cuts = request.json()
        self._wan.cut_in = set(cuts.get("cut_in", ()))
        self._wan.cut_out = set(cuts.get("cut_out", ()))
        return json_reply({})


def build_host(cfg: Settings, wan: Wan) -> Host:
    """Return a host whose outgoing connections cross the Wan."""
    clock = SystemClock()
    log = build_log(cfg.host, clock)
    turns = TurnTimer(clock, log)
    network = WanNetwork(TcpNetwork(turns=turns), clock, wan)
    env = Environment(
        clock=clock,
        network=network,
        rng=random.SystemRandom(),
        log=log,
        platform=PlatformClient(cfg.platform, clock, network),
        turns=turns,
    )
    return Host(cfg, env)
