"""Orders between the hosts of a view: promises, intents, results and look-ups."""

import json
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    ProtocolError,
    Reason,
    Refusal,
)
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.ledger import (
    Attempt,
    AttemptState,
    OrderRecord,
    StoredAnswer,
)
from sassafraskeel.decisions.orders import (
    OrderContext,
    look_up_as_witness,
    witness_intent,
)
from sassafraskeel.decisions.ownership import OrderId, parse_order_id
from sassafraskeel.decisions.views import ViewMember, from_json, to_json
from sassafraskeel.gateways.codec import (
    Answered,
    Headers,
    Intent,
    LookUp,
    Ping,
    Pong,
    Records,
    Taken,
    ViewAsk,
    ViewTold,
    decode_field,
)
from sassafraskeel.gateways.link import ControlLink
from sassafraskeel.gateways.links import Links

REQUEST_SECONDS = 1.0


class Promise(NamedTuple):
    """What a pong says about the view."""

    view: int
    promised: bool


def view_member(host: HostInfo) -> ViewMember:
    """Return a host as a member of a view."""
    return ViewMember(host.name, host.incarnation, str(host.gateways))


class OrderPeers:
    """Speaks about orders with the other hosts of the own failure domain."""

    def __init__(self, domain: str, context: OrderContext, links: Links, clock: Clock):
        self._domain = domain
        self._context = context
        self._links = links
        self._clock = clock
        links.on(Intent, self._answer_intent)
        links.on(Records, self._answer_records)
        links.on(LookUp, self._answer_look_up)
        links.on(ViewAsk, self._answer_view_ask)
        links.on_pong(self._take_pong)

    def answer_ping(self, peer: HostInfo, ping: Ping) -> Promise:
        """Return the number of the own view and whether a promise is given."""
        if peer.domain != self._domain:
            return Promise(0, False)
        view_state = self._context.view_state
        now = self._clock.monotonic()
        promised = view_state.give_promise(peer.incarnation, ping.view, now)
        return Promise(view_state.number, promised)

    async def record_intent(
        self, witness: str, record: OrderRecord
    ) -> OrderRecord | None:
        """Ask a witness to accept an attempt; return the record that forbids it.

        Raises Refusal or another SassafraskeelError if there is no answer.
        """
        message = Intent(record_to_wire(record, self._clock.monotonic()))
        return self._record_of(await self._request(witness, message))

    async def look_up(
        self, witness: str, order: OrderId, fingerprint: bytes
    ) -> OrderRecord | None:
        """Return what a witness holds; raise Refusal as it says."""
        message = LookUp(order.text, fingerprint)
        return self._record_of(await self._request(witness, message))

    async def send(self, incarnation: str, records: list[OrderRecord]) -> None:
        """Have a host take over records; raise if it does not confirm."""
        now = self._clock.monotonic()
        wire = [record_to_wire(record, now) for record in records]
        taken = await self._request(incarnation, Records(incarnation, wire))
        if not isinstance(taken, Taken) or not taken.done:
            raise ProtocolError("records were not taken over")

    async def _request(self, incarnation: str, message: NamedTuple) -> NamedTuple:
        for link in self._links.links():
            if link.peer.incarnation == incarnation:
                return await link.request(message, REQUEST_SECONDS)
        raise ConnectionLost("no link to the host")

    def _record_of(self, answer: NamedTuple) -> OrderRecord | None:
        if not isinstance(answer, Answered):
            raise ProtocolError("a witness gave a wrong answer")
        if answer.outcome:
            if answer.outcome not in set(Outcome) or answer.reason not in set(Reason):
                raise ProtocolError("a witness refused with an unknown reason")
            raise Refusal(Outcome(answer.outcome), Reason(answer.reason), "", 1.0)
        if not answer.record:
            return None
        return record_from_wire(answer.record, self._clock.monotonic())

    async def _take_pong(self, link: ControlLink, pong: Pong) -> None:
        if link.peer.domain != self._domain:
            return
        view_state = self._context.view_state
        now = self._clock.monotonic()
        peer = view_member(link.peer)
        view_state.record_heartbeat_answer(
            peer, pong.view, pong.promised, link.pinged_at, now
        )
        if pong.view > view_state.number:
            told = await link.request(ViewAsk(view_state.number), REQUEST_SECONDS)
            view = parse_view(told)
            if view is not None and view.number > view_state.number:
                view_state.update_view(view, self._clock.monotonic())

    async def _answer_intent(self, peer: HostInfo, intent: Intent) -> Answered:
        now = self._clock.monotonic()
        record = record_from_wire(intent.record, now)
        try:
            other = witness_intent(self._context, peer.incarnation, record, now)
        except Refusal as refusal:
            return _refused(refusal)
        return Answered(record_to_wire(other, now) if other else [], "", "")

    async def _answer_look_up(self, peer: HostInfo, wanted: LookUp) -> Answered:
        now = self._clock.monotonic()
        try:
            order = parse_order_id(wanted.order_id)
            record = look_up_as_witness(self._context, order, wanted.fingerprint, now)
        except Refusal as refusal:
            return _refused(refusal)
        return Answered(record_to_wire(record, now), "", "")

    async def _answer_records(self, peer: HostInfo, message: Records) -> Taken:
        if message.incarnation != self._context.view_state.local_member.incarnation:
            return Taken(False)
        now = self._clock.monotonic()
        try:
            for wire in message.records:
                self._context.ledger.merge(record_from_wire(wire, now))
        except Refusal:
            return Taken(False)  # The ledger is full; the sender keeps its records.
        return Taken(True)

    async def _answer_view_ask(self, peer: HostInfo, ask: ViewAsk) -> ViewTold:
        view = self._context.view_state.view
        if peer.domain != self._domain or view is None or view.number <= ask.have:
            return ViewTold("")
        return ViewTold(view_text(view))


def view_text(view) -> str:
    """Return a view as JSON, without a change that may be over by now."""
    return json.dumps(to_json(view._replace(next=None)))


def parse_view(told: NamedTuple):
    """Return the view that a peer told, or None."""
    if not isinstance(told, ViewTold):
        raise ProtocolError("a request for the view had a wrong answer")
    try:
        return from_json(json.loads(told.text or "null"))
    except json.JSONDecodeError as exc:
        raise ProtocolError("a view is not JSON") from exc


def _refused(refusal: Refusal) -> Answered:
    return Answered([], refusal.outcome.value, refusal.reason.value)


def record_to_wire(record: OrderRecord, now: float) -> list:
    """Return a record as an array; it carries its age instead of its time."""
    answer = record.answer
    return [
        record.order_id,
        record.fingerprint,
        *record.attempt,
        int(record.state),
        now - record.created,
        [answer.status, answer.headers, answer.body, answer.body_stored]
        if answer
        else [],
    ]


def record_from_wire(wire, now: float) -> OrderRecord:
    """Return the record of an array; raise ProtocolError if it is malformed."""
    kinds = (str, bytes, int, int, int, float, list)
    if not isinstance(wire, list) or len(wire) != len(kinds):
        raise ProtocolError("a record has a wrong number of fields")
    order_id, fingerprint, view, count, state, age, kept = map(
        decode_field, wire, kinds
    )
    if state not in set(AttemptState) or len(kept) not in (0, 4):
        raise ProtocolError("a record has an unknown state or answer")
    answer = None
    if kept:
        answer = StoredAnswer(*map(decode_field, kept, (int, Headers, bytes, bool)))
    attempt = Attempt(view, count)
    return OrderRecord(
        order_id, fingerprint, attempt, AttemptState(state), now - age, answer
    )
