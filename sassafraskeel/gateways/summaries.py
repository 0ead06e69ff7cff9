"""Anti-entropy exchange of domain summaries over control links."""

from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.summaries import (
    MAX_DOMAINS,
    DomainLoad,
    Roster,
    SummaryDelta,
    SummaryTable,
    mark_known,
)
from sassafraskeel.gateways.codec import decode_host_info
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.messages import SummaryPull, SummaryPush

INTERVAL_SECONDS = 2.0
MAX_HOSTS_IN_DOMAIN = 64
MAX_SERVICES = 256
AGE_UNITS_PER_SECOND = 10  # Ages are encoded in tenths of a second.


class PeerState(NamedTuple):
    """The summaries that an incarnation of a peer has.

    `known_sequences` maps a domain, and whether the summary is a load or a roster, to
    a sequence number.
    """

    incarnation: str
    known_sequences: dict[tuple[str, bool], int]


class SummaryExchange:
    """Sends each peer the summaries that it lacks and merges those of the peer.

    The dialling end starts an exchange every INTERVAL_SECONDS in the task of its
    link. The sequence numbers of a peer are kept by its name, for one incarnation.
    """

    def __init__(
        self, local_domain: str, table: SummaryTable, clock: Clock, timeout: float
    ):
        self._local_domain = local_domain
        self._table = table
        self._clock = clock
        self._timeout = timeout
        self._peers: dict[str, PeerState] = {}
        self._next_exchange_at: dict[str, float] = {}
        self._links: dict[str, ControlLink] = {}

    async def on_pong(self, link: ControlLink, pong) -> None:
        """Exchange summaries if the interval has passed."""
        now = self._clock.monotonic()
        if now < self._next_exchange_at.get(link.peer.name, 0.0):
            return
        # Pongs arrive once a second; half a second of slack selects every second one.
        self._next_exchange_at[link.peer.name] = now + INTERVAL_SECONDS - 0.5
        new_link = link is not self._links.get(link.peer.name)
        self._links[link.peer.name] = link
        known_sequences = self._known_sequences(link.peer, new_link)
        delta = self._table.delta_for(
            known_sequences, self._is_same_domain(link.peer), now
        )
        push = SummaryPush(*encode_summaries(delta), new_link)
        reply = await link.request(push, self._timeout)
        if not isinstance(reply, SummaryPull):
            raise ProtocolError("unexpected reply to a summary push")
        mark_known(known_sequences, delta)
        self._merge(known_sequences, link.peer, reply)

    async def answer(self, peer: HostInfo, push: SummaryPush) -> SummaryPull:
        """Merge the summaries of a peer and return those that it lacks."""
        known_sequences = self._known_sequences(peer, push.new_link)
        self._merge(known_sequences, peer, push)
        now = self._clock.monotonic()
        delta = self._table.delta_for(known_sequences, self._is_same_domain(peer), now)
        mark_known(known_sequences, delta)
        return SummaryPull(*encode_summaries(delta))

    def retain(self, names) -> None:
        """Drop the state of all peers but the named ones."""
        for table in (self._peers, self._next_exchange_at, self._links):
            for name in [name for name in table if name not in names]:
                del table[name]

    def _known_sequences(
        self, peer: HostInfo, new_link: bool
    ) -> dict[tuple[str, bool], int]:
        # On a new link all summaries are sent again: the last reply on the old link
        # may not have arrived.
        state = self._peers.get(peer.name)
        if new_link or state is None or state.incarnation != peer.incarnation:
            state = self._peers[peer.name] = PeerState(peer.incarnation, {})
        return state.known_sequences

    def _is_same_domain(self, peer: HostInfo) -> bool:
        return peer.domain == self._local_domain

    def _merge(self, known_sequences, peer: HostInfo, message) -> None:
        delta = decode_summaries(message)
        mark_known(known_sequences, delta)
        self._table.merge(delta, self._is_same_domain(peer), self._clock.monotonic())


def encode_summaries(delta: SummaryDelta) -> tuple[list, list]:
    """Return the `loads` and `rosters` fields that encode summaries."""
    loads = [
        [
            load.domain,
            load.sequence,
            round(load.age * AGE_UNITS_PER_SECOND),
            load.sheet_version,
            load.in_flight,
            load.spare_slots,
        ]
        for load in delta.loads
    ]
    return loads, [list(roster) for roster in delta.rosters]


def decode_summaries(message) -> SummaryDelta:
    """Return the summaries in a message; raise ProtocolError if it is malformed."""
    if len(message.loads) > MAX_DOMAINS or len(message.rosters) > MAX_DOMAINS:
        raise ProtocolError("a message has too many summaries")
    return SummaryDelta(
        tuple(_decode_load(value) for value in message.loads),
        tuple(_decode_roster(value) for value in message.rosters),
    )


def _decode_load(value) -> DomainLoad:
    domain, sequence, age, version, in_flight, spare = _check_fields(value, 6)
    numbers = (sequence, age, version, in_flight)
    if not isinstance(domain, str) or not all(map(_is_count, numbers)):
        raise ProtocolError("a domain load has a field of a wrong type")
    if not isinstance(spare, dict) or len(spare) > MAX_SERVICES:
        raise ProtocolError("the spare slots of a domain load are malformed")
    if not all(map(_is_count, (*spare, *spare.values()))):
        raise ProtocolError("the spare slots of a domain load are not counts")
    age = age / AGE_UNITS_PER_SECOND
    return DomainLoad(domain, sequence, age, version, in_flight, spare)


def _decode_roster(value) -> Roster:
    domain, sequence, hosts = _check_fields(value, 3)
    if not isinstance(domain, str) or not _is_count(sequence):
        raise ProtocolError("a roster has a field of a wrong type")
    if not isinstance(hosts, list) or len(hosts) > MAX_HOSTS_IN_DOMAIN:
        raise ProtocolError("the hosts of a roster are malformed")
    infos = tuple(map(decode_host_info, hosts))
    if any(info.domain != domain for info in infos):
        raise ProtocolError("a roster names a host of another domain")
    return Roster(domain, sequence, infos)


def _check_fields(value, count) -> list:
    if not isinstance(value, list) or len(value) != count:
        raise ProtocolError(f"a summary is not an array of {count} fields")
    return value


def _is_count(value) -> bool:
    return type(value) is int and value >= 0
