"""Client of the operators' interface of hosts."""

import json
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.net import Address, Network
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.tasks import SupervisedTaskGroup

TIMEOUT_SECONDS = 5.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class HostAnswers(NamedTuple):
    """Answers of hosts, and the errors of hosts without an answer, by address."""

    received: dict[Address, dict]
    missing: dict[Address, str]


def operator_addresses(cfg: Settings, given: list[Address]) -> list[Address]:
    """Return the given addresses, or those in the settings.

    Without either, assume that the machines of the local host and of the seeds serve
    operators on the same port as the local host.
    """
    if given:
        return given
    if cfg.operators.hosts:
        return list(cfg.operators.hosts)
    listen_address = cfg.operators.listen
    machines = dict.fromkeys(
        [listen_address.ip, *(seed.ip for seed in cfg.gateways.seeds)]
    )
    return [Address(ip, listen_address.port) for ip in machines]


class OperatorClient:
    """Sends requests to the operators' interface, authorized by a token."""

    def __init__(self, token: str, clock: Clock, network: Network):
        self._token = token
        self._clock = clock
        self._network = network

    async def request(self, address: Address, method: str, path: str) -> dict:
        """Return the answer of one host; raise SassafraskeelError."""
        headers = ((b"authorization", f"Bearer {self._token}".encode()),)
        async with self._clock.timeout(TIMEOUT_SECONDS):
            head, data = await request_once(
                self._network,
                self._clock,
                address,
                method,
                path,
                headers,
                max_bytes=MAX_ANSWER_BYTES,
            )
        if head.status >= 300:
            raise ProtocolError(f"status {head.status}")
        try:
            content = json.loads(data)
        except (ValueError, RecursionError) as exc:
            raise ProtocolError("the answer is not JSON") from exc
        if not isinstance(content, dict):
            raise ProtocolError("the answer is not an object")
        return content

    async def request_all(self, addresses: list[Address], path: str) -> HostAnswers:
        """Request a path from all hosts concurrently and return their answers."""
        answers = HostAnswers({}, {})

        async def request(address):
            try:
                answers.received[address] = await self.request(address, "GET", path)
            except SassafraskeelError as exc:
                answers.missing[address] = str(exc)

        async with SupervisedTaskGroup() as group:
            for address in addresses:
                await group.spawn(request, address)
        return answers
