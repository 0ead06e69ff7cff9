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
    Headers,
    Intent,
    OrderLookup,
    OrderRecords,
    OrderRecordsReply,
    Ping,
    Pong,
    ViewReply,
    ViewRequest,
    WitnessReply,
    decode_field,
)
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager

REQUEST_TIMEOUT_SECONDS = 1.0


class ViewPromise(NamedTuple):
    """What a pong says about the view."""

    view_number: int
    promised: bool


def view_member(host: HostInfo) -> ViewMember:
    """Return a host as a member of a view."""
    return ViewMember(host.name, host.incarnation, str(host.gateways))


class OrderExchange:
    """Speaks about orders with the other hosts of the own failure domain."""

    def __init__(
        self, domain: str, context: OrderContext, links: LinkManager, clock: Clock
    ):
        self._domain = domain
        self._context = context
        self._links = links
        self._clock = clock
        links.on_request(Intent, self._answer_intent)
        links.on_request(OrderRecords, self._answer_records)
        links.on_request(OrderLookup, self._answer_lookup)
        links.on_request(ViewRequest, self._answer_view_request)
        links.add_pong_listener(self._on_pong)

    def answer_ping(self, peer: HostInfo, ping: Ping) -> ViewPromise:
        """Return the number of the own view and whether a promise is given."""
        if peer.domain != self._domain:
            return ViewPromise(0, False)
        view_state = self._context.view_state
        now = self._clock.monotonic()
        promised = view_state.give_promise(peer.incarnation, ping.view_number, now)
        return ViewPromise(view_state.number, promised)

    async def record_intent(
        self, witness: str, record: OrderRecord
    ) -> OrderRecord | None:
        """Ask a witness to accept an attempt; return the record that forbids it.

        Raises Refusal or another SassafraskeelError if there is no answer.
        """
        message = Intent(record_to_wire(record, self._clock.monotonic()))
        return self._decode_reply(await self._request(witness, message))

    async def look_up(
        self, witness: str, order: OrderId, fingerprint: bytes
    ) -> OrderRecord | None:
        """Return what a witness holds; raise Refusal as it says."""
        message = OrderLookup(order.text, fingerprint)
        return self._decode_reply(await self._request(witness, message))

    async def send(self, incarnation: str, records: list[OrderRecord]) -> None:
        """Have a host take over records; raise if it does not confirm."""
        now = self._clock.monotonic()
        encoded = [record_to_wire(record, now) for record in records]
        reply = await self._request(incarnation, OrderRecords(incarnation, encoded))
        if not isinstance(reply, OrderRecordsReply) or not reply.stored:
            raise ProtocolError("records were not taken over")

    async def _request(self, incarnation: str, message: NamedTuple) -> NamedTuple:
        for link in self._links.links():
            if link.peer.incarnation == incarnation:
                return await link.request(message, REQUEST_TIMEOUT_SECONDS)
        raise ConnectionLost("no link to the host")

    def _decode_reply(self, reply: NamedTuple) -> OrderRecord | None:
        if not isinstance(reply, WitnessReply):
            raise ProtocolError("a witness gave a wrong answer")
        if reply.outcome:
            if reply.outcome not in set(Outcome) or reply.reason not in set(Reason):
                raise ProtocolError("a witness refused with an unknown reason")
            raise Refusal(Outcome(reply.outcome), Reason(reply.reason), "", 1.0)
        if not reply.record:
            return None
        return record_from_wire(reply.record, self._clock.monotonic())

    async def _on_pong(self, link: ControlLink, pong: Pong) -> None:
        if link.peer.domain != self._domain:
            return
        view_state = self._context.view_state
        now = self._clock.monotonic()
        peer = view_member(link.peer)
        view_state.record_heartbeat_answer(
            peer, pong.view_number, pong.promised, link.pinged_at, now
        )
        if pong.view_number > view_state.number:
            reply = await link.request(
                ViewRequest(view_state.number), REQUEST_TIMEOUT_SECONDS
            )
            view = parse_view(reply)
            if view is not None and view.number > view_state.number:
                view_state.update_view(view, self._clock.monotonic())

    async def _answer_intent(self, peer: HostInfo, intent: Intent) -> WitnessReply:
        now = self._clock.monotonic()
        record = record_from_wire(intent.record, now)
        try:
            other = witness_intent(self._context, peer.incarnation, record, now)
        except Refusal as refusal:
            return _refusal_reply(refusal)
        return WitnessReply(record_to_wire(other, now) if other else [], "", "")

    async def _answer_lookup(self, peer: HostInfo, lookup: OrderLookup) -> WitnessReply:
        now = self._clock.monotonic()
        try:
            order = parse_order_id(lookup.order_id)
            record = look_up_as_witness(self._context, order, lookup.fingerprint, now)
        except Refusal as refusal:
            return _refusal_reply(refusal)
        return WitnessReply(record_to_wire(record, now), "", "")

    async def _answer_records(
        self, peer: HostInfo, message: OrderRecords
    ) -> OrderRecordsReply:
        if message.incarnation != self._context.view_state.local_member.incarnation:
            return OrderRecordsReply(False)
        now = self._clock.monotonic()
        try:
            for encoded in message.records:
                self._context.ledger.merge(record_from_wire(encoded, now))
        except Refusal:
            return OrderRecordsReply(
                False
            )  # The ledger is full; the sender keeps its records.
        return OrderRecordsReply(True)

    async def _answer_view_request(
        self, peer: HostInfo, request: ViewRequest
    ) -> ViewReply:
        view = self._context.view_state.view
        if (
            peer.domain != self._domain
            or view is None
            or view.number <= request.known_number
        ):
            return ViewReply("")
        return ViewReply(view_to_json(view))


def view_to_json(view) -> str:
    """Return a view as JSON, without a change that may be over by now."""
    return json.dumps(to_json(view._replace(next=None)))


def parse_view(reply: NamedTuple):
    """Return the view that a peer told, or None."""
    if not isinstance(reply, ViewReply):
        raise ProtocolError("a request for the view had a wrong answer")
    try:
        return from_json(json.loads(reply.text or "null"))
    except json.JSONDecodeError as exc:
        raise ProtocolError("a view is not JSON") from exc


def _refusal_reply(refusal: Refusal) -> WitnessReply:
    return WitnessReply([], refusal.outcome.value, refusal.reason.value)


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
    order_id, fingerprint, view, count, state, age, encoded_answer = map(
        decode_field, wire, kinds
    )
    if state not in set(AttemptState) or len(encoded_answer) not in (0, 4):
        raise ProtocolError("a record has an unknown state or answer")
    answer = None
    if encoded_answer:
        answer = StoredAnswer(
            *map(decode_field, encoded_answer, (int, Headers, bytes, bool))
        )
    attempt = Attempt(view, count)
    return OrderRecord(
        order_id, fingerprint, attempt, AttemptState(state), now - age, answer
    )
